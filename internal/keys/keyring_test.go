package keys

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/replication"
)

// model consists of several keyrings, the versions of the stored list, and messages that may be
// delayed, reordered or duplicated.
type model struct {
	now       clock.Instant
	keyrings  []*keyring
	lists     []keyList
	issued    []string
	messages  []message
	withdrawn []map[string]bool
	aborts    []map[string]int
}

// message is a message in transit to a VM with withdrawals, a version of the list, or both.
type message struct {
	to    int
	ids   []string
	table *replication.Table
}

func (m *model) latest() keyList { return m.lists[len(m.lists)-1] }

func (m *model) write(change func(keyList)) {
	next := keyList{Keys: maps.Clone(m.latest().Keys)}
	change(next)
	m.lists = append(m.lists, next)
}

func (m *model) table(version int) *replication.Table {
	entries, err := m.lists[version].entries()
	if err != nil {
		panic(err)
	}
	return replication.NewTable(uint64(version), entries)
}

func (m *model) step(t *rapid.T, vm int, in keyringInput) {
	for _, a := range m.keyrings[vm].Step(m.now, in) {
		if c, ok := a.(abortRequests); ok {
			for _, id := range c.ids {
				m.aborts[vm][id]++
			}
		}
	}
	if received, ok := in.(withdrawalsReceived); ok {
		for _, id := range received.ids {
			m.withdrawn[vm][id] = true
		}
	}
	m.check(t, vm)
}

// deliver processes a message in the same order as a replica: withdrawals before the table.
func (m *model) deliver(t *rapid.T, msg message) {
	if len(msg.ids) > 0 {
		m.step(t, msg.to, withdrawalsReceived{msg.ids})
	}
	if msg.table != nil {
		m.step(t, msg.to, keyListRead{msg.table})
	}
}

// check verifies that a VM never again accepts a key whose withdrawal it received or read from the
// list, and that a withdrawal stays pending until the VM's list contains it.
func (m *model) check(t *rapid.T, vm int) {
	r := m.keyrings[vm]
	for id := range m.withdrawn[vm] {
		if _, err := r.identify(HashSecret(id)); err == nil {
			t.Fatalf("VM %d accepts key %s after receiving its withdrawal", vm, id)
		}
		if !r.mustAbort(id) {
			t.Fatalf("VM %d would not abort requests of key %s", vm, id)
		}
		if !r.isPending(id) && !r.keys[id].Withdrawn {
			t.Fatalf("VM %d lost the withdrawal of key %s", vm, id)
		}
		if m.aborts[vm][id] > 1 {
			t.Fatalf("VM %d aborted the requests of key %s %d times", vm, id, m.aborts[vm][id])
		}
	}
	for id, e := range r.keys {
		if e.Withdrawn {
			m.withdrawn[vm][id] = true
		}
	}
}

func TestWithdrawnKeysAreNeverAcceptedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "vms")
		m := &model{now: 1, lists: []keyList{{Keys: map[string]keyEntry{}}}}
		for range n {
			m.keyrings = append(m.keyrings, newKeyring())
			m.withdrawn = append(m.withdrawn, map[string]bool{})
			m.aborts = append(m.aborts, map[string]int{})
		}
		vm := rapid.IntRange(0, n-1)
		withdrawnIDs := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"give": func(*rapid.T) {
				id := fmt.Sprintf("k%d", len(m.issued))
				m.issued = append(m.issued, id)
				m.write(func(l keyList) { l.Keys[id] = keyEntry{Hash: HashSecret(id), Workspace: "w"} })
			},
			"withdraw": func(t *rapid.T) {
				if len(m.issued) == 0 {
					t.Skip()
				}
				id := rapid.SampledFrom(m.issued).Draw(t, "key")
				withdrawnIDs[id] = true
				m.step(t, vm.Draw(t, "vm"), withdrawalsReceived{[]string{id}})
			},
			"store": func(t *rapid.T) {
				ids := m.keyrings[vm.Draw(t, "vm")].pendingIDs()
				m.write(func(l keyList) {
					for _, id := range ids {
						e := l.Keys[id]
						e.Withdrawn = true
						l.Keys[id] = e
					}
				})
			},
			"read": func(t *rapid.T) {
				version := rapid.IntRange(0, len(m.lists)-1).Draw(t, "version")
				m.messages = append(m.messages, message{to: vm.Draw(t, "vm"), table: m.table(version)})
			},
			"tell": func(t *rapid.T) {
				from := m.keyrings[vm.Draw(t, "from")]
				msg := message{to: vm.Draw(t, "to"), ids: from.pendingIDs()}
				if rapid.Bool().Draw(t, "table") && from.loaded {
					msg.table = m.table(int(from.version))
				}
				m.messages = append(m.messages, msg)
			},
			"deliver": func(t *rapid.T) {
				if len(m.messages) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
				msg := m.messages[i]
				if !rapid.Bool().Draw(t, "again") {
					m.messages = slices.Delete(m.messages, i, i+1)
				}
				m.deliver(t, msg)
			},
			"restart": func(t *rapid.T) {
				i, peer := vm.Draw(t, "vm"), vm.Draw(t, "peer")
				if i == peer {
					t.Skip()
				}
				m.keyrings[i] = newKeyring()
				m.withdrawn[i], m.aborts[i] = map[string]bool{}, map[string]int{}
				m.messages = slices.DeleteFunc(m.messages, func(msg message) bool { return msg.to == i })
				from := m.keyrings[peer]
				msg := message{to: i, ids: from.pendingIDs()}
				if from.loaded {
					msg.table = m.table(int(from.version))
				}
				m.deliver(t, msg)
				for id := range m.withdrawn[peer] {
					if _, err := m.keyrings[i].identify(HashSecret(id)); err == nil {
						t.Fatalf("VM started from a peer accepts key %s, which the peer rejects", id)
					}
				}
			},
			"wait": func(t *rapid.T) { m.now = m.now.Add(time.Hour) },
		})
		// After all VMs have exchanged withdrawals and read a list that contains them, no withdrawal may
		// be pending.
		for range 2 {
			for _, from := range m.keyrings {
				for to := range m.keyrings {
					m.deliver(t, message{to: to, ids: from.pendingIDs()})
				}
			}
		}
		ids := m.keyrings[0].pendingIDs()
		m.write(func(l keyList) {
			for _, id := range ids {
				e := l.Keys[id]
				e.Withdrawn = true
				l.Keys[id] = e
			}
		})
		for i, r := range m.keyrings {
			m.deliver(t, message{to: i, table: m.table(len(m.lists) - 1)})
			if r.pendingHash() != 0 || len(r.pending) != 0 {
				t.Fatalf("VM %d still has pending withdrawals %v", i, r.pendingIDs())
			}
			for _, id := range m.issued {
				_, err := r.identify(HashSecret(id))
				if (err == nil) == m.latest().Keys[id].Withdrawn {
					t.Fatalf("VM %d, key %s: identify returned %v, list entry %+v", i, id, err, m.latest().Keys[id])
				}
			}
		}
	})
}

func TestPrunedKeysStayRejectedAndListFitsObject(t *testing.T) {
	l := keyList{Keys: map[string]keyEntry{}}
	const workspaces, perWorkspace = 680, 8
	for i := range workspaces * perWorkspace {
		id := fmt.Sprintf("%026d", i)
		l.Keys[id] = keyEntry{Hash: HashSecret(id), Workspace: fmt.Sprintf("workspace-%04d", i%workspaces)}
	}
	raw, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d keys of %d workspaces take %d bytes, %d each", len(l.Keys), workspaces, len(raw), len(raw)/len(l.Keys))
	if len(raw) > 1<<20 {
		t.Fatal("key list exceeds the maximum object size")
	}
	id := fmt.Sprintf("%026d", 7)
	e := l.Keys[id]
	e.Withdrawn, e.WithdrawnAt = true, time.Now().Add(-WithdrawnRetention-time.Minute).Unix()
	l.Keys[id] = e
	pruneWithdrawn(l, time.Now())
	if _, ok := l.Keys[id]; ok {
		t.Fatal("expired withdrawal was not pruned")
	}
	entries, err := l.entries()
	if err != nil {
		t.Fatal(err)
	}
	r := newKeyring()
	r.Step(1, keyListRead{replication.NewTable(2, entries)})
	if _, err := r.identify(HashSecret(id)); err == nil || !r.mustAbort(id) {
		t.Fatal("pruned key is accepted")
	}
}
