package schedule

import (
	"errors"
	"fmt"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ratelimit"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// ColdReason is why an endpoint counts as cold.
type ColdReason uint8

// The reasons.
const (
	// ColdStarted means that the endpoint started a short time ago.
	ColdStarted ColdReason = iota
	// ColdEntry means that its entry says so.
	ColdEntry
	// ColdSaid means that a response to this VM says so.
	ColdSaid
	// ColdUnreachable means that this VM counted the endpoint as dead, until some time after it has answered again.
	ColdUnreachable
	// ColdLifted means that the evacuation of its data centre was lifted.
	ColdLifted
	coldReasons
)

// String returns the name used in logs.
func (r ColdReason) String() string {
	return [...]string{"start", "entry", "response", "unreachable", "lifted"}[r]
}

// Cold is a change of whether an endpoint counts as cold.
type Cold struct {
	Endpoint traffic.EndpointID
	Reason   ColdReason
	// For is how long the endpoint counts as cold for this reason; 0 if it has said that it is not cold.
	For time.Duration
	// Rate is the number of requests a second that it bears from all VMs together, 0 for no limit.
	Rate float64
	// TableVersion is the version of the endpoint table.
	TableVersion uint64
}

const (
	// startTolerance covers the difference between the wall clock of this VM and that of an endpoint.
	startTolerance = time.Second
	// maxCold bounds how long an endpoint counts as cold because of one statement.
	maxCold = 10 * time.Minute
	// coldCost exceeds the other terms of the score of an endpoint with capacity, so that cold endpoints are used after
	// those that are not cold.
	coldCost = time.Second
	// coldSlowness multiplies the predicted prefill time of a cold engine. Without it the prefill would be given up as
	// too late, and the engine ejected.
	coldSlowness = 2
	// prefillLead is how long the permit must still be valid that is set aside for a decode whose prompt is prefilled
	// first.
	prefillLead = 500 * time.Millisecond
)

// coldState is what this VM knows of an endpoint's being cold. It belongs to the name of an endpoint: VMs that know
// different incarnations of it share the same permits.
type coldState struct {
	id   traffic.EndpointID
	cold traffic.ColdStart
	// until is when the endpoint is no longer cold, by reason; since is when the reason was last recorded.
	until, since [coldReasons]clock.Instant
	// entry is the version of the entry that ColdEntry was derived from.
	entry traffic.DocumentVersion
	// unreachable is set from the time at which the endpoint was counted as dead until it has answered.
	unreachable bool
	// share is this VM's part of the rate while the endpoint is cold; nil if it has no limit.
	share *ratelimit.Share
	// placed is the number of calls that have a permit set aside.
	placed int
	// sentAt is when this VM last sent a request without a permit, 0 if it never did.
	sentAt     clock.Instant
	lastListed clock.Instant
}

// end returns when the endpoint is no longer cold.
func (c *coldState) end() clock.Instant {
	end := clock.Instant(0)
	for _, at := range c.until {
		end = max(end, at)
	}
	return end
}

// active reports whether the endpoint is cold.
func (c *coldState) active(now clock.Instant) bool { return c != nil && now.Before(c.end()) }

// limited reports whether a request to the endpoint needs a permit.
func (c *coldState) limited(now clock.Instant) bool { return c.active(now) && c.share != nil }

// hasPermit reports whether a call that is sent after a delay may be placed at the endpoint.
func (c *coldState) hasPermit(now clock.Instant, delay time.Duration) bool {
	return !c.limited(now) || c.share.AvailableFor(now, delay) > c.placed
}

// nextPermit returns when a call that cannot be placed now may be.
func (c *coldState) nextPermit(now clock.Instant) clock.Instant {
	return min(c.share.NextAt(now), c.end())
}

// mayStart reports whether a request may be sent now. One without a permit set aside leaves those of others.
func (c *coldState) mayStart(now clock.Instant, setAside bool) bool {
	if !c.limited(now) {
		return true
	}
	available := c.share.Available(now)
	return available > c.placed || setAside && available > 0
}

// start uses up a permit for a request that mayStart, none if no one was needed.
func (c *coldState) start(now clock.Instant) ratelimit.Taken {
	if c.limited(now) {
		taken, _ := c.share.TakeOne(now)
		return taken
	}
	if c != nil {
		c.sentAt = now
	}
	return ratelimit.Taken{}
}

// setAside sets a permit aside for a placed call, and returns c if one is needed, else nil.
func (c *coldState) setAside(now clock.Instant) *coldState {
	if !c.limited(now) {
		return nil
	}
	c.placed++
	return c
}

// coldTable is the state of all endpoints that may be cold, by name, and what is common to them.
type coldTable struct {
	states map[string]*coldState
	bound  ColdBound
	// from is the time before which this VM has no permits, because it has just started.
	from clock.Instant
	// firstStart is set until the first table of a fleet that starts for the first time. Its endpoints are not cold
	// because of their start.
	firstStart bool
	report     func(Cold)
}

func newColdTable(o Options) coldTable {
	return coldTable{
		states: map[string]*coldState{}, bound: o.ColdBound, from: o.Clock.Now().Add(ratelimit.StartDelay), firstStart: o.FirstStart, report: o.OnCold,
	}
}

// updateCold updates the state of a listed endpoint, and returns it. It is nil if the service does not say what cold
// endpoints bear.
func (t *table) updateCold(now clock.Instant, e traffic.Endpoint, svc *traffic.Service, era uint64) *coldState {
	if svc == nil || svc.Cold == (traffic.ColdStart{}) {
		delete(t.cold.states, e.ID.Name)
		return nil
	}
	c := t.cold.states[e.ID.Name]
	started := c == nil || c.id != e.ID
	if c == nil {
		c = &coldState{}
		t.cold.states[e.ID.Name] = c
	}
	if c.cold.Rate != svc.Cold.Rate {
		c.share = nil
	}
	c.id, c.cold, c.lastListed = e.ID, svc.Cold, now
	if started && !t.cold.firstStart {
		t.extendCold(now, c, ColdStarted, t.startEnd(now, e.ID, svc.Cold.Duration))
	}
	if entry := (traffic.DocumentVersion{Era: era, Number: e.Version}); started || c.entry != entry {
		c.entry = entry
		if e.ColdFor <= 0 {
			c.until[ColdEntry] = 0
		}
		t.extendCold(now, c, ColdEntry, now.Add(min(e.ColdFor, maxCold)))
	}
	if c.share == nil && c.active(now) {
		c.share = t.newColdShare(now, c)
	}
	return c
}

// startEnd returns when an endpoint is no longer cold because of its start. One that has started in the future, by the
// clock of this VM, starts now.
func (t *table) startEnd(now clock.Instant, id traffic.EndpointID, duration time.Duration) clock.Instant {
	if duration <= 0 {
		return 0
	}
	cold := duration + startTolerance
	wall := now.Sub(t.epoch).Milliseconds()
	if id.StartedAt < wall-cold.Milliseconds() {
		return 0
	}
	return now.Add(cold - time.Duration(max(0, wall-id.StartedAt))*time.Millisecond)
}

// extendCold records that an endpoint is cold until a time. An earlier time than the recorded one changes nothing.
func (t *table) extendCold(now clock.Instant, c *coldState, reason ColdReason, until clock.Instant) {
	if until <= now || until <= c.until[reason] {
		return
	}
	began := !now.Before(c.until[reason])
	if !c.active(now) {
		c.share = t.newColdShare(now, c)
	}
	c.until[reason], c.since[reason] = until, now
	if began {
		t.reportCold(now, c, reason)
	}
}

func (t *table) reportCold(now clock.Instant, c *coldState, reason ColdReason) {
	if t.cold.report != nil {
		t.cold.report(Cold{Endpoint: c.id, Reason: reason, For: max(0, c.until[reason].Sub(now)), Rate: c.cold.Rate, TableVersion: t.version})
	}
}

// newColdShare returns this VM's part of the rate of an endpoint that becomes cold, nil if the endpoint has no limit.
// Requests that this VM sent without a permit count like those with one, until they have left the window.
func (t *table) newColdShare(now clock.Instant, c *coldState) *ratelimit.Share {
	if c.cold.Rate <= 0 || t.cold.bound.Factor <= 0 {
		return nil
	}
	bounds := ratelimit.ColdBounds(t.cold.bound.Factor, t.cold.bound.Slack)
	from := t.cold.from
	if c.sentAt > 0 {
		from = max(from, c.sentAt.Add(bounds.Window+ratelimit.ColdTransit))
	}
	return ratelimit.New(ratelimit.Options{
		Fleet: t.fleet, Endpoint: c.id.Name, Rate: c.cold.Rate, Epoch: t.epoch, Bounds: bounds, From: from,
	}, now)
}

// markCold records that an endpoint counts as cold for its service's time, because the evacuation of its data centre was
// lifted.
func (t *table) markCold(now clock.Instant, s *endpointState) {
	if s.cold != nil {
		t.extendCold(now, s.cold, ColdLifted, now.Add(s.cold.cold.Duration))
	}
}

// markDataCentreCold is markCold for all endpoints of a data centre. It is to be called when the evacuation of the data
// centre was lifted, after update.
func (t *table) markDataCentreCold(now clock.Instant, dataCentre string) {
	for _, s := range t.states {
		if s.DataCentre == dataCentre {
			t.markCold(now, s)
		}
	}
}

// forgetCold removes the state of endpoints that have long been gone from the table.
func (t *table) forgetCold(now clock.Instant) {
	for name, c := range t.cold.states {
		if now.Sub(c.lastListed) >= noticeRetention {
			delete(t.cold.states, name)
		}
	}
}

// recordHealth records the outcome of a request. An endpoint that was counted as dead may have been started again: it is
// cold from then on until some time after its next answer.
func (t *table) recordHealth(now clock.Instant, s *endpointState, o Outcome) {
	s.health.record(now, o)
	switch {
	case s.cold == nil:
	case o == Dead:
		s.cold.unreachable = true
		t.extendCold(now, s.cold, ColdUnreachable, s.health.ejectedUntil.Add(s.cold.cold.Duration))
	case o <= Errored:
		t.recordAnswer(now, s)
	}
}

// recordAnswer records that an endpoint responds.
func (t *table) recordAnswer(now clock.Instant, s *endpointState) {
	if c := s.cold; c != nil && c.unreachable {
		c.unreachable = false
		t.extendCold(now, c, ColdUnreachable, now.Add(c.cold.Duration))
	}
}

// recordReachedElsewhere records that other VMs have reached the endpoint all the time: only this VM's path was lost.
func (c *coldState) recordReachedElsewhere() {
	if c != nil && c.unreachable {
		c.unreachable, c.until[ColdUnreachable] = false, 0
	}
}

// sendDelay returns how long after its placement a call is sent at most, as a rule.
func (t *table) sendDelay(req *Request) time.Duration {
	if req.Stage != traffic.Decode || req.SkipQueue {
		return 0
	}
	for _, s := range t.byService[req.Service] {
		if s.Stage == traffic.Prefill && s.staying() {
			return prefillLead
		}
	}
	return 0
}

// OutlastsPrefill reports whether the permit that was set aside for the call's decode is still valid after its prefill. At
// least half of prefillLead is left for one that is placed at once.
func (c *Claim) OutlastsPrefill(expected time.Duration) bool {
	c.scheduler.mu.Lock()
	defer c.scheduler.mu.Unlock()
	now := c.scheduler.opts.Clock.Now()
	return c.cold == nil || !c.cold.limited(now) || c.cold.share.AvailableFor(now, min(expected, prefillLead/2)) >= c.cold.placed
}

// hasColdPermit reports whether a call may be placed at an endpoint, as far as it is cold.
func (t *table) hasColdPermit(now clock.Instant, s *endpointState, req *Request) bool {
	return !s.cold.limited(now) || s.cold.hasPermit(now, t.sendDelay(req))
}

func (c *candidates) holdColdUntil(at clock.Instant) {
	if c.coldUntil == 0 || at.Before(c.coldUntil) {
		c.coldUntil = at
	}
}

// nextPermitAt returns when an endpoint takes a call if some are cold.
func (c *candidates) nextPermitAt() clock.Instant {
	if c.heldUntil > 0 {
		return min(c.coldUntil, c.heldUntil)
	}
	return c.coldUntil
}

// errCold is the cause of errors of Place if no permit for the cold endpoints that are left is available now.
var errCold = fmt.Errorf("no permit for its cold endpoints: %w", errHeldBack)

// AllCold reports whether a call could not be placed because the endpoints that are left are cold.
func AllCold(err error) bool { return errors.Is(err, errCold) }

func allCold(wait time.Duration) error {
	return fault.Wrap(errCold, fault.Overloaded, "retry after the stated time; operators: the service's endpoints have just started or been reached again",
		"the service's endpoints are cold and take few calls", fault.WithRetryAfter(wait))
}
