package origin

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// load lists the stored records for the first time. What this VM stored before it started is carried on.
func (k *StreamKeeper) load(ctx context.Context) error {
	began := k.opts.Clock.Now()
	objects, err := k.list(ctx)
	if err != nil {
		return err
	}
	own := StoredStreams{}
	for i := range objects {
		if objects[i].VM == k.opts.Self.Name {
			own = objects[i]
		}
	}
	k.adoptOwn(&own)
	k.opts.Controller.finishLoading()
	k.opts.Log.Info("records of open streams loaded", zap.Int("objects", len(objects)), zap.Int("streams", countRecords(objects)),
		zap.Duration("took", k.opts.Clock.Now().Sub(began)))
	return nil
}

// list lists the stored records and adds them to those that this VM knows.
func (k *StreamKeeper) list(ctx context.Context) ([]StoredStreams, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	objects, err := k.opts.Store.LoadStreams(ctx)
	if err != nil {
		return nil, err
	}
	others := 0
	for i := range objects {
		k.opts.Controller.addStored(tolerant(objects[i].Records))
		if objects[i].VM != k.opts.Self.Name {
			others++
		}
	}
	k.mu.Lock()
	k.others = others
	k.mu.Unlock()
	return objects, nil
}

// Reload lists the stored records again, for a call whose origin is unknown, and returns when they are known or ctx ends.
// Calls that come together share a list, and it does nothing if the last one began within minListPause.
func (k *StreamKeeper) Reload(ctx context.Context) {
	k.mu.Lock()
	done := k.listing
	if done == nil {
		now := k.opts.Clock.Now()
		if k.listedAt != 0 && now.Sub(k.listedAt) < minListPause {
			k.mu.Unlock()
			return
		}
		done = make(chan struct{})
		k.listing, k.listedAt = done, now
		go k.reload(context.WithoutCancel(ctx), done)
	}
	k.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

func (k *StreamKeeper) reload(ctx context.Context, done chan struct{}) {
	began := k.opts.Clock.Now()
	objects, err := k.list(ctx)
	why, took := zap.String("why", "a stream of unknown origin is resumed"), zap.Duration("took", k.opts.Clock.Now().Sub(began))
	if err != nil {
		k.opts.Log.Warn("could not load records of open streams", why, took, zap.Error(err))
	} else {
		k.opts.Log.Info("records of open streams loaded again", why, took, zap.Int("objects", len(objects)), zap.Int("streams", countRecords(objects)))
	}
	k.mu.Lock()
	k.listing = nil
	k.mu.Unlock()
	close(done)
}

// clean removes the objects of other VMs whose records have all expired. A VM that is up removes its own.
func (k *StreamKeeper) clean(ctx context.Context) {
	k.mu.Lock()
	due := k.others > 0 || k.used
	k.used = false
	k.mu.Unlock()
	if !due || !k.opts.MayClean() {
		return
	}
	objects, err := k.list(ctx)
	if err != nil {
		k.opts.Log.Warn("could not list records of open streams", zap.Error(err))
		return
	}
	for i := range objects {
		o := &objects[i]
		if o.VM == k.opts.Self.Name || o.Unreadable || longestLeft(o.Records) > -clock.Tolerance {
			continue
		}
		err := k.opts.Store.RemoveStreams(ctx, o.VM, o.Version)
		if err != nil && !fault.Is(err, fault.NotFound) {
			k.opts.Log.Warn("could not remove expired records of open streams", zap.String("vm", o.VM), zap.Error(err))
			continue
		}
		k.opts.Log.Info("expired records of open streams removed", zap.String("vm", o.VM), zap.Int("streams", len(o.Records)))
	}
}

// setUsed makes the next cleaning list the objects.
func (k *StreamKeeper) setUsed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used = true
}

func longestLeft(list []Record) time.Duration {
	longest := -maxLeft
	for _, rec := range list {
		longest = max(longest, rec.Left)
	}
	return longest
}

func countRecords(objects []StoredStreams) int {
	n := 0
	for i := range objects {
		n += len(objects[i].Records)
	}
	return n
}
