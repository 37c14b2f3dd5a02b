package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// cutFleet is a fleet whose first engine to run a stream sends one event, is silent and goes on. Once it is silent the
// fleet changes, so that no other engine may continue the stream.
type cutFleet struct {
	silence time.Duration
	// budget is the retry budget, endpoints the fleet.
	budget    admission.RetryBudget
	endpoints traffic.Endpoints
	// change is called once the engine is silent. It may be nil.
	change func(*schedule.Scheduler, *dispatch.Dispatcher)
	set    *metrics.Set
}

func newCutFleet(silence time.Duration) *cutFleet {
	return &cutFleet{silence: silence, budget: testRetryBudget, endpoints: testEndpoints(), set: metrics.NewSet()}
}

// serve serves a call and returns its result.
func (f *cutFleet) serve(t *testing.T, path string, next func(context.Context) (*backend.Response, error)) (*recordingSink, error) {
	t.Helper()
	out := &recordingSink{}
	var err error
	synctest.Test(t, func(t *testing.T) {
		now, cfg := clock.NewMonotonic(), testConfiguration()
		cfg.WorkspaceByKey("key").Rate = 0
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.UpdateEndpoints(f.endpoints, cfg.Services)
		b := &fakeBackend{run: func(n int, ctx context.Context, _ backend.Request) (*backend.Response, error) {
			if n > 1 {
				return next(ctx)
			}
			r := reply(http.StatusOK, "")
			rest := &dribble{ctx: ctx, pieces: []string{events(2, 2), events(3, 3)}, interval: f.silence}
			r.Body, r.EventStream = io.NopCloser(io.MultiReader(strings.NewReader(events(1, 1)), rest)), true
			return r, nil
		}}
		gate := newTestGate(now, f.budget)
		d := newTestDispatcher(now, cfg, s, b, func(o *dispatch.Options) { o.Admission, o.Metrics = gate, f.set })
		call := newCall(path)
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(8 * time.Second)
		ended := make(chan error, 1)
		go func() { ended <- d.Serve(t.Context(), call, out) }()
		time.Sleep(time.Second) // the first event has been delivered
		if f.change != nil {
			f.change(s, d)
		}
		err = <-ended
	})
	return out, err
}

func (f *cutFleet) cut(reason, obstacle string) uint64 {
	return f.set.GetOrCreateCounter(`fulmartide_responses_cut_total{reason="` + reason + `",obstacle="` + obstacle + `"}`).Get()
}

// TestSilenceOfASecondCutsNoStream guards against streams that end or are repeated as their engine is silent for a time that is
// usual for sound ones.
func TestSilenceOfASecondCutsNoStream(t *testing.T) {
	for _, path := range []string{streamPath, resumablePath} {
		f := newCutFleet(1300 * time.Millisecond)
		out, err := f.serve(t, path, func(context.Context) (*backend.Response, error) {
			t.Error("the stream was sent to another engine")
			return rejected(), nil
		})
		if err != nil || out.body.String() != events(1, 3) {
			t.Errorf("%s: body %q, error %v", path, out.body.String(), err)
		}
	}
}

// TestCutResponsesAreCountedByReason guards against responses that are cut off without a count of what ended them.
func TestCutResponsesAreCountedByReason(t *testing.T) {
	broken := func(context.Context) (*backend.Response, error) { return nil, connectionLost() }
	for _, tc := range []struct {
		name, path       string
		silence          time.Duration
		change           func(*schedule.Scheduler, *dispatch.Dispatcher)
		reason, obstacle string
	}{
		{"timeout", streamPath, 5 * time.Second, nil, "timeout", ""},
		{"stop", streamPath, 2 * time.Second, func(_ *schedule.Scheduler, d *dispatch.Dispatcher) { d.Stop() }, "stop", ""},
		{"next engine fails as well", resumablePath, 2 * time.Second, nil, "stall", "attempts"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newCutFleet(tc.silence)
			f.change = tc.change
			out, err := f.serve(t, tc.path, broken)
			if n := f.cut(tc.reason, tc.obstacle); err == nil || n != 1 {
				t.Errorf("count %d, body %q, error %v", n, out.body.String(), err)
				f.set.WritePrometheus(&testWriter{t})
			}
		})
	}
	f := &fakeBackend{run: func(int, context.Context, backend.Request) (*backend.Response, error) {
		return truncated(events(1, 2)), nil
	}}
	set := metrics.NewSet()
	synctest.Test(t, func(t *testing.T) {
		now, cfg := clock.NewMonotonic(), testConfiguration()
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		cfg.WorkspaceByKey("key").Rate = 0
		d := newTestDispatcher(now, cfg, s, f, func(o *dispatch.Options) { o.Metrics = set })
		call := newCall(streamPath)
		call.ArrivedAt, call.Deadline = now.Now(), now.Now().Add(5*time.Second)
		if err := d.Serve(t.Context(), call, &recordingSink{}); err == nil {
			t.Error("the truncated stream counts as whole")
		}
	})
	if n := set.GetOrCreateCounter(`fulmartide_responses_cut_total{reason="endpoint",obstacle="route"}`).Get(); n != 1 {
		t.Errorf("%d responses counted that their endpoint broke off", n)
	}
}

// testWriter logs what is written to it.
type testWriter struct{ t *testing.T }

func (w *testWriter) Write(p []byte) (int, error) {
	if line := string(p); strings.Contains(line, "cut") {
		w.t.Log(line)
	}
	return len(p), nil
}
