package schedule

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/ratelimit"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// table holds the endpoints and their state, and selects among them. It does no I/O.
type table struct {
	dataCentre string
	random     *rand.Rand
	version    uint64
	states     map[traffic.EndpointID]*endpointState
	byService  map[string][]*endpointState
	// departed holds the endpoints that are not listed any more and still have calls of this VM.
	departed map[traffic.EndpointID]*endpointState
	// drainTime is how long endpoints that leave take calls.
	drainTime time.Duration
	notices   map[traffic.EndpointID]*notice
	// fleet is the VMs that share the rates of endpoints, nil until they are known; epoch is the reading of the
	// clock at the Unix epoch.
	fleet *ratelimit.Fleet
	epoch clock.Instant
	// unknown is reported work at endpoints that this VM does not know yet.
	unknown map[traffic.EndpointID]*peerWork
	// remoteReportsDelayed is set if VMs of other data centres report their work with a delay.
	remoteReportsDelayed bool
	// localAtReport is, for each other data centre, the mean work of the local engines at the
	// time of its last report.
	localAtReport map[string]map[pool]int64
}

func newTable(dataCentre string, drainTime time.Duration, random *rand.Rand) *table {
	return &table{
		dataCentre:    dataCentre,
		drainTime:     drainTime,
		notices:       map[traffic.EndpointID]*notice{},
		random:        random,
		states:        map[traffic.EndpointID]*endpointState{},
		byService:     map[string][]*endpointState{},
		departed:      map[traffic.EndpointID]*endpointState{},
		unknown:       map[traffic.EndpointID]*peerWork{},
		localAtReport: map[string]map[pool]int64{},
	}
}

// update replaces the endpoints and the engine parameters of their services.
func (t *table) update(now clock.Instant, eps traffic.Endpoints, services map[string]*traffic.Service) {
	previous := t.states
	t.version = eps.Version
	t.states = make(map[traffic.EndpointID]*endpointState, len(eps.List))
	t.byService = map[string][]*endpointState{}
	for _, e := range eps.List {
		s := previous[e.ID]
		if s == nil {
			s = t.departed[e.ID]
			delete(t.departed, e.ID)
		}
		if s == nil {
			s = &endpointState{prefillRate: initialPrefillRate}
			if w := t.unknown[e.ID]; w != nil {
				s.peers = *w
			}
			delete(t.unknown, e.ID)
		}
		if s.Stage != e.Stage {
			s.closedUntil, s.refusals = 0, 0
		}
		s.Endpoint = e
		s.notice = t.notices[e.ID]
		s.engine = nil
		if svc := services[e.Service]; svc != nil {
			s.engine = svc.Engine
		}
		t.states[e.ID] = s
		t.byService[e.Service] = append(t.byService[e.Service], s)
	}
	for id, s := range previous {
		if t.states[id] == nil && s.own.Calls > 0 {
			t.departed[id] = s
		}
	}
	t.forgetNotices(now)
}

// maxUnknown is the maximum number of unknown endpoints whose reported work is kept.
const maxUnknown = 256

// updateWork applies a report of another VM's work at an endpoint, unless a newer one was applied
// before.
func (t *table) updateWork(vm ident.VM, seq uint64, id traffic.EndpointID, w Work) {
	if s := t.states[id]; s != nil {
		s.peers.update(vm, workReport{seq: seq, work: w})
		return
	}
	unknown := t.unknown[id]
	if unknown == nil {
		if len(t.unknown) >= maxUnknown || w.Calls == 0 {
			return
		}
		unknown = &peerWork{}
		t.unknown[id] = unknown
	}
	unknown.update(vm, workReport{seq: seq, work: w})
}

// replaceWork applies a report of all work of another VM. The VM has no work at endpoints that
// are not listed.
func (t *table) replaceWork(vm ident.VM, seq uint64, all map[traffic.EndpointID]Work) {
	for id, s := range t.states {
		if _, listed := all[id]; !listed && s.peers.byVM[vm].work.Calls > 0 {
			s.peers.update(vm, workReport{seq: seq})
		}
	}
	for id, w := range all {
		t.updateWork(vm, seq, id, w)
	}
}

// dataCentreVM returns a pseudo VM that represents all VMs of a data centre that reports totals.
func dataCentreVM(name string) ident.VM { return ident.VM{Name: "data centre " + name} }

// replaceDataCentreWork applies a report of the total work of the VMs of another data centre.
func (t *table) replaceDataCentreWork(name string, seq uint64, all map[traffic.EndpointID]Work) {
	t.replaceWork(dataCentreVM(name), seq, all)
	local := map[pool]int64{}
	for service := range t.byService {
		for _, stage := range []traffic.Stage{traffic.Prefill, traffic.Decode} {
			local[pool{service, stage}] = t.localMean(service, stage)
		}
	}
	t.localAtReport[name] = local
}

// reportsDelayed reports whether an engine is in another data centre whose VMs report their work
// with a delay.
func (t *table) reportsDelayed(s *endpointState) bool {
	return t.remoteReportsDelayed && s.engine != nil && s.DataCentre != t.dataCentre
}

// localMean returns the mean work of the engines of this data centre, in tokens.
func (t *table) localMean(service string, stage traffic.Stage) int64 {
	sum, n := int64(0), int64(0)
	for _, s := range t.byService[service] {
		if s.engine != nil && s.Stage == stage && s.DataCentre == t.dataCentre && !s.Leaving {
			sum += s.totalWork().Tokens
			n++
		}
	}
	return sum / max(1, n)
}

// estimateUnreported estimates the work that was assigned to an engine of another data centre
// since that data centre's last report. It assumes that the engine received as much as the local
// engines did on average; localMean is their current mean work.
func (t *table) estimateUnreported(s *endpointState, localMean int64) int64 {
	if !t.reportsDelayed(s) {
		return 0
	}
	return max(0, localMean-t.localAtReport[s.DataCentre][pool{s.Service, s.Stage}])
}

// combinedWork returns the total work of this VM and others at engines, except those of one data
// centre.
func (t *table) combinedWork(others []ident.VM, except string) map[traffic.EndpointID]Work {
	out := map[traffic.EndpointID]Work{}
	for id, s := range t.states {
		if s.engine == nil || s.DataCentre == except {
			continue
		}
		w := s.own
		for _, vm := range others {
			w = w.plus(s.peers.byVM[vm].work)
		}
		if w.Calls > 0 {
			out[id] = w
		}
	}
	return out
}

// removeVM removes the work of a VM that is gone.
func (t *table) removeVM(vm ident.VM) {
	for _, s := range t.states {
		s.peers.remove(vm)
	}
	for id, w := range t.unknown {
		if w.remove(vm); len(w.byVM) == 0 {
			delete(t.unknown, id)
		}
	}
}

// Request describes the endpoint that a call needs.
type Request struct {
	Service string
	Stage   traffic.Stage
	// Tokens is nil for calls without token counts.
	Tokens *traffic.Tokens
	// PreferredDataCentre is the preferred data centre. If it is empty, this VM's data centre is
	// preferred.
	PreferredDataCentre string
	// Unsent lists endpoints to which this VM got no connection for the call. They are chosen again only if another VM
	// reaches them.
	Unsent []traffic.EndpointID
	// Exclude lists endpoints that must not be chosen, because they were tried before.
	Exclude []traffic.EndpointID
	// NotRetryable is set if the call cannot be retried after a failure of the endpoint.
	NotRetryable bool
	// SkipQueue is set if the call is placed before queued ones, because its prompt has been
	// prefilled and is kept for a short time only.
	SkipQueue bool
	// Version is the software version that the endpoint must have, nil for any.
	Version *string
	// MaxPrefillTime is the maximum predicted prefill time, including the prompts that the engine
	// has queued; 0 means no maximum. An idle engine is accepted in any case.
	MaxPrefillTime time.Duration
}

// awaitsVMs reports whether other VMs may say soon that they reach endpoints for a request.
func (t *table) awaitsVMs(now clock.Instant, req *Request) bool {
	return slices.ContainsFunc(t.byService[req.Service], func(s *endpointState) bool {
		return s.Stage == req.Stage && s.staying() && req.accepts(s.SoftwareVersion) && !req.excludes(s.ID) && s.path.awaiting(now)
	})
}

// accepts reports whether an endpoint of a software version can serve the request.
func (req *Request) accepts(version string) bool {
	return req.Version == nil || *req.Version == version
}

// hasVersion reports whether an endpoint of the version that a request needs is listed and stays.
func (t *table) hasVersion(req *Request) bool {
	return slices.ContainsFunc(t.byService[req.Service], func(s *endpointState) bool {
		return s.Stage == req.Stage && s.staying() && req.accepts(s.SoftwareVersion)
	})
}

func (req *Request) excludes(id traffic.EndpointID) bool { return slices.Contains(req.Exclude, id) }

// work returns the work that the call will add to the endpoint.
func (req *Request) work() Work {
	w := Work{Calls: 1}
	if req.Tokens == nil {
		return w
	}
	switch req.Stage {
	case traffic.Prefill:
		w.Tokens = req.Tokens.Prompt
	default:
		w.Tokens = decodeMemory(*req.Tokens)
	}
	return w
}

// Choice is a chosen endpoint with the values that led to the choice.
type Choice struct {
	Endpoint traffic.Endpoint
	// Via is the VM through which the call is to be sent, nil for directly.
	Via *traffic.Via
	// ExpectedPrefill is the predicted time until the prompt is prefilled, 0 in other stages.
	ExpectedPrefill time.Duration
	// Score is the predicted cost of the choice. Candidates is the number of endpoints compared.
	Score      time.Duration
	Candidates int
	// TableVersion is the version of the endpoint table that was used.
	TableVersion uint64
	// EndpointWork is the work of all VMs at the endpoint before this call.
	EndpointWork Work
	// Ejected is set if all usable endpoints were ejected and one of them is tried nevertheless.
	Ejected bool
}

// candidates are the endpoints of a service and stage, by what keeps them from being used.
type candidates struct {
	// usable endpoints have capacity, healthy ones are not ejected besides. lastResort holds leaving ones that
	// may be used if there is no other one.
	usable, healthy, lastResort []*endpointState
	// full is set if some endpoints have no capacity, leaving if some are leaving.
	full, leaving bool
	// heldUntil is the earliest time at which a held-back endpoint takes a call: the end of its pause, or the next
	// permit of its rate limit. It is 0 if there is no such endpoint. rateLimited is set if a limit is among them.
	heldUntil   clock.Instant
	rateLimited bool
}

func (c *candidates) holdUntil(at clock.Instant) {
	if c.heldUntil == 0 || at.Before(c.heldUntil) {
		c.heldUntil = at
	}
}

// add adds an endpoint that has the service and stage.
func (c *candidates) add(now clock.Instant, t *table, s *endpointState, req *Request) {
	switch {
	case s.Leaving:
		c.leaving = true
	case s.notice.paused(now):
		c.holdUntil(s.notice.heldUntil)
	case !s.notice.hasPermit(now):
		c.rateLimited = true
		c.holdUntil(s.notice.share.NextAt(now))
	case s.notice.reopening(now) && s.notice.probing, !t.hasCapacity(now, s, req):
		c.full = true
	case s.notice.saysLeaving():
		c.leaving = true
		if s.notice.lastResort(now, t.drainTime) {
			c.lastResort = append(c.lastResort, s)
		}
	default:
		c.usable = append(c.usable, s)
		if !s.health.ejected(now) && (!s.path.lost || s.path.forwards()) {
			c.healthy = append(c.healthy, s)
		}
	}
}

// none returns the error if no endpoint can be used.
func (c *candidates) none(now clock.Instant) error {
	switch {
	case c.full:
		return errAllFull
	case len(c.usable) > 0: // all of them are ejected
		return errNoEndpoint
	case c.rateLimited:
		return allRateLimited(c.heldUntil.Sub(now))
	case c.heldUntil > 0:
		return allPaused(c.heldUntil.Sub(now))
	case c.leaving:
		return allLeaving()
	}
	return errNoEndpoint
}

// choose filters and scores the endpoints and picks one. Its errors are those of Place.
func (t *table) choose(now clock.Instant, req *Request) (*endpointState, Choice, error) {
	var c candidates
	localMean := t.localMean(req.Service, req.Stage)
	for _, s := range t.byService[req.Service] {
		if s.Stage != req.Stage || req.excludes(s.ID) || slices.Contains(req.Unsent, s.ID) && !s.path.forwards() || !req.accepts(s.SoftwareVersion) {
			continue
		}
		s.unreportedTokens = t.estimateUnreported(s, localMean)
		c.add(now, t, s, req)
	}
	from, ejected := c.healthy, false
	if len(from) == 0 && t.awaitsVMs(now, req) {
		return nil, Choice{}, errAwaitingVMs
	}
	if len(from) == 0 && !c.full {
		from = probeable(c.usable)
		ejected = len(from) > 0
	}
	if len(from) == 0 && !c.full && len(c.usable) == 0 {
		from = c.lastResort
	}
	if len(from) == 0 && req.Version != nil && !t.hasVersion(req) {
		return nil, Choice{}, errVersionGone
	}
	if len(from) == 0 {
		return nil, Choice{}, c.none(now)
	}
	best, score := t.pick(now, from, req)
	choice := Choice{
		Via: best.path.pick(t.random), Endpoint: best.Endpoint, Score: score, Candidates: len(from), TableVersion: t.version, EndpointWork: best.totalWork(), Ejected: ejected,
	}
	if req.Stage == traffic.Prefill && req.Tokens != nil {
		choice.ExpectedPrefill = t.expectedPrefill(now, best, req.Tokens.Prompt)
	}
	return best, choice, nil
}

// probeable returns the endpoints that may be tried although they are ejected: those without a call of
// this VM. One call at a time finds out whether an endpoint is back; the others would only wait for
// their timeouts.
func probeable(ejected []*endpointState) []*endpointState {
	var out []*endpointState
	for _, s := range ejected {
		if s.own.Calls == 0 {
			out = append(out, s)
		}
	}
	return out
}

// remoteScoreSpread is the score difference up to which endpoints of other data centres count as
// equal to the cheapest one. VMs of all data centres have the same information about them and
// would otherwise all choose the same one.
const remoteScoreSpread = 150 * time.Millisecond

// pick returns the cheapest endpoint, a random one if several are equal. If the cheapest one is in
// another data centre with delayed reports, any such endpoint within remoteScoreSpread is equal.
func (t *table) pick(now clock.Instant, from []*endpointState, req *Request) (*endpointState, time.Duration) {
	scores := make([]time.Duration, len(from))
	best := 0
	for i, s := range from {
		if scores[i] = t.score(now, s, req); scores[i] < scores[best] {
			best = i
		}
	}
	delayed := t.reportsDelayed(from[best])
	picked, equals := best, 0
	for i, s := range from {
		equal := scores[i] == scores[best]
		if delayed && t.reportsDelayed(s) {
			equal = scores[i] <= scores[best]+remoteScoreSpread
		}
		if !equal {
			continue
		}
		if equals++; t.random.IntN(equals) == 0 {
			picked = i
		}
	}
	return from[picked], scores[picked]
}
