package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/eventloop"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

const (
	// inboxCapacity is the maximum number of inputs queued for a Cell; further place messages
	// are refused.
	inboxCapacity = 4096
	// orphanTimeout is how long a request is retained if its sender does not repeat its
	// message. It also bounds how long a cancellation waits for space in the inbox.
	orphanTimeout = time.Second
	// retireAfter is how long a cell that this VM does not own is retained without requests.
	retireAfter = 10 * time.Second
)

// runner runs one Cell in a goroutine and delivers its answers.
type runner struct {
	opts        Options
	cell        string
	region      string
	loop        *eventloop.Loop[Input, Action]
	status      atomic.Pointer[CellStatus]
	lastUsed    atomic.Int64
	stop        context.CancelFunc
	poller      *poller
	orderSender *orderSender
	// pendingOrders are the orders to send. The Cell has at most maxOrders adapter orders and one
	// role order pending. The rest of the capacity is for orders that are still queued here although
	// the Cell no longer counts them, such as those for a removed endpoint.
	pendingOrders chan *OrderAction
	// stopped is closed when run has returned.
	stopped chan struct{}

	mu         sync.Mutex
	pending    map[ident.RequestID]*pendingPlacement
	version    configuration.Version
	configured bool
	members    []membership.Member
}

// pendingPlacement is a placement that the Cell has not decided yet, or whose decision was not
// collected yet.
type pendingPlacement struct {
	done     chan struct{}
	decision *Decision
	waiters  int
	lastSeen clock.Instant
}

func newRunner(o Options, spec *cellSpec) *runner {
	r := &runner{opts: o, cell: spec.name, region: spec.region, pending: map[ident.RequestID]*pendingPlacement{}, stopped: make(chan struct{})}
	r.lastUsed.Store(int64(o.Clock.Now()))
	cell := NewCell(o.Policy)
	if o.Store != nil && o.Dialer != nil {
		cell.EnableOrders()
	}
	r.orderSender = newOrderSender(o, spec.name)
	r.pendingOrders = make(chan *OrderAction, 2*maxOrders)
	r.loop = eventloop.NewLoop(eventloop.Options[Input, Action]{
		Machine:  cell,
		Clock:    o.Clock,
		Capacity: inboxCapacity,
		Tick:     func() Input { return TickInput{} },
		Period:   TickPeriod,

		IdlePeriod: idleTickPeriod,
		Perform:    r.perform,
	})
	r.poller = newPoller(o, r.put)
	r.loop.TryPut(ConfigurationInput{Model: spec.model, Endpoints: spec.endpoints})
	r.poller.configure(spec.endpoints)
	return r
}

func (r *runner) run(ctx context.Context) {
	defer close(r.stopped)
	var wg sync.WaitGroup
	wg.Go(func() { r.loop.Run(ctx) })
	wg.Go(func() { r.poller.run(ctx) })
	wg.Go(func() { r.cancelOrphans(ctx) })
	wg.Go(func() { r.sendOrders(ctx) })
	wg.Wait()
}

// put passes an input to the Cell, waiting for space in its inbox.
func (r *runner) put(ctx context.Context, in Input) { _ = r.loop.Put(ctx, in) }

// configure passes each version of the configuration to the Cell once.
func (r *runner) configure(ctx context.Context, v configuration.Version, spec *cellSpec) {
	if r.configured && r.version == v {
		return
	}
	r.configured, r.version = true, v
	r.put(ctx, ConfigurationInput{Model: spec.model, Endpoints: spec.endpoints})
	r.poller.configure(spec.endpoints)
}

// updateMembers passes the members to the Cell if they have changed.
func (r *runner) updateMembers(ctx context.Context, members []membership.Member) {
	if len(members) == len(r.members) && (len(members) == 0 || &members[0] == &r.members[0]) {
		return
	}
	r.members = members
	r.put(ctx, MembersInput{Members: members})
}

// unused reports whether the cell has no claims or queued requests and has received none for
// retireAfter.
func (r *runner) unused() bool {
	idle := r.opts.Clock.Now().Sub(clock.Instant(r.lastUsed.Load()))
	st := r.status.Load()
	return idle > retireAfter && (st == nil || st.Claims+st.Queued == 0)
}

// place answers m. If m.Wait is set, it replies Waiting after that time, and the sender
// continues the wait by repeating the message. Otherwise it waits until ctx ends.
func (r *runner) place(ctx context.Context, m placeMessage) (placeReply, error) {
	r.lastUsed.Store(int64(r.opts.Clock.Now()))
	id := m.Request.ID
	p, created := r.join(id)
	if created && !r.loop.TryPut(m.input()) {
		r.leave(id, p, true)
		return placeReply{}, errInboxFull
	}
	var timeout <-chan time.Time
	if m.Wait > 0 {
		timer := time.NewTimer(m.Wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-p.done:
		r.leave(id, p, true)
		return p.decision.reply(), nil
	case <-timeout:
		r.leave(id, p, false)
		return placeReply{Waiting: true}, nil
	case <-r.stopped:
		return placeReply{}, errCellStopped
	case <-ctx.Done():
		r.leave(id, p, true)
		r.cancel(id)
		return placeReply{}, errRequestEnded
	}
}

var (
	errCellStopped  = fault.New(fault.Stopping, "retry at another VM", "this VM has stopped serving the cell")
	errInboxFull    = fault.New(fault.Overloaded, "retry later", "the cell's input queue is full", fault.WithRetryAfter(minEjection))
	errRequestEnded = fault.New(fault.Timeout, "retry, or allow more time", "the request was cancelled or timed out before it was placed")
)

func (m placeMessage) input() Input {
	if m.Failed != "" {
		return ReassignInput{Request: m.Request, Failed: m.Failed}
	}
	return PlaceInput{Request: m.Request}
}

func (d *Decision) reply() placeReply {
	return placeReply{Assignment: d.Assignment, Refusal: d.Refusal}
}

// join registers a waiter for the decision on a request. Calls with the same id share one
// pendingPlacement. created is set for the first of them, which must pass the request to the
// Cell.
func (r *runner) join(id ident.RequestID) (p *pendingPlacement, created bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p = r.pending[id]
	if p == nil {
		p = &pendingPlacement{done: make(chan struct{})}
		r.pending[id] = p
		created = true
	}
	p.waiters++
	return p, created
}

// leave unregisters a waiter. remove is set if the decision was collected or is no longer needed;
// otherwise the placement is retained until the sender repeats its message.
func (r *runner) leave(id ident.RequestID, p *pendingPlacement, remove bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.waiters--
	p.lastSeen = r.opts.Clock.Now()
	if remove && r.pending[id] == p {
		delete(r.pending, id)
	}
}

// cancel removes a request from the Cell's queue, or releases its claim, when its caller no longer
// waits for it. It waits up to orphanTimeout for space in the inbox, because a request that is not
// cancelled remains queued until its wait deadline, and its claim until the request's deadline and
// claimGrace have passed.
func (r *runner) cancel(id ident.RequestID) {
	ctx, stop := context.WithTimeout(context.Background(), orphanTimeout)
	defer stop()
	r.put(ctx, CancelInput{ID: id})
}

// cancelOrphans cancels requests whose sender has stopped repeating its message.
func (r *runner) cancelOrphans(ctx context.Context) {
	ticker := time.NewTicker(orphanTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range r.takeOrphans() {
			r.put(ctx, CancelInput{ID: id})
		}
	}
}

func (r *runner) takeOrphans() []ident.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock.Now()
	var out []ident.RequestID
	for id, p := range r.pending {
		if p.waiters == 0 && now.Sub(p.lastSeen) > orphanTimeout {
			delete(r.pending, id)
			out = append(out, id)
		}
	}
	return out
}

// perform executes one action of the Cell.
func (r *runner) perform(a Action) {
	switch {
	case a.Decision != nil:
		r.answer(a.Decision)
	case a.Status != nil:
		r.status.Store(a.Status)
	case a.Order != nil:
		r.enqueueOrder(a.Order)
	case a.Ejection != nil:
		e := a.Ejection
		countEjection(e)
		r.opts.Log.Warn("endpoint_ejection_changed", zap.String("cell", r.cell), zap.String("endpoint", e.Endpoint), zap.Bool("ejected", e.Ejected), zap.String("cause", e.Cause))
	}
}

// enqueueOrder queues an order, which fails if the queue is full.
func (r *runner) enqueueOrder(a *OrderAction) {
	select {
	case r.pendingOrders <- a:
	default:
		r.loop.TryPut(OrderDoneInput{Endpoint: a.Endpoint, Failed: true})
	}
}

// sendOrders sends the queued orders one at a time.
func (r *runner) sendOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-r.pendingOrders:
			accepted := r.orderSender.send(ctx, a)
			r.put(ctx, OrderDoneInput{Endpoint: a.Endpoint, Failed: !accepted})
		}
	}
}

func (r *runner) answer(d *Decision) {
	r.mu.Lock()
	if p := r.pending[d.ID]; p != nil && p.decision == nil {
		p.decision = d
		p.lastSeen = r.opts.Clock.Now()
		close(p.done)
	}
	r.mu.Unlock()
	countDecision(d)
	logDecision(r.opts.Log, r.cell, d)
}
