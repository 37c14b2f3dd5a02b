package keys

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/replication"
)

const (
	// writeTimeout limits one change of the key list, including retries.
	writeTimeout = 3 * time.Second
	// writeRetryDelay is the delay before a retry if the platform did not respond.
	writeRetryDelay = 150 * time.Millisecond
	// storeResultTimeout is how long Withdraw waits for the platform after the VMs have responded.
	storeResultTimeout = 500 * time.Millisecond
	// storePeriod is the interval between checks for withdrawals that the platform has not stored.
	storePeriod = 500 * time.Millisecond
	// storeRetryDelay replaces storePeriod if the platform did not respond.
	storeRetryDelay = 3 * time.Second
	// storeStagger is the delay between the writes of different bridges, which avoids conflicts.
	storeStagger = 200 * time.Millisecond
	// confirmationsTimeout limits the calls made by Confirmations.
	confirmationsTimeout = 3 * time.Second
)

// Key is one entry of the key list.
type Key struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Withdrawn bool   `json:"withdrawn"`
}

// Withdrawal is the progress of a withdrawal.
type Withdrawal struct {
	// Confirmed lists the data centres in which every live VM rejects the key. Unconfirmed lists
	// the others.
	Confirmed   []string `json:"confirmed"`
	Unconfirmed []string `json:"unconfirmed"`
	// Stored is set if the withdrawal is stored in the platform. Otherwise the VMs keep trying to
	// store it.
	Stored bool `json:"stored"`
}

// Create creates a key for a workspace and distributes it to all VMs. The secret is returned only here
// and never stored. Create fails with NotFound for an unknown workspace, and with OutcomeUnknown if
// the platform did not confirm the write; the key named in the error can then be withdrawn.
func (s *Service) Create(ctx context.Context, workspace string) (id, secret string, err error) {
	if snap := s.opts.Configuration(); snap != nil {
		if _, ok := snap.Document.Workspaces[workspace]; !ok {
			return "", "", fault.New(fault.NotFound, "use a workspace of the configuration", "unknown workspace "+workspace)
		}
	}
	id, secret = rand.Text(), rand.Text()+rand.Text()
	e := keyEntry{Hash: HashSecret(secret), Workspace: workspace}
	err = s.updateList(ctx, func(l keyList) bool {
		if _, ok := l.Keys[id]; ok {
			return false
		}
		l.Keys[id] = e
		return true
	})
	s.opts.Log.Info("attempted to create key", zap.String("key", id), zap.String("workspace", workspace), zap.Error(err))
	if err != nil {
		return "", "", fault.Wrap(err, fault.KindOf(err), "try again; withdraw key "+id+" if it appears in the key list", "create key")
	}
	return id, secret, nil
}

// Withdraw permanently withdraws a key. This VM rejects the key before Withdraw returns. Withdraw
// notifies all VMs directly, writes to the platform at the same time, and reports the progress of
// both. While the platform is unavailable, the withdrawal persists as long as any VM that received it
// is running, and is stored once the platform is available again. Withdraw fails with NotFound only
// if the platform does not know the key.
func (s *Service) Withdraw(ctx context.Context, keyID string) (Withdrawal, error) {
	if err := s.checkExists(ctx, keyID); err != nil {
		return Withdrawal{}, err
	}
	s.mu.Lock()
	s.localWithdrawals[keyID] = true
	s.mu.Unlock()
	s.step(withdrawalsReceived{[]string{keyID}})
	stored := make(chan bool, 1)
	s.spawn(func(ctx context.Context) { stored <- s.store(ctx, []string{keyID}) == nil })
	var w Withdrawal
	w.Confirmed, w.Unconfirmed = s.notifyFleet(ctx, keyID)
	select {
	case w.Stored = <-stored:
	case <-time.After(storeResultTimeout):
	case <-ctx.Done():
	}
	return w, nil
}

// checkExists returns an error for a key that neither this VM nor the platform knows. While the
// platform is unavailable it accepts unknown keys, since withdrawing a nonexistent key is harmless.
func (s *Service) checkExists(ctx context.Context, keyID string) error {
	s.mu.RLock()
	_, listed := s.keyring.keys[keyID]
	known := listed || s.keyring.isPending(keyID)
	s.mu.RUnlock()
	if known {
		return nil
	}
	l, _, err := s.readList(ctx)
	if err != nil {
		return nil
	}
	if _, ok := l.Keys[keyID]; ok {
		return nil
	}
	return fault.New(fault.NotFound, "use an ID from the key list", "unknown key "+keyID)
}

func (s *Service) readList(ctx context.Context) (keyList, uint64, error) {
	l := newKeyList()
	obj, err := s.opts.Store.Get(ctx, ObjectName)
	if fault.Is(err, fault.NotFound) {
		return l, 0, nil
	}
	if err != nil {
		return l, 0, err
	}
	l, err = decodeKeyList(obj.Value)
	return l, obj.Version, err
}

// updateList applies an idempotent change to the list with a read-modify-write loop. It returns once the
// change succeeds, writeTimeout has passed or an error occurs that a retry cannot resolve. change returns
// false if the list already contains the change.
func (s *Service) updateList(ctx context.Context, change func(keyList) bool) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	mayBeWritten := false
	for {
		err := s.updateOnce(ctx, change)
		if err == nil {
			return nil
		}
		retry := fault.Is(err, fault.Conflict)
		if fault.Is(err, fault.OutcomeUnknown) {
			mayBeWritten, retry = true, true
		}
		retry = retry || fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Timeout) || fault.Is(err, fault.Overloaded)
		if !retry {
			return err
		}
		if !fault.Is(err, fault.Conflict) && !clock.Sleep(ctx, writeRetryDelay) || ctx.Err() != nil {
			return writeError(err, mayBeWritten)
		}
	}
}

func writeError(err error, mayBeWritten bool) error {
	if mayBeWritten {
		return fault.Wrap(err, fault.OutcomeUnknown, "check the key list once the platform responds", "the key list may have been changed", fault.WithExecution(fault.ExecutionUnknown))
	}
	return fault.Wrap(err, fault.Unavailable, "try again once the platform responds", "the key list was not changed")
}

func (s *Service) updateOnce(ctx context.Context, change func(keyList) bool) error {
	l, version, err := s.readList(ctx)
	if err != nil {
		return err
	}
	before, err := l.entries()
	if err != nil {
		return err
	}
	if !change(l) {
		s.replica.ApplyWrite(ctx, nil, replication.NewTable(version, before))
		return nil
	}
	pruneWithdrawn(l, time.Now())
	value, err := json.Marshal(l)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "report this", "encode key list")
	}
	if len(value) > objectstore.MaxValueBytes {
		return fault.New(fault.TooLarge, "withdraw unused keys; they are removed from the list after a week", "the key list is full")
	}
	next, err := s.opts.Store.Put(ctx, ObjectName, value, version)
	if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Timeout) || fault.Is(err, fault.Internal) {
		return fault.Wrap(err, fault.OutcomeUnknown, "check the key list", "write key list")
	}
	if err != nil {
		return err
	}
	after, err := l.entries()
	if err != nil {
		return err
	}
	s.replica.ApplyWrite(ctx, replication.NewTable(version, before), replication.NewTable(next, after))
	return nil
}

// pruneWithdrawn removes keys that were withdrawn more than WithdrawnRetention ago.
func pruneWithdrawn(l keyList, now time.Time) {
	for id, e := range l.Keys {
		if e.Withdrawn && now.Sub(time.Unix(e.WithdrawnAt, 0)) > WithdrawnRetention {
			delete(l.Keys, id)
		}
	}
}

// store writes withdrawals to the platform. A key that is missing from the list is added as
// withdrawn, so that a delayed write that would add the key fails with a version conflict.
func (s *Service) store(ctx context.Context, ids []string) error {
	return s.updateList(ctx, markWithdrawn(ids))
}

func markWithdrawn(ids []string) func(keyList) bool {
	return func(l keyList) bool {
		changed := false
		for _, id := range ids {
			if e := l.Keys[id]; !e.Withdrawn {
				e.Withdrawn, e.WithdrawnAt = true, time.Now().Unix()
				l.Keys[id] = e
				changed = true
			}
		}
		return changed
	}
}

// storeLoop stores withdrawals that are not yet stored in the platform: those received by this VM from an
// operator and, on bridges, all of them.
func (s *Service) storeLoop(ctx context.Context) {
	wait := storePeriod
	for clock.Sleep(ctx, wait) {
		wait = storePeriod
		if len(s.unstoredIDs()) == 0 || !clock.Sleep(ctx, s.storeDelay()) {
			continue
		}
		ids := s.unstoredIDs()
		if len(ids) == 0 {
			continue
		}
		tryCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := s.updateOnce(tryCtx, markWithdrawn(ids))
		cancel()
		s.opts.Log.Info("attempted to store withdrawals", zap.Strings("keys", ids), zap.Error(err))
		if err != nil && !fault.Is(err, fault.Conflict) {
			wait = storeRetryDelay
		}
	}
}

func (s *Service) unstoredIDs() []string {
	_, bridge := s.opts.Directory.View().BridgeRank()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.localWithdrawals {
		if !s.keyring.isPending(id) {
			delete(s.localWithdrawals, id)
		}
	}
	return slices.DeleteFunc(s.keyring.pendingIDs(), func(id string) bool { return !bridge && !s.localWithdrawals[id] })
}

func (s *Service) storeDelay() time.Duration {
	v := s.opts.Directory.View()
	rank, bridge := v.BridgeRank()
	if !bridge {
		return 0
	}
	position := slices.Index(v.DataCentres(), v.Self.DataCentre)
	return time.Duration(position*membership.BridgesPerDataCentre+rank) * storeStagger
}

// List returns the keys known to this VM, sorted by ID.
func (s *Service) List(_ context.Context) ([]Key, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.keyring.loaded {
		return nil, errNotReady
	}
	out := make([]Key, 0, len(s.keyring.keys))
	for id, e := range s.keyring.keys {
		out = append(out, Key{ID: id, Workspace: e.Workspace, Withdrawn: s.keyring.withdrawn(id)})
	}
	slices.SortFunc(out, func(a, b Key) int { return cmp.Compare(a.ID, b.ID) })
	return out, nil
}

// Confirmations asks all live VMs whether they reject a key, and checks whether the withdrawal is
// stored in the platform.
func (s *Service) Confirmations(keyID string) Withdrawal {
	ctx, cancel := context.WithTimeout(context.Background(), confirmationsTimeout)
	defer cancel()
	v := s.opts.Directory.View()
	missing := map[string]int{}
	live := map[string]int{s.opts.Self.DataCentre: 1}
	if len(s.withdrawnAmong([]string{keyID})) == 0 {
		missing[s.opts.Self.DataCentre]++
	}
	targets := replication.Peers(v, func(membership.Member) bool { return true })
	for _, o := range s.replica.CallAll(ctx, targets, &replication.Message{Op: opConfirm, Names: []string{keyID}}) {
		live[o.Member.DataCentre]++
		if o.Err != nil || len(o.Reply.Names) == 0 {
			missing[o.Member.DataCentre]++
		}
	}
	var w Withdrawal
	for _, dc := range v.DataCentres() {
		if live[dc] > 0 && missing[dc] == 0 {
			w.Confirmed = append(w.Confirmed, dc)
		} else {
			w.Unconfirmed = append(w.Unconfirmed, dc)
		}
	}
	l, _, err := s.readList(ctx)
	w.Stored = err == nil && l.Keys[keyID].Withdrawn
	return w
}
