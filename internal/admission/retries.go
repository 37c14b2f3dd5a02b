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
	// slackUsed is the part of the fleet's slack that is given out. slackAtStart is the part of
	// that which a VM gives out in the first window after its start, as it has forgotten what was
	// sent before: both together stay within the slack.
	slackUsed    = 0.7
	slackAtStart = 0.4
	// ratioUsed is the part of the ratio that is used, as calls and sends leave the window at
	// different times.
	ratioUsed = 0.9
)

// Retries counts calls and extra sends of each service: this VM's own, and those of VMs that
// tell theirs at once. Together they keep to the ratio of their calls and to their part of the
// slack, so the sum holds with no message between VMs that do not hear each other. It is not
// safe for use by many goroutines.
type Retries struct {
	budget   RetryBudget
	started  clock.Instant
	services map[string]*retryWindow
}

type retryWindow struct {
	calls, extra [retryBins]int
	bin          int64
	sumCalls     int
	sumExtra     int
	// ownCalls and ownExtra are all that this VM counted since it started.
	ownCalls, ownExtra int64
}

// NewRetries makes Retries of a VM that starts now.
func NewRetries(now clock.Instant, b RetryBudget) *Retries {
	return &Retries{budget: b, started: now, services: map[string]*retryWindow{}}
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

func (w *retryWindow) add(calls, extra int) {
	w.calls[w.bin%retryBins] += calls
	w.sumCalls += calls
	w.extra[w.bin%retryBins] += extra
	w.sumExtra += extra
}

// Called counts a caller's call to a service, and gives all that this VM counted.
func (r *Retries) Called(now clock.Instant, service string) (total int64) {
	w := r.window(now, service)
	w.add(1, 0)
	w.ownCalls++
	return w.ownCalls
}

// Heard counts calls to a service and extra sends of another VM.
func (r *Retries) Heard(now clock.Instant, service string, calls, extra int) {
	r.window(now, service).add(calls, extra)
}

// Left gives the extra sends that the VMs which tell each other theirs at once may still make.
// part is the part of the fleet's VMs that they are.
func (r *Retries) Left(now clock.Instant, service string, part float64) float64 {
	w := r.window(now, service)
	slack := slackUsed * r.budget.Slack * part
	if now.Sub(r.started) < r.budget.Window {
		slack *= slackAtStart
	}
	return ratioUsed*r.budget.Ratio*float64(w.sumCalls) + slack - float64(w.sumExtra)
}

// Spend counts an extra send if the budget has room for it. Keep is the part of the budget, in
// sends, that is left to more urgent uses. total is all that this VM counted.
func (r *Retries) Spend(now clock.Instant, service string, part, keep float64) (total int64, ok bool) {
	if r.Left(now, service, part) < 1+keep {
		return 0, false
	}
	w := r.window(now, service)
	w.add(0, 1)
	w.ownExtra++
	return w.ownExtra, true
}

// own gives what this VM counted since it started.
func (r *Retries) own(out map[Count]int64) {
	for name, w := range r.services {
		out[Count{Calls, name}], out[Count{Extra, name}] = w.ownCalls, w.ownExtra
	}
}
