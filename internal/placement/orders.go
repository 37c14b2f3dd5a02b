package placement

import (
	"context"
	"net/netip"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/endpoint"
)

// orderer gives a cell's orders to its endpoints, under the cell's claim.
type orderer struct {
	dialer endpoint.Dialer
	fencer *fencer
	log    *zap.Logger
	cell   string
}

func newOrderer(o Options, cell string) *orderer {
	f := &fencer{store: o.Store, clock: o.Clock, object: "fence/" + cell, self: o.Self.VM.String()}
	return &orderer{dialer: o.Dialer, fencer: f, log: o.Log, cell: cell}
}

// give carries out one order and reports whether the endpoint took it.
func (g *orderer) give(ctx context.Context, a *OrderAction) bool {
	fence, err := g.try(ctx, a)
	fields := []zap.Field{
		zap.String("cell", g.cell),
		zap.String("endpoint", a.Endpoint),
		zap.String("action", a.Name),
		zap.String("target", a.Target),
		zap.Uint64("fence", fence),
	}
	if err != nil {
		g.log.Warn("endpoint_order_failed", append(fields, zap.Error(err))...)
		return false
	}
	g.log.Info("endpoint_order", fields...)
	return true
}

func (g *orderer) try(ctx context.Context, a *OrderAction) (fence uint64, err error) {
	addr, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	fence, err = g.fencer.hold(ctx, a.ChecksFence)
	if err != nil {
		return 0, err
	}
	return fence, g.dialer.Engine(addr).Configure(ctx, endpoint.ConfigureRequest{FencingToken: fence, Action: a.Name, Target: a.Target})
}
