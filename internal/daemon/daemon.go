// Package daemon assembles the services of one VM: it opens the listeners, runs each service in a
// goroutine, and stops the services in order.
package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/callerconn"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/connbudget"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/keys"
	"github.com/fulmartide/fulmartide/internal/ledger"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/placement"
	"github.com/fulmartide/fulmartide/internal/relay"
	"github.com/fulmartide/fulmartide/internal/settings"
	"github.com/fulmartide/fulmartide/internal/sweep"
	"github.com/fulmartide/fulmartide/internal/tlsfile"
)

// daemon contains the services and listeners of one process.
type daemon struct {
	settings settings.Settings
	reload   Reload
	log      *zap.Logger
	clock    clock.Clock
	self     membership.Member

	listeners listeners
	// connections bounds what the connections hold that others open to this process.
	connections *connbudget.Budget
	transport   *peer.Transport
	counter     *frameCounter
	platform    *objectstore.HTTPClient
	membership  *membership.Service
	config      *configuration.Service
	keys        *keys.Service
	limiter     *limiter.Service
	placer      *placement.Service
	ledger      *ledger.Service
	relay       *relay.Server
	sweep       *sweep.Service
	queries     http.Handler
	dialer      *endpoint.HTTPDialer
	warmUpDone  atomic.Bool

	services   sync.WaitGroup // goroutines of serviceLoops
	background sync.WaitGroup // all other goroutines
}

// Run serves until ctx ends, then stops gracefully. It returns an error if the daemon cannot start or
// if the shutdown interrupts requests.
func Run(ctx context.Context, s settings.Settings, reload Reload, log *zap.Logger) error {
	d, err := newDaemon(s, reload, log)
	if err != nil {
		return err
	}
	return d.run(ctx)
}

func newDaemon(s settings.Settings, reload Reload, log *zap.Logger) (*daemon, error) {
	ls, err := openListeners(s)
	if err != nil {
		return nil, err
	}
	mutual, err := tlsfile.MutualConfig(s.TLS.PeersCert, s.TLS.PeersKey, s.TLS.PeersCA)
	if err != nil {
		return nil, err
	}
	d := &daemon{settings: s, reload: reload, log: log, clock: clock.BootTime{}, listeners: ls, counter: newFrameCounter()}
	d.self = membership.Member{
		VM:          ident.VM{Name: s.VM.Name, Incarnation: ident.Incarnation(time.Now().UnixNano())},
		DataCentre:  s.VM.DataCentre,
		Region:      s.VM.Region,
		PeerAddress: addrOf(ls.peers),
		State:       membership.Alive,
	}
	d.transport = peer.New(peer.Options{
		Self: d.self.VM, TLS: mutual, Log: log.Named("peer"), Metrics: d.counter.set, CountFrame: d.counter.count,
		Limits: peer.LimitsFor(s.Limits.MemoryMiB<<20, connbudget.Connections(0)),
	})
	d.platform = objectstore.NewHTTPClient(netip.MustParseAddrPort(s.Platform.Address), time.Duration(s.Platform.TimeoutMillis)*time.Millisecond)
	d.createServices()
	return d, nil
}

// createServices creates the services, which register their handlers with the transport.
func (d *daemon) createServices() {
	dialer := endpoint.NewHTTPDialer(endpoint.WithVM(d.self.VM.Name))
	d.dialer = dialer
	d.membership = membership.New(membership.Options{
		Self: d.self, Clock: d.clock, Transport: d.transport, Lister: d.platform,
		Seeds: d.seeds(), Log: d.log.Named("membership"), Digest: d.digest, OnDigest: d.onDigest,
	})
	d.config = configuration.NewService(configuration.Options{
		Store: d.platform, Transport: d.transport, Directory: d.membership, Clock: d.clock, Log: d.log.Named("configuration"), Self: d.self,
	})
	d.keys = keys.NewService(keys.Options{
		Store: d.platform, Transport: d.transport, Directory: d.membership, Clock: d.clock, Log: d.log.Named("keys"),
		Configuration: d.config.Current, Self: d.self,
	})
	d.limiter = limiter.New(limiter.Options{
		Self: d.self, Directory: d.membership, Store: d.platform, Lister: d.platform, Transport: d.transport, Clock: d.clock,
		Configuration: d.config.Current, Policy: d.settings.Policy.Limiter, Log: d.log.Named("limiter"),
	})
	d.placer = placement.New(placement.Options{
		Self: d.self, Directory: d.membership, Transport: d.transport, Dialer: dialer, Configuration: d.config.Current,
		Clock: d.clock, Store: d.platform, Policy: d.settings.Policy.Placement, Log: d.log.Named("placement"),
	})
	d.ledger = ledger.New(ledger.Options{
		Self: d.self, Directory: d.membership, Store: d.platform, Transport: d.transport, Clock: d.clock, WallClock: time.Now, Log: d.log.Named("ledger"),
	})
	d.relay = relay.New(relay.Options{
		Self: d.self.VM, DataCentre: d.self.DataCentre, Limits: d.settings.Limits, Configuration: d.config.Current, Keys: d.keys,
		Limiter: d.limiter, Placer: d.placer, Ledger: d.ledger, Dialer: dialer, Clock: d.clock, Log: d.log.Named("relay"),
	})
	d.connections = d.newConnectionBudget()
	d.sweep = sweep.New(sweep.Options{
		Self: d.self, Directory: d.membership, Transport: d.transport, Dialer: dialer, Configuration: d.config.Current,
		Clock: d.clock, Log: d.log.Named("sweep"), IsLive: d.relay.IsLive, IsLiveAt: d.relay.IsLiveAt,
	})
	d.queries = d.queryHandler()
}

func (d *daemon) seeds() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(d.settings.Peers.Seeds))
	for _, s := range d.settings.Peers.Seeds {
		out = append(out, netip.MustParseAddrPort(s))
	}
	return out
}

// serviceLoops returns the functions that run in their own goroutines from startup to shutdown.
func (d *daemon) serviceLoops() []func(context.Context) {
	return []func(context.Context){
		d.membership.Run, d.config.Run, d.keys.Run, d.limiter.Run, d.placer.Run, d.ledger.Run, d.sweep.Run, d.relay.Run,
		d.reloadOnSignals,
	}
}

func (d *daemon) run(ctx context.Context) error {
	servicesCtx, stopServices := context.WithCancel(context.Background())
	defer stopServices()
	d.background.Go(func() { _ = d.transport.Serve(d.listeners.peers) })
	for _, run := range d.serviceLoops() {
		d.services.Go(func() { run(servicesCtx) })
	}
	callers, err := d.callerServer()
	if err != nil {
		return err
	}
	d.background.Go(func() { d.warmUp(servicesCtx) })
	operator := d.operatorServer()
	d.background.Go(func() { serve(operator, d.listeners.operator) })
	d.background.Go(func() { serve(callers, d.listeners.callers) })
	d.log.Info("listening",
		zap.String("vm", d.self.VM.String()),
		zap.String("data_centre", d.self.DataCentre),
		zap.Stringer("callers", addrOf(d.listeners.callers)),
		zap.Stringer("peers", addrOf(d.listeners.peers)),
		zap.Stringer("operator", addrOf(d.listeners.operator)))
	<-ctx.Done()
	interrupted := d.stop(callers, operator, stopServices)
	if interrupted > 0 {
		return fault.New(fault.Timeout, "raise stop.drain_seconds if responses take longer",
			requestCountText(interrupted)+" interrupted by the shutdown")
	}
	return nil
}

const (
	// callersTimeout limits the time in which the connections of callers are ended, after the drain.
	callersTimeout = 2 * time.Second
	// shutdownTimeout limits the shutdown of the ledger, the limiter and the transport together.
	shutdownTimeout = 2 * time.Second
)

// stop reports this VM as not ready and serves on while callers may not know it, announces that this VM is
// leaving, drains requests, hands over the state that this VM owns, and stops the services. It returns the number
// of interrupted requests.
func (d *daemon) stop(callers *callerconn.Server, operator *callerconn.Server, stopServices context.CancelFunc) int {
	d.log.Info("stopping", zap.Duration("notice", d.settings.NoticeTime()), zap.Duration("drain", d.settings.DrainTimeout()))
	d.relay.AnnounceStop()
	time.Sleep(d.settings.NoticeTime())
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), d.settings.DrainTimeout())
	defer cancelDrain()
	d.membership.Leave(drainCtx)
	interrupted := d.relay.Stop(drainCtx)
	d.endConnections(callers)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelStop()
	d.ledger.Stop(stopCtx)
	d.limiter.Stop(stopCtx)
	stopServices()
	d.services.Wait() // before the transport closes, as membership reports the end of this VM when it stops
	_ = operator.Close()
	d.transport.Shutdown(stopCtx)
	d.background.Wait()
	d.log.Info("stopped", zap.Int("cut", interrupted))
	return interrupted
}

// endConnections answers the requests that have arrived and ends the connections of callers.
func (d *daemon) endConnections(callers *callerconn.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), callersTimeout)
	defer cancel()
	if err := callers.Drain(ctx, d.relay); err != nil {
		d.log.Warn("connections cut by the stop", zap.Error(err))
	}
}

func addrOf(ln net.Listener) netip.AddrPort { return netip.MustParseAddrPort(ln.Addr().String()) }
