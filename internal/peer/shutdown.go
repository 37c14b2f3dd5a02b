package peer

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// shutdownCheckPeriod is the time between two checks whether anything is in progress.
const shutdownCheckPeriod = 20 * time.Millisecond

var (
	errClosed   = fault.New(fault.Stopping, "use another VM", "transport is closed")
	errStopping = fault.New(fault.Unavailable, "use another VM", "the VM is being stopped")
)

// Shutdown accepts the connections that the kernel has accepted, closes the listener and refuses further calls. Once all
// streams and calls of other VMs have been served and nothing is left to send, or ctx ends, it closes all connections.
func (t *Transport) Shutdown(ctx context.Context) {
	began := time.Now()
	t.drain()
	for t.inProgress() && clock.Sleep(ctx, shutdownCheckPeriod) {
		continue
	}
	t.mu.Lock()
	active, accepted, open := t.active, len(t.accepted), len(t.open)
	t.mu.Unlock()
	t.opts.Log.Info("connections to other vms closed", zap.Bool("in_time", ctx.Err() == nil), zap.Int("in_progress", active),
		zap.Int("accepted", accepted), zap.Int("open", open), zap.Duration("after", time.Since(began)))
	t.Close()
}

// inProgress reports whether anything of another VM is being served, or a frame is waiting to be sent.
func (t *Transport) inProgress() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active > 0 {
		return true
	}
	for c := range t.open {
		if c.unsent.Load() > 0 && !c.ended() {
			return true
		}
	}
	return false
}

// Close closes all connections at once and waits for their goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	t.cancel()
	accepted := slices.Collect(maps.Keys(t.accepted))
	dialed := slices.Collect(maps.Values(t.conns))
	t.mu.Unlock()
	for _, nc := range accepted {
		_ = nc.Close()
	}
	for _, c := range dialed {
		c.close(errClosed)
	}
	t.wg.Wait()
}
