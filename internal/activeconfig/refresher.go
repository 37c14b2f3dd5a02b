package activeconfig

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Source reads the store.
type Source interface {
	// Endpoints returns the endpoint table. Within an era of the store its version increases with
	// every change of any object in the store.
	Endpoints(ctx context.Context) (traffic.Endpoints, error)
	// Configuration returns the configuration as operators wrote it, and the era of the store.
	Configuration(ctx context.Context) (raw []byte, era uint64, err error)
}

const (
	// primaryReadAge is the age of the endpoint table at which the VM with rank 0 reads the store
	// again. Together with the delay of a heartbeat to the other VMs it stays well below the time
	// for which calls may still be sent to a leaving endpoint.
	primaryReadAge = 700 * time.Millisecond
	// standbyReadAge is the age at which the VM with rank 1 reads, if the first is gone or cannot
	// reach the store. It leaves time for a heartbeat of the first to arrive. standbyStep is added
	// for each further rank up to maxStandbyRank.
	standbyReadAge = 1050 * time.Millisecond
	standbyStep    = 150 * time.Millisecond
	maxStandbyRank = 5
	// minRetryPause is the pause after a failed read. It doubles with each further failure up to
	// maxRetryPause, with a jitter of up to minRetryPause. VMs with a rank above maxStandbyRank pause
	// for backgroundRetryPause: calls to the store are charged for, and it is rare that none of the VMs
	// with a lower rank can reach the store while these can.
	minRetryPause        = 250 * time.Millisecond
	maxRetryPause        = 2 * time.Second
	backgroundRetryPause = 4 * time.Second
	// pollInterval is the maximum time between checks of the age.
	pollInterval = 100 * time.Millisecond
	// settleTime is the time in which the VMs of a fleet that starts for the first time learn of each
	// other, before one of them reads the store.
	settleTime = 150 * time.Millisecond
	// firstStartFactor multiplies the wait of the other VMs then: the processors of small VMs are busy
	// with the start, so that the document of the first reader arrives late.
	firstStartFactor = 2
)

// ReadAge returns the age of the endpoint table at which the VM of a rank reads the store.
func ReadAge(rank int) time.Duration {
	if rank == 0 {
		return primaryReadAge
	}
	return standbyReadAge + standbyStep*time.Duration(min(rank, maxStandbyRank)-1)
}

// Refresher keeps a State up to date. Of all VMs that can reach each other one reads the store;
// the others receive what it read from it, and read the store themselves if that becomes too old.
type Refresher struct {
	State  *State
	Source Source
	// Rank returns the number of live VMs that are to read the store in preference to this one.
	Rank func() int
	// OnRead, if not nil, is called after each successful read, to notify the other VMs.
	OnRead func()
	// FirstStart is set if the whole fleet starts for the first time, so that no VM knows anything.
	// ListedRank is then used in place of Rank until the first endpoint table is known: it also counts
	// VMs that have not been heard from, as they are starting as well. listed is false while it is unknown.
	FirstStart bool
	ListedRank func() (rank int, listed bool)
	Log        *zap.Logger

	startedAt clock.Instant
	// failures is the number of consecutive failed reads.
	failures  int
	storeLost bool
	// repeated is set if the last read that failed was repeated at once.
	repeated bool
	// configReadVersion is the version of the store at the last read of the configuration.
	configReadVersion traffic.DocumentVersion
}

// Run reads the store whenever it is due, until ctx ends.
func (r *Refresher) Run(ctx context.Context) {
	r.startedAt = r.State.opts.Clock.Now()
	for ctx.Err() == nil {
		pause := pollInterval
		if left := r.untilRead(); left <= 0 {
			err := r.read(ctx)
			r.logAvailability(err)
			r.failures++
			switch {
			case err == nil:
				r.failures, r.repeated = 0, false
			case unreadable(err):
				pause = primaryReadAge
			case !r.repeated && r.State.opts.LateBy() > 0: // a pause of this VM may have used up the time of the read
				r.failures, r.repeated, pause = 0, true, 0
			default:
				pause = r.retryPause()
			}
		} else {
			pause = min(pause, left)
		}
		clock.Sleep(ctx, pause)
	}
}

// untilRead returns the time until the next read is due. A VM that restarts reads at once. If the
// whole fleet starts, one VM reads as soon as it may know its rank, and the others give it time.
func (r *Refresher) untilRead() time.Duration {
	if r.State.hasEndpoints() {
		if r.State.awaitsRead(r.failures == 0 && r.Rank() <= maxStandbyRank) {
			return 0
		}
		return ReadAge(r.Rank()) - r.State.Age()
	}
	if !r.FirstStart {
		return 0
	}
	rank, listed := r.ListedRank()
	wait := settleTime
	if rank > 0 || !listed {
		wait += firstStartFactor * ReadAge(max(rank, 1))
	}
	return wait - r.State.opts.Clock.Now().Sub(r.startedAt)
}

// retryPause returns the pause after a failed read.
func (r *Refresher) retryPause() time.Duration {
	if r.Rank() > maxStandbyRank {
		return backgroundRetryPause + rand.N(minRetryPause)
	}
	return min(maxRetryPause, minRetryPause<<min(r.failures-1, 8)) + rand.N(minRetryPause)
}

// unreadable reports whether the store responded with something that cannot be read. It is available then, and what it
// says about other objects may be readable.
func unreadable(err error) bool {
	return fault.Is(err, fault.Malformed) || fault.Is(err, fault.TooLarge)
}

// read reads the endpoint table, and the configuration if the store has changed or the table cannot be read.
func (r *Refresher) read(ctx context.Context) error {
	asOf := r.State.opts.Clock.Now()
	e, err := r.Source.Endpoints(ctx)
	if unreadable(err) {
		return errors.Join(err, r.readConfiguration(ctx, traffic.Endpoints{}))
	}
	if err != nil {
		return err
	}
	if tableVersion(e) != r.configReadVersion || r.State.Configuration() == nil {
		if err := r.readConfiguration(ctx, e); err != nil {
			return err
		}
	}
	r.State.ApplyEndpoints(e, asOf, fromStore)
	if r.OnRead != nil {
		r.OnRead()
	}
	return nil
}

// readConfiguration reads the configuration. That there is none yet, or that it cannot be read, is no error: the endpoint
// table is another object and is used.
func (r *Refresher) readConfiguration(ctx context.Context, e traffic.Endpoints) error {
	raw, era, err := r.Source.Configuration(ctx)
	if fault.Is(err, fault.NotFound) {
		r.Log.Info("no configuration in the store yet; apply one")
		return nil
	}
	if unreadable(err) {
		r.Log.Error("configuration passed over", zap.Uint64("table_version", e.Version), zap.Error(err))
		return nil
	}
	if err != nil {
		return err
	}
	if err := r.State.ApplyConfiguration(raw, era, fromStore); err != nil {
		r.Log.Error("configuration passed over", zap.Uint64("table_version", e.Version), zap.Error(err))
	}
	r.configReadVersion = tableVersion(e)
	return nil
}

// logAvailability logs when the store becomes unavailable and available again.
func (r *Refresher) logAvailability(err error) {
	switch {
	case err != nil && !r.storeLost:
		r.Log.Warn("store lost", zap.Duration("age", r.State.Age()), zap.Error(err))
	case err == nil && r.storeLost:
		r.Log.Info("store read again")
	}
	r.storeLost = err != nil
}
