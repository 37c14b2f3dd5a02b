package schedule

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
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
	if said.Limited {
		return rateLimit{limited: true, rate: said.RateLimit, since: now}
	}
	return rateLimit{since: now.Add(-max(time.Nanosecond, said.Took))}
}

// recordLimit records what a response says about the endpoint's limit.
func (s *Scheduler) recordLimit(id traffic.EndpointID, said backend.Notice) {
	s.mu.Lock()
	l := limitIn(s.opts.Clock.Now(), said)
	changed := s.table.setLimit(l.since, id, l)
	s.mu.Unlock()
	if changed {
		s.opts.OnHold(Hold{Endpoint: id, Limited: l.limited, RateLimit: l.rate})
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
	return changed
}
