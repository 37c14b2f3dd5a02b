package schedule

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Pace is what a VM tells others about how long work takes at an endpoint.
type Pace struct {
	// Slowness is a multiple of the usual time, 0 if it is not known. Age is the time since the endpoint said so.
	Slowness float64
	Age      time.Duration
}

// PaceChange is a pace of an endpoint that differs much from what the VMs were told.
type PaceChange struct {
	Endpoint   traffic.EndpointID
	DataCentre string
	// Slowness is the new pace, Told the one that the VMs were last told, ToldAge the time since.
	Slowness, Told float64
	ToldAge        time.Duration
	// Seq and Work are this VM's work at the endpoint, as in OnWorkChange.
	Seq  uint64
	Work Work
}

const (
	// paceTellPeriod is the minimum time between two messages of this VM because of the pace of one endpoint.
	paceTellPeriod = 100 * time.Millisecond
	// paceTellRate is the number of such messages a second, for all endpoints together, paceTellBurst how many may
	// come at once.
	paceTellRate  = 8
	paceTellBurst = 8
)

// paceBudget bounds the messages of this VM because of the pace of endpoints.
type paceBudget struct {
	left float64
	at   clock.Instant
}

func (b *paceBudget) take(now clock.Instant) bool {
	b.left = min(paceTellBurst, b.left+paceTellRate*now.Sub(b.at).Seconds())
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// recordPace records what the claim's endpoint said about its pace, and has the other VMs told of a large change. Small
// ones go with the messages about work. The caller must hold s.mu.
func (c *Claim) recordPace(now clock.Instant, e *endpointState, slowness float64) {
	s := c.scheduler
	p := validPace(now, slowness, 0)
	if p.slowness == 0 {
		return
	}
	c.slowness = p.slowness
	e.speed.record(p)
	if e.engine == nil || !e.speed.changed(now) || e.speed.sharedAt > 0 && now.Sub(e.speed.sharedAt) < paceTellPeriod || !s.table.paceBudget.take(now) {
		return
	}
	change := PaceChange{Endpoint: e.ID, DataCentre: e.DataCentre, Slowness: slowness, Told: e.speed.shared.slowness, Seq: s.seq, Work: e.own}
	if change.Told > 0 {
		change.ToldAge = now.Sub(e.speed.shared.since)
	}
	e.speed.shared, e.speed.sharedAt = p, now
	s.opts.OnPaceChange(change)
}

// Pace returns what an endpoint last said to this VM. What other VMs told is not passed on, as its age would not
// include the time of the messages.
func (s *Scheduler) Pace(id traffic.EndpointID) Pace {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	e := s.table.states[id]
	if e == nil || e.speed.own.slowness == 0 || now.Sub(e.speed.own.since) >= paceTTL {
		return Pace{}
	}
	return Pace{Slowness: e.speed.own.slowness, Age: now.Sub(e.speed.own.since)}
}

// UpdatePace applies what another VM heard from an endpoint.
func (s *Scheduler) UpdatePace(id traffic.EndpointID, p Pace) {
	if p.Slowness == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table.states[id]; e != nil {
		e.speed.recordShared(validPace(s.opts.Clock.Now(), p.Slowness, p.Age))
	}
}

// SlowEndpoints returns the number of endpoints that are slow according to figures that are still used.
func (s *Scheduler) SlowEndpoints() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n := s.opts.Clock.Now(), 0
	for _, e := range s.table.states {
		if e.speed.latest.excess(now) > 0 {
			n++
		}
	}
	return n
}

// RecordDecode records how long the claim's endpoint took to its first event, and for the steps to further ones.
func (c *Claim) RecordDecode(start, span time.Duration, steps int) {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.table.decodeTimes[c.Endpoint.Service]
	if d == nil {
		if len(s.table.decodeTimes) >= maxDecodeTimes {
			return
		}
		d = &decodeTimes{}
		s.table.decodeTimes[c.Endpoint.Service] = d
	}
	d.record(time.Duration(float64(start)/max(1, c.slowness)), span, steps)
}
