package duty_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/duty"
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

func TestLoopStepsInputsAndTicksInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var done []string
		m := &recorder{}
		l := duty.NewLoop(duty.Options[string, string]{
			Machine: m, Clock: clock.NewProcess(), Capacity: 1,
			Tick: func() string { return "tick" }, Period: time.Second,
			Perform: func(a string) { done = append(done, a) },
		})
		if !l.Offer("first") || l.Offer("second") {
			t.Error("a full inbox must refuse")
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
				t.Errorf("step %d: %+v, %q", i, m.steps[i], done[i])
			}
		}
	})
}
