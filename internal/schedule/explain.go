package schedule

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// NotKnown is the age of an input that is not known.
const NotKnown time.Duration = -1

// Candidate is what a choice saw of one endpoint.
type Candidate struct {
	Endpoint traffic.Endpoint
	// Excluded is what excludes the endpoint, for ExcludedFor from now, 0 if that is not known.
	Excluded    Exclusion
	ExcludedFor time.Duration
	// Compared is set if the endpoint was among those that were compared by Cost. Excluded ones are if there is no other one.
	Compared bool
	Cost     Cost
	// Chosen is set if a call would be placed at the endpoint.
	Chosen bool
	// Work is the work of all VMs at the endpoint, as far as it is known here.
	Work Work
	// Slowness is what the endpoint last said about its pace, 0 if nothing.
	Slowness float64
	// Ages of the inputs, NotKnown without one: of the pace, of the last outcome that counts for Failure, of the load that
	// the endpoint reported, and of the loss of this VM's path to it.
	SlownessAge, OutcomeAge, LoadAge, PathLostAge time.Duration
}

// Explanation is where a call would be placed, and why.
type Explanation struct {
	// Choice is what Place would choose. It is valid if Err, which is the error of Place, is nil.
	Choice Choice
	Err    error
	// Queued is set if other calls of this VM wait before this one.
	Queued bool
	// TableVersion is the version of the endpoint table.
	TableVersion uint64
	// Candidates are the endpoints of the service and stage, in the order of the table.
	Candidates []Candidate
}

// recording records what choose sees. Its methods do nothing on nil, so that Place and Explain share their code.
type recording struct {
	// seen and states are the endpoints of the stage in the order of the table, index their indices.
	seen   []Candidate
	states []*endpointState
	index  map[*endpointState]int
}

// unsuitable records an endpoint that is not considered. Those of other stages are left out.
func (x *recording) unsuitable(t *table, s *endpointState, req *Request) {
	if x != nil && s.Stage == req.Stage {
		x.add(s, t.unsuitable(s, req))
	}
}

func (x *recording) add(s *endpointState, e Exclusion) {
	if x == nil {
		return
	}
	x.index[s] = len(x.seen)
	x.states = append(x.states, s)
	x.seen = append(x.seen, Candidate{Endpoint: s.Endpoint, Excluded: e})
}

func (x *recording) compare(s *endpointState, c Cost) {
	if x == nil {
		return
	}
	x.seen[x.index[s]].Compared, x.seen[x.index[s]].Cost = true, c
}

// complete adds to the candidates what a choice does not need.
func (x *recording) complete(now clock.Instant) {
	age := func(at clock.Instant) time.Duration {
		if at == 0 {
			return NotKnown
		}
		return now.Sub(at)
	}
	for i, s := range x.states {
		c := &x.seen[i]
		if until := s.excludedUntil(now, c.Excluded); until > 0 {
			c.ExcludedFor = max(0, until.Sub(now))
		}
		c.Work, c.Slowness = s.totalWork(), s.speed.latest.slowness
		c.OutcomeAge, c.LoadAge, c.SlownessAge, c.PathLostAge = age(s.health.updatedAt), age(s.reportedAt), NotKnown, NotKnown
		if c.Slowness > 0 {
			c.SlownessAge = age(s.speed.latest.since)
		}
		if s.path.lost {
			c.PathLostAge = age(s.path.lostAt)
		}
	}
}

// Explain returns where a call that is not queued would be placed now, and why. It makes the choice of Place, claims
// nothing and takes no permit: a Place that follows makes the same choice. Like any choice it finds out which permits of
// rate limits and cold endpoints belong to this VM; that is kept, as finding out again would lock the scheduler for
// milliseconds in a large fleet.
func (s *Scheduler) Explain(req *Request) Explanation {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.table.preserve(req.Service)()
	now := s.opts.Clock.Now()
	n := len(s.table.byService[req.Service])
	x := &recording{seen: make([]Candidate, 0, n), states: make([]*endpointState, 0, n), index: make(map[*endpointState]int, n)}
	chosen, choice, err := s.table.choose(now, req, x)
	x.complete(now)
	out := Explanation{Choice: choice, Err: err, TableVersion: s.table.version, Candidates: x.seen}
	if s.mustWait(req, nil) {
		out.Queued, out.Choice, out.Err = true, Choice{}, errAllFull
	} else if chosen != nil {
		x.seen[x.index[chosen]].Chosen = true
	}
	return out
}

// preserve returns a function that restores what a choice of endpoints of a service changes: the source of random numbers
// and estimates.
func (t *table) preserve(service string) (restore func()) {
	source, leftOut, endpoints := *t.randomSource, t.leftOut, t.byService[service]
	unreported := make([]int64, len(endpoints))
	for i, s := range endpoints {
		unreported[i] = s.unreportedTokens
	}
	return func() {
		*t.randomSource, t.leftOut = source, leftOut
		for i, s := range endpoints {
			s.unreportedTokens = unreported[i]
		}
	}
}
