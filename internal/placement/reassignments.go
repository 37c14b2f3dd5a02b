package placement

import (
	"slices"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// reassign selects other endpoints for a placed request. Reassignments are served before the
// queues, because their work has already been charged and a kept prefill result expires.
func (c *Cell) reassign(now clock.Instant, in ReassignInput) {
	r := clampRequest(in.Request)
	if c.queued[r.ID] != nil {
		return
	}
	c.recordFailure(now, in.Failed)
	if previous := c.claims[r.ID]; previous != nil {
		c.freeClaim(now, previous)
	}
	w := c.newQueuedRequest(now, r)
	w.reassignment = true
	c.queued[r.ID] = w
	c.reassignments = append(c.reassignments, w)
	// The latency target no longer decides: an answer that is late serves an admitted request better
	// than a refusal.
	w.firstTokenDue = 0
	w.waitDeadline = now.Add(r.Deadline)
	if !r.NeedPrefill {
		w.waitDeadline = now.Add(scaleDuration(c.cost.resultTTL, keepFraction))
	}
	if !c.budget.tryWithdraw() {
		c.refuse(now, w, Rejections{}, fault.Detail{
			Kind:       fault.Overloaded,
			Message:    "retry budget for reassignments exhausted",
			Remedy:     "retry later",
			RetryAfter: minEjection,
		})
	}
}

func (c *Cell) removeReassignment(w *queuedRequest) {
	c.reassignments = slices.DeleteFunc(c.reassignments, func(o *queuedRequest) bool { return o == w })
}

func (c *Cell) dispatchReassignments(now clock.Instant) {
	for i := 0; i < len(c.reassignments); {
		w := c.reassignments[i]
		if c.tryPlace(now, w) != outcomeDecided {
			i++
		}
	}
}
