package relay

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/endpoint"
)

const (
	// cancelQueueCapacity bounds the queue of cancellations. When it is full, cancellations are
	// dropped and the sweep frees the engine memory later.
	cancelQueueCapacity = 4096
	// cancelWorkers is the number of concurrent cancellations.
	cancelWorkers = 16
	cancelTimeout = time.Second
)

type cancelRequest struct {
	addr      netip.AddrPort
	requestID string
}

// canceller asks engines to free the memory of requests that have ended.
type canceller struct {
	dialer endpoint.Dialer
	queue  chan cancelRequest
	log    *zap.Logger
}

func newCanceller(d endpoint.Dialer, log *zap.Logger) *canceller {
	return &canceller{dialer: d, queue: make(chan cancelRequest, cancelQueueCapacity), log: log}
}

func (c *canceller) add(addr netip.AddrPort, requestID string) {
	select {
	case c.queue <- cancelRequest{addr, requestID}:
	default:
		c.log.Warn("cancel queue full; the sweep will free the engine memory",
			zap.String("request", requestID), zap.Stringer("endpoint", addr))
	}
}

func (c *canceller) run(ctx context.Context) {
	done := make(chan struct{})
	for range cancelWorkers {
		go func() {
			defer func() { done <- struct{}{} }()
			c.runWorker(ctx)
		}()
	}
	for range cancelWorkers {
		<-done
	}
}

func (c *canceller) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-c.queue:
			c.cancel(ctx, req)
		}
	}
}

func (c *canceller) cancel(ctx context.Context, req cancelRequest) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	if err := c.dialer.Engine(req.addr).Cancel(ctx, req.requestID); err != nil {
		c.log.Warn("cancel failed; the sweep will free the engine memory",
			zap.String("request", req.requestID), zap.Stringer("endpoint", req.addr), zap.Error(err))
	}
}
