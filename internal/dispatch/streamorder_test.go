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

// TestEngineThatBeginsAStreamAnewIsReplaced guards against events that callers get twice from an engine that does not continue a stream
// after the last event, and against calls that end there although another engine can continue it.
func TestEngineThatBeginsAStreamAnewIsReplaced(t *testing.T) {
	for name, second := range map[string]string{"anew": events(1, 4), "last event again": events(2, 4)} {
		t.Run(name, func(t *testing.T) {
			testContinuation(t, []string{second, events(3, 4)}, events(1, 4), ",2,2")
		})
	}
}

// TestContinuationWithSeveralTokensInItsFirstEventIsDelivered guards against sound streams that are broken off because the ids of the
// first engine's events follow each other and those of the next one do not.
func TestContinuationWithSeveralTokensInItsFirstEventIsDelivered(t *testing.T) {
	testContinuation(t, []string{events(4, 6)}, events(1, 2)+events(4, 6), ",2")
}

// testContinuation plays a stream whose first engine breaks off after the second event, and whose next ones send given events. wantAfter
// are the ids after which the engines are asked to continue.
func testContinuation(t *testing.T, next []string, want, wantAfter string) {
	var after []string
	f := &fakeBackend{run: func(n int, _ context.Context, req backend.Request) (*backend.Response, error) {
		after = append(after, req.LastEventID)
		r := truncated(events(1, 2))
		if n > 1 {
			r = reply(200, next[min(n-2, len(next)-1)])
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
		if got := out.body.String(); err != nil || got != want || strings.Join(after, ",") != wantAfter {
			t.Errorf("got %q after requests after %v, error %v", got, after, err)
		}
	})
}
