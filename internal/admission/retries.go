package admission

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// RetryBudget bounds the extra sends of calls to a service within any window: a share of the
// calls in it, and a fixed number for the whole fleet.
type RetryBudget struct {
	Ratio  float64
	Window time.Duration
	// Slack is the number of extra sends that are allowed besides, over all VMs.
	Slack float64
}

const (
	// retryBins is the number of parts of a window; a part leaves it as a whole.
	retryBins = 40
	// slackUsed is the part of the fleet's slack that is given out, so that a VM that starts
	// anew and forgets its sends stays within it.
	slackUsed = 0.7
	// ratioUsed is the part of the ratio that is used, as calls and sends leave the window at
	// different times.
	ratioUsed = 0.9
)

// Retries counts calls and extra sends of each service. Each VM keeps to the ratio of its own
// calls and to an equal part of the slack, so the sum holds with no message between them. It
// is not safe for use by many goroutines.
type Retries struct {
	budget   RetryBudget
	services map[string]*retryWindow
}

type retryWindow struct {
	calls, extra [retryBins]int
	bin          int64
	sumCalls     int
	sumExtra     int
}

// NewRetries makes Retries.
func NewRetries(b RetryBudget) *Retries {
	return &Retries{budget: b, services: map[string]*retryWindow{}}
}

// SetBudget changes the bounds.
func (r *Retries) SetBudget(b RetryBudget) { r.budget = b }

func (r *Retries) window(now clock.Instant, service string) *retryWindow {
	w := r.services[service]
	bin := int64(now) / (int64(r.budget.Window) / retryBins)
	if w == nil {
		w = &retryWindow{bin: bin}
		r.services[service] = w
	}
	for ; w.bin < bin && w.sumCalls+w.sumExtra > 0; w.bin++ {
		i := (w.bin + 1) % retryBins
		w.sumCalls -= w.calls[i]
		w.sumExtra -= w.extra[i]
		w.calls[i], w.extra[i] = 0, 0
	}
	w.bin = max(w.bin, bin)
	return w
}

// Called counts a caller's call to a service.
func (r *Retries) Called(now clock.Instant, service string) {
	w := r.window(now, service)
	w.calls[w.bin%retryBins]++
	w.sumCalls++
}

// Left gives the extra sends that this VM may still make, when vms VMs share the slack.
func (r *Retries) Left(now clock.Instant, service string, vms int) float64 {
	w := r.window(now, service)
	allowed := ratioUsed*r.budget.Ratio*float64(w.sumCalls) + slackUsed*r.budget.Slack/float64(max(1, vms))
	return allowed - float64(w.sumExtra)
}

// Spend counts an extra send if the budget has room for it. Keep is the part of the budget, in
// sends, that is left to more urgent uses.
func (r *Retries) Spend(now clock.Instant, service string, vms int, keep float64) bool {
	if r.Left(now, service, vms) < 1+keep {
		return false
	}
	w := r.window(now, service)
	w.extra[w.bin%retryBins]++
	w.sumExtra++
	return true
}
