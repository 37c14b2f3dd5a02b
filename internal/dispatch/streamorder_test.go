package dispatch_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// TestEngineThatBeginsAStreamAnewIsReplaced guards against events that callers get twice, or that are left out, from an engine that does
// not continue a stream after the last event, and against calls that end there although another engine can continue it.
func TestEngineThatBeginsAStreamAnewIsReplaced(t *testing.T) {
	for name, second := range map[string]string{"anew": events(1, 4), "last event again": events(2, 4), "left out": events(4, 4)} {
		t.Run(name, func(t *testing.T) {
			var after []string
			f := &fakeBackend{run: func(n int, _ context.Context, req backend.Request) (*backend.Response, error) {
				after = append(after, req.LastEventID)
				r := truncated(events(1, 2))
				switch n {
				case 2:
					r = reply(200, second)
				case 3:
					r = reply(200, events(3, 4))
				}
				r.EventStream, r.Delimited = true, true
				return r, nil
			}}
			synctest.Test(t, func(t *testing.T) {
				now, cfg, out := clock.NewMonotonic(), testConfiguration(), &recordingSink{}
				cfg.Match("h", resumablePath+"x").MaxAttempts = 3
				s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 1})
				s.UpdateEndpoints(mixedEndpoints("v1", "v1", "v1"), cfg.Services)
				time.Sleep(time.Minute)
				d := newTestDispatcher(now, cfg, s, f, func(*dispatch.Options) {})
				time.Sleep(time.Minute)
				call := newCall(resumablePath)
				call.ArrivedAt = now.Now()
				call.Deadline = call.ArrivedAt.Add(5 * time.Second)
				err := d.Serve(t.Context(), call, out)
				if got := out.body.String(); err != nil || got != events(1, 4) || strings.Join(after, ",") != ",2,2" {
					t.Errorf("got %q after requests after %v, error %v", got, after, err)
				}
			})
		})
	}
}
