package schedule

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ratelimit"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// rateLimit is the limit that an endpoint last named, or that it names none. It is in force until a later response
// says otherwise.
type rateLimit struct {
	limited bool
	// rate is the number of requests a second that the endpoint takes from all VMs together.
	rate float64
	// since is a time at which the endpoint said so or had said so. Of two statements the later one counts.
	since clock.Instant
}

// replaces reports whether a statement is to be used instead of another one. A response that names no limit says so
// as of the time at which its request was sent, so that one that was on its way when the limit began does not end it.
func (l rateLimit) replaces(current rateLimit) bool {
	return l.since >= current.since && (l.limited || current.limited)
}

// limitIn returns what a response says about the endpoint's limit.
func limitIn(now clock.Instant, said backend.Notice) rateLimit {
	if said.Limited && said.RateLimit <= ratelimit.MaxRate {
		return rateLimit{limited: true, rate: said.RateLimit, since: now}
	}
	return rateLimit{since: now.Add(-max(time.Nanosecond, said.Took))}
}

// Limit is what a VM tells others about the rate limit of an endpoint.
type Limit struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Limited is set if the endpoint takes Rate requests a second from all VMs together.
	Limited bool
	Rate    float64
	// Age is the time since the endpoint said so.
	Age time.Duration
}

// limitTellPeriod is the minimum time between two messages to the other VMs about the limit of an endpoint.
const limitTellPeriod = time.Second

// recordLimit records what a response to this VM says about the endpoint's limit, and tells the other VMs of a change.
func (s *Scheduler) recordLimit(id traffic.EndpointID, said backend.Notice) {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	l := limitIn(now, said)
	changed := s.table.setLimit(now, id, l)
	tell, dataCentre := false, ""
	if n := s.table.notices[id]; changed && now.Sub(n.limitToldAt) >= limitTellPeriod {
		n.limitToldAt, tell = now, true
	}
	if e := s.table.states[id]; e != nil {
		dataCentre = e.DataCentre
	}
	s.mu.Unlock()
	if changed {
		s.opts.OnHold(Hold{Endpoint: id, Limited: l.limited, RateLimit: l.rate})
	}
	if tell {
		s.opts.OnLimit(id, dataCentre, Limit{Limited: l.limited, Rate: l.rate, Age: now.Sub(l.since)})
	}
}

// RecordPeerLimit records what another VM knows of the limit of an endpoint.
func (s *Scheduler) RecordPeerLimit(id traffic.EndpointID, l Limit) {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	changed := s.table.setLimit(now, id, rateLimit{limited: l.Limited, rate: l.Rate, since: now.Add(-max(0, l.Age))})
	s.mu.Unlock()
	if changed {
		s.opts.OnHold(Hold{Endpoint: id, Limited: l.Limited, RateLimit: l.Rate})
	}
}

// Limits returns the limits in force.
func (s *Scheduler) Limits() map[traffic.EndpointID]Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	out := map[traffic.EndpointID]Limit{}
	for id, n := range s.table.notices {
		if n.rateLimited() {
			out[id] = Limit{Limited: true, Rate: n.limit.rate, Age: now.Sub(n.limit.since)}
		}
	}
	return out
}

// SetFleet sets the VMs among which the rates of endpoints are divided, by their addresses.
func (s *Scheduler) SetFleet(self netip.AddrPort, others []netip.AddrPort) {
	f := ratelimit.NewFleet(self, others)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Equal(s.table.fleet) {
		return
	}
	s.table.fleet = f
	for _, n := range s.table.notices {
		if n.share != nil {
			n.share.SetFleet(f, s.opts.Clock.Now())
		}
	}
	for _, c := range s.table.cold.states {
		if c.share != nil {
			c.share.SetFleet(f, s.opts.Clock.Now())
		}
	}
}

// setLimit replaces the limit of an endpoint, unless a later one is known, and reports whether it differs.
func (t *table) setLimit(now clock.Instant, id traffic.EndpointID, l rateLimit) (changed bool) {
	if t.notices[id] == nil && !l.limited {
		return false
	}
	n := t.noticeOf(now, id)
	if n == nil || !l.replaces(n.limit) {
		return false
	}
	changed = l.limited != n.limit.limited || l.rate != n.limit.rate
	n.limit = l
	switch {
	case !l.limited:
		n.share = nil
	case changed:
		name := id.Name + "/" + strconv.FormatInt(id.StartedAt, 10)
		n.share = ratelimit.New(ratelimit.Options{Fleet: t.fleet, Endpoint: name, Rate: l.rate, Epoch: t.epoch}, now)
	}
	return changed
}

func (n *notice) rateLimited() bool { return n != nil && n.share != nil }

// hasPermit reports whether a call may be placed at the endpoint as far as its limit is concerned.
func (n *notice) hasPermit(now clock.Instant) bool {
	return !n.rateLimited() || n.share.Available(now) > n.placed
}

// startSend reports whether a request may be sent to an endpoint now, and which permits of the endpoint were used up for
// it. setAside is set if the one of what it bears while it is cold was set aside for the request.
func (t *table) startSend(now clock.Instant, id traffic.EndpointID, setAside bool) (used permits, ok bool) {
	n, c := t.notices[id], t.cold.states[id.Name]
	if n.paused(now) || t.evacuates(id) || !c.mayStart(now, setAside) {
		return permits{}, false
	}
	if n.rateLimited() {
		if used.limit, ok = n.share.TakeOne(now); !ok {
			return permits{}, false
		}
	}
	used.cold = c.start(now)
	return used, true
}

// StartSend reports whether a request without a claim may be sent to an endpoint now, and through which VM; via is nil
// for directly, and in one of the given regions otherwise, nil for any. It is to be called for each send, right before
// it. ok is false during a pause that the endpoint asked for, if its rate limit leaves this VM nothing now, if its data
// centre is evacuated, and if no VM of the regions reaches it.
func (s *Scheduler) StartSend(id traffic.EndpointID, regions []string) (via *traffic.Via, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.states[id]
	if e != nil {
		via = s.table.via(e, regions)
		if via == nil && e.path.forwards() {
			return nil, false
		}
	}
	used, ok := s.table.startSend(s.opts.Clock.Now(), id, false)
	if via != nil {
		via.Permit = used.any()
	}
	return via, ok
}

// StartSend is Scheduler.StartSend for the call of the claim, which names the VM.
func (c *Claim) StartSend() bool {
	c.scheduler.mu.Lock()
	defer c.scheduler.mu.Unlock()
	setAside := c.cold != nil
	c.returnPermit()
	used, ok := c.scheduler.table.startSend(c.scheduler.opts.Clock.Now(), c.Endpoint.ID, setAside)
	c.setUsed(used)
	return ok
}

// returnPermit makes the permits that were set aside for the call available again.
func (c *Claim) returnPermit() {
	if c.limited != nil {
		c.limited.placed--
		c.limited = nil
	}
	if c.cold != nil {
		c.cold.placed--
		c.cold = nil
	}
}

// errRateLimited is the cause of errors of Place if the limits of endpoints leave this VM nothing now.
var errRateLimited = fmt.Errorf("the rate limits of its endpoints are used up: %w", errHeldBack)

// AwaitsVMs reports whether a call could not be placed because other VMs have been asked whether they reach its
// endpoints.
func AwaitsVMs(err error) bool { return errors.Is(err, errAwaitingVMs) }

// MayWait reports whether a call that could not be placed may be placed by waiting for a time. It may not if its
// endpoints take no calls before, if it waits for its turn within a rate limit, as others may do, if there is no
// endpoint of its version or in its regions, or if all are in evacuated data centres.
func MayWait(err error, wait time.Duration) bool {
	if errors.Is(err, errRateLimited) || errors.Is(err, errVersionGone) || errors.Is(err, errAllEvacuated) || errors.Is(err, errOutsideRegions) {
		return false
	}
	return !errors.Is(err, errHeldBack) || fault.DetailOf(err).RetryAfter < wait
}

func allRateLimited(wait time.Duration) error {
	return fault.Wrap(errRateLimited, fault.Overloaded, "retry after the stated time; operators: the service's endpoints name rate limits",
		"the service takes no more calls now", fault.WithRetryAfter(wait))
}
