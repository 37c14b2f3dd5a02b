package vmserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/callerconn"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/explain"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

const (
	// headerTimeout bounds the reading of request headers.
	headerTimeout = 10 * time.Second
	// maxIdleTimeout bounds the idle time of callers' connections. The configuration may set a
	// shorter timeout.
	maxIdleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the size of headers that are read before the limit of the
	// configuration is checked.
	maxHeaderBytes = 256 << 10
)

// Run serves until ctx ends, then shuts down gracefully. A signal on reload reloads the settings.
func (p *Process) Run(ctx context.Context, reload <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(memoryFraction * float64(p.settings.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	tasksCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	peers, err := listen(ctx, p.settings.Peers)
	if err != nil {
		return err
	}
	p.wg.Go(func() {
		if err := p.transport.Serve(peers); err != nil {
			p.log.Error("could not serve peers", zap.Error(err))
		}
	})
	for _, task := range []func(context.Context){p.stateSync.Run, p.reach.Run, p.refresher.Run, p.rebalancer.Run, p.platform.SweepIdleConnections, p.dispatch.Run, p.quarantineKeeper.Run, p.versionKeeper.Run, p.streamKeeper.Run, p.recorder.Run} {
		p.wg.Go(func() { task(tasksCtx) })
	}
	closer := newIdleCloser(p.idleTimeout)
	callers := callerconn.New(&http.Server{
		Handler: p.Handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(p.log.Named("http")), ConnState: closer.connState,
	}, p.platform.RequestID, p.log.Named("callers"), p.set)
	ready := &http.Server{Handler: p.readyHandler(), ReadHeaderTimeout: headerTimeout}
	metricsServer := &http.Server{Handler: p.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	var accepting net.Listener
	for _, l := range []struct {
		server *http.Server
		addr   netip.AddrPort
	}{{callers.Server, p.settings.Callers}, {ready, p.settings.Ready}, {metricsServer, p.settings.Metrics}} {
		ln, err := listen(ctx, l.addr)
		if err != nil {
			return err
		}
		if l.server == callers.Server {
			ln = callers.Listener(ln)
			accepting = ln
		}
		p.wg.Go(func() { p.serve(l.server, ln) })
	}
	p.log.Info("started", zap.String("vm", p.settings.VMName), zap.String("data_centre", p.settings.DataCentre),
		zap.Stringer("callers", p.settings.Callers), zap.Stringer("peers", p.settings.Peers), zap.Strings("odd_settings", p.settings.Invalid))
	p.await(ctx, reload)
	deadline := p.stop(callerServer{callers, accepting, closer.busyConnections})
	stopTasks()
	_ = ready.Close()
	_ = metricsServer.Close()
	closeCtx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	p.transport.Shutdown(closeCtx)
	p.wg.Wait()
	p.log.Info("stopped")
	return nil
}

// idleTimeout returns the configured idle timeout of callers' connections, 0 before a
// configuration is known.
func (p *Process) idleTimeout() time.Duration {
	cfg := p.State.Configuration()
	if cfg == nil {
		return 0
	}
	return cfg.Limits.IdleTimeout
}

// await blocks until ctx ends and reloads the settings at each signal.
func (p *Process) await(ctx context.Context, reload <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			budget, err := p.platform.Reload()
			if err != nil {
				p.log.Error("settings not reloaded; the previous ones stay in force", zap.Error(err))
				continue
			}
			p.admission.SetBudget(budget)
			p.log.Info("settings reloaded", zap.Float64("retry_ratio", budget.Ratio), zap.Float64("retry_slack", budget.Slack))
		}
	}
}

func listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	lc := tcpconn.Listener()
	ln, err := lc.Listen(ctx, "tcp", addr.String())
	return ln, fault.Wrap(err, fault.Unavailable, "stop the process that uses the address, or change the address in the settings", "listen on "+addr.String())
}

func (p *Process) serve(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !(p.stopping.Load() && errors.Is(err, net.ErrClosed)) {
		p.log.Error("could not serve", zap.Stringer("address", ln.Addr()), zap.Error(err))
	}
}

const (
	// unreadyTime is how long callers may still open connections after the VM reports that it is
	// not ready: two readiness checks one second apart, plus their latency.
	unreadyTime = 2600 * time.Millisecond
	// disableKeepAlivesAfter is the delay between the start of the shutdown and the time from which
	// responses close their connections.
	disableKeepAlivesAfter = 700 * time.Millisecond
	// arrivalTime is how long requests on accepted connections may take to arrive once new connections are refused. A
	// request that is taken later may not end within the grace time.
	arrivalTime = 600 * time.Millisecond
	// idleBeforeClose is how long no call must be in progress before the remaining connections are closed.
	idleBeforeClose = time.Second
	// stopMargin is the part of the platform's grace time that is left unused.
	stopMargin = 600 * time.Millisecond
)

// callerServer serves callers.
type callerServer struct {
	*callerconn.Server
	listener net.Listener
	// busy returns the number of connections whose request is on its way or being served.
	busy func() int
}

// stop reports the VM as not ready, keeps serving while callers may still connect, and waits for
// the calls in progress, its own and those of other VMs. From the time on at which it leaves, it refuses further requests of
// other VMs, as they may not end within the grace time. It returns when the process must have ended.
func (p *Process) stop(callers callerServer) (deadline time.Time) {
	deadline = time.Now().Add(p.settings.GraceTime - stopMargin)
	p.stopping.Store(true)
	p.forwarded.Withdraw()
	p.log.Info("stopping", zap.Duration("grace", p.settings.GraceTime), zap.Int64("active", p.Handler.Active()))
	time.Sleep(disableKeepAlivesAfter)
	p.Handler.DisableKeepAlives()
	time.Sleep(unreadyTime - disableKeepAlivesAfter)
	stopCtx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	p.leave(deadline)
	var forwarded sync.WaitGroup
	forwarded.Go(func() { p.forwarded.Shutdown(stopCtx) })
	if err := drain(stopCtx, callers, p.Handler.Active); err != nil {
		p.log.Warn("connections cut by the stop", zap.Int64("calls", p.Handler.Active()), zap.Error(err))
	}
	forwarded.Wait()
	return deadline
}

// leave tells the other VMs that this one leaves and withdraws its registry entry, beside the rest of the stop: the store
// may not respond before the deadline.
func (p *Process) leave(deadline time.Time) {
	p.wg.Go(func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		p.stateSync.Leave(ctx)
	})
}

// drain refuses new connections, closes idle ones and waits for the calls in progress until ctx ends. Requests that are
// on their way have arrivalTime to arrive before Shutdown is called: from then on the server closes connections whose
// request arrives, without an answer. Shutdown also waits for requests that arrive only in part; these connections are
// closed once no call has been in progress for idleBeforeClose.
func drain(ctx context.Context, s callerServer, active func() int64) error {
	_ = s.listener.Close()
	s.SetStep("close idle")
	s.SetKeepAlivesEnabled(false) // closes idle connections
	s.SetStep("await arrivals")
	s.awaitArrivals(ctx)
	s.SetStep("shut down")
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(ctx) }()
	check := time.NewTicker(idleBeforeClose / 10)
	defer check.Stop()
	idleSince := time.Now()
	for {
		select {
		case err := <-done:
			return err
		case now := <-check.C:
			if active() > 0 {
				idleSince = now
			} else if now.Sub(idleSince) >= idleBeforeClose {
				s.SetStep("close all")
				return errors.Join(s.Close(), <-done)
			}
		}
	}
}

// awaitArrivals waits until no connection is busy, for at most arrivalTime.
func (s callerServer) awaitArrivals(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, arrivalTime)
	defer cancel()
	for s.busy() > 0 && clock.Sleep(ctx, arrivalTime/20) {
		continue
	}
}

func (p *Process) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+p.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if p.stopping.Load() || !p.State.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (p *Process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.Handle("GET "+explain.Path, &explainer{
		vm: p.settings.VMName, dataCentre: p.settings.DataCentre, configuration: p.State.Configuration, scheduler: p.scheduler, admission: p.admission, set: p.set,
	})
	return mux
}
