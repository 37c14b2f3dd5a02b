package placement

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/duty"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

const (
	// inboxCapacity is the most inputs that wait for a Cell; asks beyond it are refused.
	inboxCapacity = 4096
	// orphanLimit is how long a request stays whose asker does not repeat its message.
	orphanLimit = time.Second
	// retireAfter is how long a cell that this VM does not own is kept without requests.
	retireAfter = 10 * time.Second
)

// runner runs one Cell in a goroutine and answers those who ask.
type runner struct {
	opts   Options
	cell   string
	region string
	loop   *duty.Loop[Input, Action]
	status atomic.Pointer[CellStatus]
	used   atomic.Int64
	stop   context.CancelFunc
	poller *poller
	orders *orderer
	// given are orders to be carried out; the Cell has at most maxOrders under way.
	given chan *OrderAction
	// dead is closed when run has ended.
	dead chan struct{}

	mu      sync.Mutex
	asked   map[ident.RequestID]*asked
	version configuration.Version
	set     bool
	members []membership.Member
}

// asked is a question that the Cell has not answered, or whose answer nobody has fetched.
type asked struct {
	done     chan struct{}
	decision *Decision
	waiters  int
	seen     clock.Instant
}

func newRunner(o Options, spec *cellSpec) *runner {
	r := &runner{opts: o, cell: spec.name, region: spec.region, asked: map[ident.RequestID]*asked{}, dead: make(chan struct{})}
	r.used.Store(int64(o.Clock.Now()))
	cell := NewCell(o.Policy)
	if o.Store != nil && o.Dialer != nil {
		cell.AllowOrders()
	}
	r.orders = newOrderer(o, spec.name)
	r.given = make(chan *OrderAction, 2*maxOrders)
	r.loop = duty.NewLoop(duty.Options[Input, Action]{
		Machine:  cell,
		Clock:    o.Clock,
		Capacity: inboxCapacity,
		Tick:     func() Input { return TickInput{} },
		Period:   TickPeriod,

		IdlePeriod: idleTickPeriod,
		Perform:    r.perform,
	})
	r.poller = newPoller(o, r.put)
	r.loop.Offer(ConfigurationInput{Model: spec.model, Endpoints: spec.endpoints})
	r.poller.configure(spec.endpoints)
	return r
}

func (r *runner) run(ctx context.Context) {
	defer close(r.dead)
	var wg sync.WaitGroup
	wg.Go(func() { r.loop.Run(ctx) })
	wg.Go(func() { r.poller.run(ctx) })
	wg.Go(func() { r.dropOrphans(ctx) })
	wg.Go(func() { r.giveOrders(ctx) })
	wg.Wait()
}

// put hands an input to the Cell, waiting for room.
func (r *runner) put(ctx context.Context, in Input) { _ = r.loop.Put(ctx, in) }

// configure hands on a configuration once for each version.
func (r *runner) configure(ctx context.Context, v configuration.Version, spec *cellSpec) {
	if r.set && r.version == v {
		return
	}
	r.set, r.version = true, v
	r.put(ctx, ConfigurationInput{Model: spec.model, Endpoints: spec.endpoints})
	r.poller.configure(spec.endpoints)
}

// see hands on the members when they have changed.
func (r *runner) see(ctx context.Context, members []membership.Member) {
	if len(members) == len(r.members) && (len(members) == 0 || &members[0] == &r.members[0]) {
		return
	}
	r.members = members
	r.put(ctx, MembersInput{Members: members})
}

// unused reports whether the cell has had nothing to do for a while.
func (r *runner) unused() bool {
	idle := r.opts.Clock.Now().Sub(clock.Instant(r.used.Load()))
	st := r.status.Load()
	return idle > retireAfter && (st == nil || st.Claims+st.Queued == 0)
}

// ask answers m. With a Wait it gives up after that time, and the same message asked again
// goes on waiting; without one it waits until ctx ends.
func (r *runner) ask(ctx context.Context, m askMessage) (askReply, error) {
	r.used.Store(int64(r.opts.Clock.Now()))
	id := m.Request.ID
	a, fresh := r.join(id)
	if fresh && !r.loop.Offer(m.input()) {
		r.leave(id, a, true)
		return askReply{}, errInboxFull
	}
	var patience <-chan time.Time
	if m.Wait > 0 {
		timer := time.NewTimer(m.Wait)
		defer timer.Stop()
		patience = timer.C
	}
	select {
	case <-a.done:
		r.leave(id, a, true)
		return a.decision.reply(), nil
	case <-patience:
		r.leave(id, a, false)
		return askReply{Waiting: true}, nil
	case <-r.dead:
		return askReply{}, errCellStopped
	case <-ctx.Done():
		r.leave(id, a, true)
		r.cancel(id)
		return askReply{}, errAskEnded
	}
}

var (
	errCellStopped = fault.New(fault.Stopping, "ask another VM", "this VM has stopped serving the cell")
	errInboxFull   = fault.New(fault.Overloaded, "retry later", "the cell's inbox is full", fault.WithRetryAfter(minEjection))
	errAskEnded    = fault.New(fault.Timeout, "retry, or allow more time", "the request ended before it was placed")
)

func (m askMessage) input() Input {
	if m.Failed != "" {
		return ReassignInput{Request: m.Request, Failed: m.Failed, Started: m.Started}
	}
	return PlaceInput{Request: m.Request}
}

func (d *Decision) reply() askReply { return askReply{Assignment: d.Assignment, Refusal: d.Refusal} }

func (r *runner) join(id ident.RequestID) (a *asked, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a = r.asked[id]
	if a == nil {
		a = &asked{done: make(chan struct{})}
		r.asked[id] = a
		fresh = true
	}
	a.waiters++
	return a, fresh
}

func (r *runner) leave(id ident.RequestID, a *asked, over bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.waiters--
	a.seen = r.opts.Clock.Now()
	if over && r.asked[id] == a {
		delete(r.asked, id)
	}
}

// cancel frees a request whose asker has gone. It must not be lost, so it waits for room.
func (r *runner) cancel(id ident.RequestID) {
	ctx, stop := context.WithTimeout(context.Background(), orphanLimit)
	defer stop()
	r.put(ctx, CancelInput{ID: id})
}

// dropOrphans cancels requests whose asker has stopped asking.
func (r *runner) dropOrphans(ctx context.Context) {
	ticker := time.NewTicker(orphanLimit / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range r.orphans() {
			r.put(ctx, CancelInput{ID: id})
		}
	}
}

func (r *runner) orphans() []ident.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock.Now()
	var out []ident.RequestID
	for id, a := range r.asked {
		if a.waiters == 0 && now.Sub(a.seen) > orphanLimit {
			delete(r.asked, id)
			out = append(out, id)
		}
	}
	return out
}

// perform carries out one action of the Cell.
func (r *runner) perform(a Action) {
	switch {
	case a.Decision != nil:
		r.answer(a.Decision)
	case a.Status != nil:
		r.status.Store(a.Status)
	case a.Order != nil:
		r.handOrder(a.Order)
	case a.Ejection != nil:
		e := a.Ejection
		countEjection(e)
		r.opts.Log.Warn("endpoint_ejection", zap.String("cell", r.cell), zap.String("endpoint", e.Endpoint), zap.Bool("ejected", e.Ejected), zap.String("cause", e.Cause))
	}
}

// handOrder queues an order; one that finds no room counts as failed.
func (r *runner) handOrder(a *OrderAction) {
	select {
	case r.given <- a:
	default:
		r.loop.Offer(OrderDoneInput{Endpoint: a.Endpoint, Failed: true})
	}
}

// giveOrders carries out orders one by one.
func (r *runner) giveOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-r.given:
			taken := r.orders.give(ctx, a)
			r.put(ctx, OrderDoneInput{Endpoint: a.Endpoint, Failed: !taken})
		}
	}
}

func (r *runner) answer(d *Decision) {
	r.mu.Lock()
	if a := r.asked[d.ID]; a != nil && a.decision == nil {
		a.decision = d
		a.seen = r.opts.Clock.Now()
		close(a.done)
	}
	r.mu.Unlock()
	countDecision(d)
	logDecision(r.opts.Log, r.cell, d)
}
