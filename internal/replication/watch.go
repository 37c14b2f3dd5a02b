package replication

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
	// WatchTimeout is the timeout of one watch. It limits how long a change can go unnoticed on an
	// unresponsive connection, as the version is checked after each watch that returned no change.
	WatchTimeout = 2 * time.Second
	// MaxWatchedBytes is the maximum size of an object that is watched. A watch returns the whole
	// object. For larger objects only the version is polled, every PollPeriod, and changes mostly
	// arrive as deltas from the VM that wrote them.
	MaxWatchedBytes = 32 << 10
	// PollPeriod is the time between version checks of a large object.
	PollPeriod = time.Second
	// peerPushGrace is the time that peers have to push a change of a large object before this VM
	// reads it from the platform.
	peerPushGrace = 400 * time.Millisecond
	// readTimeout is the timeout of one read.
	readTimeout = time.Second
	// failedWatchDelay is the time between a failed watch and the version check that follows it.
	failedWatchDelay = 300 * time.Millisecond
	// backoffMin and backoffMax limit the delay before a retry when the platform did not answer.
	backoffMin = 200 * time.Millisecond
	backoffMax = 2 * time.Second
)

type callCounters struct {
	reads, watches, lists *metrics.Counter
	pushSeconds           *metrics.Histogram
}

func newCallCounters(object string) callCounters {
	name := func(call string) string {
		return fmt.Sprintf(`fulmartide_spread_platform_calls_total{object=%q,call=%q}`, object, call)
	}
	return callCounters{
		reads:       metrics.GetOrCreateCounter(name("read")),
		watches:     metrics.GetOrCreateCounter(name("watch")),
		lists:       metrics.GetOrCreateCounter(name("list")),
		pushSeconds: metrics.GetOrCreateHistogram(fmt.Sprintf(`fulmartide_spread_data_centre_seconds{object=%q}`, object)),
	}
}

// initialRead reads the object at startup, until this VM has a version from any source.
func (r *Replica) initialRead(ctx context.Context) {
	backoff := backoffMin
	for ctx.Err() == nil && r.table.Load() == nil {
		if r.read(ctx) == nil {
			return
		}
		backoff = r.backOff(ctx, backoff)
	}
}

// watch follows the object on the platform while this VM is a bridge of its data centre.
func (r *Replica) watch(ctx context.Context) {
	backoff := backoffMin
	watching := false
	for ctx.Err() == nil {
		rank, bridge := r.opts.Directory.View().BridgeRank()
		if bridge != watching {
			watching = bridge
			r.opts.Log.Info("started or stopped watching the platform", zap.String("object", r.opts.Object), zap.Bool("watching", bridge), zap.Int("bridge_rank", rank))
		}
		// The first bridge is the leader: it pushes new versions to its data centre.
		_ = r.loop.Put(ctx, LeaderChanged{IsLeader: bridge && rank == 0})
		if !bridge {
			clock.Sleep(ctx, bridgeCheckPeriod)
			continue
		}
		if err := r.watchOnce(ctx); err != nil {
			backoff = r.backOff(ctx, backoff)
			continue
		}
		backoff = backoffMin
	}
}

// watchOnce waits for a change until WatchTimeout. If none arrived, it checks the version. A large
// object is not watched: its version is checked after PollPeriod.
func (r *Replica) watchOnce(ctx context.Context) error {
	after := r.latestVersion()
	if r.tableBytes() > MaxWatchedBytes {
		clock.Sleep(ctx, PollPeriod)
		return r.checkVersion(ctx)
	}
	requestedAt := r.opts.Clock.Now()
	wctx, cancel := context.WithTimeout(ctx, WatchTimeout)
	defer cancel()
	r.calls.watches.Inc()
	obj, err := r.opts.Store.Watch(wctx, r.opts.Object, after)
	if err == nil {
		return r.acceptObject(ctx, obj, requestedAt)
	}
	if !fault.Is(err, fault.Timeout) {
		clock.Sleep(ctx, failedWatchDelay)
	}
	return r.checkVersion(ctx)
}

// latestVersion returns the latest version that this VM holds or has read.
func (r *Replica) latestVersion() uint64 {
	latest := r.lastRead.Load()
	if t := r.table.Load(); t != nil {
		latest = max(latest, t.Version)
	}
	return latest
}

// tableBytes returns the size of the current table.
func (r *Replica) tableBytes() int {
	n := 0
	if t := r.table.Load(); t != nil {
		for k, v := range t.Entries {
			n += len(k) + len(v)
		}
	}
	return n
}

// checkVersion reads only the object's version. It reads the object as well if the version is
// newer; for a large object it first gives peers peerPushGrace to push it.
func (r *Replica) checkVersion(ctx context.Context) error {
	requestedAt := r.opts.Clock.Now()
	version, err := r.storedVersion(ctx)
	if err != nil {
		return err
	}
	if version <= r.latestVersion() {
		r.opts.OnPlatformResponse(requestedAt)
		return nil
	}
	if r.tableBytes() > MaxWatchedBytes && clock.Sleep(ctx, peerPushGrace) && version <= r.latestVersion() {
		return nil
	}
	return r.read(ctx)
}

func (r *Replica) storedVersion(ctx context.Context) (uint64, error) {
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
	requestedAt := r.opts.Clock.Now()
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r.calls.reads.Inc()
	obj, err := r.opts.Store.Get(rctx, r.opts.Object)
	if fault.Is(err, fault.NotFound) {
		r.opts.OnPlatformResponse(requestedAt)
		return r.loop.Put(ctx, TableRead{Table: NewTable(0, nil)})
	}
	if err != nil {
		return err
	}
	return r.acceptObject(ctx, obj, requestedAt)
}

// acceptObject makes an object current if it is newer. requestedAt is the time of the request.
func (r *Replica) acceptObject(ctx context.Context, obj objectstore.Object, requestedAt clock.Instant) error {
	if t := r.table.Load(); t != nil && obj.Version <= t.Version {
		r.opts.OnPlatformResponse(requestedAt)
		return nil
	}
	entries, err := r.opts.Decode(obj.Value)
	if err != nil {
		r.opts.Log.Error("cannot decode object; restore a valid value on the platform", zap.String("object", r.opts.Object), zap.Uint64("version", obj.Version), zap.Error(err))
		return err
	}
	r.lastRead.Store(obj.Version)
	if err := r.loop.Put(ctx, TableRead{Table: NewTable(obj.Version, entries)}); err != nil {
		return err
	}
	r.opts.OnPlatformResponse(requestedAt)
	return nil
}

// backOff waits with jitter and returns the next delay.
func (r *Replica) backOff(ctx context.Context, backoff time.Duration) time.Duration {
	clock.Sleep(ctx, backoff/2+rand.N(backoff/2))
	return min(2*backoff, backoffMax)
}
