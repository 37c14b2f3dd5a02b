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

// Placement policies of a Service.
const (
	// PolicyPredictive places requests by predicted times and exact claims.
	PolicyPredictive = "predictive"
	// PolicyRoundRobin selects endpoints in rotation.
	PolicyRoundRobin = "round_robin"
	// PolicyLeastLoaded selects the endpoint with the lowest reported load.
	PolicyLeastLoaded = "least_loaded"
)

// Options configures a Service.
type Options struct {
	// Self is this VM.
	Self membership.Member
	// Directory provides the live VMs.
	Directory membership.Directory
	// Transport carries messages to other VMs. If it is nil, this VM owns every cell.
	Transport *peer.Transport
	// Dialer connects to the engines whose load and cache events the owner reads.
	Dialer endpoint.Dialer
	// Configuration returns the current snapshot, nil before the first.
	Configuration func() *configuration.Snapshot
	Clock         clock.Clock
	// Store holds the claims on the cells' orders. If it is nil, no orders are sent.
	Store objectstore.Store
	// Policy is predictive, round_robin or least_loaded.
	Policy string
	// Log receives one line for each decision.
	Log *zap.Logger
}

// reconcilePeriod is the interval between checks of the configuration and the members.
const reconcilePeriod = 100 * time.Millisecond

// Service places the requests of this VM and runs the cells that this VM owns.
type Service struct {
	opts    Options
	layout  atomic.Pointer[layout]
	updates *updateQueue

	// ctx ends when Run does; wg tracks the goroutines of the runners.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	runners map[string]*runner
	leases  map[ident.RequestID]*lease
}

// New returns a Service and registers its message handlers with the transport.
func New(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Policy == "" {
		o.Policy = PolicyPredictive
	}
	s := &Service{opts: o, runners: map[string]*runner{}, leases: map[ident.RequestID]*lease{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.layout.Store(newLayout(nil))
	s.updates = newUpdateQueue(s)
	if o.Transport != nil {
		peer.Handle(o.Transport, peer.KindPlace, s.handlePlace)
		peer.Handle(o.Transport, peer.KindPlaceReassign, s.handlePlace)
		peer.Handle(o.Transport, peer.KindPlaceUpdate, s.handleUpdate)
	}
	return s
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.wg.Go(func() { s.updates.run(s.ctx) })
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
	s.cancel()
	s.wg.Wait()
}

// Place claims a prefill and a decode endpoint for r. It waits in the owner's queue and tries
// the next owner if one does not respond.
func (s *Service) Place(ctx context.Context, r Request) (Lease, error) {
	if r.DataCentre == "" {
		r.DataCentre = s.opts.Self.DataCentre
	}
	spec := s.currentLayout().cellFor(r.Model, s.opts.Self.Region, r.ID)
	if spec == nil {
		return nil, fault.New(fault.Unavailable, "add endpoints for this model", "no endpoint serves the model "+r.Model)
	}
	l := &lease{service: s, request: r, cell: spec.name, region: spec.region, startedAt: s.opts.Clock.Now()}
	if err := l.place(ctx, placeMessage{Cell: spec.name, Request: r}); err != nil {
		return nil, err
	}
	s.addLease(l)
	return l, nil
}

func (s *Service) addLease(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[l.request.ID] = l
}

func (s *Service) removeLease(l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, l.request.ID)
}

// currentLayout returns the cells of the current configuration.
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

// owner returns the VM to contact for a cell, leaving out those in tried. It prefers a VM of
// the cell's region, then one of this VM's region, and falls back to this VM.
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

// isSelf compares names only, because an earlier incarnation of this VM no longer serves
// anything.
func (s *Service) isSelf(m membership.Member) bool { return m.VM.Name == s.opts.Self.VM.Name }

// runner returns the runner of a cell and starts it if necessary. It returns nil if the cell is
// not in the configuration or the service is closed.
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
	ctx, cancel := context.WithCancel(s.ctx)
	r.stop = cancel
	s.wg.Go(func() { r.run(ctx) })
	return r
}

// Summary returns the state of the endpoints in the cells that this VM owns.
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
