package vmserver

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
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
func (fakeHandler) RefuseNew()         {}
func (fakeHandler) End()               {}

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
	// A VM that starts may send less than one retry for its calls; the negative reserve makes up for it.
	for range 10 {
		p.admission.CountCall("s")
	}
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

// hangingRegistry does not respond until the caller gives up.
type hangingRegistry struct{ statesync.Registry }

func (hangingRegistry) Deregister(ctx context.Context, _ statesync.Member) error {
	<-ctx.Done()
	return ctx.Err()
}

// busyHandler always has an active call.
type busyHandler struct{ fakeHandler }

func (busyHandler) Active() int64 { return 1 }

// serveCallers starts the callers' server of a process with a handler, for the connections of the listener.
func serveCallers(p *Process, handler http.HandlerFunc) *connListener {
	l := &connListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	p.callers = callerconn.New(&http.Server{Handler: handler}, callerconn.Options{Log: zap.NewNop(), Metrics: metrics.NewSet()})
	go func() { _ = p.callers.Serve(l) }()
	synctest.Wait()
	return l
}

// connListener accepts the connections that it is given.
type connListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }

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
		l := serveCallers(p, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		caller, accepted := net.Pipe()
		l.conns <- accepted
		if _, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		began := time.Now()
		p.stop()
		_ = caller.Close()
		if took := time.Since(began); took > grace-stopMargin {
			t.Errorf("the stop took %v of %v", took, grace)
		}
	})
}
