package dispatch_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestConfigurationChangeEndsNoCallInProgress guards against calls that are cut off or refused because a configuration
// comes into force while they are served or wait for an endpoint.
func TestConfigurationChangeEndsNoCallInProgress(t *testing.T) {
	shortTimeouts := testConfiguration()
	for _, r := range shortTimeouts.Routes() {
		r.Timeout, r.LatencyTarget = time.Millisecond, time.Millisecond
	}
	moved := testConfiguration()
	for _, r := range moved.Routes() {
		r.Targets = []traffic.Target{{Service: "other", Weight: 1}}
	}
	for name, next := range map[string]*traffic.Configuration{
		"everything removed": traffic.NewConfiguration(2, nil, nil, nil, traffic.Limits{}),
		"shorter timeouts":   shortTimeouts,
		"routes moved":       moved,
	} {
		for _, path := range []string{oncePath, repeatPath, streamPath, resumablePath} {
			for _, waiting := range []bool{false, true} {
				t.Run(name+path+map[bool]string{false: "served", true: "waiting"}[waiting], func(t *testing.T) {
					out := &recordingSink{}
					if err := serveDuringChange(t, next, newCall(path), waiting, out); err != nil || out.status != http.StatusOK {
						t.Errorf("status %d, error %v", out.status, err)
					}
				})
			}
		}
	}
}

// serveDuringChange serves a call. Once its endpoint has received it, or it waits for one, another configuration comes into
// force, and then the endpoints answer.
func serveDuringChange(t *testing.T, next *traffic.Configuration, call *traffic.Call, waiting bool, out dispatch.Sink) (err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		now, first := clock.NewMonotonic(), testConfiguration()
		first.WorkspaceByKey("key").Rate = 0
		var inForce atomic.Pointer[traffic.Configuration]
		inForce.Store(first)
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 1})
		s.UpdateEndpoints(testEndpoints(), first.Services)
		report := func(seq uint64, w schedule.Work) {
			for _, e := range testEndpoints().List {
				s.UpdateWork(ident.VM{Name: "other"}, seq, e.ID, w)
			}
		}
		if waiting {
			report(1, schedule.Work{Calls: 100, Tokens: 50_000})
		}
		answer := make(chan struct{})
		f := &fakeBackend{run: func(_ int, ctx context.Context, _ backend.Request) (*backend.Response, error) {
			select {
			case <-answer:
				return reply(http.StatusOK, events(1, 3)), nil
			case <-ctx.Done():
				return nil, &backend.SendError{Sent: true, Err: context.Cause(ctx)}
			}
		}}
		d := newTestDispatcher(now, first, s, f, func(o *dispatch.Options) { o.Configuration = inForce.Load })
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(5 * time.Second)
		ended := make(chan error, 1)
		go func() { ended <- d.Serve(t.Context(), call, out) }()
		synctest.Wait()
		if sent := f.count("run") > 0; sent == waiting {
			t.Fatalf("the call was sent before the change: %v", sent)
		}
		inForce.Store(next)
		s.UpdateEndpoints(testEndpoints(), next.Services)
		time.Sleep(100 * time.Millisecond)
		report(2, schedule.Work{})
		close(answer)
		err = <-ended
	})
	return err
}
