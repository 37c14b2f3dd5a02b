package admission

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// startAtOnce is the part of startSlack that is available at once if no start before matters; the rest becomes available evenly. A fleet may be larger
// than the registry tells a VM that starts, as VMs that left are not in it. What such VMs use when they start again stays within the rest.
const startAtOnce = 0.2

// FormerStart is what the registry tells of the process that ran on this VM before.
type FormerStart struct {
	// Listed is set if the registry had an entry that tells of its start. There is none if no process ran, if the last one left in an orderly way
	// when its start no longer mattered, or if it was of a former build.
	Listed bool
	// Lost is set if the store was restored from a backup since that process started, so that entries of later ones may be missing.
	Lost bool
	// Age is the time from its start to that of this process, by the wall clock.
	Age time.Duration
	// OthersListed is set if other VMs have started whose former process was listed, so that they may have used startAtOnce.
	OthersListed bool
}

// startTime is how long after a start the retries sent before it may count.
func (b RetryBudget) startTime() time.Duration { return b.Window / retryBuckets * startBuckets }

// startMemory is how long a start matters to the next one.
func (b RetryBudget) startMemory() time.Duration { return b.startTime() + clock.Tolerance }

// SetFormerStart states what the registry tells of the process that ran on this VM before. Until then this VM has no part of the slack, unless
// it has lived for longer than the start takes. Only the first call has an effect.
func (r *Retries) SetFormerStart(f FormerStart) {
	if r.former == nil {
		r.former = &f
	}
}

// startPart returns the fraction of the slack that is available some time after the start.
//
// If the process before ran for longer than a start matters, only that one has sent retries that count. Otherwise it may have used startSlack,
// which becomes available again evenly once that no longer counts.
func (r *Retries) startPart(lived time.Duration) float64 {
	f := r.former
	if f == nil || f.Lost {
		return 0
	}
	evenly := func(part float64, from time.Duration) float64 {
		return part * max(0, float64(lived-from)/float64(r.budget.startTime()))
	}
	wait := r.budget.startMemory() - max(0, f.Age)
	switch {
	case f.Listed && wait > 0:
		return evenly(startSlack, wait)
	case f.Listed:
		return startAtOnce + evenly(startSlack-startAtOnce, 0)
	case f.OthersListed:
		return evenly(startSlack-startAtOnce, 0)
	default:
		return evenly(startSlack, 0)
	}
}
