package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
)

// maxQueuedFrees is the capacity of the queue of handles to free. When the queue is full, further
// handles are not freed and expire at their endpoints.
const maxQueuedFrees = 256

// freeTimeout limits one request to free a handle. Handles that are not freed expire by themselves.
const freeTimeout = 300 * time.Millisecond

// free queues a handle that no endpoint will fetch, to be freed by Run.
func (d *Dispatcher) free(h backend.Handle) {
	select {
	case d.freeQueue <- h:
	default:
		d.opts.Log.Warn("handle not freed, left to expire",
			zap.String("endpoint", h.Endpoint.ID.Name), zap.String("why", "queue full"))
	}
}

func (d *Dispatcher) freeHandles(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-d.freeQueue:
			if d.opts.Scheduler.Evacuated(h.Endpoint.DataCentre) { // not even this may be sent there
				d.opts.Log.Info("handle not freed, left to expire", zap.String("endpoint", h.Endpoint.ID.Name), zap.Error(errEvacuated))
				continue
			}
			via, ok := d.opts.Scheduler.StartSend(h.Endpoint.ID, h.Regions)
			if !ok {
				d.opts.Log.Info("handle not freed, left to expire",
					zap.String("endpoint", h.Endpoint.ID.Name), zap.Error(errHeldBack))
				continue
			}
			h.Via = via
			h.LastLook = func() (time.Duration, error) { return 0, d.opts.Scheduler.LastLook(h.Endpoint.ID) }
			freeCtx, cancel := context.WithTimeout(ctx, freeTimeout)
			if err := d.opts.Backend.Free(freeCtx, h); err != nil {
				d.opts.Log.Info("handle not freed, left to expire", zap.String("endpoint", h.Endpoint.ID.Name), zap.Error(err))
			}
			cancel()
		}
	}
}
