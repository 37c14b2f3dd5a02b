package schedule

import (
	"errors"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// placement is what restricts the data centres to which requests are sent.
type placement struct {
	// evacuated are the data centres to whose endpoints nothing is sent.
	evacuated map[string]bool
	// regions are the regions of data centres.
	regions map[string]string
}

// setEvacuated replaces the evacuated data centres, and returns those whose evacuation was lifted.
func (p *placement) setEvacuated(names []string) (lifted []string) {
	previous := p.evacuated
	p.evacuated = make(map[string]bool, len(names))
	for _, name := range names {
		p.evacuated[name] = true
	}
	for name := range previous {
		if !p.evacuated[name] {
			lifted = append(lifted, name)
		}
	}
	return lifted
}

// inRegions reports whether a data centre is in one of the given regions. nil means any region; if the list is empty but
// not nil, no region is left.
func (p *placement) inRegions(regions []string, dataCentre string) bool {
	if regions == nil {
		return true
	}
	region, known := p.regions[dataCentre]
	return known && slices.Contains(regions, region)
}

// open reports whether requests for the given regions may be sent to an endpoint as far as its data centre is concerned.
func (p *placement) open(e *endpointState, regions []string) bool {
	return !p.evacuated[e.DataCentre] && p.inRegions(regions, e.DataCentre)
}

// mayConnect reports whether a connection may be made to an endpoint to examine it.
func (p *placement) mayConnect(e *endpointState) bool {
	return e.staying() && !p.evacuated[e.DataCentre]
}

// evacuates reports whether an endpoint is in an evacuated data centre.
func (t *table) evacuates(id traffic.EndpointID) bool {
	e := t.states[id]
	if e == nil {
		e = t.departed[id]
	}
	return e != nil && t.evacuated[e.DataCentre]
}

// viaIn returns the VMs of the given regions that reach an endpoint to which this VM has lost its path.
func (p *placement) viaIn(e *endpointState, regions []string) []traffic.Via {
	if !e.path.lost || regions == nil {
		return e.path.via
	}
	return slices.DeleteFunc(slices.Clone(e.path.via), func(v traffic.Via) bool { return !p.inRegions(regions, v.DataCentre) })
}

// forwards reports whether a request reaches an endpoint through another VM of its regions.
func (t *table) forwards(e *endpointState, req *Request) bool {
	return e.path.forwards() && len(t.viaIn(e, req.Regions)) > 0
}

// via returns one of the nearest VMs of the given regions that reach an endpoint, nil if this VM has a path of its own or
// there is none.
func (t *table) via(e *endpointState, regions []string) *traffic.Via {
	if !e.path.forwards() {
		return nil
	}
	return pickNearest(t.viaIn(e, regions), t.random)
}

// listsRegions reports whether an endpoint of the service and stage of a request is listed in its regions.
func (t *table) listsRegions(req *Request) bool {
	return req.Regions == nil || slices.ContainsFunc(t.byService[req.Service], func(e *endpointState) bool {
		return e.Stage == req.Stage && t.inRegions(req.Regions, e.DataCentre)
	})
}

// SetRegions sets the regions of data centres.
func (s *Scheduler) SetRegions(byDataCentre map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.regions = byDataCentre
}

// Evacuated reports whether nothing is to be sent to the endpoints of a data centre.
func (s *Scheduler) Evacuated(dataCentre string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.evacuated[dataCentre]
}

// EvacuatedDataCentres returns the number of evacuated data centres.
func (s *Scheduler) EvacuatedDataCentres() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.table.evacuated)
}

// evacuatedRetryAfter is the retry time if all endpoints are in evacuated data centres. An evacuation lasts for minutes
// rather than milliseconds, and the callers that are sent away should not come back all the time.
const evacuatedRetryAfter = 2 * time.Second

// Causes of errors of Place that waiting does not mend.
var (
	errAllEvacuated   = errors.New("all endpoints are in evacuated data centres")
	errOutsideRegions = errors.New("no endpoint is in the home regions of the call")
)

func allEvacuated() error {
	return fault.Wrap(errAllEvacuated, fault.Unavailable, "retry after the stated time; operators: start endpoints in other data centres or lift the evacuation",
		"the service takes no calls", fault.WithRetryAfter(evacuatedRetryAfter))
}

func outsideRegions() error {
	return fault.Wrap(errOutsideRegions, fault.Unavailable, "retry after the stated time; operators: start endpoints in the home regions of the call",
		"the service takes no calls of these home regions", fault.WithRetryAfter(evacuatedRetryAfter))
}
