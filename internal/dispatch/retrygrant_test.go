package dispatch_test

import (
	"context"
	"io"
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

// serveWithGrants serves calls that fail at their first endpoint by a VM without retries of its own. Other VMs grant amount some time after they are asked.
// It returns the errors and how long the calls took.
func serveWithGrants(t *testing.T, calls int, amount float64, after time.Duration) (errs []error, took []time.Duration) {
	t.Helper()
	failed := true
	f := &fakeBackend{run: func(int, context.Context, backend.Request) (*backend.Response, error) {
		if failed = !failed; failed {
			return reply(http.StatusOK, "whole"), nil
		}
		return nil, &backend.SendError{Sent: true, Err: io.ErrUnexpectedEOF}
	}}
	synctest.Test(t, func(t *testing.T) {
		now, cfg := clock.NewMonotonic(), testConfiguration()
		cfg.WorkspaceByKey("key").Rate = 0
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		gate := admission.NewController(now, admission.RetryBudget{Window: 10 * time.Second, Slack: 1}, admission.PlanOptions{Window: time.Second}, 2, nil)
		gate.SetFleetShares(admission.FleetShares{DirectShare: 1, LiveShare: 1, RemainderShare: 1, SlackShare: 0.5})
		d := newTestDispatcher(now, cfg, s, f, func(o *dispatch.Options) { o.Admission = gate })
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		go func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-gate.RetriesShort():
				}
				for _, need := range gate.TakeRetryNeeds() {
					sentAt := now.Now()
					time.Sleep(after)
					gate.AddRetryGrant(need.Service, amount, sentAt)
				}
			}
		}()
		for range calls {
			failed = true
			call := newCall(repeatPath)
			call.ArrivedAt = now.Now()
			call.Deadline = call.ArrivedAt.Add(5 * time.Second)
			errs = append(errs, d.Serve(t.Context(), call, &recordingSink{}))
			took = append(took, now.Now().Sub(call.ArrivedAt))
		}
		stop()
		time.Sleep(time.Second) // for the last grant
		synctest.Wait()
	})
	return errs, took
}

// TestFailedCallWaitsForRetriesOfOtherVMs guards against calls that fail although other VMs would have granted a retry a moment later.
func TestFailedCallWaitsForRetriesOfOtherVMs(t *testing.T) {
	errs, took := serveWithGrants(t, 5, 1, 20*time.Millisecond)
	for i, err := range errs {
		if err != nil || took[i] > 150*time.Millisecond {
			t.Errorf("call %d: error %v after %v", i, err, took[i])
		}
	}
}

// TestFailedCallsDoNotWaitWhileOtherVMsHaveNoRetries guards against errors that are held back although no VM has a retry.
func TestFailedCallsDoNotWaitWhileOtherVMsHaveNoRetries(t *testing.T) {
	errs, took := serveWithGrants(t, 5, 0, 20*time.Millisecond)
	for i, err := range errs {
		if err == nil {
			t.Errorf("call %d succeeded without a retry", i)
		}
		if i > 0 && took[i] > 0 {
			t.Errorf("call %d failed after %v, want at once", i, took[i])
		}
	}
}
