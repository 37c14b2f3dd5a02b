package daemon

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/fulmartide/fulmartide/internal/membership"
)

const (
	// warmLimit bounds the warming of a new process.
	warmLimit = 2 * time.Second
	// warmPoll is the time between looks at whether warming can begin.
	warmPoll = 20 * time.Millisecond
	// warmTargets is the most VMs, and the most endpoints, that are called.
	warmTargets = 64
	// warmCalls is the number of calls at once.
	warmCalls = 16
)

// warm opens connections to the VMs of the region and to the endpoints of the data centre
// before callers come, and then lets the VM become ready. A target that does not answer is
// left out.
func (d *daemon) warm(ctx context.Context) {
	defer d.warmed.Store(true)
	if !d.settings.Start.Warm {
		return
	}
	if !d.awaitServing(ctx) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, warmLimit)
	defer cancel()
	begin := d.clock.Now()
	var g errgroup.Group
	g.SetLimit(warmCalls)
	peers, endpoints := d.warmPeers(), d.warmEndpoints()
	for _, addr := range peers {
		g.Go(func() error { return d.transport.Connect(ctx, addr) })
	}
	for _, addr := range endpoints {
		g.Go(func() error {
			_, err := d.dialer.Engine(addr).Load(ctx)
			return err
		})
	}
	err := g.Wait()
	d.log.Info("warmed", zap.Int("vms", len(peers)), zap.Int("endpoints", len(endpoints)), zap.Duration("took", d.clock.Now().Sub(begin)), zap.Error(err))
}

// awaitServing waits until requests can be admitted, or ctx ends.
func (d *daemon) awaitServing(ctx context.Context) bool {
	t := time.NewTicker(warmPoll)
	defer t.Stop()
	for d.config.Current() == nil || !d.limiter.Ready() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (d *daemon) warmPeers() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range d.membership.View().Members {
		if m.VM != d.self.VM && m.Region == d.self.Region && m.State == membership.Alive && len(out) < warmTargets {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

func (d *daemon) warmEndpoints() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range d.config.Current().Document.Endpoints {
		addr, err := netip.ParseAddrPort(e.Address)
		if err == nil && e.Model != "" && e.DataCentre == d.self.DataCentre && len(out) < warmTargets {
			out = append(out, addr)
		}
	}
	return out
}
