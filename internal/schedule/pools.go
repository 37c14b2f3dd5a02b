package schedule

import (
	"slices"

	"github.com/fulmartide/fulmartide/internal/layout"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

var _ layout.Pools = (*Scheduler)(nil)

// Pools implements layout.Pools, for services whose engines are split.
func (s *Scheduler) Pools() map[string]layout.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]layout.Pool{}
	for service, states := range s.table.byService {
		p, claimed, capacity := layout.Pool{}, int64(0), int64(0)
		for _, e := range states {
			if e.Leaving || e.engine == nil {
				continue
			}
			switch e.Stage {
			case traffic.Prefill:
				p.Prefill++
				p.Reading += e.total().Calls
			case traffic.Decode:
				p.Decode++
				claimed += e.total().Tokens
				capacity += e.engine.KVCapacity
			}
		}
		if p.Prefill > 0 && p.Decode > 0 && capacity > 0 {
			p.Memory = float64(claimed) / float64(capacity)
			out[service] = p
		}
	}
	return out
}

// Idlest implements layout.Pools: of the data centre with the most engines of the stage, the
// one with the least work.
func (s *Scheduler) Idlest(service string, stage traffic.Stage, except []traffic.EndpointID) (traffic.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := func(e *state) bool {
		return e.Stage == stage && !e.Leaving && !slices.Contains(except, e.ID) && !e.health.ejected(s.opts.Clock.Now())
	}
	count := map[string]int{}
	for _, e := range s.table.byService[service] {
		if usable(e) {
			count[e.DataCentre]++
		}
	}
	var best *state
	for _, e := range s.table.byService[service] {
		if !usable(e) {
			continue
		}
		if best == nil || count[e.DataCentre] > count[best.DataCentre] ||
			count[e.DataCentre] == count[best.DataCentre] && e.total().Tokens < best.total().Tokens {
			best = e
		}
	}
	if best == nil {
		return traffic.Endpoint{}, false
	}
	return best.Endpoint, true
}
