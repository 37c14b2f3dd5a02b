package quarantine

import (
	"context"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/storekeeper"
)

// Store keeps records while no VM is up.
type Store interface {
	// LoadQuarantine returns the stored records and their version, 0 if there are none. A stale read may be
	// seconds old and is cheaper.
	LoadQuarantine(ctx context.Context, stale bool) (records []Record, version uint64, err error)
	// SaveQuarantine replaces the stored records. It fails with Conflict if version is outdated.
	SaveQuarantine(ctx context.Context, records []Record, version uint64) error
}

// NewKeeper returns a Keeper for the records of c. They are to be stored when this VM has found out that a part is to
// be quarantined or released.
func NewKeeper(c *Controller, s Store, firstStart bool, log *zap.Logger) *storekeeper.Keeper {
	k := &keeper{controller: c, store: s, log: log}
	return storekeeper.New(storekeeper.Options{
		Name: "quarantined prompts", FirstStart: firstStart, Log: log, Save: k.save,
		Load: func(ctx context.Context, stale bool) error {
			_, err := k.load(ctx, stale)
			return err
		},
	})
}

type keeper struct {
	controller *Controller
	store      Store
	log        *zap.Logger
}

// load merges the stored records into those of this VM and returns their version.
func (k *keeper) load(ctx context.Context, stale bool) (version uint64, err error) {
	records, version, err := k.store.LoadQuarantine(ctx, stale)
	if fault.Is(err, fault.Malformed) {
		k.log.Warn("stored records of quarantined prompts ignored", zap.Error(err))
		err = nil
	}
	if err == nil {
		k.controller.Merge(State{Records: records}, true, "store")
	}
	return version, err
}

func (k *keeper) save(ctx context.Context) error {
	version, err := k.load(ctx, false)
	if err != nil {
		return err
	}
	records := k.controller.State().Records
	if len(records) == 0 {
		return nil
	}
	return k.store.SaveQuarantine(ctx, records, version)
}
