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

// firstDisagreement describes the first pair of running VMs of which one does not see the other
// as alive. It returns "" if there is none.
func firstDisagreement(f *fleet) string {
	for _, a := range f.order {
		for _, b := range f.order {
			na, nb := f.nodes[a], f.nodes[b]
			if !na.alive || !nb.alive || na.paused || nb.paused {
				continue
			}
			if st := f.stateSeenBy(a, b); st != Alive {
				return a + " sees " + b + " as " + st.String()
			}
		}
	}
	return ""
}

func TestFleetJoinsThroughPlatformList(t *testing.T) {
	f := newFleet(1, 3, 2, 2, 1)
	f.run(4 * time.Second)
	if bad := firstDisagreement(f); bad != "" {
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
			killedAt := f.now
			for f.now.Sub(killedAt) < 10*time.Second && !allSuspect(f, victim) {
				f.run(20 * time.Millisecond)
			}
			worst = max(worst, f.now.Sub(killedAt))
		}
		t.Logf("%v VMs: every VM sees a killed one as suspect after at most %v", sizes, worst)
		if worst > 2*time.Second {
			t.Errorf("%v VMs: killed VM suspect only after %v, limit is 2 s", sizes, worst)
		}
	}
}

func allSuspect(f *fleet, victim string) bool {
	return !slices.ContainsFunc(f.order, func(n string) bool {
		return f.nodes[n].alive && f.stateSeenBy(n, victim) == Alive
	})
}

func TestPartitionedDataCentreIsSuspectAndRecovers(t *testing.T) {
	f := newFleet(3, 3, 3, 2)
	f.run(5 * time.Second)
	f.setPartition("dc-0", "dc-2", true)
	f.setPartition("dc-1", "dc-2", true)
	changedAt := f.now
	partitioned := func() bool {
		return f.stateSeenBy("vm-0-0", "vm-2-0") == Suspect && f.stateSeenBy("vm-0-2", "vm-2-1") == Suspect && f.stateSeenBy("vm-2-0", "vm-0-1") == Suspect
	}
	for !partitioned() && f.now.Sub(changedAt) < 20*time.Second {
		f.run(50 * time.Millisecond)
	}
	t.Logf("partitioned data centre suspect after %v", f.now.Sub(changedAt))
	f.run(10 * time.Second)
	if !partitioned() || f.stateSeenBy("vm-0-0", "vm-1-0") != Alive || f.stateSeenBy("vm-2-0", "vm-2-1") != Alive {
		t.Fatal("wrong states during the partition")
	}
	f.setPartition("dc-0", "dc-2", false)
	f.setPartition("dc-1", "dc-2", false)
	changedAt = f.now
	for firstDisagreement(f) != "" && f.now.Sub(changedAt) < 20*time.Second {
		f.run(50 * time.Millisecond)
	}
	t.Logf("all VMs alive in all views %v after the partition healed", f.now.Sub(changedAt))
	if bad := firstDisagreement(f); bad != "" {
		t.Fatal(bad)
	}
}

func TestGoneRequiresListRemovalRestartOrLeave(t *testing.T) {
	f := newFleet(4, 3, 2)
	f.run(5 * time.Second)
	f.kill("vm-0-1")
	f.run(10 * time.Second)
	if st := f.stateSeenBy("vm-0-0", "vm-0-1"); st != Suspect {
		t.Fatalf("unreachable VM on the list is %v, want suspect", st)
	}
	f.listed["vm-0-1"] = false
	f.run(10 * time.Second)
	if st := f.stateSeenBy("vm-1-0", "vm-0-1"); st != Gone {
		t.Fatalf("unreachable VM removed from the list is %v, want gone", st)
	}
	f.listed["vm-0-2"] = false
	f.run(40 * time.Second)
	if st := f.stateSeenBy("vm-0-0", "vm-0-2"); st != Alive {
		t.Fatalf("reachable VM missing from the stale list is %v, want alive", st)
	}
	old := f.nodes["vm-1-1"].vm
	f.kill("vm-1-1")
	f.start("vm-1-1")
	f.run(3 * time.Second)
	if !f.nodes["vm-0-0"].view.IsGone(old) || f.stateSeenBy("vm-0-0", "vm-1-1") != Alive {
		t.Fatal("the later incarnation did not replace the earlier one")
	}
	f.kill("vm-1-1")
	f.start("vm-1-1")
	f.listed["vm-1-1"] = false
	f.run(6 * time.Second)
	f.kill("vm-1-1")
	f.run(10 * time.Second)
	if st := f.stateSeenBy("vm-0-0", "vm-1-1"); st != Suspect {
		t.Fatalf("unreachable VM that was never listed is %v, want suspect", st)
	}
	f.step(f.nodes["vm-0-2"], leave{})
	f.run(time.Second)
	if st := f.stateSeenBy("vm-1-0", "vm-0-2"); st != Leaving {
		t.Fatalf("leaving VM is %v, want leaving", st)
	}
}

// TestPausedVMSuspectsNoOthers pauses a VM with calls in flight and checks that it is alive again
// after the pause and that its stale calls make no other VM suspect.
func TestPausedVMSuspectsNoOthers(t *testing.T) {
	for _, sizes := range [][]int{{2}, {4, 2}} {
		var slowest time.Duration
		for seed := range uint64(6) {
			f := newFleet(seed, sizes...)
			f.run(5 * time.Second)
			paused := f.nodes["vm-0-1"]
			for len(paused.m.pendingCalls) == 0 {
				f.run(500 * time.Microsecond)
			}
			paused.paused = true
			f.run(30 * time.Second)
			if st := f.stateSeenBy("vm-0-0", "vm-0-1"); st != Suspect {
				t.Fatalf("paused VM is %v, want suspect", st)
			}
			f.resume("vm-0-1")
			recoveredAfter := time.Duration(-1)
			for resumedAt := f.now; f.now.Sub(resumedAt) < 4*time.Second; f.run(20 * time.Millisecond) {
				for _, name := range f.order {
					if st := f.stateSeenBy("vm-0-1", name); st != Alive {
						t.Fatalf("%v VMs, seed %d: the resumed VM sees %s as %v", sizes, seed, name, st)
					}
				}
				if f.stateSeenBy(f.order[len(f.order)-1], "vm-0-1") == Alive && f.stateSeenBy("vm-0-0", "vm-0-1") == Alive && recoveredAfter < 0 {
					recoveredAfter = f.now.Sub(resumedAt)
				}
			}
			if recoveredAfter < 0 {
				t.Fatalf("%v VMs, seed %d: the resumed VM is not alive again", sizes, seed)
			}
			slowest = max(slowest, recoveredAfter)
		}
		t.Logf("%v VMs: alive in all views at most %v after the pause", sizes, slowest)
	}
}

// TestMovedVMIsReachableWhileListIsStale restarts a VM at another address, which the list shows
// only later. In all other cases the list's address must take precedence over the reported one.
func TestMovedVMIsReachableWhileListIsStale(t *testing.T) {
	f := newFleet(5, 5, 2)
	moved := f.nodes["vm-0-1"]
	direct, proxy := moved.addr, netip.MustParseAddrPort("10.9.9.9:1")
	moved.listAddr = proxy
	f.run(4 * time.Second)
	if m, _ := f.nodes["vm-1-0"].view.Find("vm-0-1"); m.PeerAddress != proxy {
		t.Fatalf("the list has address %v, the view %v", proxy, m.PeerAddress)
	}
	moved.listAddr = direct
	f.run(50 * time.Second)
	if bad := firstDisagreement(f); bad != "" {
		t.Fatal(bad)
	}
	f.kill("vm-0-1")
	moved.addr = netip.MustParseAddrPort("10.0.0.200:7000")
	f.start("vm-0-1")
	for range 2 {
		f.run(3 * time.Second)
		for checkStart := f.now; f.now.Sub(checkStart) < 40*time.Second; f.run(100 * time.Millisecond) {
			if bad := firstDisagreement(f); bad != "" {
				t.Fatal(bad)
			}
		}
		moved.listAddr = moved.addr
	}
}

func TestRecordOrderIsTotalAndLaterIncarnationWins(t *testing.T) {
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
				if r.supersedes(&best) {
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
		if a.hasAny(FlagGone) && b.hasAny(FlagGone) && a.VM == b.VM {
			return
		}
		if key(a) != key(b) {
			t.Fatalf("the order of the records changes the result: %+v and %+v", a, b)
		}
	})
}

// TestFleetConvergesAfterRandomFaults runs a fleet with random faults. No VM that is running and
// listed may be Gone in another VM's view, a later incarnation must always replace an earlier one,
// and after the faults all views must agree.
func TestFleetConvergesAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "dc0"), rapid.IntRange(1, 3).Draw(t, "dc1"), 1)
		f.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
		f.duplicateRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeat")
		anyVM := rapid.SampledFrom(f.order)
		anyDataCentre := rapid.SampledFrom([]string{"dc-0", "dc-1", "dc-2"})
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond) },
			"kill": func(t *rapid.T) { f.kill(anyVM.Draw(t, "vm")) },
			"restart": func(t *rapid.T) {
				name := anyVM.Draw(t, "vm")
				f.kill(name)
				f.start(name)
			},
			"replace": func(t *rapid.T) {
				name := anyVM.Draw(t, "vm")
				f.kill(name)
				f.listed[name] = false
			},
			"pause":  func(t *rapid.T) { f.nodes[anyVM.Draw(t, "vm")].paused = true },
			"resume": func(t *rapid.T) { f.resume(anyVM.Draw(t, "vm")) },
			"cut":    func(t *rapid.T) { f.setPartition(anyDataCentre.Draw(t, "a"), anyDataCentre.Draw(t, "b"), true) },
			"heal":   func(*rapid.T) { clear(f.partitioned) },
			"list":   func(t *rapid.T) { f.listAvailable = rapid.Bool().Draw(t, "up") },
			"": func(t *rapid.T) {
				for _, observer := range f.order {
					for _, target := range f.order {
						n := f.nodes[target]
						if f.nodes[observer].alive && n.alive && f.listed[target] && f.nodes[observer].view.IsGone(n.vm) {
							t.Fatalf("%s sees the running VM %s as gone", observer, target)
						}
					}
				}
			},
		})
		f.lossRate, f.listAvailable = 0, true
		clear(f.partitioned)
		for _, name := range f.order {
			f.resume(name)
		}
		f.run(25 * time.Second)
		if bad := firstDisagreement(f); bad != "" {
			t.Fatal(bad)
		}
		for _, name := range f.order {
			if n := f.nodes[name]; n.alive && n.m.table.sum() != f.nodes[firstAlive(f)].m.table.sum() {
				t.Fatalf("records of %s and %s differ: %v and %v", name, firstAlive(f), records(n), records(f.nodes[firstAlive(f)]))
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
