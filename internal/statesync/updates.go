package statesync

import (
	"context"
	"net/netip"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// sendUpdates sends changes of this VM's work and counters, failures and rate limits of endpoints, news about prompts
// that crash engines, and origins of streams, until ctx ends.
func (s *Service) sendUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.failures:
			broadcast(s, peer.KindEndpointFailure, &f.failure, s.members.placesAt(f.dataCentre))
		case l := <-s.limits:
			broadcast(s, peer.KindEndpointLimit, &l.endpointLimit, s.members.placesAt(l.dataCentre))
		case q := <-s.quarantine:
			broadcast(s, peer.KindQuarantine, &q, allPeers)
		case list := <-s.origins:
			s.sendOrigins(list)
		case <-s.wakeup:
			time.Sleep(batchDelay)
			for _, u := range s.takeUpdates() {
				s.addPaces(u.Work)
				sendTo(s, peer.KindWork, &u.update, u.to)
			}
		}
	}
}

// addressedUpdate is an update with its receivers.
type addressedUpdate struct {
	update
	to []netip.AddrPort
}

// takeUpdates removes the pending changes and returns the updates to send. In a small fleet that is one
// for all VMs. In a large one, the VMs of each other data centre are told of the work of this VM at the
// endpoints of that data centre, because they place work there as well.
func (s *Service) takeUpdates() []addressedUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	grown, shrunk := s.changes.take()
	direct := s.members.addresses(s.members.isDirect)
	out := s.directUpdates(grown, shrunk, direct, s.members.subsets())
	if !s.members.large() {
		return out
	}
	for dataCentre := range grown {
		out = s.appendRemote(out, dataCentre, grown[dataCentre], shrunk[dataCentre])
	}
	for dataCentre := range shrunk {
		if grown[dataCentre] == nil {
			out = s.appendRemote(out, dataCentre, nil, shrunk[dataCentre])
		}
	}
	return out
}

type workByDataCentre = map[string]map[traffic.EndpointID]schedule.Work

// directUpdates returns the updates for the direct peers. If they are divided into subsets, all of them
// are told of grown work, with the counters, and one subset of shrunk work.
func (s *Service) directUpdates(grown, shrunk workByDataCentre, direct []netip.AddrPort, parts int) []addressedUpdate {
	all, released := flatWorkList(grown), flatWork(shrunk)
	if parts == 1 {
		all, released = append(all, workList(released)...), nil
	}
	var out []addressedUpdate
	if len(all) > 0 || parts == 1 || s.rankNewsDue || hasUrgent(s.counters) {
		s.rankNewsDue = false
		out = append(out, addressedUpdate{s.newUpdate(all, counterList(s.counters)), direct})
		clear(s.counters)
	}
	vms := append([]netip.AddrPort{s.opts.Self.Address}, direct...)
	for i, work := range bySubset(released, parts) {
		out = append(out, addressedUpdate{s.newUpdate(workList(work), nil), subset(vms, i, parts, s.opts.Self.Address)})
	}
	return out
}

// appendRemote appends the updates for the VMs of another data centre to out.
func (s *Service) appendRemote(out []addressedUpdate, dataCentre string, grown, shrunk map[traffic.EndpointID]schedule.Work) []addressedUpdate {
	if dataCentre == s.opts.Self.DataCentre {
		return out
	}
	s.remoteRepeats[dataCentre] = emptyRepeats
	vms := s.members.addresses(s.members.remoteIn(dataCentre))
	if len(grown) > 0 {
		out = append(out, addressedUpdate{s.newUpdate(workList(grown), nil), vms})
	}
	parts := subsets(len(vms))
	for i, work := range bySubset(shrunk, parts) {
		out = append(out, addressedUpdate{s.newUpdate(workList(work), nil), subset(vms, i, parts, s.opts.Self.Address)})
	}
	return out
}

func (s *Service) newUpdate(work []endpointWork, counters []counter) update {
	return update{From: s.opts.Self.Address, Seq: s.seq, Work: work, Counters: counters}
}

// hasUrgent reports whether counters include one that does not wait for the next update of work.
func hasUrgent(counters map[admission.CounterKey]int64) bool {
	for key := range counters {
		if key.Kind == admission.ServiceRetries {
			return true
		}
	}
	return false
}

// flatWork returns the work on the endpoints of all data centres.
func flatWork(byDataCentre workByDataCentre) map[traffic.EndpointID]schedule.Work {
	out := map[traffic.EndpointID]schedule.Work{}
	for _, work := range byDataCentre {
		for id, w := range work {
			out[id] = w
		}
	}
	return out
}
