package replication

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
)

var entriesGen = rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.SampledFrom([]string{"1", "2", "3"}), 0, 4)

func TestComposedDeltasMatchDirectDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewTable(1, entriesGen.Draw(t, "a"))
		b := NewTable(4, entriesGen.Draw(t, "b"))
		c := NewTable(5, entriesGen.Draw(t, "c"))
		raw, err := EncodeDelta(compose(Diff(a, b), Diff(b, c)))
		if err != nil {
			t.Fatal(err)
		}
		d, err := DecodeDelta(raw)
		if err != nil {
			t.Fatal(err)
		}
		got, err := a.Apply(d)
		if err != nil {
			t.Fatal(err)
		}
		if got.Version != 5 || got.Sum != c.Sum || !maps.Equal(got.Entries, c.Entries) {
			t.Fatalf("composed delta yields %+v, want %+v", got, c)
		}
		if _, err := b.Apply(d); err == nil {
			t.Fatal("delta was applied to a table of another version")
		}
		encoded, err := EncodeTable(c)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeTable(encoded)
		if err != nil || decoded.Sum != c.Sum || decoded.Version != c.Version || !maps.Equal(decoded.Entries, c.Entries) {
			t.Fatalf("table decoded as %+v, %v", decoded, err)
		}
	})
}

func FuzzDecodeDelta(f *testing.F) {
	raw, err := EncodeDelta(Diff(NewTable(1, map[string]string{"a": "1", "b": "2"}), NewTable(2, map[string]string{"a": "3"})))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	base := NewTable(1, map[string]string{"a": "1", "b": "2"})
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := DecodeDelta(raw)
		if err != nil {
			return
		}
		got, err := base.Apply(d)
		if err == nil && (got.Version <= base.Version || got.Sum != sumOf(got.Entries)) {
			t.Fatalf("applying %+v returned an inconsistent table %+v", d, got)
		}
		if !maps.Equal(base.Entries, map[string]string{"a": "1", "b": "2"}) {
			t.Fatal("Apply modified the base table")
		}
	})
}

func FuzzDecodeTable(f *testing.F) {
	raw, err := EncodeTable(NewTable(3, map[string]string{"a": "1"}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := DecodeTable(raw)
		if err == nil && got.Sum != sumOf(got.Entries) {
			t.Fatal("decoded table has a wrong checksum")
		}
	})
}

// simulation models several machines, the versions accepted by the platform and the messages in
// flight.
type simulation struct {
	t        *rapid.T
	now      clock.Instant
	machines []*Machine
	accepted []*Table
	inFlight []func()
}

func vmAt(i int) ident.VM { return ident.VM{Name: fmt.Sprint(i), Incarnation: 1} }

func (s *simulation) step(i int, in Input) {
	m := s.machines[i]
	before := m.Version()
	for _, a := range m.Step(s.now, in) {
		s.perform(i, a)
	}
	if m.Version() < before {
		s.t.Fatalf("VM %d went back from version %d to %d", i, before, m.Version())
	}
	if m.table != nil && !slices.ContainsFunc(s.accepted, func(t *Table) bool {
		return t.Version == m.table.Version && maps.Equal(t.Entries, m.table.Entries)
	}) {
		s.t.Fatalf("VM %d holds a table that the platform never accepted: %+v", i, m.table)
	}
}

func (s *simulation) perform(i int, a Action) {
	switch a := a.(type) {
	case Push:
		for j := range s.machines {
			if j != i {
				s.inFlight = append(s.inFlight, func() { s.step(j, DeltaReceived{From: vmAt(i), Delta: a.Delta, Origin: FromPush}) })
			}
		}
	case Pull:
		j := slices.IndexFunc(s.machines, func(m *Machine) bool { return a.From == vmAt(slices.Index(s.machines, m)) })
		s.inFlight = append(s.inFlight, func() {
			s.step(j, PullRequested{Since: a.Since, Respond: func(d *Delta, t *Table, _ uint64) {
				s.inFlight = append(s.inFlight, func() { s.step(i, PullCompleted{From: a.From, Delta: d, Table: t}) })
			}})
		})
	case Reply:
		a.Send()
	}
}

func TestVersionsIncreaseAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 5).Draw(t, "vms")
		sim := &simulation{t: t, now: 1, accepted: []*Table{NewTable(0, nil)}}
		for range count {
			sim.machines = append(sim.machines, &Machine{})
		}
		vm := rapid.IntRange(0, count-1)
		deliver := func(t *rapid.T, i int, duplicate bool) {
			message := sim.inFlight[i]
			if !duplicate {
				sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
			}
			message()
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				last := sim.accepted[len(sim.accepted)-1]
				sim.accepted = append(sim.accepted, NewTable(last.Version+rapid.Uint64Range(1, 3).Draw(t, "by"), entriesGen.Draw(t, "entries")))
			},
			"read": func(t *rapid.T) {
				sim.step(vm.Draw(t, "vm"), TableRead{rapid.SampledFrom(sim.accepted).Draw(t, "table")})
			},
			"lead": func(t *rapid.T) { sim.step(vm.Draw(t, "vm"), LeaderChanged{rapid.Bool().Draw(t, "leads")}) },
			"observe": func(t *rapid.T) {
				i, j := vm.Draw(t, "vm"), vm.Draw(t, "peer")
				if i != j {
					sim.step(i, VersionObserved{From: vmAt(j), Version: sim.machines[j].Version()})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(sim.inFlight) == 0 {
					t.Skip()
				}
				deliver(t, rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "message"), rapid.Bool().Draw(t, "again"))
			},
			"lose": func(t *rapid.T) {
				if len(sim.inFlight) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "message")
				sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
			},
			"wait":    func(*rapid.T) { sim.now = sim.now.Add(PullTimeout) },
			"restart": func(t *rapid.T) { sim.machines[vm.Draw(t, "vm")] = &Machine{} },
		})
		last := sim.accepted[len(sim.accepted)-1]
		sim.inFlight = nil
		sim.step(0, TableRead{last})
		for range 2 * count {
			sim.now = sim.now.Add(PullTimeout)
			for i := range sim.machines {
				sim.step(i, VersionObserved{From: vmAt((i + count - 1) % count), Version: sim.machines[(i+count-1)%count].Version()})
			}
			for len(sim.inFlight) > 0 {
				deliver(t, 0, false)
			}
		}
		for i, m := range sim.machines {
			if m.Version() != last.Version {
				t.Fatalf("VM %d has version %d, latest accepted is %d", i, m.Version(), last.Version)
			}
		}
	})
}
