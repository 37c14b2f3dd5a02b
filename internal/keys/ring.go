package keys

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/duty"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/replication"
)

// PruneAge is how long a withdrawn key stays in the key list. After it the list names the key
// no more, which refuses it as well. Ids are random, so a pruned one never comes back.
const PruneAge = 7 * 24 * time.Hour

// entry is one key in the platform's object.
type entry struct {
	Hash      Hash   `json:"hash,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	// WithdrawnAt is in seconds since the Unix epoch.
	WithdrawnAt int64 `json:"withdrawn_at,omitempty"`
}

// list is the platform's object.
type list struct {
	Keys map[string]entry `json:"keys"`
}

// ringInput is one input of the ring.
type ringInput interface{ isRingInput() }

type (
	// listRead is a later version of the key list.
	listRead struct{ table *replication.Table }
	// withdrawals are keys that another VM or an operator says are withdrawn.
	withdrawals struct{ ids []string }
)

func (listRead) isRingInput()    {}
func (withdrawals) isRingInput() {}

// ringAction is one action of the ring.
type ringAction interface{ isRingAction() }

type (
	// cutKeys ends the requests that run under these keys.
	cutKeys struct{ ids []string }
	// tellOthers passes on withdrawals that were news to this VM.
	tellOthers struct{ ids []string }
)

func (cutKeys) isRingAction()    {}
func (tellOthers) isRingAction() {}

// ring decides which keys are good. A withdrawal is in the pending set until the key list
// shows it; the set only grows by hearing of withdrawals, and no list can undo one.
type ring struct {
	known   bool
	version uint64
	keys    map[string]entry
	byHash  map[Hash]Identity
	pending map[string]clock.Instant
}

var _ duty.Machine[ringInput, ringAction] = (*ring)(nil)

func newRing() *ring {
	return &ring{keys: map[string]entry{}, byHash: map[Hash]Identity{}, pending: map[string]clock.Instant{}}
}

// Step takes one input.
func (r *ring) Step(now clock.Instant, in ringInput) []ringAction {
	switch in := in.(type) {
	case listRead:
		return r.read(now, in.table)
	case withdrawals:
		return r.withdraw(now, in.ids)
	}
	return nil
}

func (r *ring) read(now clock.Instant, t *replication.Table) []ringAction {
	if r.known && t.Version <= r.version {
		return nil
	}
	before := r.keys
	r.known, r.version = true, t.Version
	r.keys, r.byHash = decodeKeys(t.Entries)
	var cut []string
	for id, e := range before {
		if !e.Withdrawn && !r.listed(id) && !r.isPending(id) {
			cut = append(cut, id)
		}
	}
	r.settlePending(now)
	return cutAction(cut)
}

func decodeKeys(entries map[string]string) (map[string]entry, map[Hash]Identity) {
	keys := make(map[string]entry, len(entries))
	byHash := make(map[Hash]Identity, len(entries))
	for id, raw := range entries {
		var e entry
		if err := json.Unmarshal([]byte(raw), &e); err != nil {
			// An unreadable entry is refused, as one that is not there.
			continue
		}
		keys[id] = e
		if !e.Withdrawn {
			byHash[e.Hash] = Identity{KeyID: id, Workspace: e.Workspace}
		}
	}
	return keys, byHash
}

func cutAction(ids []string) []ringAction {
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return []ringAction{cutKeys{ids}}
}

// settlePending forgets the withdrawals that the list itself shows for good.
func (r *ring) settlePending(now clock.Instant) {
	for id, since := range r.pending {
		e, ok := r.keys[id]
		if ok && e.Withdrawn || !ok && now.Sub(since) > PruneAge {
			delete(r.pending, id)
		}
	}
}

func (r *ring) withdraw(now clock.Instant, ids []string) []ringAction {
	var fresh []string
	for _, id := range ids {
		if r.isPending(id) || r.keys[id].Withdrawn {
			continue
		}
		r.pending[id] = now
		fresh = append(fresh, id)
	}
	if len(fresh) == 0 {
		return nil
	}
	slices.Sort(fresh)
	return []ringAction{cutKeys{fresh}, tellOthers{fresh}}
}

// listed reports whether the list names a key that is not withdrawn.
func (r *ring) listed(id string) bool {
	e, ok := r.keys[id]
	return ok && !e.Withdrawn
}

func (r *ring) isPending(id string) bool {
	_, ok := r.pending[id]
	return ok
}

// withdrawn reports whether a key is known to be withdrawn.
func (r *ring) withdrawn(id string) bool { return r.isPending(id) || r.keys[id].Withdrawn }

// refused reports whether a request under the key must not go on.
func (r *ring) refused(id string) bool {
	return r.isPending(id) || r.known && !r.listed(id)
}

var (
	errUnread  = fault.New(fault.Unavailable, "try again in a second, or at another VM", "this VM has not read the key list yet")
	errUnknown = fault.New(fault.Unauthenticated, "send a key that an operator has given and not withdrawn", "unknown or withdrawn key")
)

func (r *ring) identify(h Hash) (Identity, error) {
	id, ok := r.byHash[h]
	switch {
	case ok && !r.isPending(id.KeyID):
		return id, nil
	case !r.known:
		return Identity{}, errUnread
	}
	return Identity{}, errUnknown
}

// pendingIDs gives the withdrawals that the list does not show, sorted.
func (r *ring) pendingIDs() []string { return slices.Sorted(maps.Keys(r.pending)) }

// pendingSum is a hash of the pending set in any order, 0 when it is empty.
func (r *ring) pendingSum() uint64 {
	var sum uint64
	for id := range r.pending {
		sum ^= xxhash.Sum64String(id)
	}
	return sum
}
