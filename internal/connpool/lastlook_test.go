package connpool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

var errHeld = errors.New("held back")

// TestRequestThatTheLastLookHoldsBackIsNotSent guards against requests of which a byte reaches an endpoint that must not get them any
// more, over a kept connection or a new one, and against connections that are lost with them.
func TestRequestThatTheLastLookHoldsBackIsNotSent(t *testing.T) {
	for _, kept := range []bool{false, true} {
		e := startIdleCloser(t, "timeout=60")
		dials, looks := 0, 0
		p := New(func() { dials++ })
		t.Cleanup(p.Close)
		if kept {
			if err := send(t, p, e.request("/first", nil)); err != nil {
				t.Fatal(err)
			}
			<-e.requests
		}
		held := e.request("/held", make([]byte, 200<<10))
		held.LastLook = func(context.Context) error {
			looks++
			return errHeld
		}
		if err := send(t, p, held); !errors.Is(err, errHeld) || MayHaveSent(err) {
			t.Errorf("kept %v: error %v, sent %v", kept, err, MayHaveSent(err))
		}
		if err := send(t, p, e.request("/next", nil)); err != nil {
			t.Fatal(err)
		}
		if got := <-e.requests; got != "/next" || dials != 1 || looks != 1 {
			t.Errorf("kept %v: the endpoint read %s, %d connections, %d looks", kept, got, dials, looks)
		}
		close(e.close)
	}
}

// TestLastLookFollowsAConnectionAttempt guards against decisions that are as old as a connection attempt when they are acted on.
func TestLastLookFollowsAConnectionAttempt(t *testing.T) {
	e := startIdleCloser(t, "timeout=60")
	connected := false
	p := New(func() { connected = true })
	t.Cleanup(p.Close)
	r := e.request("/x", nil)
	r.LastLook = func(context.Context) error {
		if !connected {
			t.Error("the last look comes before the connection")
		}
		return nil
	}
	if err := send(t, p, r); err != nil {
		t.Error(err)
	}
	close(e.close)
}

// TestCallCancelledDuringTheLastLookIsNotSent guards against requests of callers who have left while the last look was made.
func TestCallCancelledDuringTheLastLookIsNotSent(t *testing.T) {
	e := startIdleCloser(t, "timeout=60")
	p := New(nil)
	t.Cleanup(p.Close)
	ctx, cancel := context.WithCancel(t.Context())
	r := e.request("/x", nil)
	r.LastLook = func(context.Context) error {
		cancel()
		return nil
	}
	if _, err := p.Do(ctx, r); !errors.Is(err, context.Canceled) || MayHaveSent(err) || len(e.requests) > 0 {
		t.Errorf("error %v, sent %v, %d requests arrived", err, MayHaveSent(err), len(e.requests))
	}
	close(e.close)
}

// TestConnectionClosedDuringAPauseIsNotWrittenTo guards against requests that may have run because they were written, after a pause of
// this process, to a kept connection that the endpoint had closed meanwhile.
func TestConnectionClosedDuringAPauseIsNotWrittenTo(t *testing.T) {
	e := startIdleCloser(t, "timeout=60")
	p := New(nil)
	t.Cleanup(p.Close)
	var nc net.Conn
	if err := send(t, p, e.request("/first", nil)); err != nil {
		t.Fatal(err)
	}
	nc = p.idle[e.target()][0].nc
	looks := 0
	r := e.request("/second", []byte("x"))
	r.LastLook = func(context.Context) error {
		if looks++; looks == 1 {
			close(e.close)
			for !tcpconn.Readable(nc) {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(maxCheckAge)
		}
		return nil
	}
	if err := send(t, p, r); err != nil {
		t.Errorf("error %v, sent %v", err, MayHaveSent(err))
	}
	if first, second := <-e.requests, <-e.requests; first != "/first" || second != "/second" || looks != 2 {
		t.Errorf("the endpoint read %s and %s after %d looks", first, second, looks)
	}
}

// orderedConn counts its writes.
type orderedConn struct {
	net.Conn
	writes atomic.Int32
}

func (c *orderedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// TestLargeRequestIsBegunByTheGoroutineThatLooked guards against large requests whose first byte waits for the turn of another
// goroutine, after the last look at them.
func TestLargeRequestIsBegunByTheGoroutineThatLooked(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	go func() { // reads the beginning only
		_, _ = server.Read(make([]byte, 64<<10))
	}()
	nc := &orderedConn{Conn: client}
	c := newConn(New(nil), Target{}, nc)
	written := make(chan writeResult, 1)
	c.write(&Request{Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, 200<<10)}, written)
	if nc.writes.Load() == 0 {
		t.Error("nothing was written when the sender went on")
	}
	c.close()
	if w := <-written; w.nothing() || w.err == nil {
		t.Errorf("%d bytes written, error %v", w.n, w.err)
	}
}

// lateContext is a context of a process that was paused: its deadline has passed, and it ends once somebody waits for that.
type lateContext struct {
	context.Context
	end func()
}

func (c lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

func (c lateContext) Done() <-chan struct{} {
	c.end()
	return c.Context.Done()
}

// TestRequestIsNotSentAfterItsDeadlineAlthoughItsTimerIsLate guards against orders, and other requests with a time limit, that are sent
// after it by a process that was paused, as their timers have not run yet.
func TestRequestIsNotSentAfterItsDeadlineAlthoughItsTimerIsLate(t *testing.T) {
	e := startIdleCloser(t, "timeout=60")
	p := New(nil)
	t.Cleanup(p.Close)
	c, err := p.dial(t.Context(), e.target())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	late := lateContext{ctx, func() { cancel(context.DeadlineExceeded) }}
	if err := c.lastLook(late, e.request("/x", nil)); !errors.Is(err, context.DeadlineExceeded) || MayHaveSent(err) {
		t.Errorf("error %v", err)
	}
	close(e.close)
}
