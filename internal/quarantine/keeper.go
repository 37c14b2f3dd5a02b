package quarantine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// Store keeps records while no VM is up.
type Store interface {
	// LoadQuarantine returns the stored records and their version, 0 if there are none. A stale read may be
	// seconds old and is cheaper.
	LoadQuarantine(ctx context.Context, stale bool) (records []Record, version uint64, err error)
	// SaveQuarantine replaces the stored records. It fails with Conflict if version is outdated.
	SaveQuarantine(ctx context.Context, records []Record, version uint64) error
}

// Keeper loads the stored records when a VM starts, and stores them when this VM has found out that a part is to
// be quarantined or released.
type Keeper struct {
	Controller *Controller
	Store      Store
	// FirstStart is set if the whole fleet starts for the first time, so that nothing is stored.
	FirstStart bool
	Log        *zap.Logger

	// changed signals that the records are to be stored.
	changed chan struct{}
}

// NewKeeper returns k, ready for use.
func NewKeeper(k Keeper) *Keeper {
	k.changed = make(chan struct{}, 1)
	return &k
}

// Changed makes the Keeper store the records. It does not block.
func (k *Keeper) Changed() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

const (
	// minRetryPause is the pause after a failed call to the store. It doubles with each failure, up to
	// maxRetryPause.
	minRetryPause = 500 * time.Millisecond
	maxRetryPause = 15 * time.Second
)

// Run loads the records, and stores them at each change, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	if !k.FirstStart {
		k.retry(ctx, "load", func() error {
			_, err := k.load(ctx, true)
			return err
		})
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
			k.retry(ctx, "store", func() error { return k.save(ctx) })
		}
	}
}

// retry repeats an operation until it succeeds or ctx ends.
func (k *Keeper) retry(ctx context.Context, name string, operation func() error) {
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		err := operation()
		if err == nil || ctx.Err() != nil {
			return
		}
		k.Log.Warn("could not "+name+" quarantined prompts", zap.Error(err), zap.Duration("pause", pause))
		clock.Sleep(ctx, pause)
	}
}

// load merges the stored records into those of this VM and returns their version.
func (k *Keeper) load(ctx context.Context, stale bool) (version uint64, err error) {
	records, version, err := k.Store.LoadQuarantine(ctx, stale)
	if fault.Is(err, fault.Malformed) {
		k.Log.Warn("stored records of quarantined prompts ignored", zap.Error(err))
		err = nil
	}
	if err == nil {
		k.Controller.Merge(State{Records: records}, true, "store")
	}
	return version, err
}

func (k *Keeper) save(ctx context.Context) error {
	version, err := k.load(ctx, false)
	if err != nil {
		return err
	}
	records := k.Controller.State().Records
	if len(records) == 0 {
		return nil
	}
	return k.Store.SaveQuarantine(ctx, records, version)
}
