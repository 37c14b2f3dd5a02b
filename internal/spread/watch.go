package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

const (
	// WatchLimit bounds one watch, so that one on a silent connection cannot hide a change for
	// long. A look at the version follows each watch that shows nothing.
	WatchLimit = 2 * time.Second
	// MaxWatchedBytes is the largest object that is watched. A watch gives the whole object, so
	// larger ones are looked at by version alone, every PollPeriod, and mostly come as deltas
	// from the VM that wrote them.
	MaxWatchedBytes = 32 << 10
	// PollPeriod is the time between looks at a large object's version.
	PollPeriod = time.Second
	// peerGrace is how long peers may take to bring a large object's change.
	peerGrace = 400 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = time.Second
	// refusedWatchWait is the wait before the read that follows a watch that was refused.
	refusedWatchWait = 300 * time.Millisecond
	// backoffMin and backoffMax bound the wait after the platform did not answer.
	backoffMin = 200 * time.Millisecond
	backoffMax = 2 * time.Second
)

type callCounters struct {
	reads, watches, lists *metrics.Counter
	spread                *metrics.Histogram
}

func newCallCounters(object string) callCounters {
	name := func(call string) string {
		return fmt.Sprintf(`fulmartide_spread_platform_calls_total{object=%q,call=%q}`, object, call)
	}
	return callCounters{
		reads:   metrics.GetOrCreateCounter(name("read")),
		watches: metrics.GetOrCreateCounter(name("watch")),
		lists:   metrics.GetOrCreateCounter(name("list")),
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

// watchOnce waits for a change for a bounded time and then looks at the version.
func (r *Replica) watchOnce(ctx context.Context) error {
	after := r.after()
	if r.bytes() > MaxWatchedBytes {
		sleep(ctx, PollPeriod)
		return r.look(ctx)
	}
	asked := r.opts.Clock.Now()
	wctx, cancel := context.WithTimeout(ctx, WatchLimit)
	defer cancel()
	r.calls.watches.Inc()
	obj, err := r.opts.Store.Watch(wctx, r.opts.Object, after)
	if err == nil {
		return r.accept(ctx, obj, asked)
	}
	if !fault.Is(err, fault.Timeout) {
		sleep(ctx, refusedWatchWait)
	}
	return r.look(ctx)
}

// after gives the latest version that this VM holds or has read.
func (r *Replica) after() uint64 {
	after := r.seen.Load()
	if t := r.held.Load(); t != nil {
		after = max(after, t.Version)
	}
	return after
}

// bytes gives the size of the table in force.
func (r *Replica) bytes() int {
	n := 0
	if t := r.held.Load(); t != nil {
		for k, v := range t.Entries {
			n += len(k) + len(v)
		}
	}
	return n
}

// look reads the object's version alone, and the object if the version is news that peers do
// not bring within peerGrace.
func (r *Replica) look(ctx context.Context) error {
	asked := r.opts.Clock.Now()
	version, err := r.version(ctx)
	if err != nil {
		return err
	}
	if version <= r.after() {
		r.opts.OnPlatform(asked)
		return nil
	}
	if r.bytes() > MaxWatchedBytes && sleep(ctx, peerGrace) && version <= r.after() {
		return nil
	}
	return r.read(ctx)
}

func (r *Replica) version(ctx context.Context) (uint64, error) {
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r.calls.lists.Inc()
	objects, err := r.opts.Store.List(rctx, r.opts.Object)
	if err != nil {
		return 0, err
	}
	for _, o := range objects {
		if o.Name == r.opts.Object {
			return o.Version, nil
		}
	}
	return 0, nil
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
	return r.accept(ctx, obj, asked)
}

// accept puts an object that was asked for at an instant in force, if it is later.
func (r *Replica) accept(ctx context.Context, obj objectstore.Object, asked clock.Instant) error {
	if t := r.held.Load(); t != nil && obj.Version <= t.Version {
		r.opts.OnPlatform(asked)
		return nil
	}
	entries, err := r.opts.Decode(obj.Value)
	if err != nil {
		r.opts.Log.Error("object unreadable", zap.String("object", r.opts.Object), zap.Uint64("version", obj.Version), zap.Error(err))
		return err
	}
	r.seen.Store(obj.Version)
	if err := r.loop.Put(ctx, Read{Table: NewTable(obj.Version, entries)}); err != nil {
		return err
	}
	r.opts.OnPlatform(asked)
	return nil
}

// backOff waits with jitter and gives the next wait.
func (r *Replica) backOff(ctx context.Context, wait time.Duration) time.Duration {
	sleep(ctx, wait/2+rand.N(wait/2))
	return min(2*wait, backoffMax)
}
