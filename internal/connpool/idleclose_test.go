package connpool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

// idleCloser is an endpoint that answers requests. It closes its first connection when told to, or only its own stream.
type idleCloser struct {
	ln    net.Listener
	close chan struct{}
	// closed is closed once the first connection is.
	closed chan struct{}
	// half is set if the endpoint reads on, reset if it closes the connection by a reset.
	half, reset atomic.Bool
	// requests receives the path of each request that was read.
	requests chan string
	// keepAlive is the value of the Keep-Alive header of the answers.
	keepAlive string
}

func startIdleCloser(t *testing.T, keepAlive string) *idleCloser {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &idleCloser{ln: ln, close: make(chan struct{}), closed: make(chan struct{}), requests: make(chan string, 8), keepAlive: keepAlive}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		first, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			<-e.close
			if e.half.Load() {
				_ = first.(*net.TCPConn).CloseWrite()
			} else {
				if e.reset.Load() {
					_ = first.(*net.TCPConn).SetLinger(0)
				}
				_ = first.Close()
			}
			close(e.closed)
		}()
		go e.answer(first)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.answer(c)
		}
	}()
	return e
}

func (e *idleCloser) answer(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		e.requests <- r.URL.Path
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: "+e.keepAlive+"\r\nContent-Length: 1\r\n\r\nx")
	}
}

func (e *idleCloser) request(path string, body []byte) *Request {
	return &Request{Target: e.target(), Method: http.MethodPost, URI: path, Host: "h", Header: http.Header{}, Body: body}
}

func (e *idleCloser) target() Target {
	return Target{Address: netip.MustParseAddrPort(e.ln.Addr().String()), Instance: "i"}
}

func send(t *testing.T, p *Pool, r *Request) error {
	t.Helper()
	resp, err := p.Do(t.Context(), r)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(resp)
	return errors.Join(err, resp.Close())
}

// pausedConn is a connection of a process that is paused before it writes.
type pausedConn struct {
	*net.TCPConn
	pause func()
}

func (c *pausedConn) Write(p []byte) (int, error) {
	c.pause()
	return c.TCPConn.Write(p)
}

// pausedPool returns a pool whose only connection has served a request. The endpoint closes it while the process pauses
// before the write of the next one.
func (e *idleCloser) pausedPool(t *testing.T) *Pool {
	t.Helper()
	p := New(nil)
	t.Cleanup(p.Close)
	pause := func() {}
	nc, err := net.Dial("tcp", e.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := newConn(p, e.target(), &pausedConn{nc.(*net.TCPConn), func() { pause() }})
	c.idleUntil = time.Now().Add(time.Hour)
	p.put(c)
	if err := send(t, p, e.request("/first", nil)); err != nil {
		t.Fatal(err)
	}
	pause = sync.OnceFunc(func() { // a large request is written in two parts
		close(e.close)
		<-e.closed
		if e.reset.Load() {
			for !tcpconn.Readable(nc) {
				runtime.Gosched()
			}
		}
	})
	return p
}

// TestRequestThatCrossesAnIdleCloseIsNotSentAgain guards against requests that run twice: a request that was written to a
// connection which its endpoint closes without an answer may have run. One that was not written is sent on a new connection.
func TestRequestThatCrossesAnIdleCloseIsNotSentAgain(t *testing.T) {
	const always, never = "always", "never"
	for _, tc := range []struct {
		name    string
		body    []byte
		reset   bool
		written string
	}{
		{"no body", nil, false, always},
		{"small body", []byte("x"), false, always},
		{"large body", make([]byte, 200<<10), false, always},
		{"reset before the write", nil, true, never},
		{"reset before the write of a large body", make([]byte, 200<<10), true, never},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := startIdleCloser(t, "timeout=60")
			e.reset.Store(tc.reset)
			p := e.pausedPool(t)
			err := send(t, p, e.request("/second", tc.body))
			if first := <-e.requests; first != "/first" {
				t.Errorf("the endpoint read %s first", first)
			}
			if tc.written == always && err == nil || tc.written == never && err != nil {
				t.Errorf("error %v", err)
			}
			if err != nil {
				if !MayHaveSent(err) || len(e.requests) > 0 {
					t.Errorf("error %v, sent %t, the endpoint read %d more requests", err, MayHaveSent(err), len(e.requests))
				}
			} else if second := <-e.requests; second != "/second" || len(e.requests) > 0 {
				t.Errorf("the endpoint read %s and %d more requests", second, len(e.requests))
			}
		})
	}
}

// TestRequestReadByAHalfClosedEndpointIsNotSentAgain guards against requests that run twice because an endpoint that ends
// its stream is taken for one that reads nothing more.
func TestRequestReadByAHalfClosedEndpointIsNotSentAgain(t *testing.T) {
	e := startIdleCloser(t, "timeout=60")
	e.half.Store(true)
	p := e.pausedPool(t)
	if err := send(t, p, e.request("/second", nil)); err == nil || !MayHaveSent(err) {
		t.Errorf("error %v, want one of a request that may have run", err)
	}
	if first, second := <-e.requests, <-e.requests; first != "/first" || second != "/second" {
		t.Errorf("the endpoint read %s and %s", first, second)
	}
	if len(e.requests) > 0 {
		t.Errorf("the endpoint read %s, too", <-e.requests)
	}
}

// TestCancelledRequestIsNotWritten guards against requests that run although they were cancelled before they were sent.
func TestCancelledRequestIsNotWritten(t *testing.T) {
	e := startIdleCloser(t, "timeout=60")
	p := e.pausedPool(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.Do(ctx, e.request("/second", nil)); !errors.Is(err, context.Canceled) || MayHaveSent(err) {
		t.Errorf("error %v, sent %v", err, MayHaveSent(err))
	}
	close(e.close)
}

// TestSlowCallerDoesNotExtendIdleTime guards against connections that are used after the endpoint's Keep-Alive timeout
// because the answer before was read late.
func TestSlowCallerDoesNotExtendIdleTime(t *testing.T) {
	e := startIdleCloser(t, "timeout=1")
	dials := 0
	p := New(func() { dials++ })
	defer p.Close()
	resp, err := p.Do(t.Context(), e.request("/first", nil))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second - idleMargin)
	_ = resp.Close()
	if err := send(t, p, e.request("/second", nil)); err != nil {
		t.Fatal(err)
	}
	if dials != 2 {
		t.Errorf("%d connections for two requests", dials)
	}
	close(e.close)
}
