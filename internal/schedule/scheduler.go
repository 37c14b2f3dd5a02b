package schedule

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Options configure a Scheduler.
type Options struct {
	Clock clock.Clock
	// DataCentre is where this VM is.
	DataCentre string
	// Seed starts the draws between equal endpoints.
	Seed uint64
	// Changed is told what this VM now holds at an endpoint of a data centre. It must not block.
	// Nil tells nobody.
	Changed func(seq uint64, id traffic.EndpointID, dataCentre string, w Work)
	// Failed is told of an endpoint that broke off or that this VM found dead. It must not block.
	Failed func(id traffic.EndpointID, o Outcome)
}

// Scheduler guards a table of endpoints for the goroutines of calls.
type Scheduler struct {
	opts Options

	mu    sync.Mutex
	table *table
	seq   uint64
	// freed is closed and replaced when room may have come up.
	freed chan struct{}
	// turns holds the calls of this VM that wait for room, in the order of their coming.
	turns map[pool][]*Turn
	// order holds the VMs that tell each other everything, this one at self.
	order []ident.VM
	self  int
}

// slotTime is the time in which a claim is known to the VMs that are told at once.
const slotTime = 3 * time.Millisecond

// SetOrder states the VMs that tell each other everything, in an order that is the same at all,
// and this one's place among them.
func (s *Scheduler) SetOrder(order []ident.VM, self int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order, s.self = order, self
}

// slot is how long after another VM gave room back this one's calls may ask for it. Each VM has
// a slot of its own, counted from the one that gave: calls that wait at many VMs would else all
// claim the same room in the moment in which they hear of it.
func (s *Scheduler) slot(from ident.VM) time.Duration {
	at := slices.Index(s.order, from)
	if n := len(s.order); at >= 0 && n > 1 {
		return slotTime * time.Duration((s.self-at+n)%n)
	}
	return 0
}

// pool is what calls wait for.
type pool struct {
	service string
	stage   traffic.Stage
}

// Turn is a call's place among those that wait for room: without it small calls would take
// what frees up, and large ones would wait in vain.
type Turn struct {
	scheduler *Scheduler
	pool      pool
}

// Queue gives a call a turn behind those that wait for the same.
func (s *Scheduler) Queue(a *Ask) *Turn {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &Turn{scheduler: s, pool: pool{a.Service, a.Stage}}
	s.turns[t.pool] = append(s.turns[t.pool], t)
	return t
}

// Leave ends the call's turn. It may be called more than once.
func (t *Turn) Leave() {
	s := t.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns[t.pool] = slices.DeleteFunc(s.turns[t.pool], func(o *Turn) bool { return o == t })
	if len(s.turns[t.pool]) == 0 {
		delete(s.turns, t.pool)
	}
	s.wake()
}

// New makes a Scheduler.
func New(o Options) *Scheduler {
	if o.Changed == nil {
		o.Changed = func(uint64, traffic.EndpointID, string, Work) {}
	}
	if o.Failed == nil {
		o.Failed = func(traffic.EndpointID, Outcome) {}
	}
	return &Scheduler{
		opts:  o,
		table: newTable(o.DataCentre, rand.New(rand.NewPCG(o.Seed, 0))),
		freed: make(chan struct{}),
		turns: map[pool][]*Turn{},
	}
}

// Update takes over a table of endpoints.
func (s *Scheduler) Update(eps traffic.Endpoints, services map[string]*traffic.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.update(eps, services)
	s.wake()
}

// HasStage reports whether a service has usable endpoints of a stage.
func (s *Scheduler) HasStage(service string, stage traffic.Stage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.table.byService[service], func(e *state) bool { return e.Stage == stage && !e.Leaving })
}

// Usable reports whether an endpoint may still be sent work.
func (s *Scheduler) Usable(id traffic.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.states[id]
	return e != nil && !e.Leaving
}

func (s *Scheduler) wake() {
	close(s.freed)
	s.freed = make(chan struct{})
}

// Freed gives a channel that closes when room may have come up.
func (s *Scheduler) Freed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freed
}

// Claim is the work of one call at one endpoint, held until Release.
type Claim struct {
	Choice
	scheduler *Scheduler
	work      Work
	begun     clock.Instant
	released  bool
}

// Errors of Place; the dispatcher tells them apart by kind.
var (
	errNone = fault.New(fault.Unavailable, "retry after the stated time; operators: check the service's endpoints", "no endpoint can be used", fault.WithRetryAfter(noneRetryAfter))
	errFull = fault.New(fault.Overloaded, "retry after the stated time", "all endpoints are full", fault.WithRetryAfter(fullRetryAfter))
)

const (
	noneRetryAfter = 500 * time.Millisecond
	fullRetryAfter = 300 * time.Millisecond
)

// Place chooses an endpoint and claims its room. It fails as Overloaded when all are full or
// others wait before turn, which is nil for a call that does not wait, and as Unavailable when
// there is none.
func (s *Scheduler) Place(a *Ask, turn *Turn) (*Claim, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiting := s.turns[pool{a.Service, a.Stage}]; len(waiting) > 0 && waiting[0] != turn && !a.Pressing {
		return nil, errFull
	}
	now := s.opts.Clock.Now()
	e, c, why := s.table.choose(now, a)
	switch why {
	case noneKnown:
		return nil, errNone
	case allFull:
		return nil, errFull
	}
	cl := &Claim{Choice: c, scheduler: s, work: a.work(), begun: now}
	s.hold(e, e.own.plus(cl.work))
	return cl, nil
}

func (s *Scheduler) hold(e *state, w Work) {
	e.own = w
	s.seq++
	if e.engine != nil { // plain endpoints tell their load with each answer
		s.opts.Changed(s.seq, e.ID, e.DataCentre, w)
	}
}

// Release gives the claim's room back. It may be called more than once.
func (c *Claim) Release() {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.released {
		return
	}
	c.released = true
	if e := s.table.states[c.Endpoint.ID]; e != nil {
		s.hold(e, e.own.minus(c.work))
	}
	s.wake()
}

// Record states how a send to the claim's endpoint ended.
func (c *Claim) Record(o Outcome) {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table.states[c.Endpoint.ID]; e != nil {
		e.health.record(s.opts.Clock.Now(), o)
	}
	if o >= Failed {
		s.opts.Failed(c.Endpoint.ID, o)
	}
}

// Full states that the claim's endpoint refused for lack of room.
func (c *Claim) Full() {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.states[c.Endpoint.ID]
	switch {
	case e == nil:
	case c.Endpoint.Stage == traffic.Prefill:
		e.refusedPrompt(s.opts.Clock.Now())
	default:
		e.refused(s.opts.Clock.Now())
	}
}

// Moving states that an engine was ordered to change its stage, and tells the other VMs.
func (s *Scheduler) Moving(id traffic.EndpointID) {
	s.HeardFailure(id, Moving)
	s.opts.Failed(id, Moving)
}

// Reported takes over the load that the claim's endpoint stated.
func (c *Claim) Reported(l *backend.Load) {
	if l == nil {
		return
	}
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table.states[c.Endpoint.ID]; e != nil {
		e.reported, e.reportedAt = l.Running+l.Waiting, s.opts.Clock.Now()
	}
}

// WasRead states that the claim's endpoint read a prompt, and in what time.
func (c *Claim) WasRead(prompt int64, took time.Duration) {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.states[c.Endpoint.ID]
	if e == nil || took <= 0 {
		return
	}
	e.refusals = 0
	measured := float64(prompt+c.Held.Tokens) / took.Seconds()
	e.rate += rateStep * (measured - e.rate)
}

// HeardFailure takes over how a send or an order of another VM ended.
func (s *Scheduler) HeardFailure(id traffic.EndpointID, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.states[id]
	switch {
	case e == nil:
	case o == Moving:
		e.closedUntil = s.opts.Clock.Now().Add(moveTime)
	default:
		e.health.record(s.opts.Clock.Now(), o)
	}
}

// HeardWork takes over what another VM holds at an endpoint.
func (s *Scheduler) HeardWork(vm ident.VM, seq uint64, id traffic.EndpointID, w Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.heard(vm, seq, id, w)
	if slot := s.slot(vm); slot > 0 && len(s.turns) > 0 {
		time.AfterFunc(slot, s.Wake)
		return
	}
	s.wake()
}

// Wake has the calls that wait look for room.
func (s *Scheduler) Wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// HeardAllWork takes over all that another VM holds.
func (s *Scheduler) HeardAllWork(vm ident.VM, seq uint64, all map[traffic.EndpointID]Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.heardAll(vm, seq, all)
}

// HeardDataCentre takes over what the VMs of another data centre hold together. seq grows.
func (s *Scheduler) HeardDataCentre(name string, seq uint64, all map[traffic.EndpointID]Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.heardDataCentre(name, seq, all)
	s.wake()
}

// ForgetDataCentre drops what a data centre told of which no VM is heard.
func (s *Scheduler) ForgetDataCentre(name string) { s.Forget(dataCentreVM(name)) }

// SetFarLate states whether VMs of other data centres tell late what they hold.
func (s *Scheduler) SetFarLate(late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.farLate = late
}

// Forget drops the work of a VM that is gone.
func (s *Scheduler) Forget(vm ident.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.forget(vm)
	s.wake()
}

// Held gives what this VM holds, by data centre of the endpoints.
func (s *Scheduler) Held() (seq uint64, byDataCentre map[string]map[traffic.EndpointID]Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]map[traffic.EndpointID]Work{}
	for id, e := range s.table.states {
		if e.own.Calls == 0 || e.engine == nil {
			continue
		}
		if out[e.DataCentre] == nil {
			out[e.DataCentre] = map[traffic.EndpointID]Work{}
		}
		out[e.DataCentre][id] = e.own
	}
	return s.seq, out
}

// HeldTogether gives what this VM and others hold in sum, but for endpoints of one data centre.
func (s *Scheduler) HeldTogether(others []ident.VM, except string) map[traffic.EndpointID]Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.heldTogether(others, except)
}
