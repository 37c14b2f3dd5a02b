package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// table holds the endpoints and what is known of each. It decides and does no I/O.
type table struct {
	dataCentre string
	random     *rand.Rand
	version    uint64
	states     map[traffic.EndpointID]*state
	byService  map[string][]*state
	// early is work that was told of endpoints that this VM does not know yet.
	early map[traffic.EndpointID]*otherWork
	// farLate is set where VMs of other data centres tell late what they hold.
	farLate bool
	// nearThen is how much the engines of this data centre had to do when another one last told.
	nearThen map[string]map[pool]int64
}

func newTable(dataCentre string, random *rand.Rand) *table {
	return &table{
		dataCentre: dataCentre,
		random:     random,
		states:     map[traffic.EndpointID]*state{},
		byService:  map[string][]*state{},
		early:      map[traffic.EndpointID]*otherWork{},
		nearThen:   map[string]map[pool]int64{},
	}
}

// update takes over a table of endpoints and the figures of their services.
func (t *table) update(eps traffic.Endpoints, services map[string]*traffic.Service) {
	former := t.states
	t.version = eps.Version
	t.states = make(map[traffic.EndpointID]*state, len(eps.List))
	t.byService = map[string][]*state{}
	for _, e := range eps.List {
		s := former[e.ID]
		if s == nil {
			s = &state{rate: initialRate}
			if early := t.early[e.ID]; early != nil {
				s.others = *early
			}
			delete(t.early, e.ID)
		}
		if s.Stage != e.Stage {
			s.closedUntil, s.refusals = 0, 0
		}
		s.Endpoint = e
		s.engine = nil
		if svc := services[e.Service]; svc != nil {
			s.engine = svc.Engine
		}
		t.states[e.ID] = s
		t.byService[e.Service] = append(t.byService[e.Service], s)
	}
}

// maxEarly bounds the endpoints whose work is kept before the endpoint is known.
const maxEarly = 256

// heard takes over what another VM holds at an endpoint, unless something newer was heard.
func (t *table) heard(vm ident.VM, seq uint64, id traffic.EndpointID, w Work) {
	if s := t.states[id]; s != nil {
		s.others.take(vm, told{seq: seq, work: w})
		return
	}
	early := t.early[id]
	if early == nil {
		if len(t.early) >= maxEarly || w.Calls == 0 {
			return
		}
		early = &otherWork{}
		t.early[id] = early
	}
	early.take(vm, told{seq: seq, work: w})
}

// heardAll takes over all that another VM holds; what is not listed, it does not hold.
func (t *table) heardAll(vm ident.VM, seq uint64, all map[traffic.EndpointID]Work) {
	for id, s := range t.states {
		if _, listed := all[id]; !listed && s.others.byVM[vm].work.Calls > 0 {
			s.others.take(vm, told{seq: seq})
		}
	}
	for id, w := range all {
		t.heard(vm, seq, id, w)
	}
}

// dataCentreVM stands for all VMs of a data centre that tells in sums.
func dataCentreVM(name string) ident.VM { return ident.VM{Name: "data centre " + name} }

// heardDataCentre takes over what the VMs of another data centre hold together.
func (t *table) heardDataCentre(name string, seq uint64, all map[traffic.EndpointID]Work) {
	t.heardAll(dataCentreVM(name), seq, all)
	then := map[pool]int64{}
	for service := range t.byService {
		for _, stage := range []traffic.Stage{traffic.Prefill, traffic.Decode} {
			then[pool{service, stage}] = t.nearMean(service, stage)
		}
	}
	t.nearThen[name] = then
}

// far reports whether an engine is in another data centre whose VMs tell late what they hold.
func (t *table) far(s *state) bool {
	return t.farLate && s.engine != nil && s.DataCentre != t.dataCentre
}

// nearMean is the mean work of the engines of this data centre, in tokens.
func (t *table) nearMean(service string, stage traffic.Stage) int64 {
	sum, n := int64(0), int64(0)
	for _, s := range t.byService[service] {
		if s.engine != nil && s.Stage == stage && s.DataCentre == t.dataCentre && !s.Leaving {
			sum += s.total().Tokens
			n++
		}
	}
	return sum / max(1, n)
}

// grown guesses the work that was given to an engine of another data centre since that one told:
// as much as the engines of this one got meanwhile.
func (t *table) grown(s *state, nearNow int64) int64 {
	if !t.far(s) {
		return 0
	}
	return max(0, nearNow-t.nearThen[s.DataCentre][pool{s.Service, s.Stage}])
}

// heldTogether gives what this VM and others hold in sum at engines, but for those of one data
// centre.
func (t *table) heldTogether(others []ident.VM, except string) map[traffic.EndpointID]Work {
	out := map[traffic.EndpointID]Work{}
	for id, s := range t.states {
		if s.engine == nil || s.DataCentre == except {
			continue
		}
		w := s.own
		for _, vm := range others {
			w = w.plus(s.others.byVM[vm].work)
		}
		if w.Calls > 0 {
			out[id] = w
		}
	}
	return out
}

// forget drops the work of a VM that is gone.
func (t *table) forget(vm ident.VM) {
	for _, s := range t.states {
		s.others.forget(vm)
	}
	for id, early := range t.early {
		if early.forget(vm); len(early.byVM) == 0 {
			delete(t.early, id)
		}
	}
}

// Ask says what a call needs of an endpoint.
type Ask struct {
	Service string
	Stage   traffic.Stage
	// Tokens is nil for calls that state no sizes.
	Tokens *traffic.Tokens
	// Near is the data centre that the choice should be close to, empty for this VM's.
	Near string
	// Avoid holds endpoints that were tried.
	Avoid []traffic.EndpointID
	// Once: a failure of the endpoint loses the call.
	Once bool
	// Pressing calls go before those that wait: their prompt is read and kept for a moment only.
	Pressing bool
	// Patience is the longest predicted reading of the prompt, behind those that an engine has
	// yet to read; 0 for any. An engine with nothing to do is always good enough.
	Patience time.Duration
}

func (a *Ask) avoids(id traffic.EndpointID) bool {
	for _, v := range a.Avoid {
		if v == id {
			return true
		}
	}
	return false
}

// work is what the call will hold at the endpoint.
func (a *Ask) work() Work {
	w := Work{Calls: 1}
	if a.Tokens == nil {
		return w
	}
	switch a.Stage {
	case traffic.Prefill:
		w.Tokens = a.Tokens.Prompt
	default:
		w.Tokens = decodeNeed(*a.Tokens)
	}
	return w
}

// Choice is an endpoint with what decided for it.
type Choice struct {
	Endpoint traffic.Endpoint
	// Expected is the predicted time until a prompt is read, 0 in other stages.
	Expected time.Duration
	// Score is the predicted cost of the choice, Among the number of endpoints compared.
	Score time.Duration
	Among int
	// Version is the version of the table of endpoints that decided.
	Version uint64
	// Held is the work that all VMs had there.
	Held Work
	// Ejected: no sound endpoint was left.
	Ejected bool
}

// reason says why no endpoint was chosen.
type reason uint8

const (
	chosen reason = iota
	// noneKnown: the service has no endpoint that may be used.
	noneKnown
	// allFull: endpoints are there, but none has room.
	allFull
)

// choose filters, scores and picks.
func (t *table) choose(now clock.Instant, a *Ask) (*state, Choice, reason) {
	var usable, sound []*state
	why := noneKnown
	near := t.nearMean(a.Service, a.Stage)
	for _, s := range t.byService[a.Service] {
		if !may(s, a) {
			continue
		}
		s.untold = t.grown(s, near)
		if !t.fits(now, s, a) {
			why = allFull
			continue
		}
		usable = append(usable, s)
		if !s.health.ejected(now) {
			sound = append(sound, s)
		}
	}
	ejected := len(sound) == 0
	if ejected {
		if why == allFull {
			return nil, Choice{}, allFull
		}
		sound = usable
	}
	if len(sound) == 0 {
		return nil, Choice{}, why
	}
	best, score := t.pick(now, sound, a)
	c := Choice{
		Endpoint: best.Endpoint, Score: score, Among: len(sound), Version: t.version, Held: best.total(), Ejected: ejected,
	}
	if a.Stage == traffic.Prefill && a.Tokens != nil {
		c.Expected = t.expectedRead(now, best, a.Tokens.Prompt)
	}
	return best, c, chosen
}

// farSpread is by how much endpoints of other data centres may cost more than the cheapest and be
// taken all the same: VMs of all data centres know the same of them, and would choose the same.
const farSpread = 150 * time.Millisecond

// pick gives the cheapest endpoint; equals are drawn, and those of other data centres that tell
// late are drawn among the cheap ones.
func (t *table) pick(now clock.Instant, from []*state, a *Ask) (*state, time.Duration) {
	scores := make([]time.Duration, len(from))
	best := 0
	for i, s := range from {
		if scores[i] = t.score(now, s, a); scores[i] < scores[best] {
			best = i
		}
	}
	far := t.far(from[best])
	chosen, among := best, 0
	for i, s := range from {
		alike := scores[i] == scores[best]
		if far && t.far(s) {
			alike = scores[i] <= scores[best]+farSpread
		}
		if !alike {
			continue
		}
		if among++; t.random.IntN(among) == 0 {
			chosen = i
		}
	}
	return from[chosen], scores[chosen]
}
