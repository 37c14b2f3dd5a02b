package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/ratelimit"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// table holds the endpoints and their state, and selects among them. It does no I/O.
type table struct {
	dataCentre string
	// random draws from randomSource.
	random       *rand.Rand
	randomSource *rand.PCG
	version      uint64
	states       map[traffic.EndpointID]*endpointState
	byService    map[string][]*endpointState
	// departed holds the endpoints that are not listed any more and still have calls of this VM.
	departed map[traffic.EndpointID]*endpointState
	// drainTime is how long endpoints that leave take calls.
	drainTime time.Duration
	notices   map[traffic.EndpointID]*notice
	cold      coldTable
	prefixes  prefixTable
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
	placement
	// decodeTimes are the measured times of decode engines, by service.
	decodeTimes map[string]*decodeTimes
	paceBudget  paceBudget
	// leftOut is the probability with which the last choice left out the delay of a slow endpoint.
	leftOut float64
}

func newTable(dataCentre string, drainTime time.Duration, source *rand.PCG) *table {
	return &table{
		dataCentre:    dataCentre,
		drainTime:     drainTime,
		notices:       map[traffic.EndpointID]*notice{},
		random:        rand.New(source),
		randomSource:  source,
		states:        map[traffic.EndpointID]*endpointState{},
		byService:     map[string][]*endpointState{},
		departed:      map[traffic.EndpointID]*endpointState{},
		unknown:       map[traffic.EndpointID]*peerWork{},
		localAtReport: map[string]map[pool]int64{},
		decodeTimes:   map[string]*decodeTimes{},
	}
}

// update replaces the endpoints and the engine parameters of their services.
func (t *table) update(now clock.Instant, eps traffic.Endpoints, services map[string]*traffic.Service) {
	previous := t.states
	t.version = eps.Version
	lifted := t.setEvacuated(eps.Evacuated)
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
			t.forgetHeld(s)
		}
		s.Endpoint = e
		s.notice = t.notices[e.ID]
		s.engine = nil
		s.cold = t.updateCold(now, e, services[e.Service], eps.Era)
		if svc := services[e.Service]; svc != nil {
			s.engine = svc.Engine
		}
		t.states[e.ID] = s
		t.byService[e.Service] = append(t.byService[e.Service], s)
	}
	for id, s := range previous {
		if t.states[id] != nil {
			continue
		}
		t.forgetHeld(s)
		if s.own.Calls > 0 {
			t.departed[id] = s
		}
	}
	for _, dataCentre := range lifted {
		t.markDataCentreCold(now, dataCentre)
	}
	t.forgetNotices(now)
	t.forgetCold(now)
	t.cold.firstStart = t.cold.firstStart && eps.Version == 0
}

// maxUnknown is the maximum number of unknown endpoints whose reported work is kept.
const maxUnknown = 256

// updateWork applies a report of another VM's work at an endpoint, unless a newer one was applied
// before.
func (t *table) updateWork(vm ident.VM, seq uint64, id traffic.EndpointID, w Work) {
	if s := t.states[id]; s != nil {
		before := s.peers.total.Tokens
		s.peers.update(vm, workReport{seq: seq, work: w})
		s.cached.Take(s.peers.total.Tokens - before)
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

// removeVM removes the work of a VM that is gone, and the paths through it.
func (t *table) removeVM(vm ident.VM) {
	for _, s := range t.states {
		s.peers.remove(vm)
		s.path.remove(vm.Name)
	}
	for id, w := range t.unknown {
		if w.remove(vm); len(w.byVM) == 0 {
			delete(t.unknown, id)
		}
	}
}
