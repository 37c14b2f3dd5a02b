package activeconfig

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

func inEra(era uint64, e traffic.Endpoints) traffic.Endpoints {
	e.Era = era
	for i := range e.List {
		e.List[i].Version = e.Version
	}
	return e
}

// TestTableOfRestoredStore checks that a lower version of a later era replaces the table, and that a
// late response of the earlier era does not.
func TestTableOfRestoredStore(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, last := newTestState(c)
	st.ApplyEndpoints(inEra(1, table(90, "a", "b")), c.now, "store")
	st.ApplyEndpoints(inEra(2, table(40, "a")), c.now, "store")
	if got := names(last); got != "ab" {
		t.Errorf("right after the restoration the endpoints are %s, want ab", got)
	}
	c.now = c.now.Add(testReregisterTime)
	st.ApplyEndpoints(inEra(1, table(95, "a", "b", "c")), c.now, "store")
	st.ApplyEndpoints(inEra(2, table(41, "a")), c.now, "store")
	if got := names(last); got != "a" {
		t.Errorf("endpoints %s, want a", got)
	}
	if v := st.Versions()[DocumentEndpoints]; v.Era != 2 || v.Number != 41 {
		t.Errorf("table version %+v, want 41 of era 2", v)
	}
}

// TestRestoredStoreForgetsDrain checks that an endpoint that was leaving is not used again when the
// backup lists it as ready, nor one that was gone.
func TestRestoredStoreForgetsDrain(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, last := newTestState(c)
	leaving := inEra(1, table(90, "a", "b"))
	leaving.List[1].Leaving = true
	st.ApplyEndpoints(leaving, c.now, "store")
	backup := inEra(2, table(40, "a", "b", "gone"))
	st.ApplyEndpoints(backup, c.now, "store")
	if got := names(last); got != "ab" || !last.List[1].Leaving {
		t.Errorf("endpoints %+v, want a, and b leaving", last.List)
	}
	again := inEra(2, table(41, "a", "b", "gone")) // all write their entries again
	st.ApplyEndpoints(again, c.now.Add(time.Second), "store")
	if got := names(last); got != "abgone" || !last.List[1].Leaving {
		t.Errorf("endpoints %+v, want all three, and b leaving", last.List)
	}
}

// TestLateTableOfRestoredStore guards against endpoints that are gone and are used again, because a table with the entry of the backup arrives
// after that has expired in the store.
func TestLateTableOfRestoredStore(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, last := newTestState(c)
	st.ApplyEndpoints(inEra(1, table(90, "a")), c.now, "store")
	st.ApplyEndpoints(inEra(2, table(40, "a", "gone")), c.now, "store")
	readAt := c.now.Add(time.Second)
	c.now = c.now.Add(time.Hour)
	late := inEra(2, table(41, "a", "gone"))
	late.List[1].Version = 40
	st.ApplyEndpoints(late, readAt, "vm")
	if got := names(last); got != "a" {
		t.Errorf("endpoints %s, want a", got)
	}
}

// TestEndpointThatIsGoneAfterRestoreIsNotUsedAgain guards against an endpoint of the backup that is used again because it was known when the store was
// restored, although another VM's table has shown since that it is gone.
func TestEndpointThatIsGoneAfterRestoreIsNotUsedAgain(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, last := newTestState(c)
	st.ApplyEndpoints(inEra(1, table(90, "a", "b")), c.now, "store")
	st.ApplyEndpoints(inEra(2, table(40, "a", "b")), c.now, "store")
	c.now = c.now.Add(testReregisterTime)
	st.ApplyEndpoints(inEra(2, table(41, "a")), c.now, "vm")
	if got := names(last); got != "a" {
		t.Fatalf("endpoints %s, want a", got)
	}
	backup := inEra(2, table(42, "a", "b"))
	backup.List[1].Version = 40
	st.ApplyEndpoints(backup, c.now, "store")
	if got := names(last); got != "a" {
		t.Errorf("endpoints %s, want a", got)
	}
	st.ApplyEndpoints(inEra(2, table(43, "a", "b")), c.now, "store")
	if got := names(last); got != "ab" {
		t.Errorf("endpoints %s after b has written its entry again, want ab", got)
	}
}

// TestConfigurationOfRestoredStore checks that the newest configuration stays in force until
// operators write it again, and that the rewritten one replaces it also with other contents.
func TestConfigurationOfRestoredStore(t *testing.T) {
	st, _ := newTestState(&fakeClock{})
	for _, tc := range []struct {
		raw  string
		era  uint64
		want uint64
	}{{"7", 1, 7}, {"5", 2, 7}, {"07", 2, 7}, {"8", 1, 8}, {"8", 2, 8}} {
		if err := st.ApplyConfiguration([]byte(tc.raw), tc.era, "store"); err != nil {
			t.Fatal(err)
		}
		if got := st.Configuration().Version; got != tc.want {
			t.Errorf("after %s of era %d: version %d, want %d", tc.raw, tc.era, got, tc.want)
		}
	}
	if v := st.Versions()[DocumentConfiguration]; v.Era != 2 {
		t.Errorf("configuration of era %d, want 2", v.Era)
	}
}

// modelEntry is an endpoint's entry in the model of the store.
type modelEntry struct {
	leaving bool
	version uint64
}

// storeContents is what the model of the store holds and loses when it is restored.
type storeContents struct {
	version uint64
	config  uint64
	entries map[string]modelEntry
}

func (s storeContents) clone() storeContents {
	s.entries = maps.Clone(s.entries)
	return s
}

// restoreModel is a store, the endpoints that write to it, and the VMs that read it.
type restoreModel struct {
	clock *fakeClock
	era   uint64
	store storeContents
	// backup is a copy of the store's contents, at most backupAge old.
	backup   storeContents
	backupAt clock.Instant
	restored clock.Instant
	// config is the operators' newest configuration, endpoints what the live endpoints say of
	// themselves: true if they are leaving.
	config    uint64
	endpoints map[string]bool
	nextID    int
	vms       []*State
	tables    []*traffic.Endpoints
	// leaving holds what each VM has seen leaving, gone what it has seen removed, config the
	// version it had in force.
	leaving []map[string]bool
	gone    []map[string]bool
	inForce []uint64
}

const (
	modelVMs       = 3
	modelBackupAge = 5 * time.Second
	// modelExpiry is the time after which the store removes the entry of an endpoint that has ended.
	modelExpiry = 3 * time.Second
)

func newRestoreModel() *restoreModel {
	m := &restoreModel{clock: &fakeClock{now: clock.Instant(time.Hour)}, era: 1, config: 1, endpoints: map[string]bool{"e0": false}, nextID: 1}
	m.store = storeContents{version: 100, entries: map[string]modelEntry{}}
	m.restored = m.clock.now.Add(-time.Hour)
	m.rewriteAll()
	m.takeBackup()
	for range modelVMs {
		st, last := newTestState(m.clock)
		m.vms, m.tables = append(m.vms, st), append(m.tables, last)
		m.leaving, m.gone, m.inForce = append(m.leaving, map[string]bool{}), append(m.gone, map[string]bool{}), append(m.inForce, 0)
	}
	for i := range m.vms {
		m.read(i)
	}
	return m
}

func (m *restoreModel) write(id string) {
	m.store.version++
	m.store.entries[id] = modelEntry{leaving: m.endpoints[id], version: m.store.version}
}

// rewriteAll writes what the operators and the live endpoints would write again.
func (m *restoreModel) rewriteAll() {
	m.store.version++
	m.store.config = m.config
	for _, id := range slices.Sorted(maps.Keys(m.endpoints)) {
		m.write(id)
	}
}

func (m *restoreModel) takeBackup() { m.backup, m.backupAt = m.store.clone(), m.clock.now }

func (m *restoreModel) restore() {
	m.era++
	m.store = m.backup.clone()
	m.restored = m.clock.now
}

// expire removes the entries of endpoints that have ended.
func (m *restoreModel) expire() {
	if m.clock.now.Sub(m.restored) < modelExpiry {
		return
	}
	for id := range m.store.entries {
		if _, live := m.endpoints[id]; !live {
			delete(m.store.entries, id)
			m.store.version++
		}
	}
}

func (m *restoreModel) read(vm int) {
	e := traffic.Endpoints{Era: m.era, Version: m.store.version}
	for _, id := range slices.Sorted(maps.Keys(m.store.entries)) {
		entry := m.store.entries[id]
		e.List = append(e.List, traffic.Endpoint{ID: traffic.EndpointID{Name: id}, Leaving: entry.leaving, Version: entry.version})
	}
	_ = m.vms[vm].ApplyConfiguration([]byte(strconv.FormatUint(m.store.config, 10)), m.era, "store")
	m.vms[vm].ApplyEndpoints(e, m.clock.now, "store")
}

// check compares what each VM uses with what it knew before.
func (m *restoreModel) check(t *rapid.T) {
	for i, st := range m.vms {
		if v := st.Configuration().Version; v < m.inForce[i] {
			t.Fatalf("VM %d went back from configuration %d to %d", i, m.inForce[i], v)
		}
		m.inForce[i] = st.Configuration().Version
		listed := map[string]bool{}
		for _, e := range m.tables[i].List {
			listed[e.ID.Name] = true
			if m.leaving[i][e.ID.Name] && !e.Leaving {
				t.Fatalf("VM %d uses endpoint %s again, which is leaving", i, e.ID.Name)
			}
			m.leaving[i][e.ID.Name] = m.leaving[i][e.ID.Name] || e.Leaving
			if _, live := m.endpoints[e.ID.Name]; m.gone[i][e.ID.Name] && !live {
				t.Fatalf("VM %d uses endpoint %s again, which is gone", i, e.ID.Name)
			}
		}
		for id := range m.leaving[i] {
			m.gone[i][id] = !listed[id]
		}
	}
}

// TestRestoredStoreModel restores the store from backups of up to 5 s at random, while operators write
// configurations, endpoints come, leave and end, and VMs read the store or each other. No VM goes back
// to an older configuration, uses an endpoint again that it knew to be leaving or gone, or fails to
// follow the store in the end.
func TestRestoredStoreModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRestoreModel()
		pick := func(name string) int { return rapid.IntRange(0, modelVMs-1).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				if m.clock.now.Sub(m.backupAt) > modelBackupAge {
					m.takeBackup()
				}
				m.expire()
			},
			"operators write": func(*rapid.T) {
				m.config++
				m.store.version++
				m.store.config = m.config
			},
			"endpoint comes": func(*rapid.T) {
				id := fmt.Sprint("e", m.nextID)
				m.nextID++
				m.endpoints[id] = false
				m.write(id)
			},
			"endpoint changes": func(t *rapid.T) {
				ids := slices.Sorted(maps.Keys(m.endpoints))
				if len(ids) == 0 {
					return
				}
				id := rapid.SampledFrom(ids).Draw(t, "id")
				switch rapid.IntRange(0, 2).Draw(t, "change") {
				case 0:
					m.write(id)
				case 1:
					m.endpoints[id] = true
					m.write(id)
				default:
					delete(m.endpoints, id)
					delete(m.store.entries, id)
					m.store.version++
				}
			},
			"store is restored": func(*rapid.T) { m.restore() },
			"all write again":   func(*rapid.T) { m.rewriteAll() },
			"VM reads":          func(*rapid.T) { m.read(pick("vm")) },
			"VMs exchange":      func(t *rapid.T) { receiveNewer(t, m.vms[pick("to")], m.vms[pick("from")]) },
			"":                  m.check,
		})
		for range 20 {
			m.rewriteAll()
			m.clock.now = m.clock.now.Add(time.Second)
			m.expire()
			for i, st := range m.vms {
				receiveNewer(t, st, m.vms[(i+modelVMs-1)%modelVMs])
				if st.Age() >= ReadAge(i) {
					m.read(i)
				}
			}
			m.check(t)
		}
		for i, st := range m.vms {
			if st.Configuration().Version != m.config || len(m.tables[i].List) != len(m.endpoints) {
				t.Fatalf("VM %d has configuration %d and %d endpoints, want %d and %d",
					i, st.Configuration().Version, len(m.tables[i].List), m.config, len(m.endpoints))
			}
		}
	})
}
