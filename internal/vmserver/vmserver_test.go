package vmserver

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/bodybuffer"
	"github.com/fulmartide/fulmartide/internal/callerconn"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/statesync"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// fakeHandler is a CallerHandler without active calls.
type fakeHandler struct{ http.Handler }

func (fakeHandler) DisableKeepAlives() {}
func (fakeHandler) Active() int64      { return 0 }

func newTestProcess(reload func() (admission.RetryBudget, error)) *Process {
	return New(Settings{VMName: "vm-1", DataCentre: "a", RetryBudget: admission.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 10}}, Platform{
		ReadyPath: "/ready",
		Decode: func([]byte) (*traffic.Configuration, error) {
			return traffic.NewConfiguration(1, nil, nil, nil, traffic.Limits{}), nil
		},
		NewHandler: func(*dispatch.Dispatcher, func() *traffic.Configuration, *bodybuffer.Budget) CallerHandler {
			return fakeHandler{http.NotFoundHandler()}
		},
		Reload: reload,
	}, zap.NewNop(), metrics.NewSet())
}

// TestReadiness checks that a VM is ready once it has a configuration and an endpoint table, and
// until it is stopped.
func TestReadiness(t *testing.T) {
	p := newTestProcess(nil)
	readyStatus := func() int {
		w := httptest.NewRecorder()
		p.readyHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		return w.Code
	}
	if got := readyStatus(); got != http.StatusServiceUnavailable {
		t.Errorf("without a configuration the readiness check returns %d, want 503", got)
	}
	if err := p.State.ApplyConfiguration([]byte("1"), 0, "test"); err != nil {
		t.Fatal(err)
	}
	p.State.ApplyEndpoints(traffic.Endpoints{Version: 1}, clock.BootTime{}.Now(), "test")
	if got := readyStatus(); got != http.StatusOK {
		t.Errorf("with a configuration the readiness check returns %d, want 200", got)
	}
	p.stopping.Store(true)
	if got := readyStatus(); got != http.StatusServiceUnavailable {
		t.Errorf("while stopping the readiness check returns %d, want 503", got)
	}
}

// TestReload checks that a new retry budget takes effect immediately, and that a failed reload
// changes nothing.
func TestReload(t *testing.T) {
	results := make(chan error)
	p := newTestProcess(func() (admission.RetryBudget, error) {
		return admission.RetryBudget{Window: 10 * time.Second}, <-results
	})
	reload := make(chan os.Signal)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.await(ctx, reload)
	}()
	reload <- syscall.SIGHUP
	results <- fault.New(fault.Malformed, "correct the settings", "invalid settings")
	reload <- syscall.SIGHUP // accepted once the first one has been handled
	// The VM's share of the slack allows less than one retry; the negative reserve makes up for it.
	if !p.admission.SpendRetry("s", -0.9) {
		t.Error("the failed reload changed the retry budget")
	}
	results <- nil
	stop()
	<-done
	if p.admission.SpendRetry("s", 0) {
		t.Error("the reloaded retry budget is not in force")
	}
}

// TestIdleConnectionsAreClosed checks that the configured idle timeout closes an idle connection
// and does not close an active one.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 15 * time.Second
		closer := newIdleCloser(func() time.Duration { return timeout })
		idle, active := newPipe(t), newPipe(t)
		closer.connState(idle, http.StateIdle)
		closer.connState(active, http.StateIdle)
		time.Sleep(timeout - time.Millisecond)
		closer.connState(active, http.StateActive)
		time.Sleep(timeout)
		if idle.SetDeadline(time.Time{}) == nil {
			t.Error("the idle connection is still open")
		}
		if err := active.SetDeadline(time.Time{}); err != nil {
			t.Errorf("the active connection is closed: %v", err)
		}
	})
}

func newPipe(t *testing.T) net.Conn {
	a, b := net.Pipe()
	t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
	return a
}

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// serveCallers starts a server for the connections of a listener.
func serveCallers(server *http.Server, l net.Listener) callerServer {
	closer := newIdleCloser(func() time.Duration { return 0 })
	server.ConnState = closer.connState
	callers := callerconn.New(server, nil, zap.NewNop(), metrics.NewSet())
	go func() { _ = server.Serve(callers.Listener(l)) }()
	return callerServer{callers, l, closer.busyConnections}
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

// TestStopDoesNotWaitForRequestsThatNeverArrive covers a connection whose request header stops halfway.
func TestStopDoesNotWaitForRequestsThatNeverArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: headerTimeout}
		callers := serveCallers(server, l)
		caller, accepted := net.Pipe()
		l.conns <- accepted
		if _, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: h")); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), headerTimeout)
		defer cancel()
		began := time.Now()
		if err := drain(ctx, callers, func() int64 { return 0 }); err != nil || time.Since(began) > 2*idleBeforeClose {
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
		var active atomic.Int64
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			active.Add(1)
			defer active.Add(-1)
			time.Sleep(callTime)
		})}
		callers := serveCallers(server, l)
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
		if err := drain(ctx, callers, active.Load); err != nil {
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
				var active atomic.Int64
				server := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					active.Add(1)
					defer active.Add(-1)
					time.Sleep(3 * idleBeforeClose)
				})}
				callers := serveCallers(server, l)
				caller, accepted := net.Pipe()
				l.conns <- accepted
				if _, err := caller.Write([]byte(request[:arrived])); err != nil {
					t.Fatal(err)
				}
				answered := make(chan error, 1)
				go func() {
					time.Sleep(idleBeforeClose / 2) // the rest is on its way
					if _, err := caller.Write([]byte(request[arrived:])); err != nil {
						answered <- err
						return
					}
					_, err := http.ReadResponse(bufio.NewReader(caller), nil)
					answered <- err
				}()
				if err := drain(t.Context(), callers, active.Load); err != nil {
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
				var active, runs atomic.Int64
				server := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					active.Add(1)
					defer active.Add(-1)
					runs.Add(1)
					if r.URL.Path == "/other" {
						time.Sleep(otherCall)
					}
				})}
				callers := serveCallers(server, l)
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
				if err := drain(t.Context(), callers, active.Load); err != nil {
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

// hangingRegistry does not respond until the caller gives up.
type hangingRegistry struct{ statesync.Registry }

func (hangingRegistry) Deregister(ctx context.Context, _ statesync.Member) error {
	<-ctx.Done()
	return ctx.Err()
}

// busyHandler always has an active call.
type busyHandler struct{ fakeHandler }

func (busyHandler) Active() int64 { return 1 }

func TestStopEndsWithinItsGraceTimeWhileTheRegistryHangsAndACallRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 8 * time.Second
		p := newTestProcess(nil)
		p.settings.GraceTime = grace
		p.Handler = busyHandler{}
		p.stateSync = statesync.New(statesync.Options{
			Clock: clock.NewMonotonic(), Transport: peer.New(peer.Options{}), Registry: hangingRegistry{}, Work: p.scheduler, Plans: p.admission,
			Documents: p.State, Quarantine: p.quarantine, Log: zap.NewNop(),
		})
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })}
		callers := serveCallers(server, l)
		caller, accepted := net.Pipe()
		l.conns <- accepted
		if _, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		began := time.Now()
		p.stop(callers)
		_ = caller.Close()
		if took := time.Since(began); took > grace-stopMargin {
			t.Errorf("the stop took %v of %v", took, grace)
		}
	})
}
