package resident

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// nobody is a Front without callers.
type nobody struct{ http.Handler }

func (nobody) CloseConnections() {}
func (nobody) Active() int64     { return 0 }

func newTestProcess(reload func() (admission.RetryBudget, error)) *Process {
	return New(Settings{VMName: "vm-1", DataCentre: "a", Retries: admission.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 10}}, Edge{
		ReadyPath: "/ready",
		Decode: func([]byte) (*traffic.Configuration, error) {
			return traffic.NewConfiguration(1, nil, nil, nil, traffic.Limits{}), nil
		},
		Front:  func(*dispatch.Dispatcher, func() *traffic.Configuration) Front { return nobody{http.NotFoundHandler()} },
		Reload: reload,
	}, zap.NewNop(), metrics.NewSet())
}

// TestReadyFromTheFirstConfigurationToTheStop shows when a VM says that it takes callers.
func TestReadyFromTheFirstConfigurationToTheStop(t *testing.T) {
	p := newTestProcess(nil)
	ask := func() int {
		w := httptest.NewRecorder()
		p.readyHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		return w.Code
	}
	if got := ask(); got != http.StatusServiceUnavailable {
		t.Errorf("knowing nothing, ready answers %d", got)
	}
	if err := p.Keeper.OfferConfiguration([]byte("1"), "test"); err != nil {
		t.Fatal(err)
	}
	p.Keeper.OfferEndpoints(traffic.Endpoints{Version: 1}, clock.Boot{}.Now(), "test")
	if got := ask(); got != http.StatusOK {
		t.Errorf("ready answers %d", got)
	}
	p.stopping.Store(true)
	if got := ask(); got != http.StatusServiceUnavailable {
		t.Errorf("while stopping ready answers %d", got)
	}
}

// TestReload shows that new bounds count at once, and that settings which cannot be read change
// nothing.
func TestReload(t *testing.T) {
	results := make(chan error, 2)
	results <- fault.New(fault.Malformed, "correct it", "odd settings")
	results <- nil
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
	if len(results) > 1 || !p.gate.SpendRetry("s", -0.9) {
		t.Error("the former bounds are gone")
	}
	reload <- syscall.SIGHUP
	stop()
	<-done
	if p.gate.SpendRetry("s", 0) {
		t.Error("the new bounds do not count")
	}
}

// TestUnusedConnectionsClose shows that the configuration's limit closes a connection that is
// not used, and none that is.
func TestUnusedConnectionsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 15 * time.Second
		l := newIdleLimit(func() time.Duration { return limit })
		unused, used := newPipe(t), newPipe(t)
		l.hook(unused, http.StateIdle)
		l.hook(used, http.StateIdle)
		time.Sleep(limit - time.Millisecond)
		l.hook(used, http.StateActive)
		time.Sleep(limit)
		if unused.SetDeadline(time.Time{}) == nil {
			t.Error("the unused connection is open")
		}
		if err := used.SetDeadline(time.Time{}); err != nil {
			t.Errorf("the connection in use is closed: %v", err)
		}
	})
}

func newPipe(t *testing.T) net.Conn {
	a, b := net.Pipe()
	t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
	return a
}
