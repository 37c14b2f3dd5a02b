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

// world is several rings, a platform's list and messages that wait, are lost or repeated.
type world struct {
	now     clock.Instant
	rings   []*ring
	lists   []list
	given   []string
	mail    []letter
	refused []map[string]bool
	cuts    []map[string]int
}

// letter is a withdrawal, a list or both on its way to a VM.
type letter struct {
	to    int
	ids   []string
	table *replication.Table
}

func (w *world) latest() list { return w.lists[len(w.lists)-1] }

func (w *world) write(change func(list)) {
	next := list{Keys: maps.Clone(w.latest().Keys)}
	change(next)
	w.lists = append(w.lists, next)
}

func (w *world) table(version int) *replication.Table {
	entries, err := w.lists[version].entries()
	if err != nil {
		panic(err)
	}
	return replication.NewTable(uint64(version), entries)
}

func (w *world) step(t *rapid.T, vm int, in ringInput) {
	for _, a := range w.rings[vm].Step(w.now, in) {
		if c, ok := a.(cutKeys); ok {
			for _, id := range c.ids {
				w.cuts[vm][id]++
			}
		}
	}
	if told, ok := in.(withdrawals); ok {
		for _, id := range told.ids {
			w.refused[vm][id] = true
		}
	}
	w.check(t, vm)
}

// deliver takes a letter in the order in which a replica does: names before the table.
func (w *world) deliver(t *rapid.T, l letter) {
	if len(l.ids) > 0 {
		w.step(t, l.to, withdrawals{l.ids})
	}
	if l.table != nil {
		w.step(t, l.to, listRead{l.table})
	}
}

// check is the promise: what a VM was told is withdrawn it never accepts again, nor what its
// list shows as withdrawn, and it keeps telling of it until its list shows it.
func (w *world) check(t *rapid.T, vm int) {
	r := w.rings[vm]
	for id := range w.refused[vm] {
		if _, err := r.identify(HashSecret(id)); err == nil {
			t.Fatalf("VM %d accepts %s after it was told of its withdrawal", vm, id)
		}
		if !r.refused(id) {
			t.Fatalf("VM %d would not cut a request under %s", vm, id)
		}
		if !r.isPending(id) && !r.keys[id].Withdrawn {
			t.Fatalf("VM %d has forgotten the withdrawal of %s", vm, id)
		}
		if w.cuts[vm][id] > 1 {
			t.Fatalf("VM %d cut %s %d times", vm, id, w.cuts[vm][id])
		}
	}
	for id, e := range r.keys {
		if e.Withdrawn {
			w.refused[vm][id] = true
		}
	}
}

func TestWithdrawnKeysAreNeverAcceptedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "vms")
		w := &world{now: 1, lists: []list{{Keys: map[string]entry{}}}}
		for range n {
			w.rings = append(w.rings, newRing())
			w.refused = append(w.refused, map[string]bool{})
			w.cuts = append(w.cuts, map[string]int{})
		}
		vm := rapid.IntRange(0, n-1)
		withdrawnIDs := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"give": func(*rapid.T) {
				id := fmt.Sprintf("k%d", len(w.given))
				w.given = append(w.given, id)
				w.write(func(l list) { l.Keys[id] = entry{Hash: HashSecret(id), Workspace: "w"} })
			},
			"withdraw": func(t *rapid.T) {
				if len(w.given) == 0 {
					t.Skip()
				}
				id := rapid.SampledFrom(w.given).Draw(t, "key")
				withdrawnIDs[id] = true
				w.step(t, vm.Draw(t, "vm"), withdrawals{[]string{id}})
			},
			"store": func(t *rapid.T) {
				ids := w.rings[vm.Draw(t, "vm")].pendingIDs()
				w.write(func(l list) {
					for _, id := range ids {
						e := l.Keys[id]
						e.Withdrawn = true
						l.Keys[id] = e
					}
				})
			},
			"read": func(t *rapid.T) {
				version := rapid.IntRange(0, len(w.lists)-1).Draw(t, "version")
				w.mail = append(w.mail, letter{to: vm.Draw(t, "vm"), table: w.table(version)})
			},
			"tell": func(t *rapid.T) {
				from := w.rings[vm.Draw(t, "from")]
				l := letter{to: vm.Draw(t, "to"), ids: from.pendingIDs()}
				if rapid.Bool().Draw(t, "table") && from.known {
					l.table = w.table(int(from.version))
				}
				w.mail = append(w.mail, l)
			},
			"deliver": func(t *rapid.T) {
				if len(w.mail) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(w.mail)-1).Draw(t, "letter")
				l := w.mail[i]
				if !rapid.Bool().Draw(t, "again") {
					w.mail = slices.Delete(w.mail, i, i+1)
				}
				w.deliver(t, l)
			},
			"restart": func(t *rapid.T) {
				i, peer := vm.Draw(t, "vm"), vm.Draw(t, "peer")
				if i == peer {
					t.Skip()
				}
				w.rings[i] = newRing()
				w.refused[i], w.cuts[i] = map[string]bool{}, map[string]int{}
				w.mail = slices.DeleteFunc(w.mail, func(l letter) bool { return l.to == i })
				from := w.rings[peer]
				l := letter{to: i, ids: from.pendingIDs()}
				if from.known {
					l.table = w.table(int(from.version))
				}
				w.deliver(t, l)
				for id := range w.refused[peer] {
					if _, err := w.rings[i].identify(HashSecret(id)); err == nil {
						t.Fatalf("a VM that started from a peer accepts %s, which the peer refuses", id)
					}
				}
			},
			"wait": func(t *rapid.T) { w.now = w.now.Add(time.Hour) },
		})
		// Once all have heard each other and the platform has the withdrawals, all sets are empty.
		for range 2 {
			for _, from := range w.rings {
				for to := range w.rings {
					w.deliver(t, letter{to: to, ids: from.pendingIDs()})
				}
			}
		}
		ids := w.rings[0].pendingIDs()
		w.write(func(l list) {
			for _, id := range ids {
				e := l.Keys[id]
				e.Withdrawn = true
				l.Keys[id] = e
			}
		})
		for i, r := range w.rings {
			w.deliver(t, letter{to: i, table: w.table(len(w.lists) - 1)})
			if r.pendingSum() != 0 || len(r.pending) != 0 {
				t.Fatalf("VM %d still holds %v", i, r.pendingIDs())
			}
			for _, id := range w.given {
				_, err := r.identify(HashSecret(id))
				if (err == nil) == w.latest().Keys[id].Withdrawn {
					t.Fatalf("VM %d on %s: %v, list %+v", i, id, err, w.latest().Keys[id])
				}
			}
		}
	})
}

func TestPrunedKeysStayRefusedAndTheListFits(t *testing.T) {
	l := list{Keys: map[string]entry{}}
	const workspaces, perWorkspace = 680, 8
	for i := range workspaces * perWorkspace {
		id := fmt.Sprintf("%026d", i)
		l.Keys[id] = entry{Hash: HashSecret(id), Workspace: fmt.Sprintf("workspace-%04d", i%workspaces)}
	}
	raw, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d keys of %d workspaces take %d bytes, %d each", len(l.Keys), workspaces, len(raw), len(raw)/len(l.Keys))
	if len(raw) > 1<<20 {
		t.Fatal("the key list does not fit one object")
	}
	id := fmt.Sprintf("%026d", 7)
	e := l.Keys[id]
	e.Withdrawn, e.WithdrawnAt = true, time.Now().Add(-PruneAge-time.Minute).Unix()
	l.Keys[id] = e
	prune(l, time.Now())
	if _, ok := l.Keys[id]; ok {
		t.Fatal("an old withdrawal was not pruned")
	}
	entries, err := l.entries()
	if err != nil {
		t.Fatal(err)
	}
	r := newRing()
	r.Step(1, listRead{replication.NewTable(2, entries)})
	if _, err := r.identify(HashSecret(id)); err == nil || !r.refused(id) {
		t.Fatal("a pruned key is accepted")
	}
}
