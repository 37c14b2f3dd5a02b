package keys

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/eventloop"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/jsonsplit"
	"github.com/fulmartide/fulmartide/internal/replication"
)

// WithdrawnRetention is how long a withdrawn key stays in the key list. A pruned key remains rejected, because
// keys missing from the list are rejected too. IDs are random, so a pruned ID is never reused.
const WithdrawnRetention = 7 * 24 * time.Hour

// keyEntry is the stored form of one key.
type keyEntry struct {
	Hash      Hash   `json:"hash,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	// WithdrawnAt is the Unix time in seconds.
	WithdrawnAt int64 `json:"withdrawn_at,omitempty"`
}

// keyList is the stored form of the key list.
type keyList struct {
	Keys map[string]keyEntry
	// unreadable holds the entries that this build cannot read. They are written back as they are, and name no key.
	unreadable map[string]json.RawMessage
}

var _ json.Marshaler = keyList{}

func newKeyList() keyList {
	return keyList{Keys: map[string]keyEntry{}, unreadable: map[string]json.RawMessage{}}
}

// decodeKeyList decodes a stored key list. One without a list of keys is no key list.
func decodeKeyList(value []byte) (keyList, error) {
	l := newKeyList()
	members, err := jsonsplit.Members(value)
	if err != nil {
		return l, fault.Wrap(err, fault.Malformed, remedyKeyList, "cannot decode key list")
	}
	entries, err := jsonsplit.Members(members["keys"])
	if err != nil {
		return l, fault.Wrap(err, fault.Malformed, remedyKeyList, "cannot decode the keys of the key list")
	}
	for id, raw := range entries {
		var e keyEntry
		if json.Unmarshal(raw, &e) != nil {
			l.unreadable[id] = raw
			continue
		}
		l.Keys[id] = e
	}
	return l, nil
}

const remedyKeyList = "write a valid key list to the platform object keys"

// MarshalJSON implements json.Marshaler.
func (l keyList) MarshalJSON() ([]byte, error) {
	entries := make(map[string]any, len(l.Keys)+len(l.unreadable))
	for id, raw := range l.unreadable {
		if json.Valid(raw) { // what no reader understands is dropped
			entries[id] = raw
		}
	}
	for id, e := range l.Keys {
		entries[id] = e
	}
	return json.Marshal(map[string]any{"keys": entries})
}

// keyringInput is an input of the keyring.
type keyringInput interface{ isKeyringInput() }

type (
	// keyListRead is a version of the key list that was read.
	keyListRead struct{ table *replication.Table }
	// withdrawalsReceived contains withdrawals received from another VM or an operator.
	withdrawalsReceived struct{ ids []string }
)

func (keyListRead) isKeyringInput()         {}
func (withdrawalsReceived) isKeyringInput() {}

// keyringAction is an action of the keyring.
type keyringAction interface{ isKeyringAction() }

type (
	// abortRequests aborts the running requests of keys.
	abortRequests struct{ ids []string }
	// withdrawalsAdded reports withdrawals that this VM did not know before.
	withdrawalsAdded struct{ ids []string }
)

func (abortRequests) isKeyringAction()    {}
func (withdrawalsAdded) isKeyringAction() {}

// keyring is a deterministic state machine that decides which keys are valid. A withdrawal stays in
// the pending set until the key list contains it. No version of the list can undo a withdrawal.
type keyring struct {
	loaded  bool
	version uint64
	keys    map[string]keyEntry
	byHash  map[Hash]Identity
	pending map[string]clock.Instant
}

var _ eventloop.Machine[keyringInput, keyringAction] = (*keyring)(nil)

func newKeyring() *keyring {
	return &keyring{keys: map[string]keyEntry{}, byHash: map[Hash]Identity{}, pending: map[string]clock.Instant{}}
}

// Step processes one input.
func (k *keyring) Step(now clock.Instant, in keyringInput) []keyringAction {
	switch in := in.(type) {
	case keyListRead:
		return k.read(now, in.table)
	case withdrawalsReceived:
		return k.withdraw(now, in.ids)
	}
	return nil
}

func (k *keyring) read(now clock.Instant, t *replication.Table) []keyringAction {
	if k.loaded && t.Version <= k.version {
		return nil
	}
	before := k.keys
	k.loaded, k.version = true, t.Version
	k.keys, k.byHash = decodeKeys(t.Entries)
	var removed []string
	for id, e := range before {
		if !e.Withdrawn && !k.active(id) && !k.isPending(id) {
			removed = append(removed, id)
		}
	}
	k.prunePending(now)
	return abortAction(removed)
}

func decodeKeys(entries map[string]string) (map[string]keyEntry, map[Hash]Identity) {
	keys := make(map[string]keyEntry, len(entries))
	byHash := make(map[Hash]Identity, len(entries))
	for id, raw := range entries {
		var e keyEntry
		if err := json.Unmarshal([]byte(raw), &e); err != nil {
			// A key whose entry cannot be decoded is rejected like a missing one.
			continue
		}
		keys[id] = e
		if !e.Withdrawn {
			byHash[e.Hash] = Identity{KeyID: id, Workspace: e.Workspace}
		}
	}
	return keys, byHash
}

func abortAction(ids []string) []keyringAction {
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return []keyringAction{abortRequests{ids}}
}

// prunePending removes from the pending set the withdrawals that the list contains, and those that are
// old enough to have been pruned from the list.
func (k *keyring) prunePending(now clock.Instant) {
	for id, since := range k.pending {
		e, ok := k.keys[id]
		if ok && e.Withdrawn || !ok && now.Sub(since) > WithdrawnRetention {
			delete(k.pending, id)
		}
	}
}

func (k *keyring) withdraw(now clock.Instant, ids []string) []keyringAction {
	var added []string
	for _, id := range ids {
		if k.isPending(id) || k.keys[id].Withdrawn {
			continue
		}
		k.pending[id] = now
		added = append(added, id)
	}
	if len(added) == 0 {
		return nil
	}
	slices.Sort(added)
	return []keyringAction{abortRequests{added}, withdrawalsAdded{added}}
}

// active reports whether the list contains the key and does not mark it as withdrawn.
func (k *keyring) active(id string) bool {
	e, ok := k.keys[id]
	return ok && !e.Withdrawn
}

func (k *keyring) isPending(id string) bool {
	_, ok := k.pending[id]
	return ok
}

// withdrawn reports whether the key is known to be withdrawn.
func (k *keyring) withdrawn(id string) bool { return k.isPending(id) || k.keys[id].Withdrawn }

// mustAbort reports whether running requests of the key must be aborted.
func (k *keyring) mustAbort(id string) bool {
	return k.isPending(id) || k.loaded && !k.active(id)
}

var (
	errNotReady   = fault.New(fault.Unavailable, "try again in a second, or at another VM", "this VM has not yet loaded the key list or the pending withdrawals of a peer")
	errUnknownKey = fault.New(fault.Unauthenticated, "use a key that was issued by an operator and has not been withdrawn", "unknown or withdrawn key")
)

func (k *keyring) identify(h Hash) (Identity, error) {
	id, ok := k.byHash[h]
	switch {
	case ok && !k.isPending(id.KeyID):
		return id, nil
	case !k.loaded:
		return Identity{}, errNotReady
	}
	return Identity{}, errUnknownKey
}

// pendingIDs returns the withdrawals that are not in the list, sorted.
func (k *keyring) pendingIDs() []string { return slices.Sorted(maps.Keys(k.pending)) }

// pendingHash returns an order-independent hash of the pending set, 0 if it is empty.
func (k *keyring) pendingHash() uint64 {
	var sum uint64
	for id := range k.pending {
		sum ^= xxhash.Sum64String(id)
	}
	return sum
}
