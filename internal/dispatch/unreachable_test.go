package dispatch_test

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/quarantine"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// cutOff is a backend of a VM that loses all its paths: requests are reset, and new connections refused.
type cutOff struct{ *fakeBackend }

func (cutOff) Connect(context.Context, traffic.Endpoint) error { return syscall.ECONNREFUSED }

func TestVMThatLosesItsPathsQuarantinesNoRequest(t *testing.T) {
	for _, reachedElsewhere := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			now, cfg := clock.NewMonotonic(), testConfiguration()
			s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 1})
			s.UpdateEndpoints(testEndpoints(), cfg.Services)
			q := quarantine.NewController(quarantine.Options{Clock: now, Log: zap.NewNop(), Metrics: metrics.NewSet()})
			f := cutOff{&fakeBackend{run: func(int, context.Context, backend.Request) (*backend.Response, error) {
				return nil, &backend.SendError{Sent: true, Err: syscall.ECONNRESET}
			}}}
			d := newTestDispatcher(now, cfg, s, f, func(o *dispatch.Options) {
				o.Quarantine = q
				o.ReachedElsewhere = func(context.Context, traffic.Endpoint) bool { return reachedElsewhere }
			})
			ctx, stop := context.WithCancel(t.Context())
			defer func() {
				stop()
				synctest.Wait()
			}()
			go d.Run(ctx)
			for range 4 {
				call := newCall(oncePath)
				call.ArrivedAt = now.Now()
				call.Deadline = call.ArrivedAt.Add(time.Second)
				if err := d.Serve(t.Context(), call, &recordingSink{}); err == nil {
					t.Error("a reset request succeeded")
				}
				time.Sleep(time.Second)
			}
			key := newCall(oncePath)
			key.Workspace = cfg.WorkspaceByKey("key")
			if refused := q.Check([]string{key.RequestKey()}).Refused(); refused == reachedElsewhere {
				t.Errorf("endpoints reached elsewhere: %v, request quarantined: %v", reachedElsewhere, refused)
			}
		})
	}
}

// TestConnectionsThatFailUseUpNoRetryBudget checks that a generation goes on to other engines while none of its sends
// has arrived, also with an empty retry budget.
func TestConnectionsThatFailUseUpNoRetryBudget(t *testing.T) {
	f := &fakeBackend{prefill: func(n int, _ backend.Request) error {
		if n == 1 {
			return notSent()
		}
		return nil
	}}
	synctest.Test(t, func(t *testing.T) {
		now, cfg := clock.NewMonotonic(), testConfiguration()
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 1})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		time.Sleep(time.Minute) // the first windows of the controller include time before its start
		d := newTestDispatcher(now, cfg, s, f, func(o *dispatch.Options) {
			time.Sleep(time.Minute)
			for o.Admission.SpendRetry("engines", 0) {
				continue
			}
		})
		call, out := newCall(streamPath), &recordingSink{}
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(5 * time.Second)
		if err := d.Serve(t.Context(), call, out); err != nil || out.status != http.StatusOK {
			t.Errorf("status %d, error %v", out.status, err)
		}
	})
}
