package keys

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/replication"
)

const (
	// writeLimit bounds the tries of one change of the key list.
	writeLimit = 3 * time.Second
	// writePause is the wait after the platform did not answer.
	writePause = 150 * time.Millisecond
	// storeWait is how long Withdraw waits for the platform once the VMs have answered.
	storeWait = 500 * time.Millisecond
	// storePeriod is the time between looks for withdrawals that the platform lacks.
	storePeriod = 500 * time.Millisecond
	// storeRetry is that time after the platform did not answer.
	storeRetry = 3 * time.Second
	// storeStagger keeps the bridges of all data centres from writing at one moment.
	storeStagger = 200 * time.Millisecond
	// askLimit bounds the questions of Confirmations.
	askLimit = 3 * time.Second
)

// Key is one line of the key list.
type Key struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Withdrawn bool   `json:"withdrawn"`
}

// Withdrawal says how far a withdrawal has come.
type Withdrawal struct {
	// Confirmed names the data centres where every VM seen live refuses the key, Unconfirmed
	// the others.
	Confirmed   []string `json:"confirmed"`
	Unconfirmed []string `json:"unconfirmed"`
	// Stored says that the platform holds the withdrawal. When it does not, the VMs go on
	// trying to store it.
	Stored bool `json:"stored"`
}

// Give makes a key for a workspace and tells all VMs. The secret is shown once and never
// stored. It fails as NotFound for an unknown workspace, and as OutcomeUnknown when the
// platform stayed silent about the write; the key named in that error may then be withdrawn.
func (s *Service) Give(ctx context.Context, workspace string) (id, secret string, err error) {
	if snap := s.opts.Configuration(); snap != nil {
		if _, ok := snap.Document.Workspaces[workspace]; !ok {
			return "", "", fault.New(fault.NotFound, "name a workspace of the configuration", "no workspace "+workspace)
		}
	}
	id, secret = rand.Text(), rand.Text()+rand.Text()
	e := entry{Hash: HashSecret(secret), Workspace: workspace}
	err = s.update(ctx, func(l list) bool {
		if _, ok := l.Keys[id]; ok {
			return false
		}
		l.Keys[id] = e
		return true
	})
	s.opts.Log.Info("key given", zap.String("key", id), zap.String("workspace", workspace), zap.Error(err))
	if err != nil {
		return "", "", fault.Wrap(err, fault.KindOf(err), "try again; withdraw key "+id+" if it shows in the list", "give a key")
	}
	return id, secret, nil
}

// Withdraw stops a key for good, on this VM before it returns. It tells every VM directly,
// writes to the platform beside that, and says how far both came. With the platform away the
// withdrawal stays known as long as any VM that heard of it lives, and is stored when the
// platform is back. It fails as NotFound only for a key that the platform does not know.
func (s *Service) Withdraw(ctx context.Context, keyID string) (Withdrawal, error) {
	if err := s.checkExists(ctx, keyID); err != nil {
		return Withdrawal{}, err
	}
	s.mu.Lock()
	s.origin[keyID] = true
	s.mu.Unlock()
	s.step(withdrawals{[]string{keyID}})
	stored := make(chan bool, 1)
	s.spawn(func(ctx context.Context) { stored <- s.store(ctx, []string{keyID}) == nil })
	var w Withdrawal
	w.Confirmed, w.Unconfirmed = s.tellFleet(ctx, keyID)
	select {
	case w.Stored = <-stored:
	case <-time.After(storeWait):
	case <-ctx.Done():
	}
	return w, nil
}

// checkExists refuses a key that neither this VM nor the platform knows. With the platform
// away an unknown key passes, as withdrawing one that never was does no harm.
func (s *Service) checkExists(ctx context.Context, keyID string) error {
	s.mu.RLock()
	_, listed := s.ring.keys[keyID]
	known := listed || s.ring.isPending(keyID)
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
	return fault.New(fault.NotFound, "take the id from the list of keys", "no key "+keyID)
}

func (s *Service) readList(ctx context.Context) (list, uint64, error) {
	l := list{Keys: map[string]entry{}}
	obj, err := s.opts.Store.Get(ctx, ObjectName)
	if fault.Is(err, fault.NotFound) {
		return l, 0, nil
	}
	if err != nil {
		return l, 0, err
	}
	if err := json.Unmarshal(obj.Value, &l); err != nil {
		return l, 0, fault.Wrap(err, fault.Malformed, "restore the keys object", "key list")
	}
	if l.Keys == nil {
		l.Keys = map[string]entry{}
	}
	return l, obj.Version, nil
}

// update makes an idempotent change to the list, reading and writing until it shows or the
// time is over. change reports false when the list shows it already.
func (s *Service) update(ctx context.Context, change func(list) bool) error {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	open := false
	for {
		err := s.updateOnce(ctx, change)
		if err == nil {
			return nil
		}
		retry := fault.Is(err, fault.Conflict)
		if fault.Is(err, fault.OutcomeUnknown) {
			open, retry = true, true
		}
		retry = retry || fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Timeout) || fault.Is(err, fault.Overloaded)
		if !retry {
			return err
		}
		if !fault.Is(err, fault.Conflict) && !pause(ctx, writePause) || ctx.Err() != nil {
			return unwritten(err, open)
		}
	}
}

func unwritten(err error, open bool) error {
	if open {
		return fault.Wrap(err, fault.OutcomeUnknown, "read the list when the platform answers", "the key list may have been changed", fault.WithExecution(fault.ExecutionUnknown))
	}
	return fault.Wrap(err, fault.Unavailable, "try again when the platform answers", "the key list was not changed")
}

func (s *Service) updateOnce(ctx context.Context, change func(list) bool) error {
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
	prune(l, time.Now())
	value, err := json.Marshal(l)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "report this", "encode keys")
	}
	if len(value) > objectstore.MaxValueBytes {
		return fault.New(fault.TooLarge, "withdraw unused keys; they leave the list after a week", "the key list is full")
	}
	next, err := s.opts.Store.Put(ctx, ObjectName, value, version)
	if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Timeout) || fault.Is(err, fault.Internal) {
		return fault.Wrap(err, fault.OutcomeUnknown, "read the list", "write keys")
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

// prune drops keys that were withdrawn long ago.
func prune(l list, now time.Time) {
	for id, e := range l.Keys {
		if e.Withdrawn && now.Sub(time.Unix(e.WithdrawnAt, 0)) > PruneAge {
			delete(l.Keys, id)
		}
	}
}

// store writes withdrawals to the platform. A key that the list lacks is written as withdrawn
// too: that outdates any write of it that may still be on its way.
func (s *Service) store(ctx context.Context, ids []string) error {
	return s.update(ctx, markWithdrawn(ids))
}

func markWithdrawn(ids []string) func(list) bool {
	return func(l list) bool {
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

// storeLoop stores withdrawals that the platform lacks: those made here, and on bridges all.
func (s *Service) storeLoop(ctx context.Context) {
	wait := storePeriod
	for pause(ctx, wait) {
		wait = storePeriod
		if len(s.unstored()) == 0 || !pause(ctx, s.stagger()) {
			continue
		}
		ids := s.unstored()
		if len(ids) == 0 {
			continue
		}
		tryCtx, cancel := context.WithTimeout(ctx, writeLimit)
		err := s.updateOnce(tryCtx, markWithdrawn(ids))
		cancel()
		s.opts.Log.Info("withdrawals stored", zap.Strings("keys", ids), zap.Error(err))
		if err != nil && !fault.Is(err, fault.Conflict) {
			wait = storeRetry
		}
	}
}

func (s *Service) unstored() []string {
	_, bridge := s.opts.Directory.View().BridgeRank()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.origin {
		if !s.ring.isPending(id) {
			delete(s.origin, id)
		}
	}
	return slices.DeleteFunc(s.ring.pendingIDs(), func(id string) bool { return !bridge && !s.origin[id] })
}

func (s *Service) stagger() time.Duration {
	v := s.opts.Directory.View()
	rank, bridge := v.BridgeRank()
	if !bridge {
		return 0
	}
	place := slices.Index(v.DataCentres(), v.Self.DataCentre)
	return time.Duration(place*membership.BridgesPerDataCentre+rank) * storeStagger
}

// List gives the keys sorted by id, as this VM knows them.
func (s *Service) List(_ context.Context) ([]Key, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.ring.known {
		return nil, errUnread
	}
	out := make([]Key, 0, len(s.ring.keys))
	for id, e := range s.ring.keys {
		out = append(out, Key{ID: id, Workspace: e.Workspace, Withdrawn: s.ring.withdrawn(id)})
	}
	slices.SortFunc(out, func(a, b Key) int { return cmp.Compare(a.ID, b.ID) })
	return out, nil
}

// Confirmations asks every VM seen live whether it refuses a key, and the platform whether it
// holds the withdrawal.
func (s *Service) Confirmations(keyID string) Withdrawal {
	ctx, cancel := context.WithTimeout(context.Background(), askLimit)
	defer cancel()
	v := s.opts.Directory.View()
	missing := map[string]int{}
	live := map[string]int{s.opts.Self.DataCentre: 1}
	if len(s.known([]string{keyID})) == 0 {
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
