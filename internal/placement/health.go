package placement

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// ejectAfterFailures is the number of failures in a row that ejects an endpoint.
	ejectAfterFailures = 3
	// ejectAfterSilence is the number of load polls in a row without an answer that ejects one.
	ejectAfterSilence = 2
	// minEjection and maxEjection bound how long an endpoint stays ejected; each time doubles it.
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// health tells whether an endpoint may get work.
type health struct {
	failures int
	silences int
	ejected  bool
	until    clock.Instant
	backoff  time.Duration
}

// answering reports whether the endpoint has answered its last polls.
func (h *health) answering() bool { return h.silences < ejectAfterSilence }

// deserves reports whether the endpoint has failed often enough to be ejected.
func (h *health) deserves() bool {
	return h.failures >= ejectAfterFailures || !h.answering()
}

func (h *health) eject(now clock.Instant) {
	h.ejected = true
	h.backoff = min(maxEjection, max(minEjection, 2*h.backoff))
	h.until = now.Add(h.backoff)
}

// reported notes a load report: it readmits an endpoint whose ejection is over, on probation.
func (h *health) reported(now clock.Instant) {
	h.silences = 0
	if h.ejected && !now.Before(h.until) {
		h.readmit()
	}
}

// readmit ends an ejection; one more failure begins the next.
func (h *health) readmit() {
	h.ejected = false
	h.failures = ejectAfterFailures - 1
}

// succeeded notes that the endpoint did its work.
func (h *health) succeeded() {
	h.failures = 0
	if !h.ejected {
		h.backoff = 0
	}
}

// retryBudget bounds reassignments to a share of placements.
type retryBudget struct{ tokens, most float64 }

const (
	// retryShare is the part of a retry that each placement earns.
	retryShare = 0.2
	// minRetryBudget is the least that the budget holds when full.
	minRetryBudget = 32
)

func newRetryBudget() retryBudget {
	return retryBudget{tokens: minRetryBudget, most: minRetryBudget}
}

// resize lets the budget cover the loss of a good part of the cell's slots at once.
func (b *retryBudget) resize(slots int) {
	most := max(minRetryBudget, float64(slots)/4)
	b.tokens = min(most, b.tokens+max(0, most-b.most))
	b.most = most
}

func (b *retryBudget) earn() { b.tokens = min(b.most, b.tokens+retryShare) }

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
