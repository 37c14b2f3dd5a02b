package placement

import (
	"context"
	"net/netip"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/endpoint"
)

// orderSender sends a cell's orders to its endpoints under the cell's fence.
type orderSender struct {
	dialer endpoint.Dialer
	fence  *orderFence
	log    *zap.Logger
	cell   string
}

func newOrderSender(o Options, cell string) *orderSender {
	fence := &orderFence{store: o.Store, clock: o.Clock, object: "fence/" + cell, self: o.Self.VM.String()}
	return &orderSender{dialer: o.Dialer, fence: fence, log: o.Log, cell: cell}
}

// send sends one order and reports whether the endpoint accepted it.
func (s *orderSender) send(ctx context.Context, a *OrderAction) bool {
	fence, err := s.sendFenced(ctx, a)
	fields := []zap.Field{
		zap.String("cell", s.cell),
		zap.String("endpoint", a.Endpoint),
		zap.String("action", a.Action),
		zap.String("target", a.Target),
		zap.Uint64("fence", fence),
	}
	if err != nil {
		s.log.Warn("endpoint_order_failed", append(fields, zap.Error(err))...)
		return false
	}
	s.log.Info("endpoint_order", fields...)
	return true
}

func (s *orderSender) sendFenced(ctx context.Context, a *OrderAction) (fence uint64, err error) {
	addr, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fence, err = s.fence.acquire(ctx, a.ChecksFence)
	if err != nil {
		return 0, err
	}
	return fence, s.dialer.Engine(addr).Configure(ctx, endpoint.ConfigureRequest{FencingToken: fence, Action: a.Action, Target: a.Target})
}
