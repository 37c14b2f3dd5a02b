package activeconfig

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// testEvacuationTime is the time within which an evacuation must be in force.
const testEvacuationTime = 5 * time.Second

// evacuating returns a table of endpoint a with knowledge of evacuations.
func evacuating(version uint64, dataCentres ...string) traffic.Endpoints {
	e := table(version, "a")
	e.Evacuated, e.EvacuationsKnown = dataCentres, true
	return e
}

// TestEvacuationsOfTables guards against tables that lose an evacuation which is in force, and against evacuations that
// stay after they were lifted.
func TestEvacuationsOfTables(t *testing.T) {
	type step struct {
		e     traffic.Endpoints
		began time.Duration // start of the read, from the last step
		from  string
		want  string
	}
	old := func(version uint64) traffic.Endpoints { return table(version, "a") }
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"evacuation without a change of endpoints", []step{{evacuating(7), 0, fromStore, ""}, {evacuating(8, "x"), 0, fromStore, "x"}}},
		{"lifted", []step{{evacuating(7, "x", "y"), 0, fromStore, "x y"}, {evacuating(8, "y"), 0, fromStore, "y"}, {evacuating(9), 0, "vm", ""}}},
		{"an older table lifts nothing", []step{{evacuating(7, "x"), 0, fromStore, "x"}, {evacuating(6), 0, "vm", "x"}}},
		{"a table of the old build lifts nothing", []step{{evacuating(7, "x"), 0, fromStore, "x"}, {old(8), 0, "vm", "x"}, {evacuating(9), 0, "vm", ""}}},
		{"a read that began before the evacuation was known lifts nothing", []step{
			{evacuating(7), 0, fromStore, ""},
			{evacuating(8, "x"), 0, fromStore, "x"},
			{evacuating(9), -2 * time.Second, "vm", "x"},
			{evacuating(10), 0, fromStore, ""},
		}},
		{"an equally old table of another VM lifts nothing", []step{{evacuating(7, "x"), 0, fromStore, "x"}, {evacuating(7), -2 * time.Second, "vm", "x"}}},
		{"restored store without the evacuation", []step{{inEra(1, evacuating(90, "x")), 0, fromStore, "x"}, {inEra(2, evacuating(40)), 0, fromStore, "x"}, {inEra(2, evacuating(41)), 0, "vm", "x"}}},
		{"restored store, evacuation written again and lifted", []step{
			{inEra(1, evacuating(90, "x")), 0, fromStore, "x"},
			{inEra(2, evacuating(40)), 0, fromStore, "x"},
			{inEra(2, evacuating(42, "x")), 0, fromStore, "x"},
			{inEra(2, evacuating(44)), 0, fromStore, ""},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &fakeClock{now: clock.Instant(time.Hour)}
			st, last := newTestState(c)
			for i, s := range tc.steps {
				c.now = c.now.Add(time.Second)
				st.ApplyEndpoints(s.e, c.now.Add(s.began), s.from)
				if got := strings.Join(last.Evacuated, " "); got != s.want {
					t.Errorf("step %d: %q is evacuated, want %q", i, got, s.want)
				}
			}
		})
	}
}

// TestEvacuationLostByRestoredStoreEnds guards against an evacuation that stays for good because it was lifted shortly
// before the store lost its last seconds.
func TestEvacuationLostByRestoredStoreEnds(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, last := newTestState(c)
	st.ApplyEndpoints(inEra(1, evacuating(90, "x")), c.now, fromStore)
	st.ApplyEndpoints(inEra(2, evacuating(40)), c.now.Add(time.Second), "vm")
	c.now = c.now.Add(lostEvacuationTime - time.Millisecond)
	st.Confirm(st.Freshness())
	if len(last.Evacuated) != 1 {
		t.Error("the evacuation ended early")
	}
	c.now = c.now.Add(time.Millisecond)
	st.Confirm(st.Freshness())
	if len(last.Evacuated) != 0 {
		t.Errorf("%v is evacuated still", last.Evacuated)
	}
}

// TestEvacuationNewerThanItsTable guards against an evacuation that stays unknown to a VM whose table has the same
// version: it was written between the two reads of the VM that knows it.
func TestEvacuationNewerThanItsTable(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	reader, _ := newTestState(c)
	other, last := newTestState(c)
	for _, st := range []*State{reader, other} {
		st.ApplyEndpoints(evacuating(8), c.now.Add(-time.Second), fromStore)
	}
	c.now = c.now.Add(time.Second)
	reader.ApplyEndpoints(evacuating(8, "x"), c.now, fromStore)
	receiveNewer(t, other, reader)
	c.now = c.now.Add(ReadAge(0))
	reader.ApplyEndpoints(evacuating(9, "x"), c.now, fromStore)
	receiveNewer(t, other, reader)
	if len(last.Evacuated) != 1 {
		t.Error("the other VM does not know the evacuation")
	}
	before := reader.Versions()[DocumentEndpoints]
	c.now = c.now.Add(ReadAge(0))
	reader.ApplyEndpoints(evacuating(10, "x"), c.now, fromStore)
	if after := reader.Versions()[DocumentEndpoints]; after != before {
		t.Errorf("an unchanged table went from version %v to %v", before, after)
	}
}

// evacuationModel is a store with the evacuation of one data centre, and VMs that learn of it.
type evacuationModel struct {
	clock        *fakeClock
	era, version uint64
	// wanted is set while operators want the evacuation, listed while the store has it.
	wanted, listed bool
	// changed is when the store acknowledged the last change, or operators wrote again what a restored store had lost.
	changed  clock.Instant
	restored clock.Instant
	// rewriteAt is when operators write again, 0 if they need not.
	rewriteAt clock.Instant
	vms       []*modelVM
}

// modelVM is one VM of the model.
type modelVM struct {
	*State
	last *traffic.Endpoints
	// refused is set while the store refuses the VM. inTouch is since when it does not.
	refused bool
	inTouch clock.Instant
	// alone is set while the VM has no connection to others.
	alone bool
	// reading is a read that has got the endpoints but not the evacuations yet, arriving a table on its way from another VM.
	reading  *traffic.Endpoints
	began    clock.Instant
	arriving *traffic.Endpoints
	asOf     clock.Instant
	// known is set while the VM knows the evacuation, knew if it learned of the present one.
	known, knew bool
	retry       clock.Instant
}

func newEvacuationModel(n int) *evacuationModel {
	m := &evacuationModel{clock: &fakeClock{now: clock.Instant(time.Hour)}, era: 1, version: 100}
	m.changed, m.restored = m.clock.now.Add(-time.Hour), m.clock.now.Add(-time.Hour)
	for range n {
		vm := &modelVM{}
		m.vms = append(m.vms, vm)
		m.start(vm)
	}
	return m
}

func (m *evacuationModel) start(vm *modelVM) {
	st, last := newTestState(m.clock)
	*vm = modelVM{State: st, last: last, refused: vm.refused, alone: vm.alone, inTouch: m.clock.now}
}

func (m *evacuationModel) set(wanted bool) {
	for _, vm := range m.vms {
		vm.knew = vm.knew && wanted
	}
	m.wanted, m.changed = wanted, m.clock.now
	if m.listed != wanted {
		m.listed = wanted
		m.version++
	}
	m.rewriteAt = 0
}

// restore loses the last change, which operators write again a little later.
func (m *evacuationModel) restore(listed bool, rewrite time.Duration) {
	m.era++
	m.version -= min(m.version-1, 20)
	m.listed, m.restored, m.rewriteAt = listed, m.clock.now, m.clock.now.Add(rewrite)
}

// step advances time by 100 ms: reads that were begun end, due ones begin, and VMs exchange tables.
func (m *evacuationModel) step(t *rapid.T) {
	m.clock.now = m.clock.now.Add(100 * time.Millisecond)
	if m.rewriteAt != 0 && !m.clock.now.Before(m.rewriteAt) {
		m.set(m.wanted)
	}
	if rapid.Bool().Draw(t, "other object changes") {
		m.version++
	}
	for rank, vm := range m.vms {
		m.stepVM(t, rank, vm)
	}
	m.check(t)
}

func (m *evacuationModel) stepVM(t *rapid.T, rank int, vm *modelVM) {
	if vm.reading != nil && !rapid.Bool().Draw(t, "evacuations are slow") {
		e := *vm.reading
		vm.reading = nil
		if !vm.refused && e.Era == m.era {
			if m.listed {
				e.Evacuated = []string{"x"}
			}
			vm.ApplyEndpoints(e, vm.began, fromStore)
		}
	}
	if vm.reading == nil && vm.Age() >= ReadAge(rank) && !m.clock.now.Before(vm.retry) {
		vm.retry = m.clock.now.Add(minRetryPause)
		if !vm.refused {
			e := inEra(m.era, evacuating(m.version))
			vm.reading, vm.began = &e, m.clock.now
		}
	}
	if vm.arriving != nil {
		vm.ApplyEndpoints(*vm.arriving, vm.asOf, "vm")
		vm.arriving = nil
	}
	for i, from := range m.vms {
		if i == rank || vm.alone || from.alone || !from.hasEndpoints() {
			continue
		}
		version := from.Versions()[DocumentEndpoints]
		vm.Confirm(from.Freshness())
		if vm.NeedsVersion(DocumentEndpoints, version) {
			e := *from.last
			e.List, e.EvacuationsLostFor = slices.Clone(e.List), from.evacuations.lostFor(m.clock.now)
			vm.arriving, vm.asOf = &e, m.clock.now.Add(-from.Age())
		}
	}
}

func (m *evacuationModel) check(t *rapid.T) {
	now := m.clock.now
	for i, vm := range m.vms {
		known := slices.Contains(vm.last.Evacuated, "x")
		if vm.knew && !known && m.wanted {
			t.Fatalf("VM %d has forgotten the evacuation", i)
		}
		vm.knew = m.wanted && (vm.knew || known && !vm.known)
		vm.known = known
		since := max(m.changed, vm.inTouch)
		if vm.refused || m.rewriteAt != 0 || now.Sub(since) <= testEvacuationTime || !vm.hasEndpoints() {
			continue
		}
		if m.wanted && !known {
			t.Fatalf("VM %d does not know the evacuation %s after it could", i, now.Sub(since))
		}
		if !m.wanted && known && now.Sub(m.restored) > lostEvacuationTime+testEvacuationTime {
			t.Fatalf("VM %d still evacuates %s after it could know better", i, now.Sub(since))
		}
	}
}

// TestEvacuationModel checks that VMs in touch with the store know an evacuation within the bound and never forget it
// while it lasts, with slow and refused reads, tables on their way, VMs that start anew or are alone, and a store that is
// restored from a backup without the last change. Two tables may have the same version and differ.
func TestEvacuationModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newEvacuationModel(4)
		pick := func(t *rapid.T) *modelVM { return m.vms[rapid.IntRange(0, len(m.vms)-1).Draw(t, "vm")] }
		wait := func(t *rapid.T) {
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				m.step(t)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": wait, "wait more": wait,
			"operators change the evacuation": func(*rapid.T) { m.set(!m.wanted) },
			"store refuses or takes a VM": func(t *rapid.T) {
				vm := pick(t)
				vm.refused, vm.inTouch = !vm.refused, m.clock.now
			},
			"VM is alone or not": func(t *rapid.T) {
				vm := pick(t)
				vm.alone, vm.inTouch = !vm.alone, m.clock.now
			},
			"VM starts anew": func(t *rapid.T) { m.start(pick(t)) },
			"store is restored": func(t *rapid.T) {
				m.restore(rapid.Bool().Draw(t, "backup has it"), time.Duration(rapid.IntRange(1, 80).Draw(t, "rewrite"))*100*time.Millisecond)
			},
		})
		for range 60 {
			m.step(t)
		}
	})
}

// TestEvacuationsReachVMsOfSeveralBuilds guards against a table that passes through a VM of a build that does not know
// evacuations and loses them for the VMs after it.
func TestEvacuationsReachVMsOfSeveralBuilds(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, last := newTestState(c)
	st.ApplyEndpoints(evacuating(7, "x"), c.now, fromStore)
	st.ApplyEndpoints(table(8, "a", "b"), c.now.Add(time.Second), "old build")
	started, lastStarted := newTestState(c)
	receiveNewer(t, started, st)
	if fmt.Sprint(last.Evacuated, lastStarted.Evacuated) != "[x] [x]" || lastStarted.EvacuationsKnown {
		t.Errorf("evacuated %v and %v, known %v", last.Evacuated, lastStarted.Evacuated, lastStarted.EvacuationsKnown)
	}
}
