package schedule

import (
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ratelimit"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// permits are the permits of an endpoint that were used up for a request: of its rate limit, and of what it bears while it
// is cold.
type permits struct{ limit, cold ratelimit.Taken }

func (p permits) any() bool { return !p.limit.IsZero() || !p.cold.IsZero() }

// Errors of LastLook, besides errNotListed, errEvacuated and errForwardHeldBack.
var (
	errLeavesNow = fault.New(fault.Unavailable, "send the request to another endpoint", "the endpoint has begun to leave since it was chosen")
	errPausedNow = fault.New(fault.Overloaded, "send the request to another endpoint, or later", "the endpoint has asked for a pause since it was chosen")
	errNoPermit  = fault.New(fault.Overloaded, "send the request to another endpoint, or later", "the permit of the endpoint's limit has expired before the send")
)

// mayReceive returns why an endpoint must not be sent a request that was assigned to it before, or nil. An endpoint that is
// listed as leaving gets none at all, as it is not known for how long the store has listed it so.
func (t *table) mayReceive(now clock.Instant, id traffic.EndpointID) error {
	e := t.states[id]
	switch {
	case e == nil:
		return errNotListed
	case t.evacuated[e.DataCentre]:
		return errEvacuated
	case e.Leaving || e.notice.saysLeaving() && !e.notice.lastResort(now, t.drainTime):
		return errLeavesNow
	case e.notice.paused(now):
		return errPausedNow
	}
	return nil
}

// renew replaces permits that have expired since they were used up, or are of a limit that was replaced. An expired permit
// is not given back: unused it would have expired, too.
func (t *table) renew(now clock.Instant, id traffic.EndpointID, used permits) (renewed permits, ok bool) {
	n, c := t.notices[id], t.cold.states[id.Name]
	limit := n.rateLimited() && !used.limit.ValidAt(n.share, now)
	cold := c.limited(now) && !used.cold.ValidAt(c.share, now)
	if limit && n.share.Available(now) <= n.placed || cold && c.share.Available(now) <= c.placed {
		return used, false
	}
	if limit {
		used.limit, _ = n.share.TakeOne(now)
	}
	if cold {
		used.cold, _ = c.share.TakeOne(now)
	}
	return used, true
}

// LastLook returns why the call must not be sent to the claim's endpoint after all, or nil. It is to be called right before
// the first byte is written, after StartSend: any time may have passed since.
func (c *Claim) LastLook() error {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	if err := s.table.mayReceive(now, c.Endpoint.ID); err != nil {
		return err
	}
	used, ok := s.table.renew(now, c.Endpoint.ID, c.used)
	c.setUsed(used)
	if !ok {
		return errNoPermit
	}
	return nil
}

// NotSent gives back the permits that were used up for a request of which no byte was sent.
func (c *Claim) NotSent() {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	c.used.limit.Return(now)
	c.used.cold.Return(now)
	c.setUsed(permits{})
}

func (c *Claim) setUsed(used permits) {
	c.used = used
	if c.Via != nil {
		c.Via.Permit = used.any()
	}
}

// LastLook returns why a request without a claim must not be sent to an endpoint after all, or nil. It is to be called right
// before the first byte is written, after StartSend or StartForwarded.
func (s *Scheduler) LastLook(id traffic.EndpointID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.mayReceive(s.opts.Clock.Now(), id)
}
