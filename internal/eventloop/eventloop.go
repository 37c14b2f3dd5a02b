// Package eventloop runs a deterministic state machine in a single goroutine that receives its input from
// a bounded queue.
package eventloop

import (
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Machine is a deterministic state machine. Step processes one input at the given time and returns the
// resulting actions. It must not read a clock, start a goroutine or perform I/O.
type Machine[In, Action any] interface {
	Step(now clock.Instant, in In) []Action
}

// Idler is implemented by a Machine that can report that it has no work in progress. Its loop then ticks
// less often.
type Idler interface {
	Idle() bool
}

// Loop passes queued inputs and ticks to a Machine and performs the resulting actions.
type Loop[In, Action any] struct {
	machine    Machine[In, Action]
	clock      clock.Clock
	queue      chan In
	tick       func() In
	period     time.Duration
	idlePeriod time.Duration
	idle       bool
	perform    func(Action)
}

// Options configure a Loop.
type Options[In, Action any] struct {
	// Machine is the state machine to run.
	Machine Machine[In, Action]
	// Clock provides the time passed to each Step.
	Clock clock.Clock
	// Capacity is the maximum number of queued inputs.
	Capacity int
	// Tick returns the input for a tick. If nil, the loop does not tick.
	Tick func() In
	// Period is the interval between ticks.
	Period time.Duration
	// IdlePeriod is the interval between ticks while the Machine implements Idler and is idle. The
	// default, and the minimum, is Period.
	IdlePeriod time.Duration
	// Perform executes one action. It is called from the loop's goroutine and must not block.
	Perform func(Action)
}

// NewLoop returns a Loop. Call Run to start it.
func NewLoop[In, Action any](o Options[In, Action]) *Loop[In, Action] {
	return &Loop[In, Action]{
		machine:    o.Machine,
		clock:      o.Clock,
		queue:      make(chan In, o.Capacity),
		tick:       o.Tick,
		period:     o.Period,
		idlePeriod: max(o.Period, o.IdlePeriod),
		perform:    o.Perform,
	}
}

// TryPut queues an input without blocking. It returns false if the queue is full.
func (l *Loop[In, Action]) TryPut(in In) bool {
	select {
	case l.queue <- in:
		return true
	default:
		return false
	}
}

// Put queues an input. If the queue is full, it blocks until there is space or ctx is done.
func (l *Loop[In, Action]) Put(ctx context.Context, in In) error {
	select {
	case l.queue <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run processes inputs and ticks until ctx is done.
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
		case in := <-l.queue:
			l.step(in)
		case <-ticks:
			l.step(l.tick())
		}
		l.adjustTicker(reset)
	}
}

// adjustTicker changes the tick interval when the machine becomes idle or busy.
func (l *Loop[In, Action]) adjustTicker(reset func(time.Duration)) {
	m, ok := l.machine.(Idler)
	if !ok || m.Idle() == l.idle {
		return
	}
	l.idle = !l.idle
	if l.idle {
		reset(l.idlePeriod)
	} else {
		reset(l.period)
	}
}

func (l *Loop[In, Action]) step(in In) {
	for _, a := range l.machine.Step(l.clock.Now(), in) {
		l.perform(a)
	}
}
