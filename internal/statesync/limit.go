package statesync

import (
	"context"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// addressedLimit is a limit to tell, with the data centre of its endpoint.
type addressedLimit struct {
	endpointLimit
	dataCentre string
}

// LimitChanged reports a changed rate limit of an endpoint to the VMs that place work there.
func (s *Service) LimitChanged(id traffic.EndpointID, dataCentre string, l schedule.Limit) {
	select {
	case s.limits <- addressedLimit{newEndpointLimit(id, l), dataCentre}:
	default:
	}
}

func newEndpointLimit(id traffic.EndpointID, l schedule.Limit) endpointLimit {
	return endpointLimit{Name: id.Name, StartedAt: id.StartedAt, Limit: l}
}

func limitList(limits map[traffic.EndpointID]schedule.Limit) []endpointLimit {
	var out []endpointLimit
	for id, l := range limits {
		out = append(out, newEndpointLimit(id, l))
	}
	return out
}

func (s *Service) onLimit(_ context.Context, _ ident.VM, m *endpointLimit) { s.recordLimit(m) }

func (s *Service) recordLimit(m *endpointLimit) {
	s.opts.Work.RecordPeerLimit(traffic.EndpointID{Name: m.Name, StartedAt: m.StartedAt}, m.Limit)
}
