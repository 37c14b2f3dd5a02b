package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/bodybuffer"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// endlessBody is a body that ends only with the request.
type endlessBody struct{ ctx context.Context }

func (b endlessBody) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return min(len(p), 32<<10), context.Cause(b.ctx)
}

func (b endlessBody) Close() error { return nil }

// discardingSink counts the bytes of a response.
type discardingSink struct{ received atomic.Int64 }

func (s *discardingSink) WriteHeader(int, map[string][]string, int64) error { return nil }

func (s *discardingSink) WriteData(p []byte) error {
	s.received.Add(int64(len(p)))
	return nil
}

func TestEndlessAnswersStayWithinTheMemoryForBodies(t *testing.T) {
	const (
		endless    = 16
		bodyMemory = 2 << 20
		maxHeap    = 16 << 20
	)
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewMonotonic()
		cfg := testConfiguration()
		cfg.RequiresKey = false
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		bodies := bodybuffer.NewBudget(bodyMemory, metrics.NewSet())
		f := &fakeBackend{run: func(_ int, ctx context.Context, req backend.Request) (*backend.Response, error) {
			r := reply(http.StatusOK, "sound")
			if req.Call.ID != "sound" {
				r.Body = endlessBody{ctx}
			}
			return r, nil
		}}
		d := newTestDispatcher(now, cfg, s, f, func(o *dispatch.Options) { o.Bodies = bodies })
		serve := func(id string, sink dispatch.Sink) error {
			call := newCall(oncePath)
			call.ID, call.ArrivedAt = id, now.Now()
			call.Deadline = call.ArrivedAt.Add(5 * time.Second)
			return d.Serve(t.Context(), call, sink)
		}
		heap := func() uint64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		before := heap()
		var wg sync.WaitGroup
		for range endless {
			wg.Go(func() {
				sink := &discardingSink{}
				if err := serve("endless", sink); err == nil || sink.received.Load() == 0 {
					t.Errorf("an answer without end: error %v, %d bytes", err, sink.received.Load())
				}
			})
		}
		grown := int64(0)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			grown = max(grown, int64(heap())-int64(before))
		}
		if grown > maxHeap {
			t.Errorf("the heap has grown by %d bytes", grown)
		}
		out := &recordingSink{}
		if err := serve("sound", out); err != nil || out.body.String() != "sound" {
			t.Errorf("a sound call beside them: error %v, body %q", err, out.body.String())
		}
		wg.Wait()
		if bodies.Used() != 0 {
			t.Errorf("%d bytes are still in use", bodies.Used())
		}
	})
}

func TestLargeAnswers(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 64<<10)
	for _, tc := range []struct {
		name  string
		body  io.Reader
		whole bool
	}{
		{"whole", strings.NewReader(large), true},
		{"truncated", io.MultiReader(strings.NewReader(large), failingReader{}), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &fakeBackend{run: func(int, context.Context, backend.Request) (*backend.Response, error) {
				r := reply(http.StatusOK, "")
				r.Body = io.NopCloser(tc.body)
				return r, nil
			}}
			out, err := serveCall(t, f, newCall(repeatPath))
			if (err == nil) != tc.whole {
				t.Errorf("error %v", err)
			}
			if out.body.String() != large || f.count("run") != 1 {
				t.Errorf("%d bytes of %d delivered, sent %d times", out.body.Len(), len(large), f.count("run"))
			}
		})
	}
}

// goneSink is a caller that is gone.
type goneSink struct{ recordingSink }

func (s *goneSink) WriteData([]byte) error { return errors.New("broken pipe") }

func TestGoneCallerDoesNotCountAgainstTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewMonotonic()
		cfg := testConfiguration()
		cfg.RequiresKey = false
		failures := 0
		s := schedule.New(schedule.Options{
			Clock: now, DataCentre: "a", Seed: 7, OnFailure: func(traffic.EndpointID, string, schedule.Outcome) { failures++ },
		})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		f := &fakeBackend{run: func(int, context.Context, backend.Request) (*backend.Response, error) {
			return reply(http.StatusOK, strings.Repeat("x", 1<<20)), nil
		}}
		d := newTestDispatcher(now, cfg, s, f, nil)
		for _, path := range []string{oncePath, repeatPath, streamPath} {
			call := newCall(path)
			call.Deadline = now.Now().Add(5 * time.Second)
			if err := d.Serve(t.Context(), call, &goneSink{}); err == nil {
				t.Errorf("%s: no error", path)
			}
		}
		if failures > 0 {
			t.Errorf("%d failures of endpoints were told to other vms", failures)
		}
	})
}
