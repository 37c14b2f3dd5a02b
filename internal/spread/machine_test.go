package spread

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
)

var drawEntries = rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.SampledFrom([]string{"1", "2", "3"}), 0, 4)

func TestDeltasComposeToTheSameTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewTable(1, drawEntries.Draw(t, "a"))
		b := NewTable(4, drawEntries.Draw(t, "b"))
		c := NewTable(5, drawEntries.Draw(t, "c"))
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
			t.Fatalf("got %+v, want %+v", got, c)
		}
		if _, err := b.Apply(d); err == nil {
			t.Fatal("a delta was applied to another base")
		}
		whole, err := EncodeTable(c)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeTable(whole)
		if err != nil || again.Sum != c.Sum || again.Version != c.Version || !maps.Equal(again.Entries, c.Entries) {
			t.Fatalf("table came back as %+v, %v", again, err)
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
			t.Fatalf("%+v led to %+v", d, got)
		}
		if !maps.Equal(base.Entries, map[string]string{"a": "1", "b": "2"}) {
			t.Fatal("the base was changed")
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
			t.Fatal("wrong sum")
		}
	})
}

// net is several machines, the platform's versions and messages on their way.
type net struct {
	t        *rapid.T
	now      clock.Instant
	machines []*Machine
	tables   []*Table
	mail     []func()
}

func vmAt(i int) ident.VM { return ident.VM{Name: fmt.Sprint(i), Incarnation: 1} }

func (n *net) step(i int, in Input) {
	m := n.machines[i]
	before := m.Version()
	for _, a := range m.Step(n.now, in) {
		n.perform(i, a)
	}
	if m.Version() < before {
		n.t.Fatalf("VM %d went from version %d to %d", i, before, m.Version())
	}
	if m.table != nil && !slices.ContainsFunc(n.tables, func(t *Table) bool {
		return t.Version == m.table.Version && maps.Equal(t.Entries, m.table.Entries)
	}) {
		n.t.Fatalf("VM %d holds a table that was never accepted: %+v", i, m.table)
	}
}

func (n *net) perform(i int, a Action) {
	switch a := a.(type) {
	case Push:
		for j := range n.machines {
			if j != i {
				n.mail = append(n.mail, func() { n.step(j, Pushed{From: vmAt(i), Delta: a.Delta, Origin: FromPush}) })
			}
		}
	case Pull:
		j := slices.IndexFunc(n.machines, func(m *Machine) bool { return a.From == vmAt(slices.Index(n.machines, m)) })
		n.mail = append(n.mail, func() {
			n.step(j, Asked{Have: a.Have, Answer: func(d *Delta, t *Table, _ uint64) {
				n.mail = append(n.mail, func() { n.step(i, Pulled{From: a.From, Delta: d, Table: t}) })
			}})
		})
	case Reply:
		a.Call()
	}
}

func TestVersionsOnlyGrowAndReachAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 5).Draw(t, "vms")
		n := &net{t: t, now: 1, tables: []*Table{NewTable(0, nil)}}
		for range count {
			n.machines = append(n.machines, &Machine{})
		}
		vm := rapid.IntRange(0, count-1)
		deliver := func(t *rapid.T, i int, again bool) {
			do := n.mail[i]
			if !again {
				n.mail = slices.Delete(n.mail, i, i+1)
			}
			do()
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				last := n.tables[len(n.tables)-1]
				n.tables = append(n.tables, NewTable(last.Version+rapid.Uint64Range(1, 3).Draw(t, "by"), drawEntries.Draw(t, "entries")))
			},
			"read": func(t *rapid.T) { n.step(vm.Draw(t, "vm"), Read{rapid.SampledFrom(n.tables).Draw(t, "table")}) },
			"lead": func(t *rapid.T) { n.step(vm.Draw(t, "vm"), Lead{rapid.Bool().Draw(t, "leads")}) },
			"observe": func(t *rapid.T) {
				i, j := vm.Draw(t, "vm"), vm.Draw(t, "peer")
				if i != j {
					n.step(i, Observed{From: vmAt(j), Version: n.machines[j].Version()})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(n.mail) == 0 {
					t.Skip()
				}
				deliver(t, rapid.IntRange(0, len(n.mail)-1).Draw(t, "message"), rapid.Bool().Draw(t, "again"))
			},
			"lose": func(t *rapid.T) {
				if len(n.mail) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(n.mail)-1).Draw(t, "message")
				n.mail = slices.Delete(n.mail, i, i+1)
			},
			"wait":    func(*rapid.T) { n.now = n.now.Add(PullTimeout) },
			"restart": func(t *rapid.T) { n.machines[vm.Draw(t, "vm")] = &Machine{} },
		})
		last := n.tables[len(n.tables)-1]
		n.mail = nil
		n.step(0, Read{last})
		for range 2 * count {
			n.now = n.now.Add(PullTimeout)
			for i := range n.machines {
				n.step(i, Observed{From: vmAt((i + count - 1) % count), Version: n.machines[(i+count-1)%count].Version()})
			}
			for len(n.mail) > 0 {
				deliver(t, 0, false)
			}
		}
		for i, m := range n.machines {
			if m.Version() != last.Version {
				t.Fatalf("VM %d has version %d, accepted is %d", i, m.Version(), last.Version)
			}
		}
	})
}
