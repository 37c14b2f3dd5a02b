// Package daemon joins the duties of one VM: it opens the listeners, starts a goroutine for
// each duty, and stops them in order.
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

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
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

// daemon is one process life.
type daemon struct {
	settings settings.Settings
	log      *zap.Logger
	clock    clock.Clock
	self     membership.Member

	listeners  listeners
	transport  *peer.Transport
	counter    *frameCounter
	platform   *objectstore.HTTPClient
	membership *membership.Service
	config     *configuration.Service
	keys       *keys.Service
	limiter    *limiter.Service
	placer     *placement.Service
	ledger     *ledger.Service
	relay      *relay.Server
	sweep      *sweep.Service
	queries    http.Handler
	dialer     *endpoint.HTTPDialer
	warmed     atomic.Bool

	duty sync.WaitGroup // the goroutines of duties
	wg   sync.WaitGroup // all others
}

// Run serves until ctx ends, then stops gracefully. It fails when it could not start, and
// when the stop cut requests short.
func Run(ctx context.Context, s settings.Settings, log *zap.Logger) error {
	d, err := newDaemon(s, log)
	if err != nil {
		return err
	}
	return d.run(ctx)
}

func newDaemon(s settings.Settings, log *zap.Logger) (*daemon, error) {
	ls, err := openListeners(s)
	if err != nil {
		return nil, err
	}
	mutual, err := tlsfile.Mutual(s.TLS.PeersCert, s.TLS.PeersKey, s.TLS.PeersCA)
	if err != nil {
		return nil, err
	}
	d := &daemon{settings: s, log: log, clock: clock.BootTime{}, listeners: ls, counter: newFrameCounter()}
	d.self = membership.Member{
		VM:          ident.VM{Name: s.VM.Name, Incarnation: ident.Incarnation(time.Now().UnixNano())},
		DataCentre:  s.VM.DataCentre,
		Region:      s.VM.Region,
		PeerAddress: addrOf(ls.peers),
		State:       membership.Alive,
	}
	d.transport = peer.New(peer.Options{Self: d.self.VM, TLS: mutual, Log: log.Named("peer"), CountFrame: d.counter.count})
	d.platform = objectstore.NewHTTPClient(netip.MustParseAddrPort(s.Platform.Address), time.Duration(s.Platform.TimeoutMillis)*time.Millisecond)
	d.build()
	return d, nil
}

// build makes the duties; each registers its handlers with the transport.
func (d *daemon) build() {
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

// duties lists what runs in its own goroutine from start to stop.
func (d *daemon) duties() []func(context.Context) {
	return []func(context.Context){
		d.membership.Run, d.config.Run, d.keys.Run, d.limiter.Run, d.placer.Run, d.ledger.Run, d.sweep.Run, d.relay.Run,
	}
}

func (d *daemon) run(ctx context.Context) error {
	duties, stopDuties := context.WithCancel(context.Background())
	defer stopDuties()
	d.wg.Go(func() { _ = d.transport.Serve(d.listeners.peers) })
	for _, duty := range d.duties() {
		d.duty.Go(func() { duty(duties) })
	}
	callers, err := d.callerServer()
	if err != nil {
		return err
	}
	d.wg.Go(func() { d.warm(duties) })
	operator := d.operatorServer()
	d.wg.Go(func() { _ = operator.Serve(d.listeners.operator) })
	d.wg.Go(func() { serveCallers(callers, d.listeners.callers) })
	d.log.Info("listening",
		zap.String("vm", d.self.VM.String()),
		zap.String("data_centre", d.self.DataCentre),
		zap.Stringer("callers", addrOf(d.listeners.callers)),
		zap.Stringer("peers", addrOf(d.listeners.peers)),
		zap.Stringer("operator", addrOf(d.listeners.operator)))
	<-ctx.Done()
	cut := d.stop(callers, operator, stopDuties)
	if cut > 0 {
		return fault.New(fault.Timeout, "raise stop.drain_seconds if answers need longer", countText(cut)+" cut by the stop")
	}
	return nil
}

// dutyStopTime bounds each step of a stop after the drain.
const dutyStopTime = 2 * time.Second

// stop drains requests, hands over what this VM holds, and ends the duties.
func (d *daemon) stop(callers, operator *http.Server, stopDuties context.CancelFunc) int {
	d.log.Info("stopping", zap.Duration("drain", d.settings.DrainTime()))
	drain, cancel := context.WithTimeout(context.Background(), d.settings.DrainTime())
	defer cancel()
	d.membership.Leave(drain)
	cut := d.relay.Stop(drain)
	last, cancelLast := context.WithTimeout(context.Background(), dutyStopTime)
	defer cancelLast()
	_ = callers.Shutdown(last)
	d.ledger.Stop(last)
	d.limiter.Stop(last)
	stopDuties()
	d.duty.Wait() // membership says goodbye through the transport as it ends
	_ = operator.Close()
	_ = callers.Close()
	d.transport.Close()
	d.wg.Wait()
	d.log.Info("stopped", zap.Int("cut", cut))
	return cut
}

func addrOf(ln net.Listener) netip.AddrPort { return netip.MustParseAddrPort(ln.Addr().String()) }
