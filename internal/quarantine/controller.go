package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Options configure a Controller.
type Options struct {
	Clock   clock.Clock
	Log     *zap.Logger
	Metrics *metrics.Set
	// OnChange is called with what the other VMs need to know. It must not block. It may be nil.
	OnChange func(State)
	// OnQuarantine is called after this VM's records have changed which parts are quarantined. It must not
	// block. It may be nil.
	OnQuarantine func()
	// MayTry reports whether this VM may try quarantined parts; one VM of the fleet should. nil means no.
	MayTry func() bool
}

// Controller makes the state machine safe for concurrent use.
type Controller struct {
	opts Options

	mu      sync.Mutex
	tracker *tracker
}

// NewController returns a Controller without records.
func NewController(o Options) *Controller {
	if o.OnChange == nil {
		o.OnChange = func(State) {}
	}
	if o.OnQuarantine == nil {
		o.OnQuarantine = func() {}
	}
	if o.MayTry == nil {
		o.MayTry = func() bool { return false }
	}
	return &Controller{opts: o, tracker: newTracker()}
}

// Decision is the decision about a call.
type Decision struct {
	// Part is the quarantined part of the call's prompt, or the call's request key if that is quarantined, empty if
	// there is none.
	Part string
	// Trial is set if the call may run nevertheless, to try whether the part still crashes engines.
	Trial bool
	// RetryAfter is the time until a call with the part may be tried.
	RetryAfter time.Duration
}

// Refused reports whether the call must not be sent to an engine.
func (d Decision) Refused() bool { return d.Part != "" && !d.Trial }

// SuspectsRequests reports whether endpoints have crashed under any request that no endpoint has answered since. Only
// then request keys need to be checked, and answers to be recorded.
func (c *Controller) SuspectsRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.suspectsRequests()
}

// Check decides whether a call may be sent to an endpoint. parts are the parts of its prompt and its request key.
func (c *Controller) Check(parts []string) Decision {
	if len(parts) == 0 {
		return Decision{}
	}
	v := c.check(parts, false)
	if v.part != "" && c.opts.MayTry() {
		v = c.check(parts, true)
	}
	return Decision{Part: v.part, Trial: v.trial, RetryAfter: v.wait}
}

// Suspects reports whether calls with one of the parts are refused now. Unlike Check, it begins no trial.
func (c *Controller) Suspects(parts []string) bool {
	return len(parts) > 0 && c.check(parts, false).part != ""
}

func (c *Controller) check(parts []string, mayTry bool) (v verdict) {
	c.update("", func(now clock.Instant) State {
		v = c.tracker.check(now, parts, mayTry)
		return State{}
	})
	return v
}

// Crash is the crash of an endpoint under a call.
type Crash struct {
	Endpoint traffic.EndpointID
	// Call is the id of the call.
	Call string
	// Parts are the parts of the call's prompt, or only its request key.
	Parts []string
	// Ran is the time between the send and the crash, Age the time since the crash.
	Ran, Age time.Duration
}

// RecordCrash records that an endpoint crashed while it began to answer a call.
func (c *Controller) RecordCrash(crash Crash) {
	if len(crash.Parts) == 0 {
		return
	}
	c.opts.Metrics.GetOrCreateCounter(`fulmartide_crashes_at_start_total`).Inc()
	c.record(Record{
		ID: rand.Uint64(), Endpoint: crash.Endpoint, Call: crash.Call[:min(len(crash.Call), maxCallID)], Parts: crash.Parts,
		Ran: crash.Ran, Age: crash.Age,
	})
}

// RecordAnswer records that an endpoint answered a request, which clears it.
func (c *Controller) RecordAnswer(request string) {
	c.mu.Lock()
	suspected := c.tracker.suspectedRequests[request]
	c.mu.Unlock()
	if suspected {
		c.record(Record{ID: rand.Uint64(), Parts: []string{request}})
	}
}

// maxCallID is the maximum size of the id of a call in a record, in bytes.
const maxCallID = 64

// RecordStart records that the engine of a call with these prompt parts began to answer. trial is what the call was
// to try, empty if nothing.
func (c *Controller) RecordStart(parts []string, trial string) {
	if len(parts) == 0 {
		return
	}
	c.update("", func(now clock.Instant) State {
		c.tracker.recordStart(now, parts)
		return State{Starts: c.tracker.startsToTell(now, parts)}
	})
	if slices.Contains(parts, trial) {
		c.record(Record{ID: rand.Uint64(), Parts: []string{trial}})
	}
}

// record adds a record of this VM, which the others are told with the starts of its parts here.
func (c *Controller) record(r Record) {
	changed := c.update("", func(now clock.Instant) State {
		c.tracker.add(now, []Record{r})
		return State{Records: []Record{r}, Starts: c.tracker.startsToTell(now, r.Parts)}
	})
	if changed {
		c.opts.OnQuarantine()
	}
}

// Merge adds what another VM told, or what was stored. In a complete state the starts are totals.
func (c *Controller) Merge(s State, complete bool, from string) {
	c.update(from, func(now clock.Instant) State {
		var told State
		for _, r := range c.tracker.add(now, s.Records) {
			told.Starts = append(told.Starts, c.tracker.startsToTell(now, r.Parts)...)
		}
		c.tracker.addStarts(now, s.Starts, complete)
		return told
	})
}

// State returns all that this VM knows.
func (c *Controller) State() (s State) {
	c.update("", func(now clock.Instant) State {
		s = c.tracker.state(now)
		return State{}
	})
	return s
}

// Fingerprint returns a value that is the same on VMs that have the same records.
func (c *Controller) Fingerprint() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.fingerprint()
}

// update runs an operation of the state machine, logs which parts it quarantined or released, and passes what
// it returns to the other VMs. It reports whether such parts changed. from is the source of the operation's
// input, empty for this VM.
func (c *Controller) update(from string, operation func(now clock.Instant) State) (changed bool) {
	c.mu.Lock()
	told := operation(c.opts.Clock.Now())
	changes := c.tracker.takeChanges()
	c.mu.Unlock()
	for _, ch := range changes {
		c.log(ch, from)
	}
	if !told.Empty() {
		c.opts.OnChange(told)
	}
	return len(changes) > 0
}

func (c *Controller) log(ch change, from string) {
	what, metric := "prompt part", `fulmartide_prompt_parts_quarantined_total`
	if traffic.IsRequestKey(ch.part) {
		what, metric = "request", `fulmartide_requests_quarantined_total`
	}
	fields := []zap.Field{
		zap.String("part", ch.part), zap.Int("crashes", ch.crashes), zap.Int("starts", ch.starts), zap.String("from", from),
	}
	if ch.released {
		c.opts.Log.Info(what+" released", fields...)
		return
	}
	c.opts.Metrics.GetOrCreateCounter(metric).Inc()
	c.opts.Log.Warn(what+" quarantined", fields...)
}
