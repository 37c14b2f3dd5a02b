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
	// warmUpTimeout limits the warm-up of a new process.
	warmUpTimeout = 2 * time.Second
	// warmUpPollInterval is the time between checks whether the warm-up can begin.
	warmUpPollInterval = 20 * time.Millisecond
	// maxWarmUpTargets is the maximum number of VMs, and also of engines, to connect to.
	maxWarmUpTargets = 64
	// maxWarmUpCalls is the maximum number of concurrent connection attempts.
	maxWarmUpCalls = 16
)

// warmUp opens connections to the VMs of the region and to the engines of the data centre, and then
// lets the readiness check succeed. Targets that do not respond are skipped.
func (d *daemon) warmUp(ctx context.Context) {
	defer d.warmUpDone.Store(true)
	if !d.settings.Start.WarmUp {
		return
	}
	if !d.awaitAdmission(ctx) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	start := d.clock.Now()
	var g errgroup.Group
	g.SetLimit(maxWarmUpCalls)
	peers, engines := d.warmUpPeers(), d.warmUpEngines()
	for _, addr := range peers {
		g.Go(func() error { return d.transport.Connect(ctx, addr) })
	}
	for _, addr := range engines {
		g.Go(func() error {
			_, err := d.dialer.Engine(addr).Load(ctx)
			return err
		})
	}
	err := g.Wait()
	d.log.Info("warm-up finished", zap.Int("vms", len(peers)), zap.Int("endpoints", len(engines)), zap.Duration("took", d.clock.Now().Sub(start)), zap.Error(err))
}

// awaitAdmission waits until this VM can admit requests. It returns false if ctx ends first.
func (d *daemon) awaitAdmission(ctx context.Context) bool {
	t := time.NewTicker(warmUpPollInterval)
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

func (d *daemon) warmUpPeers() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range d.membership.View().Members {
		if m.VM != d.self.VM && m.Region == d.self.Region && m.State == membership.Alive && len(out) < maxWarmUpTargets {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

func (d *daemon) warmUpEngines() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range d.config.Current().Document.Endpoints {
		addr, err := netip.ParseAddrPort(e.Address)
		if err == nil && e.Model != "" && e.DataCentre == d.self.DataCentre && len(out) < maxWarmUpTargets {
			out = append(out, addr)
		}
	}
	return out
}
