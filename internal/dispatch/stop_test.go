package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// stopCase is a call that is in progress when its process stops.
type stopCase struct {
	name, path string
	// full is set if no endpoint has room.
	full bool
	// sent is set if the call is sent before the process stops.
	sent      bool
	execution fault.Execution
}

var stopCases = []stopCase{
	{"plain call waiting for an endpoint", oncePath, true, false, fault.NotExecuted},
	{"plain call being connected", repeatPath, false, false, fault.NotExecuted},
	{"plain call sent", oncePath, false, true, fault.ExecutionUnknown},
	{"generation waiting for an engine", resumablePath, true, false, fault.NotExecuted},
	{"generation sent", streamPath, false, true, fault.ExecutionUnknown},
}

// serveUntilStopped serves the call of a case and calls stop once the call waits. cancel cancels the context of the call.
func serveUntilStopped(t *testing.T, tc stopCase, stop func(*dispatch.Dispatcher, context.CancelCauseFunc)) (err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		now, cfg := clock.NewMonotonic(), testConfiguration()
		cfg.WorkspaceByKey("key").Rate = 0
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 1})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		if tc.full {
			for _, e := range testEndpoints().List {
				s.UpdateWork(ident.VM{Name: "other"}, 1, e.ID, schedule.Work{Calls: 100, Tokens: 50_000})
			}
		}
		f := &fakeBackend{run: func(_ int, ctx context.Context, _ backend.Request) (*backend.Response, error) {
			<-ctx.Done()
			return nil, &backend.SendError{Sent: tc.sent, Err: context.Cause(ctx)}
		}}
		d := newTestDispatcher(now, cfg, s, f, nil)
		call := newCall(tc.path)
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(5 * time.Second)
		ctx, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		ended := make(chan error, 1)
		go func() { ended <- d.Serve(ctx, call, &recordingSink{}) }()
		synctest.Wait()
		select {
		case err := <-ended:
			t.Fatalf("the call ended before the stop: %v", err)
		default:
		}
		if sent := f.count("run") > 0; sent == tc.full {
			t.Fatalf("the call was sent before the stop: %v", sent)
		}
		stop(d, cancel)
		err = <-ended
	})
	return err
}

// TestStopIsNotReportedAsCancelledByTheCaller guards against calls that their process ends and whose callers are told that
// they cancelled them themselves, and not when to retry.
func TestStopIsNotReportedAsCancelledByTheCaller(t *testing.T) {
	for _, tc := range stopCases {
		t.Run(tc.name, func(t *testing.T) {
			err := serveUntilStopped(t, tc, func(_ *dispatch.Dispatcher, cancel context.CancelCauseFunc) {
				cancel(fault.New(fault.Stopping, "retry", "this VM is shutting down"))
			})
			checkStopped(t, err, tc.execution)
		})
	}
}

func checkStopped(t *testing.T, err error, execution fault.Execution) {
	t.Helper()
	checkError(t, err, fault.Stopping, execution)
	if d := fault.DetailOf(err); (d.RetryAfter > 0) != (execution == fault.NotExecuted) {
		t.Errorf("retry delay %v with execution %s", d.RetryAfter, execution)
	}
}

// TestStopAnswersCallsInProgress guards against calls that a stop leaves without an answer or a refusal.
func TestStopAnswersCallsInProgress(t *testing.T) {
	for _, tc := range stopCases {
		t.Run(tc.name, func(t *testing.T) {
			err := serveUntilStopped(t, tc, func(d *dispatch.Dispatcher, _ context.CancelCauseFunc) { d.Stop() })
			checkStopped(t, err, tc.execution)
		})
	}
}

// TestCallThatArrivesAfterStopIsNotSent guards against calls that begin at endpoints when no time is left for their answers.
func TestCallThatArrivesAfterStopIsNotSent(t *testing.T) {
	f := &fakeBackend{}
	synctest.Test(t, func(t *testing.T) {
		now, cfg := clock.NewMonotonic(), testConfiguration()
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 1})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		d := newTestDispatcher(now, cfg, s, f, nil)
		d.Stop()
		call := newCall(oncePath)
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(time.Second)
		checkStopped(t, d.Serve(t.Context(), call, &recordingSink{}), fault.NotExecuted)
	})
	if len(f.sends) != 0 {
		t.Errorf("backend received %v", f.sends)
	}
}
