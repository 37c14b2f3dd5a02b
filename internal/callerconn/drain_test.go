package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

const testHeaderTimeout = 10 * time.Second

// calls counts the calls in progress.
type calls struct {
	n        atomic.Int64
	refusing atomic.Bool
	// ended is closed when the calls are to be ended, nil if they cannot be.
	ended chan struct{}
}

func (c *calls) Active() int64 { return c.n.Load() }
func (c *calls) RefuseNew()    { c.refusing.Store(true) }

func (c *calls) End() {
	if c.ended != nil {
		close(c.ended)
	}
}

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serve starts a server for the connections of a listener.
func serve(server *http.Server, l net.Listener) *Server { return serveWith(server, l, Options{}) }

func serveWith(server *http.Server, l net.Listener, o Options) *Server {
	s := New(server, testOptions(o.IdleTimeout))
	go func() { _ = s.Serve(l) }()
	for s.activeListener() == nil {
		runtime.Gosched()
	}
	return s
}

func testOptions(idleTimeout func() time.Duration) Options {
	return Options{IdleTimeout: idleTimeout, Log: zap.NewNop(), Metrics: metrics.NewSet()}
}

// TestStopDoesNotWaitForRequestsThatNeverArrive covers a connection whose request header stops halfway.
func TestStopDoesNotWaitForRequestsThatNeverArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: testHeaderTimeout}
		callers := serve(server, l)
		caller, accepted := net.Pipe()
		l.conns <- accepted
		if _, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: h")); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), testHeaderTimeout)
		defer cancel()
		began := time.Now()
		if err := callers.Drain(ctx, &calls{}); err != nil || time.Since(began) > 2*idleBeforeGivingUp {
			t.Errorf("drained after %v, error %v", time.Since(began), err)
		}
		if _, err := caller.Read(make([]byte, 1)); err == nil {
			t.Error("the connection is still open")
		}
	})
}

// TestStopWaitsForActiveCalls checks that a call in progress is served to its end.
func TestStopWaitsForActiveCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime = 5 * time.Second
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		var active calls
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			active.n.Add(1)
			defer active.n.Add(-1)
			time.Sleep(callTime)
		})}
		callers := serve(server, l)
		caller, accepted := net.Pipe()
		l.conns <- accepted
		answered := make(chan error, 1)
		go func() {
			_, _ = caller.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			_, err := http.ReadResponse(bufio.NewReader(caller), nil)
			answered <- err
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 2*callTime)
		defer cancel()
		if err := callers.Drain(ctx, &active); err != nil {
			t.Error(err)
		}
		if err := <-answered; err != nil {
			t.Errorf("the call in progress got no answer: %v", err)
		}
		_ = caller.Close()
	})
}

// TestStopAnswersRequestsJustAccepted guards against requests that are cut off without an answer because their connections
// were accepted right before the stop.
func TestStopAnswersRequestsJustAccepted(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, arrived := range map[string]int{"a byte": 1, "half of the header": len(request) / 2, "all": len(request)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				var active calls
				server := &http.Server{ReadHeaderTimeout: testHeaderTimeout, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					active.n.Add(1)
					defer active.n.Add(-1)
					time.Sleep(3 * idleBeforeGivingUp)
				})}
				callers := serve(server, l)
				caller, accepted := net.Pipe()
				l.conns <- accepted
				if _, err := caller.Write([]byte(request[:arrived])); err != nil {
					t.Fatal(err)
				}
				answered := make(chan error, 1)
				go func() {
					time.Sleep(idleBeforeGivingUp / 2) // the rest is on its way
					if _, err := caller.Write([]byte(request[arrived:])); err != nil {
						answered <- err
						return
					}
					_, err := http.ReadResponse(bufio.NewReader(caller), nil)
					answered <- err
				}()
				if err := callers.Drain(t.Context(), &active); err != nil {
					t.Error(err)
				}
				if err := <-answered; err != nil {
					t.Errorf("the request got no answer: %v", err)
				}
				_ = caller.Close()
			})
		})
	}
}

// lateConn returns from Read some time after data has arrived, as in a process that gets little processor time.
type lateConn struct {
	net.Conn
	delay time.Duration
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(c.delay)
	}
	return n, err
}

// TestStopAnswersRequestsReadFromReusedConnections guards against connections that are closed as idle although their next
// request has been read.
func TestStopAnswersRequestsReadFromReusedConnections(t *testing.T) {
	const (
		request   = "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"
		readDelay = 30 * time.Millisecond
	)
	for name, otherCall := range map[string]time.Duration{"no other call": 0, "another call in progress": 2 * readDelay} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				var active calls
				var runs atomic.Int64
				server := &http.Server{ReadHeaderTimeout: testHeaderTimeout, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					active.n.Add(1)
					defer active.n.Add(-1)
					runs.Add(1)
					if r.URL.Path == "/other" {
						time.Sleep(otherCall)
					}
				})}
				callers := serve(server, l)
				connect := func() func(path string) error {
					caller, accepted := net.Pipe()
					t.Cleanup(func() { _ = caller.Close() })
					l.conns <- &lateConn{Conn: accepted, delay: readDelay}
					in := bufio.NewReader(caller)
					return func(path string) error {
						if _, err := fmt.Fprintf(caller, request, path); err != nil {
							return err
						}
						_, err := http.ReadResponse(in, nil)
						return err
					}
				}
				call, other := connect(), connect()
				if err := call("first"); err != nil {
					t.Fatal(err)
				}
				answered := make(chan error, 2)
				if otherCall > 0 {
					go func() { answered <- other("other") }()
					time.Sleep(readDelay)
				} else {
					answered <- nil
				}
				synctest.Wait() // the first connection is idle
				go func() { answered <- call("second") }()
				synctest.Wait() // its next request has been read, and its server does not know it yet
				if err := callers.Drain(t.Context(), &active); err != nil {
					t.Error(err)
				}
				for range 2 {
					if err := <-answered; err != nil {
						t.Errorf("a request got no answer: %v (%d requests were run)", err, runs.Load())
					}
				}
				_ = callers.Close()
				time.Sleep(readDelay)
			})
		})
	}
}

// TestDrainAnswersRequestsThatArriveLate guards against a request that is read after the time for arrivals, while another call is
// in progress, and gets neither an answer nor a refusal.
func TestDrainAnswersRequestsThatArriveLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		var active calls
		server := &http.Server{ReadHeaderTimeout: testHeaderTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			active.n.Add(1)
			defer active.n.Add(-1)
			if r.URL.Path == "/long" {
				time.Sleep(5 * arrivalTime)
			} else if active.refusing.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})}
		callers := serve(server, l)
		long, late := connect(t, l), connect(t, l)
		if _, err := io.WriteString(long, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(late, testRequest[:5]); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		go func() {
			time.Sleep(2 * arrivalTime)
			_, _ = io.WriteString(late, testRequest[5:])
		}()
		drained := make(chan error, 1)
		go func() { drained <- callers.Drain(t.Context(), &active) }()
		resp, err := http.ReadResponse(bufio.NewReader(late), nil)
		if err != nil {
			t.Fatalf("the late request got no answer: %v", err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("the late request got %s, close %t, want a refusal that closes the connection", resp.Status, resp.Close)
		}
		checkAnswer(t, long, "the call in progress")
		if err := <-drained; err != nil {
			t.Error(err)
		}
	})
}

// TestDrainAnswersCallsThatDoNotEndInTime guards against calls whose connections are closed without an answer when the time of
// the stop is over.
func TestDrainAnswersCallsThatDoNotEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		active := calls{ended: make(chan struct{})}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			active.n.Add(1)
			defer active.n.Add(-1)
			<-active.ended
			w.WriteHeader(http.StatusBadGateway)
		})}
		callers := serve(server, l)
		c := connect(t, l)
		send(t, c)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		drained := make(chan error, 1)
		go func() { drained <- callers.Drain(ctx, &active) }()
		checkAnswer(t, c, "a call that does not end in time")
		if err := <-drained; err != nil {
			t.Error(err)
		}
	})
}
