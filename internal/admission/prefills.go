package admission

import "github.com/fulmartide/fulmartide/internal/clock"

// The first prefill of a call that an engine accepts counts neither as a call nor as a retry. One that an engine rejects or fails, and
// one after it, counts as a retry. A prefill is therefore held against the budget before it is sent, and settled once its outcome is known.

// HoldPrefill holds a retry for a prefill that is about to be sent. It returns false if prefills were counted within the last window and
// the budget has no capacity for another one.
func (r *Retries) HoldPrefill(now clock.Instant, service string, share float64) bool {
	w := r.window(now, service)
	if r.budget.enabled() && w.holds(now, r.budget) && r.Remaining(now, service, share) < 1 {
		w.demand[w.bucket%grantLifeBuckets]++
		return false
	}
	w.held++
	return true
}

// SettlePrefill ends the hold of a prefill, which counts as a retry if counts is set.
func (r *Retries) SettlePrefill(now clock.Instant, service string, counts bool) {
	w := r.window(now, service)
	w.held = max(0, w.held-1)
	if !counts {
		return
	}
	w.prefillCountedAt = now
	w.demand[w.bucket%grantLifeBuckets]++
	if n := 1 - r.useCredits(now, w, 1); n > 0 {
		w.addRetries(n, retryLeave)
	}
}

func (b RetryBudget) enabled() bool { return b.Ratio > 0 || b.Slack > 0 }

// holds reports whether prefills that are under way are held against the budget: some were counted lately.
func (w *retryWindow) holds(now clock.Instant, b RetryBudget) bool {
	return w.prefillCountedAt != 0 && now.Sub(w.prefillCountedAt) < b.Window
}

// heldPrefills returns the retries that are held for prefills under way.
func (w *retryWindow) heldPrefills(now clock.Instant, b RetryBudget) float64 {
	if !w.holds(now, b) {
		return 0
	}
	return float64(w.held)
}
