package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// serveSeries serves calls one after the other, each a period after the one before, and returns the admission that counted them.
func serveSeries(t *testing.T, f *fakeBackend, path string, calls int, period time.Duration) (state admission.RetryState) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		now, cfg := clock.NewMonotonic(), testConfiguration()
		cfg.WorkspaceByKey("key").Rate = 0
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		time.Sleep(time.Minute)
		gate := newTestGate(now, testRetryBudget)
		time.Sleep(time.Minute)
		d := newTestDispatcher(now, cfg, s, f, func(o *dispatch.Options) { o.Admission = gate })
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		for range calls {
			call := newCall(path)
			call.ArrivedAt = now.Now()
			call.Deadline = call.ArrivedAt.Add(period)
			began := time.Now()
			_ = d.Serve(t.Context(), call, &recordingSink{})
			time.Sleep(period - time.Since(began))
		}
		state = gate.RetryState("engines")
		stop()
		synctest.Wait()
	})
	return state
}

// TestPrefillsThatAreNotFreeCountAsRetries guards against retries beyond the budget that no VM counts: prefills that engines reject, and
// prefills after the first one that an engine accepted.
func TestPrefillsThatAreNotFreeCountAsRetries(t *testing.T) {
	rejection := &backend.SendError{Sent: true, Rejected: true, Err: context.Canceled}
	for _, tc := range []struct {
		name string
		f    *fakeBackend
		path string
		want float64
	}{
		{"accepted", &fakeBackend{}, streamPath, 0},
		{"rejected once", &fakeBackend{prefill: func(n int, _ backend.Request) error {
			if n == 1 {
				return rejection
			}
			return nil
		}}, streamPath, 1},
		{"rejected by all", &fakeBackend{prefill: func(int, backend.Request) error { return rejection }}, streamPath, 3},
		{"stream that goes on", &fakeBackend{run: func(n int, _ context.Context, _ backend.Request) (*backend.Response, error) {
			if n == 1 {
				return truncated(events(1, 2)), nil
			}
			return reply(http.StatusOK, events(3, 3)), nil
		}}, resumablePath, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			state := serveSeries(t, tc.f, tc.path, 1, 5*time.Second)
			if arrived := float64(tc.f.count("prefill")+tc.f.count("run")) - 2; tc.want > 0 && tc.f.count("run") > 0 && arrived != tc.want {
				t.Fatalf("%v requests arrived beyond the free ones, want %v: %v", arrived, tc.want, tc.f.sends)
			}
			if state.Retries != tc.want {
				t.Errorf("%v retries are counted, want %v: %v", state.Retries, tc.want, tc.f.sends)
			}
		})
	}
}

// TestRejectedPrefillsStayWithinTheRetryBudget guards against engines that reject the prefills of all calls and get one of each.
func TestRejectedPrefillsStayWithinTheRetryBudget(t *testing.T) {
	const calls = 300
	f := &fakeBackend{prefill: func(int, backend.Request) error {
		return &backend.SendError{Sent: true, Rejected: true, Err: context.Canceled}
	}}
	serveSeries(t, f, streamPath, calls, testRetryBudget.Window/calls)
	allowed := testRetryBudget.Ratio*calls + testRetryBudget.Slack
	if n := f.count("prefill"); float64(n) > allowed {
		t.Errorf("%d rejected prefills in a window, %v retries are allowed", n, allowed)
	}
}
