package placement

import (
	"slices"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// reassign looks for other endpoints for a placed request. Moves come before the queues:
// their work is paid for, and a kept result does not last.
func (c *Cell) reassign(now clock.Instant, in ReassignInput) {
	r := bounded(in.Request)
	if c.queued[r.ID] != nil {
		return
	}
	c.failed(now, in.Failed)
	started := in.Started
	old := c.claims[r.ID]
	if old != nil {
		started = started || old.stage >= StageTransferDone
		c.free(now, old)
	}
	w := c.newWaiting(now, r)
	w.move = true
	c.queued[r.ID] = w
	c.moves = append(c.moves, w)
	switch {
	case !r.NeedPrefill:
		w.limit = now.Add(scale(c.cost.keep, keepPart))
		w.target = 0
	case started || r.FirstToken <= 0:
		w.target = 0
		w.limit = now.Add(r.Deadline)
	}
	if !c.budget.take() {
		c.refuse(now, w, Rejections{}, fault.Detail{
			Kind:       fault.Overloaded,
			Message:    "too many reassignments for the present traffic",
			Remedy:     "retry later",
			RetryAfter: minEjection,
		})
	}
}

func (c *Cell) dropMove(w *waiting) {
	c.moves = slices.DeleteFunc(c.moves, func(o *waiting) bool { return o == w })
}

func (c *Cell) dispatchMoves(now clock.Instant) {
	for i := 0; i < len(c.moves); {
		w := c.moves[i]
		if c.try(now, w) != done {
			i++
		}
	}
}
