package schedule

import (
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// recordCold records what a response to this VM says about the endpoint's being cold. Other VMs are not told: endpoints
// say so in health responses only, and their entries reach all VMs.
func (s *Scheduler) recordCold(id traffic.EndpointID, said backend.Notice) {
	if !said.SaysCold {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	c := s.table.cold.states[id.Name]
	switch {
	case c == nil:
	case said.Cold > 0:
		s.table.extendCold(now, c, ColdSaid, now.Add(min(said.Cold, maxCold)))
	default:
		s.table.recordNotCold(now, c, now.Add(-said.Took))
	}
}

// recordNotCold records that an endpoint said in response to a request sent at a time that it is not cold. That ends what
// was recorded before, besides its start and its entry.
func (t *table) recordNotCold(now clock.Instant, c *coldState, sentAt clock.Instant) {
	for _, r := range []ColdReason{ColdSaid, ColdUnreachable, ColdLifted} {
		if now.Before(c.until[r]) && c.since[r].Before(sentAt) && (r != ColdUnreachable || !c.unreachable) {
			c.until[r] = 0
			t.reportCold(now, c, r)
		}
	}
}
