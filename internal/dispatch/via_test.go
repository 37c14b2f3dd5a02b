package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// refusingVMs is a backend in which other VMs refuse requests, as the endpoint is not listed there, no longer or not yet.
type refusingVMs struct {
	fakeBackend
	// takes is a VM that does not refuse, empty for none.
	takes string
}

func (f *refusingVMs) refuses(req backend.Request) bool {
	return req.Via != nil && req.Via.VM != f.takes
}

func (f *refusingVMs) Run(ctx context.Context, req backend.Request) (*backend.Response, error) {
	if f.refuses(req) {
		return nil, notSent()
	}
	return f.fakeBackend.Run(ctx, req)
}

func (f *refusingVMs) Prefill(ctx context.Context, req backend.Request) (backend.Handle, error) {
	if f.refuses(req) {
		return backend.Handle{}, notSent()
	}
	return f.fakeBackend.Prefill(ctx, req)
}

// TestCallThroughAVMThatDoesNotListTheEndpoint guards against calls beside a configuration that end with 502 or without an
// answer, though the VM through which they were to go has refused them.
func TestCallThroughAVMThatDoesNotListTheEndpoint(t *testing.T) {
	for _, path := range []string{oncePath, repeatPath, streamPath, resumablePath} {
		for _, takes := range []string{"", "c"} {
			t.Run(path+" "+takes, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := &refusingVMs{takes: takes}
					now := clock.NewMonotonic()
					cfg := testConfiguration()
					s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
					list := testEndpoints()
					s.UpdateEndpoints(list, cfg.Services)
					time.Sleep(time.Minute)
					d := newTestDispatcher(now, cfg, s, f, func(o *dispatch.Options) {})
					time.Sleep(time.Minute)
					for _, e := range list.List {
						s.PathLost(e.ID)
						s.SetVia(e.ID, []traffic.Via{{VM: "b", DataCentre: "a"}, {VM: "c", DataCentre: "a"}})
					}
					call, out := newCall(path), &recordingSink{}
					call.ArrivedAt = now.Now()
					call.Deadline = call.ArrivedAt.Add(5 * time.Second)
					err := d.Serve(t.Context(), call, out)
					if takes != "" {
						if err != nil || out.status != http.StatusOK || f.count("run") != 1 {
							t.Errorf("status %d, error %v, %d runs", out.status, err, f.count("run"))
						}
						return
					}
					checkError(t, err, fault.Unavailable, fault.NotExecuted)
				})
			})
		}
	}
}
