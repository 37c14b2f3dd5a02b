package schedule

import (
	"errors"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ratelimit"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// notice is what an endpoint has said about itself in its responses. It outlives the endpoint's entry in the
// table, which may be gone for a while or say otherwise.
type notice struct {
	// leaving is set once the endpoint said that it leaves, at leavingSince.
	leaving      bool
	leavingSince clock.Instant
	// heldBack is set from a response that asked for a pause until the endpoint has answered a call after
	// heldUntil. In between it gets one call of this VM at a time.
	heldBack  bool
	heldUntil clock.Instant
	// probing is set while such a call is placed.
	probing bool
	// limit is the limit that the endpoint named, share this VM's part of it; share is nil if there is no limit.
	limit rateLimit
	share *ratelimit.Share
	// placed is the number of calls that are placed at the endpoint and have a permit of share set aside.
	placed int
	// limitToldAt is when the other VMs were last told of the limit.
	limitToldAt clock.Instant
	updatedAt   clock.Instant
}

const (
	// maxNotices is the maximum number of endpoints whose notices are kept.
	maxNotices = 4096
	// noticeRetention is how long the notice of an endpoint is kept that is not in the table.
	noticeRetention = 10 * time.Minute
	// lastResortFraction is the fraction of the drain time for which an endpoint that leaves is still used if
	// the service has no other one.
	lastResortFraction = 0.5
)

// paused reports whether the endpoint must not be sent anything now.
func (n *notice) paused(now clock.Instant) bool {
	return n != nil && n.heldBack && now.Before(n.heldUntil)
}

// reopening reports whether the endpoint gets one call at a time, to find out whether it takes calls again.
func (n *notice) reopening(now clock.Instant) bool {
	return n != nil && n.heldBack && !now.Before(n.heldUntil)
}

func (n *notice) saysLeaving() bool { return n != nil && n.leaving }

// lastResort reports whether an endpoint that leaves may be used if there is no other one.
func (n *notice) lastResort(now clock.Instant, drainTime time.Duration) bool {
	return now.Sub(n.leavingSince) < time.Duration(lastResortFraction*float64(drainTime))
}

// noticeOf returns the notice of an endpoint, a new one if it has none. It returns nil if there are too many.
func (t *table) noticeOf(now clock.Instant, id traffic.EndpointID) *notice {
	n := t.notices[id]
	if n == nil {
		if len(t.notices) >= maxNotices {
			return nil
		}
		n = &notice{}
		t.notices[id] = n
		if s := t.states[id]; s != nil {
			s.notice = n
		}
	}
	n.updatedAt = now
	return n
}

// forgetNotices removes the notices of endpoints that have long been gone from the table.
func (t *table) forgetNotices(now clock.Instant) {
	for id, n := range t.notices {
		if t.states[id] == nil && now.Sub(n.updatedAt) >= noticeRetention {
			delete(t.notices, id)
		}
	}
}

// Hold is a change of what this VM sends to an endpoint, because of what the endpoint said.
type Hold struct {
	Endpoint traffic.EndpointID
	// Leaving is set if the endpoint gets no new calls any more. Otherwise it gets nothing for Pause, or calls
	// again if Pause is 0.
	Leaving bool
	Pause   time.Duration
	// Limited is set if the endpoint names another rate limit than before, of RateLimit requests a second.
	Limited   bool
	RateLimit float64
}

// RecordNotice records what an endpoint said about itself in a response to this VM.
func (s *Scheduler) RecordNotice(id traffic.EndpointID, said backend.Notice) {
	if said.Leaving {
		s.recordLeaving(id, true)
	}
	if said.Pause > 0 {
		s.recordPause(id, said.Pause)
	}
	s.recordLimit(id, said)
	s.recordCold(id, said)
}

// recordLeaving records that an endpoint leaves. If tellPeers is set, the other VMs are told, unless the table
// lists it as leaving.
func (s *Scheduler) recordLeaving(id traffic.EndpointID, tellPeers bool) {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	n := s.table.noticeOf(now, id)
	first := n != nil && !n.leaving
	dataCentre := ""
	if first {
		n.leaving, n.leavingSince = true, now
	}
	if e := s.table.states[id]; e != nil {
		dataCentre = e.DataCentre
		tellPeers = tellPeers && !e.Leaving
	}
	s.mu.Unlock()
	if !first {
		return
	}
	s.opts.OnHold(Hold{Endpoint: id, Leaving: true})
	if tellPeers {
		s.opts.OnFailure(id, dataCentre, Leaving)
	}
}

// recordPause records that an endpoint is to get no requests from this VM for a time. A shorter time than one that it
// named before changes nothing.
func (s *Scheduler) recordPause(id traffic.EndpointID, pause time.Duration) {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	n := s.table.noticeOf(now, id)
	extended := n != nil && (!n.heldBack || n.heldUntil.Before(now.Add(pause)))
	if extended {
		n.heldBack, n.heldUntil = true, now.Add(pause)
	}
	s.mu.Unlock()
	if extended {
		s.opts.OnHold(Hold{Endpoint: id, Pause: pause})
	}
}

// endPause ends the pause of an endpoint that has answered a call after it. It reports whether there was one.
func (e *endpointState) endPause(now clock.Instant) bool {
	if !e.notice.reopening(now) {
		return false
	}
	e.notice.heldBack = false
	return true
}

// errHeldBack is the cause of errors of Place if no endpoint takes calls before a time that is known.
var errHeldBack = errors.New("its endpoints are leaving or take no calls for a time they named")

func allPaused(wait time.Duration) error {
	return fault.Wrap(errHeldBack, fault.Overloaded, "retry after the stated time", "the service takes no calls", fault.WithRetryAfter(wait))
}

func allLeaving() error {
	return fault.Wrap(errHeldBack, fault.Unavailable, "retry after the stated time; operators: start other endpoints of the service",
		"all endpoints of the service are leaving", fault.WithRetryAfter(noEndpointRetryAfter))
}
