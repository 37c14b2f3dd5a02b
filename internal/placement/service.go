package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// The policies of a Service.
const (
	// PolicyPredictive places by predicted times and exact claims.
	PolicyPredictive = "predictive"
	// PolicyRoundRobin takes endpoints in turn.
	PolicyRoundRobin = "round_robin"
	// PolicyLeastLoaded takes the endpoint with the lowest reported load.
	PolicyLeastLoaded = "least_loaded"
)

// Options configure a Service.
type Options struct {
	// Self is this VM.
	Self membership.Member
	// Directory gives the live VMs.
	Directory membership.Directory
	// Transport carries messages to other VMs. With none, this VM owns every cell.
	Transport *peer.Transport
	// Dialer gives engines, whose load and cache events the owner reads.
	Dialer endpoint.Dialer
	// Configuration gives the snapshot in force, nil before the first.
	Configuration func() *configuration.Snapshot
	Clock         clock.Clock
	// Store keeps the claims to give orders to endpoints. Without one none are given.
	Store objectstore.Store
	// Policy is predictive, round_robin or least_loaded.
	Policy string
	// Log gets a line for each decision.
	Log *zap.Logger
}

// reconcilePeriod is the time between looks at the configuration and the members.
const reconcilePeriod = 100 * time.Millisecond

// Service places requests of this VM, and serves the cells that this VM owns.
type Service struct {
	opts    Options
	layout  atomic.Pointer[layout]
	updates *updateQueue

	// life ends when Run does; wg counts the goroutines of runners.
	life context.Context
	end  context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	runners map[string]*runner
	leases  map[ident.RequestID]*lease
}

// New makes a Service and registers its messages with the transport.
func New(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Policy == "" {
		o.Policy = PolicyPredictive
	}
	s := &Service{opts: o, runners: map[string]*runner{}, leases: map[ident.RequestID]*lease{}}
	s.life, s.end = context.WithCancel(context.Background())
	s.layout.Store(newLayout(nil))
	s.updates = newUpdateQueue(s)
	if o.Transport != nil {
		peer.Handle(o.Transport, peer.KindPlace, s.handleAsk)
		peer.Handle(o.Transport, peer.KindPlaceReassign, s.handleAsk)
		peer.Handle(o.Transport, peer.KindPlaceUpdate, s.handleUpdate)
	}
	return s
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.wg.Go(func() { s.updates.run(s.life) })
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for {
		s.reconcile()
		select {
		case <-ctx.Done():
			s.close()
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.end()
	s.wg.Wait()
}

// Place claims a prefill and a decode endpoint for r. It waits in the owner's queue, and
// asks the next owner when one does not answer.
func (s *Service) Place(ctx context.Context, r Request) (Lease, error) {
	if r.DataCentre == "" {
		r.DataCentre = s.opts.Self.DataCentre
	}
	spec := s.currentLayout().cellFor(r.Model, s.opts.Self.Region, r.ID)
	if spec == nil {
		return nil, fault.New(fault.Unavailable, "add endpoints for this model", "no endpoint has the model "+r.Model)
	}
	l := &lease{service: s, request: r, cell: spec.name, region: spec.region, began: s.opts.Clock.Now()}
	if err := l.ask(ctx, askMessage{Cell: spec.name, Request: r}); err != nil {
		return nil, err
	}
	s.keep(l)
	return l, nil
}

func (s *Service) keep(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[l.request.ID] = l
}

func (s *Service) drop(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, l.request.ID)
}

// currentLayout gives the cells of the configuration in force.
func (s *Service) currentLayout() *layout {
	l := s.layout.Load()
	snap := s.opts.Configuration()
	if snap == nil || (snap.Version == l.version && len(l.cells) > 0) {
		return l
	}
	l = newLayout(snap)
	s.layout.Store(l)
	return l
}

// owner gives the VM to ask about a cell, leaving out those in tried.
func (s *Service) owner(cell, region string, tried map[string]bool) membership.Member {
	if s.opts.Transport == nil || s.opts.Directory == nil {
		return s.opts.Self
	}
	view := s.opts.Directory.View()
	in := func(region string) func(membership.Member) bool {
		return func(m membership.Member) bool { return m.Region == region && !tried[m.VM.Name] }
	}
	if m, ok := view.Owner(cell, in(region)); ok {
		return m
	}
	if m, ok := view.Owner(cell, in(s.opts.Self.Region)); ok {
		return m
	}
	return s.opts.Self
}

// isSelf goes by name: an earlier life of this VM serves nothing.
func (s *Service) isSelf(m membership.Member) bool { return m.VM.Name == s.opts.Self.VM.Name }

// runner gives the runner of a cell, starting one if need be. It is nil for a cell that the
// configuration does not have, and after the service has closed.
func (s *Service) runner(cell string) *runner {
	spec := s.currentLayout().cells[cell]
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runners[cell]; r != nil {
		return r
	}
	if spec == nil || s.closed {
		return nil
	}
	r := newRunner(s.opts, spec)
	s.runners[cell] = r
	ctx, cancel := context.WithCancel(s.life)
	r.stop = cancel
	s.wg.Go(func() { r.run(ctx) })
	return r
}

// Summary gives the endpoints of the cells that this VM owns.
func (s *Service) Summary() []EndpointStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []EndpointStatus
	for _, r := range s.runners {
		if st := r.status.Load(); st != nil && s.isSelf(s.owner(r.cell, r.region, nil)) {
			out = append(out, st.Endpoints...)
		}
	}
	return out
}

var _ Placer = (*Service)(nil)
