package placement

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which an endpoint is
	// ejected.
	ejectAfterFailures = 3
	// ejectAfterMissedPolls is the number of consecutive failed load polls after which an
	// endpoint is ejected.
	ejectAfterMissedPolls = 2
	// minEjection and maxEjection bound the duration of an ejection, which doubles each time.
	// minEjection is also the retry delay stated in refusals for overload or unavailability.
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// health decides whether an endpoint may be assigned requests.
type health struct {
	failures     int
	missedPolls  int
	ejected      bool
	ejectedUntil clock.Instant
	backoff      time.Duration
}

// responsive reports whether the endpoint answered its recent load polls.
func (h *health) responsive() bool { return h.missedPolls < ejectAfterMissedPolls }

// shouldEject reports whether the endpoint has failed often enough, or is unresponsive, and is
// therefore to be ejected.
func (h *health) shouldEject() bool {
	return h.failures >= ejectAfterFailures || !h.responsive()
}

func (h *health) eject(now clock.Instant) {
	h.ejected = true
	h.backoff = min(maxEjection, max(minEjection, 2*h.backoff))
	h.ejectedUntil = now.Add(h.backoff)
}

// loadReported records a load report. An endpoint whose ejection time has elapsed is readmitted
// on probation.
func (h *health) loadReported(now clock.Instant) {
	h.missedPolls = 0
	if h.ejected && !now.Before(h.ejectedUntil) {
		h.readmit()
	}
}

// readmit ends an ejection. One more failure ejects the endpoint again.
func (h *health) readmit() {
	h.ejected = false
	h.failures = ejectAfterFailures - 1
}

// succeeded records that the endpoint completed a request's work.
func (h *health) succeeded() {
	h.failures = 0
	if !h.ejected {
		h.backoff = 0
	}
}

// retryBudget limits reassignments to a fraction of the placements.
type retryBudget struct{ tokens, capacity float64 }

const (
	// retryRatio is the retry credit that each placement adds.
	retryRatio = 0.2
	// minRetryBudget is the minimum capacity of the budget.
	minRetryBudget = 32
)

func newRetryBudget() retryBudget {
	return retryBudget{tokens: minRetryBudget, capacity: minRetryBudget}
}

// resize sets the capacity so that the budget covers the simultaneous loss of a quarter of the
// cell's slots.
func (b *retryBudget) resize(slots int) {
	capacity := max(minRetryBudget, float64(slots)/4)
	b.tokens = min(capacity, b.tokens+max(0, capacity-b.capacity))
	b.capacity = capacity
}

func (b *retryBudget) deposit() { b.tokens = min(b.capacity, b.tokens+retryRatio) }

func (b *retryBudget) tryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
