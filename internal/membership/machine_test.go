package membership

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// converged tells the first pair of running VMs that do not see each other as live, or "".
func converged(f *fleet) string {
	for _, a := range f.order {
		for _, b := range f.order {
			na, nb := f.nodes[a], f.nodes[b]
			if !na.alive || !nb.alive || na.paused || nb.paused {
				continue
			}
			if st := f.state(a, b); st != Alive {
				return a + " sees " + b + " as " + st.String()
			}
		}
	}
	return ""
}

func TestFleetMeetsThroughTheList(t *testing.T) {
	f := newFleet(1, 3, 2, 2, 1)
	f.run(4 * time.Second)
	if bad := converged(f); bad != "" {
		t.Fatal(bad)
	}
}

func TestKilledVMIsSuspectWithinTwoSeconds(t *testing.T) {
	for _, sizes := range [][]int{{2, 2, 1, 1}, {50, 3, 3}} {
		var worst time.Duration
		for seed := range uint64(8) {
			f := newFleet(seed, sizes...)
			f.run(8 * time.Second)
			victim := f.order[1]
			f.kill(victim)
			at := f.now
			for f.now.Sub(at) < 10*time.Second && !allSuspect(f, victim) {
				f.run(20 * time.Millisecond)
			}
			worst = max(worst, f.now.Sub(at))
		}
		t.Logf("%v VMs: worst time until every VM sees a killed one as suspect: %v", sizes, worst)
		if worst > 2*time.Second {
			t.Errorf("%v VMs: %v", sizes, worst)
		}
	}
}

func allSuspect(f *fleet, victim string) bool {
	return !slices.ContainsFunc(f.order, func(n string) bool {
		return f.nodes[n].alive && f.state(n, victim) == Alive
	})
}

func TestCutDataCentreIsSuspectAndComesBack(t *testing.T) {
	f := newFleet(3, 3, 3, 2)
	f.run(5 * time.Second)
	f.cutLink("dc-0", "dc-2", true)
	f.cutLink("dc-1", "dc-2", true)
	at := f.now
	apart := func() bool {
		return f.state("vm-0-0", "vm-2-0") == Suspect && f.state("vm-0-2", "vm-2-1") == Suspect && f.state("vm-2-0", "vm-0-1") == Suspect
	}
	for !apart() && f.now.Sub(at) < 20*time.Second {
		f.run(50 * time.Millisecond)
	}
	t.Logf("cut data centre suspect after %v", f.now.Sub(at))
	f.run(10 * time.Second)
	if !apart() || f.state("vm-0-0", "vm-1-0") != Alive || f.state("vm-2-0", "vm-2-1") != Alive {
		t.Fatal("wrong states during the cut")
	}
	f.cutLink("dc-0", "dc-2", false)
	f.cutLink("dc-1", "dc-2", false)
	at = f.now
	for converged(f) != "" && f.now.Sub(at) < 20*time.Second {
		f.run(50 * time.Millisecond)
	}
	t.Logf("healed after %v", f.now.Sub(at))
	if bad := converged(f); bad != "" {
		t.Fatal(bad)
	}
}

func TestGoneOnlyByListLaterLifeOrGoodbye(t *testing.T) {
	f := newFleet(4, 3, 2)
	f.run(5 * time.Second)
	f.kill("vm-0-1")
	f.run(10 * time.Second)
	if st := f.state("vm-0-0", "vm-0-1"); st != Suspect {
		t.Fatalf("a silent VM that is listed is %v", st)
	}
	f.listed["vm-0-1"] = false
	f.run(10 * time.Second)
	if st := f.state("vm-1-0", "vm-0-1"); st != Gone {
		t.Fatalf("a silent VM off the list is %v", st)
	}
	f.listed["vm-0-2"] = false
	f.run(40 * time.Second)
	if st := f.state("vm-0-0", "vm-0-2"); st != Alive {
		t.Fatalf("a VM that is heard but off the lagging list is %v", st)
	}
	old := f.nodes["vm-1-1"].vm
	f.kill("vm-1-1")
	f.boot("vm-1-1")
	f.run(3 * time.Second)
	if !f.nodes["vm-0-0"].view.IsGone(old) || f.state("vm-0-0", "vm-1-1") != Alive {
		t.Fatal("a later life did not replace the earlier one")
	}
	f.kill("vm-1-1")
	f.boot("vm-1-1")
	f.listed["vm-1-1"] = false
	f.run(6 * time.Second)
	f.kill("vm-1-1")
	f.run(10 * time.Second)
	if st := f.state("vm-0-0", "vm-1-1"); st != Suspect {
		t.Fatalf("a silent VM that the lagging list has never named is %v", st)
	}
	f.step(f.nodes["vm-0-2"], leave{})
	f.run(time.Second)
	if st := f.state("vm-1-0", "vm-0-2"); st != Leaving {
		t.Fatalf("a leaving VM is %v", st)
	}
}

// TestPausedVMAccusesNobody lets a VM stand still while its calls are under way, and checks that
// it comes back as live and that its stale calls make no other VM suspect.
func TestPausedVMAccusesNobody(t *testing.T) {
	for _, sizes := range [][]int{{2}, {4, 2}} {
		var slowest time.Duration
		for seed := range uint64(6) {
			f := newFleet(seed, sizes...)
			f.run(5 * time.Second)
			paused := f.nodes["vm-0-1"]
			for len(paused.m.calls) == 0 {
				f.run(500 * time.Microsecond)
			}
			paused.paused = true
			f.run(30 * time.Second)
			if st := f.state("vm-0-0", "vm-0-1"); st != Suspect {
				t.Fatalf("a paused VM is %v", st)
			}
			f.resume("vm-0-1")
			back := time.Duration(-1)
			for at := f.now; f.now.Sub(at) < 4*time.Second; f.run(20 * time.Millisecond) {
				for _, name := range f.order {
					if st := f.state("vm-0-1", name); st != Alive {
						t.Fatalf("%v VMs, seed %d: the VM that was paused sees %s as %v", sizes, seed, name, st)
					}
				}
				if f.state(f.order[len(f.order)-1], "vm-0-1") == Alive && f.state("vm-0-0", "vm-0-1") == Alive && back < 0 {
					back = f.now.Sub(at)
				}
			}
			if back < 0 {
				t.Fatalf("%v VMs, seed %d: not live again", sizes, seed)
			}
			slowest = max(slowest, back)
		}
		t.Logf("%v VMs: live again for all at most %v after the pause", sizes, slowest)
	}
}

// TestMovedVMIsReachedWhileTheListLags starts a VM's next life at another address, which the list
// names only later, and checks that the list's address wins over the stated one otherwise.
func TestMovedVMIsReachedWhileTheListLags(t *testing.T) {
	f := newFleet(5, 5, 2)
	moved := f.nodes["vm-0-1"]
	direct, proxy := moved.addr, netip.MustParseAddrPort("10.9.9.9:1")
	moved.listAddr = proxy
	f.run(4 * time.Second)
	if m, _ := f.nodes["vm-1-0"].view.Find("vm-0-1"); m.Peer != proxy {
		t.Fatalf("the list says %v, the view %v", proxy, m.Peer)
	}
	moved.listAddr = direct
	f.run(50 * time.Second)
	if bad := converged(f); bad != "" {
		t.Fatal(bad)
	}
	f.kill("vm-0-1")
	moved.addr = netip.MustParseAddrPort("10.0.0.200:7000")
	f.boot("vm-0-1")
	for range 2 {
		f.run(3 * time.Second)
		for at := f.now; f.now.Sub(at) < 40*time.Second; f.run(100 * time.Millisecond) {
			if bad := converged(f); bad != "" {
				t.Fatal(bad)
			}
		}
		moved.listAddr = moved.addr
	}
}

func TestRecordOrderIsTotalAndLaterLifeWins(t *testing.T) {
	record := rapid.Custom(func(t *rapid.T) Record {
		return Record{
			VM:    ident.VM{Name: "a", Incarnation: ident.Incarnation(rapid.IntRange(1, 3).Draw(t, "life"))},
			Seq:   rapid.Uint32Range(1, 3).Draw(t, "seq"),
			Flags: Flags(rapid.IntRange(0, 7).Draw(t, "flags")),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		rs := rapid.SliceOfN(record, 1, 6).Draw(t, "records")
		highest := func(rs []Record) Record {
			best := rs[0]
			for _, r := range rs[1:] {
				if r.newer(&best) {
					best = r
				}
			}
			return best
		}
		key := func(r Record) [4]uint64 {
			return [4]uint64{uint64(r.VM.Incarnation), uint64(r.Flags & FlagGone), uint64(r.Seq), uint64(r.Flags & FlagSuspect)}
		}
		a := highest(rs)
		b := highest(rapid.Permutation(rs).Draw(t, "order"))
		if a.has(FlagGone) && b.has(FlagGone) && a.VM == b.VM {
			return
		}
		if key(a) != key(b) {
			t.Fatalf("%+v and %+v by order alone", a, b)
		}
	})
}

// TestFleetKeepsItsPromises runs a fleet through random faults. No VM that runs, is listed and
// can be reached may be Gone for another; a later life always replaces an earlier one; and once
// the faults end all see the same.
func TestFleetKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "dc0"), rapid.IntRange(1, 3).Draw(t, "dc1"), 1)
		f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
		f.repeat = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeat")
		someone := rapid.SampledFrom(f.order)
		someDC := rapid.SampledFrom([]string{"dc-0", "dc-1", "dc-2"})
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond) },
			"kill": func(t *rapid.T) { f.kill(someone.Draw(t, "vm")) },
			"restart": func(t *rapid.T) {
				name := someone.Draw(t, "vm")
				f.kill(name)
				f.boot(name)
			},
			"replace": func(t *rapid.T) {
				name := someone.Draw(t, "vm")
				f.kill(name)
				f.listed[name] = false
			},
			"pause":  func(t *rapid.T) { f.nodes[someone.Draw(t, "vm")].paused = true },
			"resume": func(t *rapid.T) { f.resume(someone.Draw(t, "vm")) },
			"cut":    func(t *rapid.T) { f.cutLink(someDC.Draw(t, "a"), someDC.Draw(t, "b"), true) },
			"heal":   func(*rapid.T) { clear(f.cut) },
			"list":   func(t *rapid.T) { f.listUp = rapid.Bool().Draw(t, "up") },
			"": func(t *rapid.T) {
				for _, at := range f.order {
					for _, of := range f.order {
						n := f.nodes[of]
						if f.nodes[at].alive && n.alive && f.listed[of] && f.nodes[at].view.IsGone(n.vm) {
							t.Fatalf("%s sees the running %s as gone", at, of)
						}
					}
				}
			},
		})
		f.loss, f.listUp = 0, true
		clear(f.cut)
		for _, name := range f.order {
			f.resume(name)
		}
		f.run(25 * time.Second)
		if bad := converged(f); bad != "" {
			t.Fatal(bad)
		}
		for _, name := range f.order {
			if n := f.nodes[name]; n.alive && n.m.table.sum() != f.nodes[firstAlive(f)].m.table.sum() {
				t.Fatalf("%s holds other records than %s: %v and %v", name, firstAlive(f), records(n), records(f.nodes[firstAlive(f)]))
			}
		}
	})
}

func records(n *node) []Record { return n.m.table.differing(nil) }

func firstAlive(f *fleet) string {
	return f.order[slices.IndexFunc(f.order, func(n string) bool { return f.nodes[n].alive })]
}

func FuzzMessage(f *testing.F) {
	m := newMachine(Member{VM: ident.VM{Name: "a", Incarnation: 1}, DataCentre: "x"}, nil)
	raw, err := msgpack.Marshal(&Message{Op: OpSync, Records: []Record{m.me().Record}, Buckets: m.table.buckets()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var msg Message
		if msgpack.Unmarshal(raw, &msg) != nil {
			return
		}
		m := newMachine(Member{VM: ident.VM{Name: "a", Incarnation: 1}, DataCentre: "x"}, nil)
		m.Step(clock.Instant(time.Second), request{id: 1, from: ident.VM{Name: "b", Incarnation: 1}, msg: &msg})
		m.Step(clock.Instant(2*time.Second), tick{})
	})
}
