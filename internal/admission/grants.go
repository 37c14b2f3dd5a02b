package admission

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// grantLifeBuckets is the number of buckets, of those of the window, in which a granted part may be used: 1 s of 10 s. It counts for so
	// much longer than a retry of the VM that granted it. The demand is judged by as many buckets.
	grantLifeBuckets = retryBuckets / 10
	// maxRetryRequest is the number of retries asked for at once. What is granted and not used lapses.
	maxRetryRequest = 8
	// retryRequestPeriod is the minimum time between two requests for a service.
	retryRequestPeriod = 50 * time.Millisecond
	// vainWaitPause is how long no call waits for grants after one has waited in vain.
	vainWaitPause = 500 * time.Millisecond
)

// credit is a part of another VM's budget that this VM may use for a time. The other VM has counted it as used.
type credit struct {
	amount float64
	until  clock.Instant
}

// RetryNeed is the number of retries that a VM wants of other VMs' parts.
type RetryNeed struct {
	Service string
	Amount  float64
}

// GrantTotals are the retries given to and taken from other VMs since the start.
type GrantTotals struct {
	Given, Taken, Used float64
	// Requests and Refused are the numbers of other VMs' requests, and of those that were given nothing; Late is the number
	// of grants that arrived after their time.
	Requests, Refused, Late int64
}

// Grant gives another VM a part of what is left here, and counts it as used for the window after the latest use. It
// keeps twice the retries that were wanted here lately.
func (r *Retries) Grant(now clock.Instant, service string, share, amount float64) float64 {
	w := r.window(now, service)
	r.totals.Requests++
	given := min(amount, r.own(now, w, share)-2*float64(w.wanted()))
	if !(given > 0) { // also if the amount is not a number
		r.totals.Refused++
		return 0
	}
	w.addRetries(given, grantLeave)
	r.totals.Given += given
	return given
}

// AddGrant adds what another VM has granted on a request that was sent at sentAt. The time in which it may be used begins then,
// before the other VM began to count it, so that it ends before it no longer counts there.
func (r *Retries) AddGrant(now, sentAt clock.Instant, service string, amount float64) {
	if !(amount > 0) {
		return
	}
	until := sentAt.Add(r.budget.Window / retryBuckets * grantLifeBuckets)
	if !now.Before(until) {
		r.totals.Late++
		return
	}
	w := r.window(now, service)
	w.dropLapsed(now)
	w.credits = append(w.credits, credit{amount, until})
	r.totals.Taken += amount
}

// Need returns how many retries to ask other VMs for. It asks before the own part is used up.
func (r *Retries) Need(now clock.Instant, service string, share float64) float64 {
	w := r.window(now, service)
	wanted := w.wanted()
	if wanted == 0 || w.askedAt != 0 && now.Sub(w.askedAt) < retryRequestPeriod {
		return 0
	}
	return max(0, min(maxRetryRequest, float64(1+wanted))-r.Remaining(now, service, share))
}

// TakeNeeds returns what is to be asked for now.
func (r *Retries) TakeNeeds(now clock.Instant, share float64) []RetryNeed {
	var out []RetryNeed
	for name, w := range r.services {
		if n := r.Need(now, name, share); n > 0 {
			w.askedAt = now
			out = append(out, RetryNeed{name, n})
		}
	}
	return out
}

// MayBorrow reports whether other VMs may grant retries soon. share is this VM's share of the fleet.
func (r *Retries) MayBorrow(now clock.Instant, service string, share float64) bool {
	w := r.window(now, service)
	return r.budget.enabled() && share < 1 && (w.vainWaitAt == 0 || now.Sub(w.vainWaitAt) >= vainWaitPause)
}

// RecordVainWait records that a call has waited for grants in vain.
func (r *Retries) RecordVainWait(now clock.Instant, service string) {
	r.window(now, service).vainWaitAt = now
}

// Want counts a retry that was not tried because the budget had no capacity for it, unless one was wanted lately.
func (r *Retries) Want(now clock.Instant, service string) {
	if w := r.window(now, service); w.wanted() == 0 {
		w.demand[w.bucket%grantLifeBuckets] = 1
	}
}

// RetryState is what a VM has of the retry budget of a service.
type RetryState struct {
	// Own is left of its own part, Borrowed of other VMs' grants. Calls and Retries are counted in the window, the latter with what
	// was granted to others.
	Own, Borrowed, Calls, Retries float64
	// Share is its share of the slack.
	Share float64
}

// State returns what the budget of a service is now.
func (r *Retries) State(now clock.Instant, service string, share float64) RetryState {
	w := r.window(now, service)
	return RetryState{Own: r.own(now, w, share), Borrowed: w.borrowed(now), Calls: w.sumCalls, Retries: w.sumRetries, Share: share}
}

// wanted returns the number of retries that were wanted in the last buckets.
func (w *retryWindow) wanted() (n int) {
	for _, d := range w.demand {
		n += d
	}
	return n
}

// borrowed returns what is left of other VMs' grants.
func (w *retryWindow) borrowed(now clock.Instant) (n float64) {
	for _, c := range w.credits {
		if now.Before(c.until) {
			n += c.amount
		}
	}
	return n
}

func (w *retryWindow) dropLapsed(now clock.Instant) {
	kept := w.credits[:0]
	for _, c := range w.credits {
		if now.Before(c.until) && c.amount > 0 {
			kept = append(kept, c)
		}
	}
	w.credits = kept
}

// useCredits uses up to n of the granted retries and returns how many it used.
func (r *Retries) useCredits(now clock.Instant, w *retryWindow, n float64) (used float64) {
	w.dropLapsed(now)
	for i := range w.credits {
		part := min(n-used, w.credits[i].amount)
		w.credits[i].amount -= part
		used += part
	}
	r.totals.Used += used
	return used
}
