package dispatch_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// silentEngine is a backend of which one prefill engine is silent for a time.
type silentEngine struct {
	fakeBackend
	silence time.Duration
	until   time.Time
}

// begin begins the silence.
func (f *silentEngine) begin() { f.until = time.Now().Add(f.silence) }

func (f *silentEngine) Prefill(ctx context.Context, req backend.Request) (backend.Handle, error) {
	if req.Endpoint.ID.Name == "prefill1" && !clock.Sleep(ctx, time.Until(f.until)) {
		return backend.Handle{}, &backend.SendError{Sent: true, Err: context.Cause(ctx)}
	}
	return f.fakeBackend.Prefill(ctx, req)
}

// TestOtherVMsAreNotToldThatASilentEngineIsDead guards against engines that all VMs avoid although they were only silent
// for a second.
func TestOtherVMsAreNotToldThatASilentEngineIsDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &silentEngine{silence: silence}
		now := clock.NewMonotonic()
		cfg := testConfiguration()
		var outcomes []schedule.Outcome
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7, OnFailure: func(_ traffic.EndpointID, _ string, o schedule.Outcome) {
			outcomes = append(outcomes, o)
		}})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		budget := admission.RetryBudget{Window: 10 * time.Second, Slack: retrySlack}
		gate := newTestGate(now, budget)
		time.Sleep(time.Minute)
		d := newTestDispatcher(now, cfg, s, f, func(o *dispatch.Options) { o.Admission = gate })
		f.begin()
		for range 20 {
			call := newCall(streamPath)
			call.Tokens = &traffic.Tokens{Prompt: 50, MaxOutput: 5}
			call.ArrivedAt = now.Now()
			call.Deadline = call.ArrivedAt.Add(5 * time.Second)
			if err := d.Serve(t.Context(), call, &recordingSink{}); err != nil {
				t.Error(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if slices.Contains(outcomes, schedule.Dead) || len(outcomes) == 0 {
			t.Errorf("outcomes %v, want failures and none that says dead", outcomes)
		}
	})
}

// TestEngineOfUnknownLifetimeIsNotDead guards against engines that all VMs avoid because a VM held back a stream that was to go on there, as
// it was not known whether the engine has started again.
func TestEngineOfUnknownLifetimeIsNotDead(t *testing.T) {
	for _, path := range []string{streamPath, resumablePath} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeBackend{run: func(int, context.Context, backend.Request) (*backend.Response, error) {
				return nil, &backend.SendError{Err: fmt.Errorf("wrapped: %w", backend.ErrHeldBack)}
			}}
			now, cfg := clock.NewMonotonic(), testConfiguration()
			s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7, OnFailure: func(id traffic.EndpointID, _ string, o schedule.Outcome) {
				t.Errorf("%s: %s is told to have outcome %v", path, id.Name, o)
			}})
			s.UpdateEndpoints(testEndpoints(), cfg.Services)
			d := newTestDispatcher(now, cfg, s, f, nil)
			time.Sleep(time.Minute)
			usable, _ := s.Usable("engines")
			call := newCall(path)
			call.Tokens = &traffic.Tokens{Prompt: 50, MaxOutput: 5}
			call.ArrivedAt = now.Now()
			call.Deadline = call.ArrivedAt.Add(5 * time.Second)
			if err := d.Serve(t.Context(), call, &recordingSink{}); err == nil {
				t.Errorf("%s: no error", path)
			}
			if n, _ := s.Usable("engines"); n != usable || f.count("run") == 0 {
				t.Errorf("%s: %d of %d engines are usable after %d tries", path, n, usable, f.count("run"))
			}
		})
	}
}
