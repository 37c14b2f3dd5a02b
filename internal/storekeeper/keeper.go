// Package storekeeper keeps what a fleet must know after all its VMs have ended in the installation's store: it loads
// it when a VM starts, and stores it after changes.
package storekeeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/notify"
)

// Options configure a Keeper.
type Options struct {
	// Name names what is kept, in log lines.
	Name string
	// Load merges what is stored into what this VM knows. A stale read may be seconds old and is cheaper.
	Load func(ctx context.Context, stale bool) error
	// Save stores what this VM knows, merged with what is stored.
	Save func(ctx context.Context) error
	// FirstStart is set if the whole fleet starts for the first time, so that nothing is stored.
	FirstStart bool
	Log        *zap.Logger
}

// Keeper loads at the start and stores at each change.
type Keeper struct {
	opts Options
	// changed signals that there is something to store.
	changed chan struct{}
}

// New returns a Keeper that is not running yet.
func New(o Options) *Keeper { return &Keeper{opts: o, changed: make(chan struct{}, 1)} }

// Changed makes the Keeper store. It does not block; changes that follow each other are stored together.
func (k *Keeper) Changed() { notify.Signal(k.changed) }

const (
	// minRetryPause is the pause after a failed call to the store. It doubles with each failure, up to
	// maxRetryPause.
	minRetryPause = 500 * time.Millisecond
	maxRetryPause = 15 * time.Second
)

// Run loads, and stores at each change, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	if !k.opts.FirstStart {
		k.retry(ctx, "load", func() error { return k.opts.Load(ctx, true) })
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
			k.retry(ctx, "store", func() error { return k.opts.Save(ctx) })
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
		k.opts.Log.Warn("could not "+name+" "+k.opts.Name, zap.Error(err), zap.Duration("pause", pause))
		clock.Sleep(ctx, pause)
	}
}
