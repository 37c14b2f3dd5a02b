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
	// retryBuckets is the number of buckets of a window. A bucket leaves the window as a whole.
	retryBuckets = 40
	// usableSlack is the fraction of the fleet's slack that is used. startSlack is the fraction of
	// it that a VM uses in the first window after its start, because it does not know how many
	// retries it sent before: those before and after the restart together stay within the slack.
	usableSlack = 0.7
	startSlack  = 0.4
	// usableRatio is the fraction of the ratio that is used, because calls and their retries leave
	// the window at different times.
	usableRatio = 0.9
)

// Retries counts the calls and retries of each service, by this VM and by its direct peers, which
// report theirs immediately. These VMs keep to the ratio of their own calls and to their share of
// the slack, so the bound for the whole fleet holds without messages between VMs that cannot reach
// each other. Retries is not safe for concurrent use.
type Retries struct {
	budget    RetryBudget
	startedAt clock.Instant
	services  map[string]*retryWindow
}

type retryWindow struct {
	calls, retries [retryBuckets]int
	bucket         int64
	sumCalls       int
	sumRetries     int
	// ownCalls and ownRetries are the totals of this VM since its start.
	ownCalls, ownRetries int64
	// returned is the number of retries in the current bucket that were counted and not sent.
	returned int
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
	if w.bucket < bucket {
		w.returned = 0
	}
	for ; w.bucket < bucket && w.sumCalls+w.sumRetries > 0; w.bucket++ {
		i := (w.bucket + 1) % retryBuckets
		w.sumCalls -= w.calls[i]
		w.sumRetries -= w.retries[i]
		w.calls[i], w.retries[i] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

func (w *retryWindow) add(calls, retries int) {
	w.calls[w.bucket%retryBuckets] += calls
	w.sumCalls += calls
	w.retries[w.bucket%retryBuckets] += retries
	w.sumRetries += retries
}

// CountCall counts a caller's call to a service and returns this VM's total.
func (r *Retries) CountCall(now clock.Instant, service string) (total int64) {
	w := r.window(now, service)
	w.add(1, 0)
	w.ownCalls++
	return w.ownCalls
}

// AddFromPeer adds calls and retries of another VM to a service.
func (r *Retries) AddFromPeer(now clock.Instant, service string, calls, retries int) {
	r.window(now, service).add(calls, retries)
}

// Remaining returns the number of retries that this VM and its direct peers may still send. share
// is their share of the fleet's VMs.
func (r *Retries) Remaining(now clock.Instant, service string, share float64) float64 {
	w := r.window(now, service)
	slack := usableSlack * r.budget.Slack * share
	if now.Sub(r.startedAt) < r.budget.Window {
		slack *= startSlack
	}
	return usableRatio*r.budget.Ratio*float64(w.sumCalls) + slack - float64(w.sumRetries)
}

// Spend counts a retry if the budget has capacity for it and returns this VM's total. reserve is
// the number of retries that must remain for more urgent uses.
func (r *Retries) Spend(now clock.Instant, service string, share, reserve float64) (total int64, ok bool) {
	w := r.window(now, service)
	if w.returned > 0 {
		w.returned--
		return w.ownRetries, true
	}
	if r.Remaining(now, service, share) < 1+reserve {
		return 0, false
	}
	w.add(0, 1)
	w.ownRetries++
	return w.ownRetries, true
}

// Return gives back a retry that was counted at spentAt and not sent. The next one in the same bucket takes its place, so that
// totals that other VMs were told never decrease. Nothing is given back once that bucket has passed.
func (r *Retries) Return(now, spentAt clock.Instant, service string) {
	if w := r.window(now, service); r.bucket(spentAt) == w.bucket {
		w.returned++
	}
}

func (r *Retries) bucket(now clock.Instant) int64 {
	return int64(now) / (int64(r.budget.Window) / retryBuckets)
}

// ownTotals adds the counters of this VM since its start to out.
func (r *Retries) ownTotals(out map[CounterKey]int64) {
	for name, w := range r.services {
		out[CounterKey{ServiceCalls, name}], out[CounterKey{ServiceRetries, name}] = w.ownCalls, w.ownRetries
	}
}
