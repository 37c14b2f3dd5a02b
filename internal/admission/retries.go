package admission

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// RetryBudget bounds the retries of calls to a service within any window: a fraction of the calls
// in the window, and a fixed number for the whole fleet. A retry is any attempt after the first.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	// Slack is the number of retries allowed in addition to Ratio, over all VMs.
	Slack float64
}

const (
	// retryBuckets is the number of buckets of a window. A bucket leaves the window as a whole: calls no later than a window
	// after they came, retries no earlier than a window after they were sent.
	retryBuckets = 80
	// usableSlack is the fraction of the fleet's slack that is used, usableRatio that of the ratio, because calls and their retries
	// leave the window at different times.
	usableSlack = 0.7
	usableRatio = 0.9
	// toldSlack is the fraction of the slack that former builds are told. It is larger, because after a pause they lack what was told
	// meanwhile until the next full heartbeat arrives: half of a window, if news is late as well.
	toldSlack = 1.4
	// startSlack is the fraction of the slack, startRatio that of the ratio, that a VM uses in the first startBuckets after its start, because it
	// does not know how many retries it sent before. When the slack becomes available depends on the process before, see startPart. So retries before the
	// first of several restarts and after them together stay within the slack and the ratio.
	startSlack = 0.28
	startRatio = 0.08
	// retryLeave, grantLeave and startBuckets are the buckets for which a retry, a granted part and a start count.
	retryLeave   = retryBuckets + 1
	grantLeave   = retryLeave + grantLifeBuckets + 1
	startBuckets = grantLeave + 1
)

// Retries counts the calls and retries of each service by this VM. The VM keeps to its own part, the ratio of its own calls and a share
// of the slack, and to what other VMs have granted it of theirs. So the bound for the whole fleet holds however
// late VMs hear of each other. Retries is not safe for concurrent use.
type Retries struct {
	budget    RetryBudget
	startedAt clock.Instant
	// firstStart is set if no retries were sent before the start.
	firstStart bool
	// former is nil until the registry has told of the process before.
	former   *FormerStart
	services map[string]*retryWindow
	totals   GrantTotals
}

type retryWindow struct {
	// calls and retries hold what leaves the window at the begin of each bucket. Retries include granted parts.
	calls, retries       [startBuckets]float64
	sumCalls, sumRetries float64
	bucket               int64
	// demand is the number of retries that were wanted in the last buckets, sent or not.
	demand [grantLifeBuckets]int
	// returned is the number of retries in the current bucket that were counted and not sent.
	returned int
	credits  []credit
	askedAt  clock.Instant
	// vainWaitAt is when a call last waited for grants in vain, 0 for never.
	vainWaitAt clock.Instant
	// held is the number of prefills under way, prefillCountedAt when one was last counted as a retry, 0 for never.
	held             int
	prefillCountedAt clock.Instant
	// announced is what former builds are told; see ownTotals.
	announced   float64
	announcedAt clock.Instant
}

// NewRetries returns the Retries of a VM that starts now.
func NewRetries(now clock.Instant, b RetryBudget) *Retries {
	return &Retries{budget: b, startedAt: now, services: map[string]*retryWindow{}}
}

// SetBudget changes the budget.
func (r *Retries) SetBudget(b RetryBudget) { r.budget = b }

func (r *Retries) window(now clock.Instant, service string) *retryWindow {
	w := r.services[service]
	bucket := r.bucket(now)
	if w == nil {
		w = &retryWindow{bucket: bucket}
		r.services[service] = w
	}
	w.advance(bucket)
	return w
}

// advance drops what has left the window.
func (w *retryWindow) advance(bucket int64) {
	if bucket <= w.bucket {
		return
	}
	w.returned = 0
	if bucket-w.bucket >= startBuckets {
		clear(w.calls[:])
		clear(w.retries[:])
		clear(w.demand[:])
		w.sumCalls, w.sumRetries, w.bucket = 0, 0, bucket
		return
	}
	for w.bucket < bucket {
		w.bucket++
		i := w.bucket % startBuckets
		w.sumCalls -= w.calls[i]
		w.sumRetries -= w.retries[i]
		w.calls[i], w.retries[i] = 0, 0
		w.demand[w.bucket%grantLifeBuckets] = 0
	}
}

// addRetries counts retries until the given number of buckets have begun.
func (w *retryWindow) addRetries(n float64, leave int64) {
	w.retries[(w.bucket+leave)%startBuckets] += n
	w.sumRetries += n
}

// CountCall counts a caller's call to a service.
func (r *Retries) CountCall(now clock.Instant, service string) {
	w := r.window(now, service)
	w.calls[(w.bucket+retryBuckets)%startBuckets]++
	w.sumCalls++
}

// part returns the part of the budget that belongs to this VM for its calls in the window. share is its share of the fleet.
func (r *Retries) part(now clock.Instant, calls, share float64) float64 {
	ratio, slack := usableRatio, usableSlack
	if lived := now.Sub(r.startedAt); !r.firstStart && lived < r.budget.startTime() {
		ratio, slack = startRatio, r.startPart(lived)
	}
	return ratio*r.budget.Ratio*calls + slack*share*r.budget.Slack
}

// own returns what is left of this VM's own part. It is negative if the part has shrunk since it was used.
func (r *Retries) own(now clock.Instant, w *retryWindow, share float64) float64 {
	return r.part(now, w.sumCalls, share) - w.sumRetries - w.heldPrefills(now, r.budget)
}

// Remaining returns the number of retries that this VM may send now. share is its share of the fleet's VMs.
func (r *Retries) Remaining(now clock.Instant, service string, share float64) float64 {
	w := r.window(now, service)
	return max(0, r.own(now, w, share)) + w.borrowed(now)
}

// Spend counts a retry if the budget has capacity for it. reserve is the number of retries that must remain for more
// urgent uses.
func (r *Retries) Spend(now clock.Instant, service string, share, reserve float64) bool {
	w := r.window(now, service)
	w.demand[w.bucket%grantLifeBuckets]++
	if w.returned > 0 {
		w.returned--
		return true
	}
	if r.Remaining(now, service, share) < 1+reserve {
		return false
	}
	if n := 1 - r.useCredits(now, w, 1); n > 0 {
		w.addRetries(n, retryLeave)
	}
	return true
}

// Return gives back a retry that was counted at spentAt and not sent. The next one in the same bucket takes its place.
// Nothing is given back once that bucket has passed.
func (r *Retries) Return(now, spentAt clock.Instant, service string) {
	if w := r.window(now, service); r.bucket(spentAt) == w.bucket {
		w.returned++
	}
}

func (r *Retries) bucket(now clock.Instant) int64 {
	return int64(now) / (int64(r.budget.Window) / retryBuckets)
}

// ownTotals adds the counters that VMs of former builds read. Such a VM uses the ratio of all calls and the slack of all VMs that it hears,
// less the retries that it hears of. It is told no calls, and as retries the part of the slack of this VM in
// each window, whether used or not. So it is left with its own part, however late this arrives.
func (r *Retries) ownTotals(now clock.Instant, share float64, out map[CounterKey]int64) {
	part := toldSlack * r.budget.Slack * share
	for name, w := range r.services {
		if w.announced == 0 {
			w.announced = part
		} else {
			w.announced += part * float64(now.Sub(w.announcedAt)) / float64(r.budget.Window)
		}
		w.announcedAt = now
		out[CounterKey{ServiceRetries, name}] = int64(w.announced) + 1
	}
}
