// Package duty runs one deterministic state machine in one goroutine, joined to the rest
// of the process by a bounded inbox.
package duty

import (
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Machine decides. Step takes one input at one instant and gives the actions that follow.
// A machine reads no clock, starts no goroutine and touches no socket.
type Machine[In, Action any] interface {
	Step(now clock.Instant, in In) []Action
}

// Idler is a Machine that can say that it has nothing under way, so that its loop may tick
// less often.
type Idler interface {
	Idle() bool
}

// Loop feeds a Machine from its inbox and hands on its actions.
type Loop[In, Action any] struct {
	machine Machine[In, Action]
	clock   clock.Clock
	inbox   chan In
	tick    func() In
	period  time.Duration
	slow    time.Duration
	idle    bool
	perform func(Action)
}

// Options configure a Loop.
type Options[In, Action any] struct {
	// Machine makes the decisions.
	Machine Machine[In, Action]
	// Clock gives the instant of each step.
	Clock clock.Clock
	// Capacity is the most inputs that wait; Offer refuses beyond it.
	Capacity int
	// Tick makes the input that marks the passing of time. Nil sends none.
	Tick func() In
	// Period is the time between ticks.
	Period time.Duration
	// IdlePeriod is the time between ticks while the Machine is an Idler that is idle.
	// Default Period.
	IdlePeriod time.Duration
	// Perform carries out one action in the loop's goroutine; it must not block.
	Perform func(Action)
}

// NewLoop makes a Loop that Run starts.
func NewLoop[In, Action any](o Options[In, Action]) *Loop[In, Action] {
	return &Loop[In, Action]{
		machine: o.Machine,
		clock:   o.Clock,
		inbox:   make(chan In, o.Capacity),
		tick:    o.Tick,
		period:  o.Period,
		slow:    max(o.Period, o.IdlePeriod),
		perform: o.Perform,
	}
}

// Offer adds an input and reports false when the inbox is full.
func (l *Loop[In, Action]) Offer(in In) bool {
	select {
	case l.inbox <- in:
		return true
	default:
		return false
	}
}

// Put adds an input, waiting for room until ctx ends.
func (l *Loop[In, Action]) Put(ctx context.Context, in In) error {
	select {
	case l.inbox <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run steps the machine until ctx ends.
func (l *Loop[In, Action]) Run(ctx context.Context) {
	if l.tick == nil {
		l.serve(ctx, nil, func(time.Duration) {})
		return
	}
	t := time.NewTicker(l.period)
	defer t.Stop()
	l.serve(ctx, t.C, t.Reset)
}

func (l *Loop[In, Action]) serve(ctx context.Context, ticks <-chan time.Time, reset func(time.Duration)) {
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-l.inbox:
			l.step(in)
		case <-ticks:
			l.step(l.tick())
		}
		l.pace(reset)
	}
}

// pace changes the time between ticks when the machine becomes idle or busy.
func (l *Loop[In, Action]) pace(reset func(time.Duration)) {
	m, ok := l.machine.(Idler)
	if !ok || m.Idle() == l.idle {
		return
	}
	l.idle = !l.idle
	if l.idle {
		reset(l.slow)
	} else {
		reset(l.period)
	}
}

func (l *Loop[In, Action]) step(in In) {
	for _, a := range l.machine.Step(l.clock.Now(), in) {
		l.perform(a)
	}
}
