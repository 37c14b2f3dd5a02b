package relay

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/endpoint"
)

const (
	// cancelQueue is the most cancels that wait; beyond it the sweep frees the memory.
	cancelQueue = 4096
	// cancelWorkers is the number of cancels under way at once.
	cancelWorkers = 16
	// cancelTimeout bounds one cancel.
	cancelTimeout = time.Second
)

type cancelOrder struct {
	addr    netip.AddrPort
	request string
}

// canceller tells engines to free what they hold for requests that are over.
type canceller struct {
	dialer endpoint.Dialer
	queue  chan cancelOrder
	log    *zap.Logger
}

func newCanceller(d endpoint.Dialer, log *zap.Logger) *canceller {
	return &canceller{dialer: d, queue: make(chan cancelOrder, cancelQueue), log: log}
}

func (c *canceller) add(addr netip.AddrPort, request string) {
	select {
	case c.queue <- cancelOrder{addr, request}:
	default:
		c.log.Warn("cancel dropped, left to the sweep", zap.String("request", request), zap.Stringer("endpoint", addr))
	}
}

func (c *canceller) run(ctx context.Context) {
	done := make(chan struct{})
	for range cancelWorkers {
		go func() {
			defer func() { done <- struct{}{} }()
			c.work(ctx)
		}()
	}
	for range cancelWorkers {
		<-done
	}
}

func (c *canceller) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-c.queue:
			c.cancel(ctx, o)
		}
	}
}

func (c *canceller) cancel(ctx context.Context, o cancelOrder) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	if err := c.dialer.Engine(o.addr).Cancel(ctx, o.request); err != nil {
		c.log.Warn("cancel failed, left to the sweep", zap.String("request", o.request), zap.Stringer("endpoint", o.addr), zap.Error(err))
	}
}
