// Package sweep frees engine memory that no live VM claims.
//
// Each engine is watched by one live VM. The watcher reads what the engine holds and asks the
// VMs named in the request ids which of them are live; the rest is cancelled at the engine.
// Two watchers of one engine are harmless: cancelling is idempotent.
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
	"github.com/fulmartide/fulmartide/internal/duty"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// Options configure a Service.
type Options struct {
	// Self is this VM.
	Self membership.Member
	// Directory gives the live VMs.
	Directory membership.Directory
	// Transport carries messages to other VMs.
	Transport *peer.Transport
	// Dialer gives the engines.
	Dialer endpoint.Dialer
	// Configuration gives the snapshot in force, nil before the first.
	Configuration func() *configuration.Snapshot
	Clock         clock.Clock
	Log           *zap.Logger
	// Live reports whether this VM still serves a request, named in the form of
	// ident.RequestID.String.
	Live func(request string) bool
	// LiveAt reports the same for a request at one endpoint, so that what an abandoned
	// endpoint holds for a live request is freed too. Nil falls back on Live.
	LiveAt func(request, endpoint string) bool
}

const (
	// heldPeriod is the time between looks at one endpoint, heldTimeout bounds one.
	heldPeriod  = 400 * time.Millisecond
	heldTimeout = 400 * time.Millisecond
	// askTimeout bounds one question to a VM.
	askTimeout = 400 * time.Millisecond
	// cancelTimeout bounds one cancel; a lost one is repeated after the next look.
	cancelTimeout = 400 * time.Millisecond
	// maxCalls is the number of questions and cancels under way at once. What is over waits
	// for the next look.
	maxCalls = 128
	// reconcilePeriod is the time between looks at who watches what.
	reconcilePeriod = 200 * time.Millisecond
	inboxCapacity   = 1024
)

var (
	cancelsTotal = metrics.NewCounter(`fulmartide_sweep_cancelled_total`)
	unreadTotal  = metrics.NewCounter(`fulmartide_sweep_unread_endpoints_total`)
)

// Service watches the engines that this VM is to watch.
type Service struct {
	opts  Options
	loop  *duty.Loop[Input, Action]
	calls chan struct{}
	wg    sync.WaitGroup
	// ctx is that of Run; it is set before the loop starts.
	ctx     context.Context
	watched map[string]*watched
	members []membership.Member

	mu    sync.Mutex
	addrs map[string]netip.AddrPort
}

// watched is one endpoint that this VM watches.
type watched struct {
	addr netip.AddrPort
	stop context.CancelFunc
}

// New makes a Service and registers its messages with the transport.
func New(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.LiveAt == nil {
		o.LiveAt = func(request, _ string) bool { return o.Live(request) }
	}
	s := &Service{
		opts:    o,
		calls:   make(chan struct{}, maxCalls),
		watched: map[string]*watched{},
		addrs:   map[string]netip.AddrPort{},
	}
	s.loop = duty.NewLoop(duty.Options[Input, Action]{
		Machine:  NewMachine(o.Self.VM.Name),
		Clock:    o.Clock,
		Capacity: inboxCapacity,
		Tick:     func() Input { return TickInput{} },
		Period:   TickPeriod,
		Perform:  s.perform,
	})
	if o.Transport != nil {
		peer.Handle(o.Transport, peer.KindLiveRequests, s.handleLive)
	}
	return s
}

// Run watches until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.ctx = ctx
	defer s.wg.Wait()
	s.wg.Go(func() { s.loop.Run(ctx) })
	ticker := time.NewTicker(reconcilePeriod)
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

// reconcile begins and ends watches as the configuration and the members change.
func (s *Service) reconcile() {
	view := s.opts.Directory.View()
	if len(view.Members) != len(s.members) || (len(s.members) > 0 && &view.Members[0] != &s.members[0]) {
		s.members = view.Members
		_ = s.loop.Put(s.ctx, MembersInput{Members: view.Members})
	}
	snap := s.opts.Configuration()
	if snap == nil {
		return
	}
	for name, e := range snap.Document.Endpoints {
		s.watch(view, &snap.Document, name, e)
	}
	for name := range s.watched {
		if _, listed := snap.Document.Endpoints[name]; !listed {
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
	s.watched[name] = &watched{addr: addr, stop: stop}
	s.mu.Lock()
	s.addrs[name] = addr
	s.mu.Unlock()
	s.wg.Go(func() { s.look(ctx, name, s.opts.Dialer.Engine(addr)) })
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

// isWatcher reports whether this VM is the one to watch an endpoint: of the endpoint's data
// centre if a VM lives there, else of its region, else of the fleet.
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

// look reads what one endpoint holds until ctx ends.
func (s *Service) look(ctx context.Context, name string, engine endpoint.Engine) {
	ticker := time.NewTicker(heldPeriod)
	defer ticker.Stop()
	for {
		call, cancel := context.WithTimeout(ctx, heldTimeout)
		held, err := engine.Allocations(call)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			unreadTotal.Inc()
		default:
			_ = s.loop.Put(ctx, HeldInput{Endpoint: name, Holdings: held})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// perform starts one call without waiting for it.
func (s *Service) perform(a Action) {
	switch {
	case a.Ask != nil:
		s.start(func() { s.ask(a.Ask) }, func() { s.report(NoAnswerInput{VM: a.Ask.About}) })
	case a.Cancel != nil:
		s.start(func() { s.cancel(a.Cancel) }, func() {})
	}
}

// start runs call in a goroutine, or runs refused when too many are under way.
func (s *Service) start(call, refused func()) {
	select {
	case s.calls <- struct{}{}:
	default:
		s.wg.Go(refused)
		return
	}
	s.wg.Go(func() {
		defer func() { <-s.calls }()
		call()
	})
}

func (s *Service) report(in Input) { _ = s.loop.Put(s.ctx, in) }

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

// ask puts a question to another VM, or to this one directly.
func (s *Service) ask(a *Ask) {
	if a.VM.VM.Name == s.opts.Self.VM.Name {
		s.report(AnswerInput{VM: a.About, Asked: a.Held, Dead: s.notLive(a.Held)})
		return
	}
	ctx, stop := context.WithTimeout(s.ctx, askTimeout)
	defer stop()
	message := newLiveMessage(a.About, a.Held)
	reply, err := peer.Call[liveMessage, liveReply](ctx, s.opts.Transport, a.VM.PeerAddress, peer.KindLiveRequests, &message)
	if err != nil {
		s.report(NoAnswerInput{VM: a.About})
		return
	}
	s.report(AnswerInput{VM: a.About, Asked: a.Held, Dead: reply.dead(a.Held)})
}

// notLive gives those of held that this VM does not claim.
func (s *Service) notLive(held []Held) []Held {
	var dead []Held
	for _, h := range held {
		if !s.claims(h) {
			dead = append(dead, h)
		}
	}
	return dead
}

func (s *Service) claims(h Held) bool {
	return h.Request.VM == s.opts.Self.VM && s.opts.LiveAt(h.Request.String(), h.Endpoint)
}

func (s *Service) handleLive(_ context.Context, _ ident.VM, m *liveMessage) (*liveReply, error) {
	var reply liveReply
	for i, h := range m.held() {
		if !s.claims(h) {
			reply.Dead = append(reply.Dead, i)
		}
	}
	return &reply, nil
}
