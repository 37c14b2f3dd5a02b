// Package sweep frees engine memory that is allocated for requests which no live VM serves.
//
// Each engine is watched by one live VM. The watcher polls the engine's allocations, asks the VMs
// named in the request IDs which of the requests are live, and cancels the others at the engine.
// Cancelling is idempotent, so an engine may temporarily have two watchers.
package sweep

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/eventloop"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// Options configures a Service.
type Options struct {
	// Self is this VM.
	Self membership.Member
	// Directory provides the live VMs.
	Directory membership.Directory
	// Transport carries messages to other VMs.
	Transport *peer.Transport
	// Dialer returns clients of the engines.
	Dialer endpoint.Dialer
	// Configuration returns the snapshot in force, or nil if there is none yet.
	Configuration func() *configuration.Snapshot
	Clock         clock.Clock
	Log           *zap.Logger
	// IsLive reports whether this VM still serves a request. The request is given in the form of
	// ident.RequestID.String.
	IsLive func(request string) bool
	// IsLiveAt reports whether this VM still serves a request at the given endpoint. It allows the
	// allocations of a live request to be freed at endpoints that the request no longer uses. If nil,
	// IsLive is used.
	IsLiveAt func(request, endpoint string) bool
}

const (
	// pollInterval is the interval between polls of an endpoint's allocations, and pollTimeout the
	// timeout of each.
	pollInterval = 400 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond
	// queryTimeout is the timeout of a query to a VM.
	queryTimeout = 400 * time.Millisecond
	// cancelTimeout is the timeout of a cancel. A cancel that fails is repeated after the next poll.
	cancelTimeout = 400 * time.Millisecond
	// maxConcurrentCalls is the maximum number of concurrent queries and cancels. Further ones are
	// dropped and issued again after a later poll or tick.
	maxConcurrentCalls = 128
	// reconcileInterval is the interval at which the set of watched endpoints is updated.
	reconcileInterval = 200 * time.Millisecond
	queueCapacity     = 1024
)

var (
	cancelsTotal      = metrics.NewCounter(`fulmartide_sweep_cancelled_total`)
	pollFailuresTotal = metrics.NewCounter(`fulmartide_sweep_unread_endpoints_total`)
)

// Service watches the engines that are assigned to this VM.
type Service struct {
	opts  Options
	loop  *eventloop.Loop[Input, Action]
	calls chan struct{}
	wg    sync.WaitGroup
	// ctx is the context of Run. It is set before the loop starts.
	ctx     context.Context
	watched map[string]*watchedEndpoint
	members []membership.Member

	mu    sync.Mutex
	addrs map[string]netip.AddrPort
}

// watchedEndpoint is an endpoint that this VM watches.
type watchedEndpoint struct {
	addr netip.AddrPort
	stop context.CancelFunc
}

// New returns a Service and registers its message handler with the transport.
func New(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.IsLiveAt == nil {
		o.IsLiveAt = func(request, _ string) bool { return o.IsLive(request) }
	}
	s := &Service{
		opts:    o,
		calls:   make(chan struct{}, maxConcurrentCalls),
		watched: map[string]*watchedEndpoint{},
		addrs:   map[string]netip.AddrPort{},
	}
	s.loop = eventloop.NewLoop(eventloop.Options[Input, Action]{
		Machine:  NewMachine(o.Self.VM.Name),
		Clock:    o.Clock,
		Capacity: queueCapacity,
		Tick:     func() Input { return TickInput{} },
		Period:   TickPeriod,
		Perform:  s.perform,
	})
	if o.Transport != nil {
		peer.Handle(o.Transport, peer.KindLiveRequests, s.handleLivenessRequest)
	}
	return s
}

// Run watches engines until ctx is done.
func (s *Service) Run(ctx context.Context) {
	s.ctx = ctx
	defer s.wg.Wait()
	s.wg.Go(func() { s.loop.Run(ctx) })
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		s.reconcile()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts and stops watching endpoints according to the configuration and the members.
func (s *Service) reconcile() {
	view := s.opts.Directory.View()
	// Each published view has its own slice of members. The loop is notified only if the slice is a new one,
	// which a comparison of the addresses of the first elements shows without comparing all members.
	if len(view.Members) != len(s.members) || (len(s.members) > 0 && &view.Members[0] != &s.members[0]) {
		s.members = view.Members
		_ = s.loop.Put(s.ctx, MembersInput{Members: view.Members})
	}
	snapshot := s.opts.Configuration()
	if snapshot == nil {
		return
	}
	for name, e := range snapshot.Document.Endpoints {
		s.watch(view, &snapshot.Document, name, e)
	}
	for name := range s.watched {
		if _, listed := snapshot.Document.Endpoints[name]; !listed {
			s.unwatch(name)
		}
	}
}

func (s *Service) watch(view *membership.View, doc *configuration.Document, name string, e configuration.Endpoint) {
	addr, err := netip.ParseAddrPort(e.Address)
	if e.Model == "" || err != nil || !s.isWatcher(view, doc, name, e) {
		s.unwatch(name)
		return
	}
	if w := s.watched[name]; w != nil && w.addr == addr {
		return
	}
	s.unwatch(name)
	ctx, stop := context.WithCancel(s.ctx)
	s.watched[name] = &watchedEndpoint{addr: addr, stop: stop}
	s.mu.Lock()
	s.addrs[name] = addr
	s.mu.Unlock()
	s.wg.Go(func() { s.poll(ctx, name, s.opts.Dialer.Engine(addr)) })
}

func (s *Service) unwatch(name string) {
	w := s.watched[name]
	if w == nil {
		return
	}
	w.stop()
	delete(s.watched, name)
	_ = s.loop.Put(s.ctx, UnwatchedInput{Endpoint: name})
}

// isWatcher reports whether this VM is the watcher of an endpoint. The watcher is chosen among the VMs of
// the endpoint's data centre, or if there are none, among those of its region or of the whole fleet. If no
// VM is known at all, this VM is the watcher.
func (s *Service) isWatcher(view *membership.View, doc *configuration.Document, name string, e configuration.Endpoint) bool {
	region := doc.DataCentres[e.DataCentre].Region
	scopes := []func(membership.Member) bool{
		func(m membership.Member) bool { return m.DataCentre == e.DataCentre },
		func(m membership.Member) bool { return m.Region == region },
		func(membership.Member) bool { return true },
	}
	for _, scope := range scopes {
		if m, ok := view.Owner("sweep/"+name, scope); ok {
			return m.VM.Name == s.opts.Self.VM.Name
		}
	}
	return true
}

// poll periodically reads the allocations of an endpoint until ctx is done.
func (s *Service) poll(ctx context.Context, name string, engine endpoint.Engine) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, pollTimeout)
		allocations, err := engine.Allocations(call)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			pollFailuresTotal.Inc()
		default:
			_ = s.loop.Put(ctx, AllocationsInput{Endpoint: name, Allocations: allocations})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// perform starts the call for an action without waiting for its result.
func (s *Service) perform(a Action) {
	switch {
	case a.Query != nil:
		s.startCall(func() { s.query(a.Query) }, func() { s.enqueue(QueryFailedInput{VM: a.Query.Subject}) })
	case a.Cancel != nil:
		s.startCall(func() { s.cancel(a.Cancel) }, func() {})
	}
}

// startCall runs call in a new goroutine. If too many calls are in progress, it runs onRejected instead.
func (s *Service) startCall(call, onRejected func()) {
	select {
	case s.calls <- struct{}{}:
	default:
		s.wg.Go(onRejected)
		return
	}
	s.wg.Go(func() {
		defer func() { <-s.calls }()
		call()
	})
}

func (s *Service) enqueue(in Input) { _ = s.loop.Put(s.ctx, in) }

func (s *Service) cancel(c *Cancel) {
	s.mu.Lock()
	addr := s.addrs[c.Endpoint]
	s.mu.Unlock()
	ctx, stop := context.WithTimeout(s.ctx, cancelTimeout)
	defer stop()
	err := s.opts.Dialer.Engine(addr).Cancel(ctx, c.Request.String())
	cancelsTotal.Inc()
	s.opts.Log.Info("sweep_cancel",
		zap.String("endpoint", c.Endpoint),
		zap.String("request", c.Request.String()),
		zap.String("cause", c.Cause),
		zap.Error(err),
	)
}

// query sends a query to another VM, or answers it directly if this VM is the target.
func (s *Service) query(q *Query) {
	if q.Target.VM.Name == s.opts.Self.VM.Name {
		s.enqueue(QueryResultInput{VM: q.Subject, Queried: q.Allocations, NotLive: s.notLive(q.Allocations)})
		return
	}
	ctx, stop := context.WithTimeout(s.ctx, queryTimeout)
	defer stop()
	request := newLivenessRequest(q.Subject, q.Allocations)
	response, err := peer.Call[livenessRequest, livenessResponse](ctx, s.opts.Transport, q.Target.PeerAddress, peer.KindLiveRequests, &request)
	if err != nil {
		s.enqueue(QueryFailedInput{VM: q.Subject})
		return
	}
	s.enqueue(QueryResultInput{VM: q.Subject, Queried: q.Allocations, NotLive: response.notLive(q.Allocations)})
}

// notLive returns the allocations whose requests this VM does not serve.
func (s *Service) notLive(allocations []AllocationKey) []AllocationKey {
	var notLive []AllocationKey
	for _, key := range allocations {
		if !s.isLive(key) {
			notLive = append(notLive, key)
		}
	}
	return notLive
}

// isLive reports whether this VM serves the request at the allocation's endpoint.
func (s *Service) isLive(key AllocationKey) bool {
	return key.Request.VM == s.opts.Self.VM && s.opts.IsLiveAt(key.Request.String(), key.Endpoint)
}

func (s *Service) handleLivenessRequest(_ context.Context, _ ident.VM, m *livenessRequest) (*livenessResponse, error) {
	var response livenessResponse
	for i, key := range m.allocations() {
		if !s.isLive(key) {
			response.NotLive = append(response.NotLive, i)
		}
	}
	return &response, nil
}
