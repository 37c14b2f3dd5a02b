package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// soughtEvidence is evidence that is there after it has been sought a number of times.
type soughtEvidence struct {
	outcome backend.LifetimeOutcome
	left    atomic.Int32
}

func (e *soughtEvidence) Look() backend.LifetimeOutcome {
	if e.left.Load() > 0 {
		return backend.LifetimeOpen
	}
	return e.outcome
}

func (e *soughtEvidence) Seek() { e.left.Add(-1) }

// TestStreamGoesOnInItsResponseOnlyAtAKnownVersion guards against responses with events of two versions, as the engine that broke off may
// not have been the one that the table shows.
func TestStreamGoesOnInItsResponseOnlyAtAKnownVersion(t *testing.T) {
	for _, tc := range []struct {
		name    string
		outcome backend.LifetimeOutcome
		after   int32
		goesOn  bool
	}{
		{"known before it is sought", backend.LifetimeReported, 0, true},
		{"reported after a while", backend.LifetimeReported, 5, true},
		{"reported after a while", backend.LifetimeReported, 5, true},
		{"gone", backend.LifetimeGone, 1, false},
		{"started again", backend.LifetimeOther, 1, false},
		{"open", backend.LifetimeReported, 1 << 20, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := &soughtEvidence{outcome: tc.outcome}
			e.left.Store(tc.after)
			f := &fakeBackend{run: func(n int, _ context.Context, _ backend.Request) (*backend.Response, error) {
				if n == 1 {
					r := truncated(events(1, 2))
					r.EventStream, r.Lifetime = true, e
					return r, nil
				}
				r := reply(200, events(3, 3))
				r.EventStream, r.Delimited = true, true
				return r, nil
			}}
			synctest.Test(t, func(t *testing.T) {
				now, cfg, out := clock.NewMonotonic(), testConfiguration(), &recordingSink{}
				s := schedule.New(schedule.Options{Clock: now, DataCentre: "a"})
				s.UpdateEndpoints(mixedEndpoints("v1"), cfg.Services)
				time.Sleep(time.Minute)
				d := newTestDispatcher(now, cfg, s, f, func(*dispatch.Options) {})
				time.Sleep(time.Minute)
				call := newCall(resumablePath)
				call.ArrivedAt = now.Now()
				call.Deadline = call.ArrivedAt.Add(5 * time.Second)
				err := d.Serve(t.Context(), call, out)
				want := events(1, 2)
				if tc.goesOn {
					want = events(1, 3)
				}
				if (err == nil) != tc.goesOn || out.body.String() != want || (f.count("run") == 2) != tc.goesOn {
					t.Errorf("error %v, body %q, sends %v", err, out.body.String(), f.sends)
				}
				time.Sleep(2 * time.Minute) // the record of a stream that is broken off expires
			})
		})
	}
}
