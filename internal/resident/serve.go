package resident

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/sockets"
)

const (
	// headerTimeout bounds the reading of a call's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes callers' unused connections where no configuration says otherwise.
	idleTimeout = 90 * time.Second
	// maxHeader is the most that is read before the limit in force is checked.
	maxHeader = 256 << 10
)

// Run serves until ctx ends, then stops gracefully. A signal on reload has the settings read
// again.
func (p *Process) Run(ctx context.Context, reload <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(p.settings.MemoryBytes)))
	duties, stopDuties := context.WithCancel(context.Background())
	defer stopDuties()
	peers, err := listen(ctx, p.settings.Peers)
	if err != nil {
		return err
	}
	p.wg.Go(func() {
		if err := p.transport.Serve(peers); err != nil {
			p.log.Error("peers not served", zap.Error(err))
		}
	})
	for _, duty := range []func(context.Context){p.exchange.Run, p.follower.Run, p.layout.Run, p.edge.Sweep, p.dispatch.Run} {
		p.wg.Go(func() { duty(duties) })
	}
	callers := &http.Server{
		Handler: p.Front, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: zap.NewStdLog(p.log.Named("http")), ConnState: newIdleLimit(p.idleTime).hook,
	}
	ready := &http.Server{Handler: p.readyHandler(), ReadHeaderTimeout: headerTimeout}
	meter := &http.Server{Handler: p.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	for _, one := range []struct {
		server *http.Server
		at     netip.AddrPort
	}{{callers, p.settings.Callers}, {ready, p.settings.Ready}, {meter, p.settings.Metrics}} {
		ln, err := listen(ctx, one.at)
		if err != nil {
			return err
		}
		p.wg.Go(func() { p.serve(one.server, ln) })
	}
	p.log.Info("started", zap.String("vm", p.settings.VMName), zap.String("data_centre", p.settings.DataCentre),
		zap.Stringer("callers", p.settings.Callers), zap.Stringer("peers", p.settings.Peers), zap.Strings("odd_settings", p.settings.Odd))
	p.await(ctx, reload)
	p.stop(callers)
	stopDuties()
	_ = ready.Close()
	_ = meter.Close()
	p.transport.Close()
	p.wg.Wait()
	p.log.Info("stopped")
	return nil
}

// idleTime is how long callers' connections may stay unused, 0 before a configuration is known.
func (p *Process) idleTime() time.Duration {
	cfg := p.Keeper.Configuration()
	if cfg == nil {
		return 0
	}
	return cfg.Limits.IdleTimeout
}

// await returns when ctx ends; until then it reloads the settings at each signal.
func (p *Process) await(ctx context.Context, reload <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			budget, err := p.edge.Reload()
			if err != nil {
				p.log.Error("settings not reloaded; the former stay in force", zap.Error(err))
				continue
			}
			p.gate.SetBudget(budget)
			p.log.Info("settings reloaded", zap.Float64("retry_ratio", budget.Ratio), zap.Float64("retry_slack", budget.Slack))
		}
	}
}

func listen(ctx context.Context, at netip.AddrPort) (net.Listener, error) {
	lc := sockets.Listener()
	ln, err := lc.Listen(ctx, "tcp", at.String())
	return ln, fault.Wrap(err, fault.Unavailable, "free the address", "listen on "+at.String())
}

func (p *Process) serve(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		p.log.Error("not served", zap.Stringer("address", ln.Addr()), zap.Error(err))
	}
}

const (
	// leaveTime is how long callers may still open connections after the VM said that it is
	// not ready: two checks a second apart, and their way.
	leaveTime = 2600 * time.Millisecond
	// closeAfter is when answers begin to close their connections.
	closeAfter = 700 * time.Millisecond
	// stopMargin is left of the time that the platform gives.
	stopMargin = 600 * time.Millisecond
)

// stop says that the VM is not ready, goes on serving while callers still come, and waits for
// the calls under way.
func (p *Process) stop(callers *http.Server) {
	begun := time.Now()
	p.stopping.Store(true)
	p.log.Info("stopping", zap.Duration("grace", p.settings.GraceTime), zap.Int64("active", p.Front.Active()))
	time.Sleep(closeAfter)
	p.Front.CloseConnections()
	time.Sleep(leaveTime - closeAfter)
	// From here on unused connections are closed and new ones refused; calls under way go on.
	last, cancel := context.WithDeadline(context.Background(), begun.Add(p.settings.GraceTime-stopMargin))
	defer cancel()
	p.exchange.Leave(last)
	if err := callers.Shutdown(last); err != nil {
		p.log.Warn("connections cut by the stop", zap.Int64("calls", p.Front.Active()), zap.Error(err))
	}
}

func (p *Process) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+p.edge.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if p.stopping.Load() || !p.Keeper.Ready() {
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
	return mux
}
