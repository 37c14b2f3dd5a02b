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
	"github.com/fulmartide/fulmartide/internal/explain"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

const (
	// headerTimeout bounds the reading of request headers.
	headerTimeout = 10 * time.Second
	// maxIdleTime bounds the idle time of callers' connections where the configuration sets no timeout.
	maxIdleTime = 90 * time.Second
	// maxHeaderBytes bounds the size of headers whatever the configuration allows.
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
	for _, task := range []func(context.Context){p.stateSync.Run, p.reach.Run, p.refresher.Run, p.rebalancer.Run, p.platform.SweepIdleConnections, p.dispatch.Run, p.quarantineKeeper.Run, p.versionKeeper.Run, p.streamKeeper.Run, p.recorder.Run, p.watchPauses} {
		p.wg.Go(func() { task(tasksCtx) })
	}
	ready, metricsServer := p.buildServers()
	for _, l := range []struct {
		server *callerconn.Server
		addr   netip.AddrPort
	}{{p.callers, p.settings.Callers}, {ready, p.settings.Ready}, {metricsServer, p.settings.Metrics}} {
		ln, err := listen(ctx, l.addr)
		if err != nil {
			return err
		}
		p.wg.Go(func() { p.serve(l.server, ln) })
	}
	p.log.Info("started", zap.String("vm", p.settings.VMName), zap.String("data_centre", p.settings.DataCentre),
		zap.Stringer("callers", p.settings.Callers), zap.Stringer("peers", p.settings.Peers), zap.Strings("odd_settings", p.settings.Invalid))
	p.await(ctx, reload)
	deadline := p.stop()
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

func (p *Process) watchPauses(ctx context.Context) { p.running.Run(ctx, p.clock) }

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

func (p *Process) serve(s *callerconn.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
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
	// stopMargin is the part of the platform's grace time that is left unused.
	stopMargin = 600 * time.Millisecond
	// minDrainTime is how long calls in progress have at least after unreadyTime, however late the stop is.
	minDrainTime = time.Second
)

// stopTime returns how long a stop may take from now on if its signal may have come late before: the platform counts the grace
// time from the signal.
func stopTime(grace, late time.Duration) time.Duration {
	return max(grace-stopMargin-late, min(grace-stopMargin, unreadyTime+minDrainTime))
}

// stop reports the VM as not ready, keeps serving while callers may still connect, and waits for
// the calls in progress, its own and those of other VMs. From the time on at which it leaves, it refuses further requests of
// other VMs, as they may not end within the grace time. It returns when the process must have ended.
func (p *Process) stop() (deadline time.Time) {
	late := p.running.LateBy(p.clock.Now())
	deadline = time.Now().Add(stopTime(p.settings.GraceTime, late))
	p.stopping.Store(true)
	p.forwarded.Withdraw()
	p.log.Info("stopping", zap.Duration("grace", p.settings.GraceTime), zap.Duration("handled_late_by", late), zap.Int64("active", p.Handler.Active()))
	time.Sleep(disableKeepAlivesAfter)
	p.Handler.DisableKeepAlives()
	time.Sleep(unreadyTime - disableKeepAlivesAfter)
	stopCtx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	p.leave(deadline)
	var forwarded sync.WaitGroup
	forwarded.Go(func() { p.forwarded.Shutdown(stopCtx) })
	if err := p.callers.Drain(stopCtx, p.Handler); err != nil {
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
