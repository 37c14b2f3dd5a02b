package admission

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// RecordStore keeps usage records while no VM is up.
type RecordStore interface {
	// SaveUsage replaces the record of this VM.
	SaveUsage(ctx context.Context, r UsageRecord) error
	// LoadUsage returns the records of all VMs.
	LoadUsage(ctx context.Context) ([]UsageRecord, error)
}

// Recorder records the usage of plans, and adopts what was recorded if no VM lived through the window.
type Recorder struct {
	Controller *Controller
	Store      RecordStore
	// Group returns the data centre whose VMs know each other's usage in full, empty if all VMs do.
	Group func() string
	// Rank returns the number of live VMs of the group that are to record in preference to this one. ListedRank
	// also counts those that have not been heard from, for the time of a start; listed is false while it is
	// unknown.
	Rank       func() int
	ListedRank func() (rank int, listed bool)
	// FirstStart is set if the whole fleet starts for the first time, so that there are no records.
	FirstStart bool
	Log        *zap.Logger
}

const (
	// recordPeriod is the time between checks whether a record is due.
	recordPeriod = 200 * time.Millisecond
	// failurePause is the pause after a record could not be saved, maxLoadPause bounds the one between two tries to
	// load the records, which doubles.
	failurePause = 2 * time.Second
	maxLoadPause = 2 * time.Second
	// peerTime is the time in which a VM that starts beside running ones has learned the window from them.
	// loadStep is added for each VM that is to load the records first and passes them on.
	peerTime = 150 * time.Millisecond
	loadStep = time.Second
	// maxLoadRank bounds the sum of these steps.
	maxLoadRank = 10
)

// Run adopts the records if necessary, then records until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	if !r.FirstStart {
		r.load(ctx)
	}
	pause := recordPeriod
	for clock.Sleep(ctx, pause) {
		pause = recordPeriod
		if r.Rank() > 0 {
			continue
		}
		if err := r.save(ctx); err != nil {
			r.Log.Warn("could not record the usage of plans", zap.Error(err))
			pause = failurePause
		}
	}
}

func (r *Recorder) save(ctx context.Context) error {
	record, done, due := r.Controller.Record()
	if !due {
		return nil
	}
	record.Group = r.Group()
	if err := r.Store.SaveUsage(ctx, record); err != nil {
		return err
	}
	done()
	return nil
}

// load adopts the records unless another VM has told this one the window, or the window has passed.
func (r *Recorder) load(ctx context.Context) {
	for pause := r.loadDelay(ctx); clock.Sleep(ctx, pause) && r.Controller.needsRecords(); pause = min(max(2*pause, recordPeriod), maxLoadPause) {
		records, err := r.Store.LoadUsage(ctx)
		if err != nil {
			r.Log.Warn("could not load the recorded usage of plans", zap.Error(err))
			continue
		}
		for i := range records {
			records[i].Age = max(0, records[i].Age-clock.Tolerance) // so that a record never leaves the window too early
		}
		r.Controller.AdoptRecords(r.Group(), records)
		r.Log.Info("recorded usage of plans adopted", zap.Int("records", len(records)), zap.String("group", r.Group()))
		return
	}
}

// loadDelay waits until the other VMs are listed, for at most loadStep, and returns how long to wait then.
func (r *Recorder) loadDelay(ctx context.Context) time.Duration {
	for waited := time.Duration(0); waited < loadStep && clock.Sleep(ctx, peerTime); waited += peerTime {
		if rank, listed := r.ListedRank(); listed {
			return loadStep * time.Duration(min(rank, maxLoadRank))
		}
	}
	return 0
}
