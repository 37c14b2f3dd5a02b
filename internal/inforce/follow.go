package inforce

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Source reads the store.
type Source interface {
	// Endpoints gives the table of endpoints. Its version grows with every change in the store,
	// of whatever object.
	Endpoints(ctx context.Context) (traffic.Endpoints, error)
	// Configuration gives the configuration as operators wrote it.
	Configuration(ctx context.Context) ([]byte, error)
}

const (
	// readAge is the age of what is known of the store from which the first VM reads it again.
	// With a heartbeat to the others it stays well under the time in which a leaving endpoint
	// may still be sent calls.
	readAge = 700 * time.Millisecond
	// standInAge is the age from which the next VM reads, where the first is gone or cut off:
	// it leaves time for a heartbeat of the first to come. rankAge is added for each further
	// VM; maxRank bounds the sum.
	standInAge = 1050 * time.Millisecond
	rankAge    = 150 * time.Millisecond
	maxRank    = 5
	// minRetry is the pause after a failed read, doubled with each further one up to maxRetry;
	// minRetry at most is added at random. VMs after maxRank pause for lastRetry, as calls are
	// priced and so many VMs are rarely cut off alone.
	minRetry  = 250 * time.Millisecond
	maxRetry  = 2 * time.Second
	lastRetry = 4 * time.Second
	// followPoll bounds the time between looks at the age.
	followPoll = 100 * time.Millisecond
)

// Due gives the age from which a VM reads the store, by its rank among those that are heard.
func Due(rank int) time.Duration {
	if rank == 0 {
		return readAge
	}
	return standInAge + rankAge*time.Duration(min(rank, maxRank)-1)
}

// Follower keeps a Keeper up to date. Of all VMs that hear each other one reads the store; the
// others learn from it what it read and when, and read for themselves once that is too old.
type Follower struct {
	Keeper *Keeper
	Source Source
	// Rank gives the number of heard VMs that read before this one.
	Rank func() int
	// Read is called after each read, to let the others know. Nil tells nobody.
	Read func()
	Log  *zap.Logger

	// failed counts failed reads in a row.
	failed int
	lost   bool
	// read is the store's version for which the configuration was read.
	read uint64
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := followPoll
		if left := Due(f.Rank()) - f.Keeper.Age(); left <= 0 {
			err := f.step(ctx)
			f.note(err)
			f.failed++
			if err == nil {
				f.failed = 0
			} else {
				pause = f.retryPause()
			}
		} else {
			pause = min(pause, left)
		}
		sleep(ctx, pause)
	}
}

// retryPause gives the pause after a failed read.
func (f *Follower) retryPause() time.Duration {
	if f.Rank() > maxRank {
		return lastRetry + rand.N(minRetry)
	}
	return min(maxRetry, minRetry<<min(f.failed-1, 8)) + rand.N(minRetry)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// step reads the table, and the configuration where the store has changed.
func (f *Follower) step(ctx context.Context) error {
	asked := f.Keeper.opts.Clock.Now()
	e, err := f.Source.Endpoints(ctx)
	if err != nil {
		return err
	}
	if e.Version != f.read || f.Keeper.Configuration() == nil {
		raw, err := f.Source.Configuration(ctx)
		if err != nil {
			return err
		}
		if err := f.Keeper.OfferConfiguration(raw, "store"); err != nil {
			f.Log.Error("configuration passed over", zap.Uint64("table", e.Version), zap.Error(err))
		}
		f.read = e.Version
	}
	f.Keeper.OfferEndpoints(e, asked, "store")
	if f.Read != nil {
		f.Read()
	}
	return nil
}

// note logs when the store is lost and regained.
func (f *Follower) note(err error) {
	switch {
	case fault.Is(err, fault.NotFound):
		f.Log.Info("no configuration in the store yet")
		return
	case err != nil && !f.lost:
		f.Log.Warn("store lost", zap.Duration("age", f.Keeper.Age()), zap.Error(err))
	case err == nil && f.lost:
		f.Log.Info("store read again")
	}
	f.lost = err != nil
}
