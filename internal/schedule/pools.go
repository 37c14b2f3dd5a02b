package schedule

import (
	"slices"

	"github.com/fulmartide/fulmartide/internal/rebalance"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

var _ rebalance.EnginePools = (*Scheduler)(nil)

// Utilization implements rebalance.EnginePools. It returns the services that have both prefill and
// decode engines.
func (s *Scheduler) Utilization() map[string]rebalance.Utilization {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]rebalance.Utilization{}
	for service, endpoints := range s.table.byService {
		u, claimed, capacity := rebalance.Utilization{}, int64(0), int64(0)
		for _, e := range endpoints {
			if !e.staying() || e.engine == nil || s.table.evacuated[e.DataCentre] {
				continue
			}
			switch e.Stage {
			case traffic.Prefill:
				u.Prefill++
				u.Prefilling += e.totalWork().Calls
			case traffic.Decode:
				u.Decode++
				claimed += e.totalWork().Tokens
				capacity += e.engine.KVCapacity
			}
		}
		if u.Prefill > 0 && u.Decode > 0 && capacity > 0 {
			u.MemoryUse = float64(claimed) / float64(capacity)
			out[service] = u
		}
	}
	return out
}

// Usable returns how many endpoints of a service stay and are not ejected, and how many stay.
func (s *Scheduler) Usable(service string) (usable, staying int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	for _, e := range s.table.byService[service] {
		if !e.staying() {
			continue
		}
		staying++
		if !e.health.ejected(now) {
			usable++
		}
	}
	return usable, staying
}

// LeastLoaded implements rebalance.EnginePools. It returns the engine with the least work in the
// data centre that has the most engines of the stage.
func (s *Scheduler) LeastLoaded(service string, stage traffic.Stage, except []traffic.EndpointID) (traffic.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	eligible := func(e *endpointState) bool {
		return e.Stage == stage && e.staying() && !s.table.evacuated[e.DataCentre] && !slices.Contains(except, e.ID) && !e.health.ejected(now) &&
			!e.notice.paused(now) && !e.notice.rateLimited() && !e.cold.limited(now) && !e.path.lost
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
