package admission

import "github.com/fulmartide/fulmartide/internal/clock"

// formerRetries is the retry budget of the build before VMs kept to their own parts. It counts the calls and retries of each service, by this VM and by its direct peers, which
// report theirs immediately. These VMs keep to the ratio of their own calls and to their share of
// the slack, so the bound for the whole fleet holds without messages between VMs that cannot reach
// each other. It is not safe for concurrent use.
type formerRetries struct {
	budget    RetryBudget
	startedAt clock.Instant
	services  map[string]*formerWindow
}

type formerWindow struct {
	calls, retries [40]int
	bucket         int64
	sumCalls       int
	sumRetries     int
	// ownCalls and ownRetries are the totals of this VM since its start.
	ownCalls, ownRetries int64
}

// newFormerRetries returns the budget of a VM that starts now.
func newFormerRetries(now clock.Instant, b RetryBudget) *formerRetries {
	return &formerRetries{budget: b, startedAt: now, services: map[string]*formerWindow{}}
}

func (r *formerRetries) window(now clock.Instant, service string) *formerWindow {
	w := r.services[service]
	bucket := r.bucket(now)
	if w == nil {
		w = &formerWindow{bucket: bucket}
		r.services[service] = w
	}
	for ; w.bucket < bucket && w.sumCalls+w.sumRetries > 0; w.bucket++ {
		i := (w.bucket + 1) % 40
		w.sumCalls -= w.calls[i]
		w.sumRetries -= w.retries[i]
		w.calls[i], w.retries[i] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

func (w *formerWindow) add(calls, retries int) {
	w.calls[w.bucket%40] += calls
	w.sumCalls += calls
	w.retries[w.bucket%40] += retries
	w.sumRetries += retries
}

// CountCall counts a caller's call to a service and returns this VM's total.
func (r *formerRetries) CountCall(now clock.Instant, service string) (total int64) {
	w := r.window(now, service)
	w.add(1, 0)
	w.ownCalls++
	return w.ownCalls
}

// AddFromPeer adds calls and retries of another VM to a service.
func (r *formerRetries) AddFromPeer(now clock.Instant, service string, calls, retries int) {
	r.window(now, service).add(calls, retries)
}

// Remaining returns the number of retries that this VM and its direct peers may still send. share
// is their share of the fleet's VMs.
func (r *formerRetries) Remaining(now clock.Instant, service string, share float64) float64 {
	w := r.window(now, service)
	slack := 0.7 * r.budget.Slack * share
	if now.Sub(r.startedAt) < r.budget.Window {
		slack *= 0.4
	}
	return 0.9*r.budget.Ratio*float64(w.sumCalls) + slack - float64(w.sumRetries)
}

// Spend counts a retry if the budget has capacity for it and returns this VM's total. reserve is
// the number of retries that must remain for more urgent uses.
func (r *formerRetries) Spend(now clock.Instant, service string, share, reserve float64) (total int64, ok bool) {
	w := r.window(now, service)
	if r.Remaining(now, service, share) < 1+reserve {
		return 0, false
	}
	w.add(0, 1)
	w.ownRetries++
	return w.ownRetries, true
}

func (r *formerRetries) bucket(now clock.Instant) int64 {
	return int64(now) / (int64(r.budget.Window) / 40)
}

// ownTotals adds the counters of this VM since its start to out.
func (r *formerRetries) ownTotals(out map[CounterKey]int64) {
	for name, w := range r.services {
		out[CounterKey{ServiceCalls, name}], out[CounterKey{ServiceRetries, name}] = w.ownCalls, w.ownRetries
	}
}
