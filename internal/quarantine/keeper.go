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
	// LoadQuarantine returns the stored records and their version, 0 if there are none.
	LoadQuarantine(ctx context.Context) (records []Record, version uint64, err error)
	// SaveQuarantine replaces the stored records. It fails with Conflict if version is outdated.
	SaveQuarantine(ctx context.Context, records []Record, version uint64) error
}

// Keeper loads the stored records when a VM starts, and stores them when this VM has found out that a part is to
// be quarantined or released.
type Keeper struct {
	controller *Controller
	store      Store
	log        *zap.Logger
	// changed signals that the records are to be stored.
	changed chan struct{}
}

// NewKeeper returns a Keeper for the records of a Controller.
func NewKeeper(c *Controller, s Store, log *zap.Logger) *Keeper {
	return &Keeper{controller: c, store: s, log: log, changed: make(chan struct{}, 1)}
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
	k.retry(ctx, "load", func() error {
		_, err := k.load(ctx)
		return err
	})
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
		k.log.Warn("could not "+name+" quarantined prompts", zap.Error(err), zap.Duration("pause", pause))
		clock.Sleep(ctx, pause)
	}
}

// load merges the stored records into those of this VM and returns their version.
func (k *Keeper) load(ctx context.Context) (version uint64, err error) {
	records, version, err := k.store.LoadQuarantine(ctx)
	if fault.Is(err, fault.Malformed) {
		k.log.Warn("stored records of quarantined prompts ignored", zap.Error(err))
		err = nil
	}
	if err == nil {
		k.controller.Merge(State{Records: records}, true, "store")
	}
	return version, err
}

func (k *Keeper) save(ctx context.Context) error {
	version, err := k.load(ctx)
	if err != nil {
		return err
	}
	records := k.controller.State().Records
	if len(records) == 0 {
		return nil
	}
	return k.store.SaveQuarantine(ctx, records, version)
}
