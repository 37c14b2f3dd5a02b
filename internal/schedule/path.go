package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// askTime is how long after its path to an endpoint was lost a VM may be waiting for others to say that they reach
	// the endpoint.
	askTime = 400 * time.Millisecond
	// soleLossTime is the time in which only one endpoint may have become unreachable for it to count as dead at once.
	// If there are more, this VM may have lost its own paths, and asks other VMs first.
	soleLossTime = time.Second
	// forwardCost is the cost of sending a call through another VM of this data centre, remoteForwardCost that of one
	// through another data centre.
	forwardCost       = 40 * time.Millisecond
	remoteForwardCost = 80 * time.Millisecond
)

// path is what this VM knows of its network path to an endpoint.
type path struct {
	// lost is set, since lostAt, while this VM gets no connection to the endpoint.
	lost   bool
	lostAt clock.Instant
	// answeredAt is when the endpoint last answered on a connection of this VM, 0 if it never did.
	answeredAt clock.Instant
	// asked is set once other VMs have been asked whether they reach the endpoint. via are those that do, nearest first.
	asked bool
	via   []traffic.Via
}

// lose records that this VM got no connection, and reports whether it had a path before.
func (p *path) lose(now clock.Instant) bool {
	if p.lost {
		return false
	}
	p.lost, p.lostAt, p.asked, p.via = true, now, false, nil
	return true
}

// forwards reports whether calls reach the endpoint through another VM.
func (p *path) forwards() bool { return p.lost && len(p.via) > 0 }

// awaiting reports whether other VMs may say soon that they reach the endpoint.
func (p *path) awaiting(now clock.Instant) bool {
	return p.lost && !p.asked && now.Sub(p.lostAt) < askTime
}

// pickNearest returns one of the VMs in the data centre of the first one, nil if there are none.
func pickNearest(list []traffic.Via, random *rand.Rand) *traffic.Via {
	if len(list) == 0 {
		return nil
	}
	nearest := 0
	for nearest < len(list) && list[nearest].DataCentre == list[0].DataCentre {
		nearest++
	}
	via := list[random.IntN(nearest)]
	return &via
}

// cost returns the cost of the way that calls to the endpoint take from a VM of a data centre.
func (p *path) cost(dataCentre string) time.Duration {
	switch {
	case !p.forwards():
		return 0
	case p.via[0].DataCentre == dataCentre:
		return forwardCost
	}
	return remoteForwardCost
}

// remove removes a VM that does not reach the endpoint after all.
func (p *path) remove(vm string) {
	kept := p.via[:0:0]
	for _, v := range p.via {
		if v.VM != vm {
			kept = append(kept, v)
		}
	}
	p.via = kept
}

// errAwaitingVMs is returned by Place while this VM waits for others to say whether they reach the endpoints to which
// it has lost its paths.
var errAwaitingVMs = fault.New(fault.Unavailable, "retry after the stated time; operators: check the network between this VM and the endpoints",
	"this VM has lost its path to the endpoints", fault.WithRetryAfter(noEndpointRetryAfter))

// RecordUnreachable records that this VM got no connection to the claim's endpoint, or that the VM through which the
// call was to go did not.
func (c *Claim) RecordUnreachable() {
	if c.Via == nil {
		c.scheduler.PathLost(c.Endpoint.ID)
		return
	}
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table.states[c.Endpoint.ID]; e != nil {
		e.path.remove(c.Via.VM)
	}
}

// PathChange says that this VM has lost its path to an endpoint, or regained it.
type PathChange struct {
	Endpoint traffic.EndpointID
	Regained bool
	// Several is set if a path to another endpoint was lost shortly before.
	Several bool
}

// PathLost records that this VM got no connection to an endpoint. The other VMs are told that it is dead, unless other
// paths of this VM were lost shortly before.
func (s *Scheduler) PathLost(id traffic.EndpointID) {
	s.mu.Lock()
	now := s.opts.Clock.Now()
	e := s.table.states[id]
	if e == nil {
		s.mu.Unlock()
		return
	}
	first := e.path.lose(now)
	s.table.recordHealth(now, e, Dead)
	several, dataCentre := s.table.lostOthers(now, id), e.DataCentre
	s.mu.Unlock()
	if first {
		s.opts.OnPath(PathChange{Endpoint: id, Several: several})
	}
	if first && !several {
		s.opts.OnFailure(id, dataCentre, Dead)
	}
}

// lostOthers reports whether this VM has lost its path to another endpoint shortly before now.
func (t *table) lostOthers(now clock.Instant, except traffic.EndpointID) bool {
	for id, s := range t.states {
		if id != except && s.path.lost && now.Sub(s.path.lostAt) < soleLossTime {
			return true
		}
	}
	return false
}

// PathRestored records that this VM got a connection to an endpoint.
func (s *Scheduler) PathRestored(id traffic.EndpointID) {
	s.mu.Lock()
	e := s.table.states[id]
	restored := e != nil && e.path.lost
	if e != nil {
		e.path = path{answeredAt: s.opts.Clock.Now()}
	}
	if e != nil {
		s.table.recordAnswer(s.opts.Clock.Now(), e)
	}
	if restored {
		e.health.endEjection()
		s.wakeLocked()
	}
	s.mu.Unlock()
	if restored {
		s.opts.OnPath(PathChange{Endpoint: id, Regained: true})
	}
}

// SetVia records which other VMs reach an endpoint to which this VM has lost its path, nearest first. If none does, the
// endpoint is dead, and the other VMs are told.
func (s *Scheduler) SetVia(id traffic.EndpointID, via []traffic.Via) {
	s.mu.Lock()
	e := s.table.states[id]
	if e == nil || !e.path.lost {
		s.mu.Unlock()
		return
	}
	dead, dataCentre := len(via) == 0 && !e.path.asked, e.DataCentre
	if len(via) > 0 && len(e.path.via) == 0 {
		e.health.endEjection()
		e.cold.recordReachedElsewhere()
	}
	e.path.asked, e.path.via = true, via
	s.wakeLocked()
	s.mu.Unlock()
	if dead {
		s.opts.OnFailure(id, dataCentre, Dead)
	}
}

// LostPath is an endpoint to which this VM has lost its path.
type LostPath struct {
	Endpoint traffic.Endpoint
	// For is the time since the path was lost.
	For time.Duration
	// Via is the number of VMs that reach the endpoint.
	Via int
}

// LostPaths returns the endpoints that stay and to which this VM has lost its paths.
func (s *Scheduler) LostPaths() []LostPath {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	var out []LostPath
	for _, e := range s.table.states {
		if e.path.lost && s.table.mayConnect(e) {
			out = append(out, LostPath{Endpoint: e.Endpoint, For: now.Sub(e.path.lostAt), Via: len(e.path.via)})
		}
	}
	return out
}

// Quiet returns up to n endpoints, chosen at random, to which this VM has not lost its path and that have not answered
// it for a time.
func (s *Scheduler) Quiet(n int, since time.Duration) []traffic.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	var out []traffic.Endpoint
	for _, e := range s.table.states { // in random order
		if len(out) == n {
			break
		}
		if !e.path.lost && s.table.mayConnect(e) && now.Sub(e.path.answeredAt) > since {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// Evidence is what a VM can say of its path to an endpoint without trying it.
type Evidence struct {
	// Known is set if the endpoint is in the table and takes calls; Endpoint is its entry.
	Known    bool
	Endpoint traffic.Endpoint
	// Lost is set if the path is lost.
	Lost bool
	// AnsweredAgo is the time since the endpoint last answered.
	AnsweredAgo time.Duration
}

// PathEvidence returns what this VM knows of its path to an endpoint.
func (s *Scheduler) PathEvidence(id traffic.EndpointID) Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table.states[id]
	if e == nil || !s.table.mayConnect(e) {
		return Evidence{}
	}
	return Evidence{Known: true, Endpoint: e.Endpoint, Lost: e.path.lost, AnsweredAgo: s.opts.Clock.Now().Sub(e.path.answeredAt)}
}

// Errors of StartForwarded.
var (
	errNotListed       = fault.New(fault.Unavailable, "send the request directly or through another VM", "the endpoint is not listed here, or leaves")
	errNoPath          = fault.New(fault.Unavailable, "send the request through another VM", "this VM has no path to the endpoint either")
	errEvacuated       = fault.New(fault.Unavailable, "send the request to an endpoint of another data centre", "the data centre of the endpoint is evacuated")
	errForwardHeldBack = fault.New(fault.Overloaded, "send the request through another VM, or later", "the endpoint takes no request of this VM now")
)

// StartForwarded checks right before it whether a request of another VM may be sent to an endpoint, and returns the
// endpoint. permit is set if the other VM has used a permit of the endpoint's rate limit for it.
func (s *Scheduler) StartForwarded(id traffic.EndpointID, permit bool) (traffic.Endpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	e := s.table.states[id]
	switch {
	case e == nil || !e.staying():
		return traffic.Endpoint{}, errNotListed
	case s.table.evacuated[e.DataCentre]:
		return traffic.Endpoint{}, errEvacuated
	case e.path.lost:
		return traffic.Endpoint{}, errNoPath
	case e.notice.paused(now):
		return traffic.Endpoint{}, errForwardHeldBack
	case permit && !(e.notice.rateLimited() && e.cold.limited(now)): // else it may be one of the rate limit only
		return e.Endpoint, nil
	}
	if _, ok := s.table.startSend(now, id, false); !ok {
		return traffic.Endpoint{}, errForwardHeldBack
	}
	return e.Endpoint, nil
}
