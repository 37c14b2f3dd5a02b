package dispatch_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
)

// dribble is a body that sends its pieces at a fixed interval, the last one for ever if endless is set. Its connection
// breaks if the request is cancelled.
type dribble struct {
	ctx      context.Context
	pieces   []string
	interval time.Duration
	endless  bool
	// next is when the next piece comes, whether it is read or not.
	next time.Time
}

func (d *dribble) Read(p []byte) (int, error) {
	if len(d.pieces) == 0 {
		return strings.NewReader("").Read(p)
	}
	if d.next.IsZero() {
		d.next = time.Now()
	}
	d.next = d.next.Add(d.interval)
	select {
	case <-d.ctx.Done():
		return 0, context.Cause(d.ctx)
	case <-time.After(time.Until(d.next)):
	}
	n := copy(p, d.pieces[0])
	if !d.endless || len(d.pieces) > 1 {
		d.pieces = d.pieces[1:]
	}
	return n, nil
}

func (d *dribble) Close() error { return nil }

// pausingSink is a caller that takes a time to read each piece.
type pausingSink struct {
	recordingSink
	pause time.Duration
}

func (s *pausingSink) WriteData(p []byte) error {
	time.Sleep(s.pause)
	return s.recordingSink.WriteData(p)
}

func (s *pausingSink) Abort() {}

// TestStreamProgress guards against engines that keep a stalled stream by a byte now and then, and against streams that
// are cut although their events are only slow or large. The engine counts as stalled 1.5 s after an event was due. A stream that may not
// be continued at another engine is left at its engine until its time is over.
func TestStreamProgress(t *testing.T) {
	const interval = 400 * time.Millisecond
	large := "id: 2\ndata: " + strings.Repeat("x", 25_000) + "\n\n"
	piecesOf := func(s string, size int) (out []string) {
		for ; len(s) > size; s = s[size:] {
			out = append(out, s[:size])
		}
		return append(out, s)
	}
	for _, tc := range []struct {
		name     string
		path     string
		pieces   []string
		endless  bool
		interval time.Duration
		// runs is the number of engines that run the call, body what the caller gets if it is always the same.
		runs int
		body string
		fail bool
	}{
		{"bytes of an event without an end", resumablePath, []string{events(1, 1), "data: ", "x"}, true, interval, 2, events(1, 3), false},
		{"empty lines", resumablePath, []string{events(1, 1), "\n"}, true, interval, 2, "", false},
		{"comments", resumablePath, []string{events(1, 1), ": x\n\n"}, true, interval, 2, "", false},
		{"bytes before the first event", resumablePath, []string{"i"}, true, interval, 2, events(2, 3), false},
		{"large event in pieces", resumablePath, append(piecesOf(large, 2500), events(3, 3)), false, interval, 1, large + events(3, 3), false},
		{"events in pieces", resumablePath, piecesOf(events(1, 6), 8), false, interval, 1, events(1, 6), false},
		{"slow events", resumablePath, []string{events(1, 1), events(2, 2), events(3, 3), events(4, 4)}, false, 2 * interval, 1, events(1, 4), false},
		{"events 1.2 s apart", resumablePath, []string{events(1, 1), events(2, 2), events(3, 3)}, false, 1200 * time.Millisecond, 1, events(1, 3), false},
		{"bytes of a stream that may not continue", streamPath, []string{events(1, 1), "data: ", "x"}, true, interval, 1, events(1, 1), true},
	} {
		for name, pause := range map[string]time.Duration{"": 0, ", slow caller": 300 * time.Millisecond} {
			t.Run(tc.name+name, func(t *testing.T) {
				f := &fakeBackend{run: func(n int, ctx context.Context, _ backend.Request) (*backend.Response, error) {
					if n > 1 {
						return reply(http.StatusOK, events(2, 3)), nil
					}
					r := reply(http.StatusOK, "")
					r.Body, r.EventStream = &dribble{ctx: ctx, pieces: tc.pieces, interval: tc.interval, endless: tc.endless}, true
					return r, nil
				}}
				out := &pausingSink{pause: pause}
				err := serveCallTo(t, f, newCall(tc.path), out)
				if n := f.count("run"); n != tc.runs || (err != nil) != tc.fail || tc.body != "" && out.body.String() != tc.body {
					t.Errorf("%d runs, error %v, body of %d bytes, want %d runs and %d bytes", n, err, out.body.Len(), tc.runs, len(tc.body))
				}
			})
		}
	}
}
