package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/bodybuffer"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// slowSink is a caller that reads nothing for a time at each write, 0 for forever.
type slowSink struct {
	recordingSink
	pause   time.Duration
	aborted chan struct{}
	once    sync.Once
}

func (s *slowSink) Abort() { s.once.Do(func() { close(s.aborted) }) }

func (s *slowSink) WriteData(p []byte) error {
	paused := make(<-chan time.Time)
	if s.pause > 0 {
		paused = time.After(s.pause)
	}
	select {
	case <-paused:
		return s.recordingSink.WriteData(p)
	case <-s.aborted:
		return errors.New("aborted")
	}
}

// timedBody is a body that arrives in pieces, 20 ms apart, and notes when it was read to its end. Its connection breaks if
// the request is cancelled or nothing is read for 5 s. A piece is three events of a stream if piece is empty.
type timedBody struct {
	ctx      context.Context
	pieces   int
	piece    string
	events   int
	lastRead time.Time
	ended    time.Time
	cutOff   bool
}

func (b *timedBody) Read(p []byte) (int, error) {
	if b.lastRead.IsZero() {
		b.lastRead = time.Now()
	}
	if time.Since(b.lastRead) > 5*time.Second {
		b.cutOff = true
	}
	b.lastRead = time.Now()
	if b.pieces == 0 {
		if b.ended.IsZero() {
			b.ended = time.Now()
		}
		return 0, io.EOF
	}
	b.pieces--
	select {
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	case <-time.After(20 * time.Millisecond):
		if b.piece != "" {
			return copy(p, b.piece), nil
		}
		b.events += 3
		return copy(p, events(b.events-2, b.events)), nil
	}
}

func (b *timedBody) Close() error { return nil }

// serveSlow serves a call whose response is the body to a slow caller.
func serveSlow(t *testing.T, path string, body *timedBody, sink *slowSink) (held int64, err error) {
	t.Helper()
	now := clock.NewMonotonic()
	cfg := testConfiguration()
	cfg.RequiresKey = false
	cfg.Match("h", path+"x").Timeout = time.Hour
	s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
	s.UpdateEndpoints(testEndpoints(), cfg.Services)
	bodies := bodybuffer.NewBudget(2<<20, metrics.NewSet())
	f := &fakeBackend{run: func(_ int, ctx context.Context, _ backend.Request) (*backend.Response, error) {
		body.ctx = ctx
		r := reply(http.StatusOK, "")
		r.Body, r.EventStream = body, path == streamPath
		return r, nil
	}}
	d := newTestDispatcher(now, cfg, s, f, func(o *dispatch.Options) { o.Bodies = bodies })
	call := newCall(path)
	call.ArrivedAt = now.Now()
	call.Deadline = call.ArrivedAt.Add(time.Hour)
	watch, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		for watch.Err() == nil {
			held = max(held, bodies.Used())
			time.Sleep(10 * time.Millisecond)
		}
	})
	err = d.Serve(t.Context(), call, sink)
	stop()
	wg.Wait()
	if bodies.Used() != 0 {
		t.Errorf("%d bytes are still in use", bodies.Used())
	}
	if _, work := s.OwnWork(); len(work) != 0 {
		t.Errorf("work %v is left", work)
	}
	return held, err
}

// TestResponseToSlowCallerIsReadInTime guards against endpoints that cut off a stream because its caller reads slowly, and
// against events that are lost or out of order.
func TestResponseToSlowCallerIsReadInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pieces = 100
		body := &timedBody{pieces: pieces}
		sink := &slowSink{pause: 6 * time.Second, aborted: make(chan struct{})}
		begin := time.Now()
		_, err := serveSlow(t, streamPath, body, sink)
		if err != nil || sink.body.String() != events(1, 3*pieces) {
			t.Errorf("error %v, %d bytes", err, sink.body.Len())
		}
		if took := body.ended.Sub(begin); body.cutOff || took > 3*time.Second {
			t.Errorf("read in %v, cut off: %v", took, body.cutOff)
		}
	})
}

// TestCallerThatDoesNotRead guards against streams that are kept for callers which never read them.
func TestCallerThatDoesNotRead(t *testing.T) {
	for name, tc := range map[string]struct {
		path   string
		pieces int
	}{
		"stream": {streamPath, 100}, "small answer": {oncePath, 1}, "large answer": {oncePath, 100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := &timedBody{pieces: tc.pieces, piece: strings.Repeat("x", 7<<10) + "\n\n"}
				begin := time.Now()
				_, err := serveSlow(t, tc.path, body, &slowSink{aborted: make(chan struct{})})
				if took := time.Since(begin); err == nil || took > 15*time.Second {
					t.Errorf("ended after %v, error %v", took, err)
				}
			})
		})
	}
}

// TestSlowCallersStayWithinTheirMemory guards against memory that grows with what a slow caller has not read.
func TestSlowCallersStayWithinTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := &timedBody{pieces: 1 << 20, piece: strings.Repeat("x", 7<<10) + "\n\n"}
		begin := time.Now()
		held, err := serveSlow(t, streamPath, body, &slowSink{pause: 9 * time.Second, aborted: make(chan struct{})})
		if err == nil || held > 256<<10 || held < 200<<10 || time.Since(begin) > 6*time.Second {
			t.Errorf("%d bytes held, ended after %v with error %v", held, time.Since(begin), err)
		}
	})
}
