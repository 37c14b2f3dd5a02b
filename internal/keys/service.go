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

// startGrace is how long a VM that has started waits for the withdrawals that its peers know.
const startGrace = 1500 * time.Millisecond

// ObjectName is the platform object that holds the key list as JSON.
const ObjectName = "keys"

// Options configure a Service.
type Options struct {
	// Store is the platform's object API.
	Store objectstore.Store
	// Transport carries the messages; NewService registers the handler of KindKeys.
	Transport *peer.Transport
	// Directory gives the live VMs.
	Directory membership.Directory
	// Clock gives the time of decisions.
	Clock clock.Clock
	// Log gets a line for each change.
	Log *zap.Logger
	// Configuration gives the configuration in force, nil before the first.
	Configuration func() *configuration.Snapshot
	// Self is this VM.
	Self membership.Member
}

// Service is the key ring of this VM.
type Service struct {
	opts    Options
	replica *replication.Replica
	// confirmed is the latest instant at which this VM's data centre is known to have heard
	// of all withdrawals that the platform or another data centre knew. 0 is never.
	confirmed atomic.Int64
	// met is set once another VM's pending withdrawals are known here; until then, and for
	// startGrace at most, no key is accepted.
	met       atomic.Bool
	startedAt atomic.Int64
	exchange  chan membership.Member
	work      sync.WaitGroup

	mu sync.RWMutex
	// ctx is set once Run runs; work is only added under the lock and until stopped is set.
	ctx     context.Context
	stopped bool
	ring    *ring
	cuts    map[string]map[*attachment]struct{}
	origin  map[string]bool
}

type attachment struct{ cut func() }

var _ Ring = (*Service)(nil)

// NewService makes a Service and registers its handler with the transport.
func NewService(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Configuration == nil {
		o.Configuration = func() *configuration.Snapshot { return nil }
	}
	s := &Service{
		opts:     o,
		exchange: make(chan membership.Member, 1),
		ring:     newRing(),
		cuts:     map[string]map[*attachment]struct{}{},
		origin:   map[string]bool{},
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
		OnAdopt:            func(t *replication.Table, _ replication.Origin) { s.step(listRead{t}) },
		OnPlatformResponse: s.confirm,
		Serve:              s.serve,
		AttachedNames:      s.pendingIDs,
		OnAttachedNames:    s.meet,
	})
	return s
}

func decodeEntries(value []byte) (map[string]string, error) {
	var l list
	if err := json.Unmarshal(value, &l); err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "restore the keys object", "key list")
	}
	return l.entries()
}

func (l list) entries() (map[string]string, error) {
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

// Run keeps the key list until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.startedAt.Store(int64(s.opts.Clock.Now()))
	s.work.Go(func() { s.storeLoop(ctx) })
	s.work.Go(func() { s.exchangeLoop(ctx) })
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	s.replica.Run(ctx)
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.work.Wait()
}

// spawn runs f beside Run; it does nothing when Run does not run.
func (s *Service) spawn(f func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx := s.ctx; ctx != nil && !s.stopped {
		s.work.Go(func() { f(ctx) })
	}
}

// Ready reports whether keys can be told apart: the list was read, and the withdrawals that
// another VM knows of were asked for.
func (s *Service) Ready() bool {
	s.mu.RLock()
	known := s.ring.known
	s.mu.RUnlock()
	return known && !s.starting()
}

// Identify gives the identity of a key. It fails as Unauthenticated for an unknown or
// withdrawn key, and as Unavailable before this VM has read the key list or when the
// workspace's bound for unconfirmed use is over.
func (s *Service) Identify(h Hash) (Identity, error) {
	s.mu.RLock()
	id, err := s.ring.identify(h)
	s.mu.RUnlock()
	if err != nil {
		return Identity{}, err
	}
	if s.starting() {
		return Identity{}, errUnread
	}
	return id, s.checkBound(id.Workspace)
}

// starting reports whether peers may still know of withdrawals that the list does not show.
func (s *Service) starting() bool {
	return !s.met.Load() && s.opts.Clock.Now().Sub(clock.Instant(s.startedAt.Load())) < startGrace
}

// checkBound refuses a workspace's keys once its bound for unconfirmed use is over.
func (s *Service) checkBound(workspace string) error {
	snap := s.opts.Configuration()
	if snap == nil {
		return nil
	}
	bound := time.Duration(snap.Document.Workspaces[workspace].KeyUnconfirmedSeconds) * time.Second
	if bound <= 0 || s.unconfirmedFor() <= bound {
		return nil
	}
	return fault.New(fault.Unavailable,
		"use another data centre, or raise the workspace's key_unconfirmed_seconds",
		"this data centre has heard from neither the platform nor another data centre for longer than the workspace allows")
}

// unconfirmedFor gives the time since this data centre last heard of all withdrawals.
func (s *Service) unconfirmedFor() time.Duration {
	at := s.confirmed.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return s.opts.Clock.Now().Sub(clock.Instant(at))
}

// confirm notes that all withdrawals known elsewhere at an instant are known here.
func (s *Service) confirm(at clock.Instant) {
	for {
		old := s.confirmed.Load()
		if int64(at) <= old || s.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Attach calls cut once, in its own goroutine, if the key is withdrawn before detach is called.
func (s *Service) Attach(keyID string, cut func()) (detach func()) {
	a := &attachment{cut}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ring.refused(keyID) {
		go cut()
		return func() {}
	}
	if s.cuts[keyID] == nil {
		s.cuts[keyID] = map[*attachment]struct{}{}
	}
	s.cuts[keyID][a] = struct{}{}
	return func() { s.detach(keyID, a) }
}

func (s *Service) detach(keyID string, a *attachment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cuts[keyID], a)
	if len(s.cuts[keyID]) == 0 {
		delete(s.cuts, keyID)
	}
}

// step gives the ring one input, cuts what must be cut and gives the withdrawals that were news.
func (s *Service) step(in ringInput) (news []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.ring.Step(s.opts.Clock.Now(), in) {
		switch a := a.(type) {
		case cutKeys:
			s.cut(a.ids)
		case tellOthers:
			news = a.ids
		}
	}
	return news
}

// learn takes withdrawals that a peer told of and passes news on.
func (s *Service) learn(ids []string) {
	if news := s.step(withdrawals{ids}); len(news) > 0 {
		s.passOn(news)
	}
}

// cut is called with the lock held.
func (s *Service) cut(ids []string) {
	for _, id := range ids {
		running := s.cuts[id]
		delete(s.cuts, id)
		s.opts.Log.Info("key refused from now on", zap.String("key", id), zap.Int("requests_cut", len(running)))
		for a := range running {
			go a.cut()
		}
	}
}

// meet takes all pending withdrawals of a peer.
func (s *Service) meet(ids []string) {
	s.learn(ids)
	s.met.Store(true)
}

func (s *Service) pendingIDs() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ring.pendingIDs()
}

// Fill adds to a heartbeat's digest what this VM holds of keys.
func (s *Service) Fill(d *membership.Digest) {
	d.Keys, d.WithdrawnHash = s.Digest()
	if age := s.unconfirmedFor(); age >= 0 && age < maxAge {
		d.ConfirmedAge = uint32(age.Milliseconds()) + 1
	}
}

// maxAge is the longest age that a digest can state.
const maxAge = 24 * time.Hour

// Digest gives the version of the key list and a hash of the withdrawals it does not show.
func (s *Service) Digest() (version, withdrawn uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ring.version, s.ring.pendingSum()
}

// OnDigest takes another VM's heartbeat digest. It does not block.
func (s *Service) OnDigest(from membership.Member, d membership.Digest) {
	s.replica.ObserveVersion(from.VM, d.Keys)
	_, own := s.Digest()
	if d.WithdrawnHash != own {
		select {
		case s.exchange <- from:
		default:
			// An exchange is due already; the next heartbeat asks again.
		}
		return
	}
	s.met.Store(true)
	if d.RequestedAt == 0 {
		return
	}
	if from.DataCentre != s.opts.Self.DataCentre {
		s.confirm(d.RequestedAt)
	} else if d.ConfirmedAge > 0 {
		s.confirm(d.RequestedAt.Add(-time.Duration(d.ConfirmedAge) * time.Millisecond))
	}
}
