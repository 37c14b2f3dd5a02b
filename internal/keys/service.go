package keys

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/replication"
)

// startupGrace is how long a VM waits after its start for the pending withdrawals of a peer before
// it accepts keys.
const startupGrace = 1500 * time.Millisecond

// ObjectName is the name of the platform object that contains the key list as JSON.
const ObjectName = "keys"

// Options configure a Service.
type Options struct {
	// Store is the platform's object store.
	Store objectstore.Store
	// Transport sends messages to peers. NewService registers the handler for KindKeys with it.
	Transport *peer.Transport
	// Directory provides the live VMs.
	Directory membership.Directory
	// Clock is the monotonic clock.
	Clock clock.Clock
	// Log receives one line per change. The default discards them.
	Log *zap.Logger
	// Configuration returns the configuration in force, or nil if there is none yet.
	Configuration func() *configuration.Snapshot
	// Self is this VM.
	Self membership.Member
}

// Service authenticates keys on one VM and distributes withdrawals to the others.
type Service struct {
	opts    Options
	replica *replication.Replica
	// confirmedAt is the latest time at which this VM's data centre is known to have received all
	// withdrawals known to the platform or to another data centre, or 0.
	confirmedAt atomic.Int64
	// peerSynced is set once the pending withdrawals of a peer are known. Until then, but no longer
	// than startupGrace, no key is accepted.
	peerSynced atomic.Bool
	startedAt  atomic.Int64
	// exchangeQueue contains the next member with which to exchange pending withdrawals.
	exchangeQueue chan membership.Member
	tasks         sync.WaitGroup

	mu sync.RWMutex
	// ctx is set by Run. Tasks are only added while holding the lock and before stopped is set.
	ctx              context.Context
	stopped          bool
	keyring          *keyring
	callbacks        map[string]map[*withdrawalCallback]struct{}
	localWithdrawals map[string]bool
}

// withdrawalCallback is a function registered by OnWithdrawal.
type withdrawalCallback struct{ onWithdrawn func() }

var _ Authenticator = (*Service)(nil)

// NewService returns a Service and registers its message handler.
func NewService(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Configuration == nil {
		o.Configuration = func() *configuration.Snapshot { return nil }
	}
	s := &Service{
		opts:             o,
		exchangeQueue:    make(chan membership.Member, 1),
		keyring:          newKeyring(),
		callbacks:        map[string]map[*withdrawalCallback]struct{}{},
		localWithdrawals: map[string]bool{},
	}
	s.replica = replication.New(replication.Options{
		Object:             ObjectName,
		Kind:               peer.KindKeys,
		Store:              o.Store,
		Transport:          o.Transport,
		Directory:          o.Directory,
		Clock:              o.Clock,
		Log:                o.Log,
		Decode:             decodeEntries,
		OnAdopt:            func(t *replication.Table, _ replication.Origin) { s.step(keyListRead{t}) },
		OnPlatformResponse: s.setConfirmed,
		Serve:              s.serve,
		AttachedNames:      s.pendingIDs,
		OnAttachedNames:    s.mergePeerPending,
	})
	return s
}

func decodeEntries(value []byte) (map[string]string, error) {
	l, err := decodeKeyList(value)
	if err != nil {
		return nil, err
	}
	return l.entries()
}

func (l keyList) entries() (map[string]string, error) {
	out := make(map[string]string, len(l.Keys))
	for id, e := range l.Keys {
		raw, err := json.Marshal(e)
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "report this", "encode key")
		}
		out[id] = string(raw)
	}
	return out, nil
}

// Run keeps the key list up to date until ctx is done.
func (s *Service) Run(ctx context.Context) {
	s.startedAt.Store(int64(s.opts.Clock.Now()))
	s.tasks.Go(func() { s.storeLoop(ctx) })
	s.tasks.Go(func() { s.exchangeLoop(ctx) })
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.replica.Run(ctx)
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.tasks.Wait()
}

// spawn runs f in a goroutine that Run waits for. It does nothing while Run is not running.
func (s *Service) spawn(f func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx := s.ctx; ctx != nil && !s.stopped {
		s.tasks.Go(func() { f(ctx) })
	}
}

// Ready reports whether keys can be authenticated: the key list was loaded, and either the pending
// withdrawals of a peer are known or startupGrace has passed.
func (s *Service) Ready() bool {
	s.mu.RLock()
	loaded := s.keyring.loaded
	s.mu.RUnlock()
	return loaded && !s.awaitingPeers()
}

// Identify returns the identity of a key. It fails with Unauthenticated if the key is unknown or
// withdrawn, and with Unavailable if this VM is not ready or the workspace's limit for unconfirmed
// use is exceeded.
func (s *Service) Identify(h Hash) (Identity, error) {
	s.mu.RLock()
	id, err := s.keyring.identify(h)
	s.mu.RUnlock()
	if err != nil {
		return Identity{}, err
	}
	if s.awaitingPeers() {
		return Identity{}, errNotReady
	}
	return id, s.checkUnconfirmedLimit(id.Workspace)
}

// awaitingPeers reports whether this VM is still waiting for the pending withdrawals of a peer.
func (s *Service) awaitingPeers() bool {
	return !s.peerSynced.Load() && s.opts.Clock.Now().Sub(clock.Instant(s.startedAt.Load())) < startupGrace
}

// checkUnconfirmedLimit returns an error if the workspace's limit for unconfirmed use is exceeded.
func (s *Service) checkUnconfirmedLimit(workspace string) error {
	snap := s.opts.Configuration()
	if snap == nil {
		return nil
	}
	limit := time.Duration(snap.Document.Workspaces[workspace].KeyUnconfirmedSeconds) * time.Second
	if limit <= 0 || s.unconfirmedFor() <= limit {
		return nil
	}
	return fault.New(fault.Unavailable,
		"use another data centre, or raise the workspace's key_unconfirmed_seconds",
		"this data centre has had no contact with the platform or another data centre for longer than the workspace's limit for unconfirmed key use")
}

// unconfirmedFor returns the time since this data centre was last known to have all withdrawals.
func (s *Service) unconfirmedFor() time.Duration {
	at := s.confirmedAt.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return s.opts.Clock.Now().Sub(clock.Instant(at))
}

// setConfirmed records that all withdrawals known elsewhere at the given time are known here.
func (s *Service) setConfirmed(at clock.Instant) {
	for {
		previous := s.confirmedAt.Load()
		if int64(at) <= previous || s.confirmedAt.CompareAndSwap(previous, int64(at)) {
			return
		}
	}
}

// OnWithdrawal calls onWithdrawn once, in a new goroutine, if the key is withdrawn before unregister is
// called.
func (s *Service) OnWithdrawal(keyID string, onWithdrawn func()) (unregister func()) {
	c := &withdrawalCallback{onWithdrawn}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keyring.mustAbort(keyID) {
		go onWithdrawn()
		return func() {}
	}
	if s.callbacks[keyID] == nil {
		s.callbacks[keyID] = map[*withdrawalCallback]struct{}{}
	}
	s.callbacks[keyID][c] = struct{}{}
	return func() { s.unregister(keyID, c) }
}

func (s *Service) unregister(keyID string, c *withdrawalCallback) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callbacks[keyID], c)
	if len(s.callbacks[keyID]) == 0 {
		delete(s.callbacks, keyID)
	}
}

// step passes one input to the keyring and aborts requests of withdrawn keys. It returns the
// withdrawals that were not known before.
func (s *Service) step(in keyringInput) (added []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.keyring.Step(s.opts.Clock.Now(), in) {
		switch a := a.(type) {
		case abortRequests:
			s.runCallbacks(a.ids)
		case withdrawalsAdded:
			added = a.ids
		}
	}
	return added
}

// applyWithdrawals applies withdrawals received from a peer and forwards those not known before.
func (s *Service) applyWithdrawals(ids []string) {
	if added := s.step(withdrawalsReceived{ids}); len(added) > 0 {
		s.forward(added)
	}
}

// runCallbacks calls and removes the callbacks registered for keys. The caller must hold the lock.
func (s *Service) runCallbacks(ids []string) {
	for _, id := range ids {
		running := s.callbacks[id]
		delete(s.callbacks, id)
		s.opts.Log.Info("key no longer accepted", zap.String("key", id), zap.Int("requests_aborted", len(running)))
		for c := range running {
			go c.onWithdrawn()
		}
	}
}

// mergePeerPending applies all pending withdrawals of a peer.
func (s *Service) mergePeerPending(ids []string) {
	s.applyWithdrawals(ids)
	s.peerSynced.Store(true)
}

func (s *Service) pendingIDs() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.keyring.pendingIDs()
}

// FillDigest sets the fields of a heartbeat digest that describe this VM's keys.
func (s *Service) FillDigest(d *membership.Digest) {
	d.Keys, d.WithdrawnHash = s.Digest()
	if age := s.unconfirmedFor(); age >= 0 && age < maxDigestAge {
		// Add 1 because 0 means that the age is unknown. The receiver does not subtract it: overstating
		// the age by 1 ms is safe.
		d.ConfirmedAge = uint32(age.Milliseconds()) + 1
	}
}

// maxDigestAge is the maximum age that a digest can contain.
const maxDigestAge = 24 * time.Hour

// Digest returns the version of the key list and a hash of the pending withdrawals.
func (s *Service) Digest() (version, withdrawn uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.keyring.version, s.keyring.pendingHash()
}

// OnDigest processes the heartbeat digest of another VM. It does not block.
func (s *Service) OnDigest(from membership.Member, d membership.Digest) {
	s.replica.ObserveVersion(from.VM, d.Keys)
	_, own := s.Digest()
	if d.WithdrawnHash != own {
		select {
		case s.exchangeQueue <- from:
		default:
			// An exchange is already queued; the next heartbeat will request another.
		}
		return
	}
	s.peerSynced.Store(true)
	if d.RequestedAt == 0 {
		return
	}
	if from.DataCentre != s.opts.Self.DataCentre {
		s.setConfirmed(d.RequestedAt)
	} else if d.ConfirmedAge > 0 {
		s.setConfirmed(d.RequestedAt.Add(-time.Duration(d.ConfirmedAge) * time.Millisecond))
	}
}
