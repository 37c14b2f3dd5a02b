package eventloop_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/eventloop"
)

type step struct {
	at clock.Instant
	in string
}

type recorder struct{ steps []step }

func (r *recorder) Step(now clock.Instant, in string) []string {
	r.steps = append(r.steps, step{now, in})
	return []string{"did " + in}
}

func TestLoopProcessesInputsAndTicksInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var done []string
		m := &recorder{}
		l := eventloop.NewLoop(eventloop.Options[string, string]{
			Machine: m, Clock: clock.NewMonotonic(), Capacity: 1,
			Tick: func() string { return "tick" }, Period: time.Second,
			Perform: func(a string) { done = append(done, a) },
		})
		if !l.TryPut("first") || l.TryPut("second") {
			t.Error("TryPut must accept an input while the queue has space and reject it once the queue is full")
		}
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		time.Sleep(1500 * time.Millisecond)
		if err := l.Put(ctx, "third"); err != nil {
			t.Error(err)
		}
		synctest.Wait()
		cancel()
		want := []step{{0, "first"}, {clock.Instant(time.Second), "tick"}, {clock.Instant(1500 * time.Millisecond), "third"}}
		for i, w := range want {
			if m.steps[i] != w || done[i] != "did "+w.in {
				t.Errorf("step %d: got %+v with action %q", i, m.steps[i], done[i])
			}
		}
	})
}

// idleMachine is idle until it receives "work" and becomes idle again after three more ticks.
type idleMachine struct {
	ticks     []clock.Instant
	ticksLeft int
}

func (m *idleMachine) Step(now clock.Instant, in string) []string {
	if in == "work" {
		m.ticksLeft = 3
		return nil
	}
	m.ticks = append(m.ticks, now)
	m.ticksLeft--
	return nil
}
func (m *idleMachine) Idle() bool { return m.ticksLeft <= 0 }

func TestIdleMachineTicksAtIdlePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &idleMachine{}
		l := eventloop.NewLoop(eventloop.Options[string, string]{
			Machine: m, Clock: clock.NewMonotonic(), Capacity: 1, Tick: func() string { return "tick" },
			Period: 10 * time.Millisecond, IdlePeriod: 100 * time.Millisecond, Perform: func(string) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		time.Sleep(250 * time.Millisecond)
		l.TryPut("work")
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		cancel()
		ms := clock.Instant(time.Millisecond)
		want := []clock.Instant{10 * ms, 110 * ms, 210 * ms, 260 * ms, 270 * ms, 280 * ms, 380 * ms}
		if !slices.Equal(m.ticks, want) {
			t.Errorf("ticks at %v, want %v", m.ticks, want)
		}
	})
}
