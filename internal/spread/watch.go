package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/platform"
)

const (
	// WatchLimit bounds one watch, so that one on a silent connection cannot hide a change for
	// long. A read follows each watch that shows nothing.
	WatchLimit = 2 * time.Second
	// readTimeout bounds one read.
	readTimeout = time.Second
	// refusedWatchWait is the wait before the read that follows a watch that was refused.
	refusedWatchWait = 300 * time.Millisecond
	// backoffMin and backoffMax bound the wait after the platform did not answer.
	backoffMin = 200 * time.Millisecond
	backoffMax = 2 * time.Second
)

type callCounters struct {
	reads, watches *metrics.Counter
	spread         *metrics.Histogram
}

func newCallCounters(object string) callCounters {
	name := func(call string) string {
		return fmt.Sprintf(`fulmartide_spread_platform_calls_total{object=%q,call=%q}`, object, call)
	}
	return callCounters{
		reads:   metrics.GetOrCreateCounter(name("read")),
		watches: metrics.GetOrCreateCounter(name("watch")),
		spread:  metrics.GetOrCreateHistogram(fmt.Sprintf(`fulmartide_spread_data_centre_seconds{object=%q}`, object)),
	}
}

// readFirst reads the object at start, until this VM has a version from anywhere.
func (r *Replica) readFirst(ctx context.Context) {
	wait := backoffMin
	for ctx.Err() == nil && r.held.Load() == nil {
		if r.read(ctx) == nil {
			return
		}
		wait = r.backOff(ctx, wait)
	}
}

// watch follows the object while this VM holds the watch duty of its data centre.
func (r *Replica) watch(ctx context.Context) {
	wait := backoffMin
	watching := false
	for ctx.Err() == nil {
		rank, bridge := r.opts.Directory.View().BridgeRank()
		if bridge != watching {
			watching = bridge
			r.opts.Log.Info("watch duty", zap.String("object", r.opts.Object), zap.Bool("held", bridge), zap.Int("rank", rank))
		}
		_ = r.loop.Put(ctx, Lead{Leads: bridge && rank == 0})
		if !bridge {
			sleep(ctx, leadPeriod)
			continue
		}
		if err := r.watchOnce(ctx); err != nil {
			wait = r.backOff(ctx, wait)
			continue
		}
		wait = backoffMin
	}
}

// watchOnce waits for a change for a bounded time and reads the object if none came.
func (r *Replica) watchOnce(ctx context.Context) error {
	after := uint64(0)
	if t := r.held.Load(); t != nil {
		after = t.Version
	}
	asked := r.opts.Clock.Now()
	wctx, cancel := context.WithTimeout(ctx, WatchLimit)
	defer cancel()
	r.calls.watches.Inc()
	obj, err := r.opts.Store.Watch(wctx, r.opts.Object, after)
	if err == nil {
		r.opts.OnPlatform(asked)
		return r.accept(ctx, obj)
	}
	if !fault.Is(err, fault.Timeout) {
		sleep(ctx, refusedWatchWait)
	}
	return r.read(ctx)
}

func (r *Replica) read(ctx context.Context) error {
	asked := r.opts.Clock.Now()
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r.calls.reads.Inc()
	obj, err := r.opts.Store.Get(rctx, r.opts.Object)
	if fault.Is(err, fault.NotFound) {
		r.opts.OnPlatform(asked)
		return r.loop.Put(ctx, Read{Table: NewTable(0, nil)})
	}
	if err != nil {
		return err
	}
	r.opts.OnPlatform(asked)
	return r.accept(ctx, obj)
}

func (r *Replica) accept(ctx context.Context, obj platform.Object) error {
	if t := r.held.Load(); t != nil && obj.Version <= t.Version {
		return nil
	}
	entries, err := r.opts.Decode(obj.Value)
	if err != nil {
		r.opts.Log.Error("object unreadable", zap.String("object", r.opts.Object), zap.Uint64("version", obj.Version), zap.Error(err))
		return err
	}
	return r.loop.Put(ctx, Read{Table: NewTable(obj.Version, entries)})
}

// backOff waits with jitter and gives the next wait.
func (r *Replica) backOff(ctx context.Context, wait time.Duration) time.Duration {
	sleep(ctx, wait/2+rand.N(wait/2))
	return min(2*wait, backoffMax)
}
