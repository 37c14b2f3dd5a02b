package schedule

import (
	"slices"

	"github.com/fulmartide/fulmartide/internal/rebalance"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

var _ rebalance.EnginePools = (*Scheduler)(nil)

// Pools implements rebalance.EnginePools. It returns the services that have both prefill and decode
// engines.
func (s *Scheduler) Pools() map[string]rebalance.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]rebalance.Pool{}
	for service, endpoints := range s.table.byService {
		p, claimed, capacity := rebalance.Pool{}, int64(0), int64(0)
		for _, e := range endpoints {
			if e.Leaving || e.engine == nil {
				continue
			}
			switch e.Stage {
			case traffic.Prefill:
				p.Prefill++
				p.Prefilling += e.totalWork().Calls
			case traffic.Decode:
				p.Decode++
				claimed += e.totalWork().Tokens
				capacity += e.engine.KVCapacity
			}
		}
		if p.Prefill > 0 && p.Decode > 0 && capacity > 0 {
			p.MemoryUse = float64(claimed) / float64(capacity)
			out[service] = p
		}
	}
	return out
}

// LeastLoaded implements rebalance.EnginePools. It returns the engine with the least work in the
// data centre that has the most engines of the stage.
func (s *Scheduler) LeastLoaded(service string, stage traffic.Stage, except []traffic.EndpointID) (traffic.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	eligible := func(e *endpointState) bool {
		return e.Stage == stage && !e.Leaving && !slices.Contains(except, e.ID) && !e.health.ejected(s.opts.Clock.Now())
	}
	count := map[string]int{}
	for _, e := range s.table.byService[service] {
		if eligible(e) {
			count[e.DataCentre]++
		}
	}
	var best *endpointState
	for _, e := range s.table.byService[service] {
		if !eligible(e) {
			continue
		}
		if best == nil || count[e.DataCentre] > count[best.DataCentre] ||
			count[e.DataCentre] == count[best.DataCentre] && e.totalWork().Tokens < best.totalWork().Tokens {
			best = e
		}
	}
	if best == nil {
		return traffic.Endpoint{}, false
	}
	return best.Endpoint, true
}
