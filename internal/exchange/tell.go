package exchange

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Tell sends a heartbeat at once, so that the others learn how new the documents are.
func (s *Service) Tell() { s.beat() }

// beat sends a heartbeat to the VMs that are told everything; to all, when this VM leaves.
func (s *Service) beat() {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	b := beat{From: s.opts.Self, Leaving: s.leaving, Full: s.leaving || s.fullAt == 0 || now.Sub(s.fullAt) >= fullPeriod}
	if b.Full {
		s.fullAt = now
	}
	s.mu.Unlock()
	b.Versions, b.Age = s.opts.Documents.Versions(), s.opts.Documents.Age()
	if b.Full {
		seq, held := s.opts.Work.Held()
		used, whole := s.opts.Plans.Window()
		b.Seq, b.Work, b.Counts, b.Window, b.Whole = seq, allWorks(held), counts(s.opts.Plans.Own()), uses(used), whole
		s.repeatFar(seq, held)
	}
	to := s.roster.near
	if b.Leaving {
		to = everyone
	}
	broadcast(s, peer.KindHeartbeat, &b, to)
}

func (s *Service) tellChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.failures:
			broadcast(s, peer.KindEndpointFailure, &f, everyone)
		case <-s.changed:
			time.Sleep(gatherTime)
			near, far := s.takeChanges()
			broadcast(s, peer.KindWork, &near, s.roster.near)
			for dataCentre, m := range far {
				broadcast(s, peer.KindWork, m, s.roster.farIn(dataCentre))
			}
		}
	}
}

// takeChanges gives what is to be told to the VMs that are told everything, and to those of each
// other data centre of a large fleet about the endpoints there, which they fill as well.
func (s *Service) takeChanges() (near changes, far map[string]*changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	near = changes{From: s.opts.Self.Address, Seq: s.seq, Work: allWorks(s.pending), Counts: counts(s.counted)}
	far = map[string]*changes{}
	if s.roster.large() {
		for dataCentre, work := range s.pending {
			if dataCentre != s.opts.Self.DataCentre {
				far[dataCentre] = &changes{From: s.opts.Self.Address, Seq: s.seq, Work: endpointWorks(work)}
				s.toldFar[dataCentre] = farRepeats
			}
		}
	}
	clear(s.pending)
	clear(s.counted)
	return near, far
}

// repeatFar repeats to the VMs of other data centres all that this VM holds there, where they
// were told of something since it last held nothing.
func (s *Service) repeatFar(seq uint64, held map[string]map[traffic.EndpointID]schedule.Work) {
	s.mu.Lock()
	var to []string
	for dataCentre := range s.toldFar {
		to = append(to, dataCentre)
		if len(held[dataCentre]) > 0 {
			continue
		}
		if s.toldFar[dataCentre]--; s.toldFar[dataCentre] <= 0 {
			delete(s.toldFar, dataCentre)
		}
	}
	s.mu.Unlock()
	for _, dataCentre := range to {
		m := changes{From: s.opts.Self.Address, Seq: seq, Work: endpointWorks(held[dataCentre]), All: true}
		broadcast(s, peer.KindWork, &m, s.roster.farIn(dataCentre))
	}
}

func allWorks(byDataCentre map[string]map[traffic.EndpointID]schedule.Work) []endpointWork {
	var out []endpointWork
	for _, held := range byDataCentre {
		out = append(out, endpointWorks(held)...)
	}
	return out
}

func endpointWorks(held map[traffic.EndpointID]schedule.Work) []endpointWork {
	var out []endpointWork
	for id, w := range held {
		out = append(out, endpointWork{Name: id.Name, Born: id.Born, Work: w})
	}
	return out
}

func counts(counted map[admission.Count]int64) []count {
	var out []count
	for name, n := range counted {
		out = append(out, count{Of: name.Of, Name: name.Name, N: n})
	}
	return out
}

func uses(used map[string]int64) []use {
	var out []use
	for name, tokens := range used {
		out = append(out, use{Workspace: name, Tokens: tokens})
	}
	return out
}

func everyone(*peerState) bool { return true }

// broadcast hands a message to the lines of the known VMs that to picks.
func broadcast[Msg any](s *Service, kind peer.Kind, msg *Msg, to func(*peerState) bool) {
	s.mu.Lock()
	addresses := s.roster.addresses(to)
	s.mu.Unlock()
	sendTo(s, kind, msg, addresses)
}

func sendTo[Msg any](s *Service, kind peer.Kind, msg *Msg, to []netip.AddrPort) {
	body, err := peer.Encode(msg)
	if err != nil {
		s.opts.Log.Error("message not encoded", zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	for _, addr := range to {
		s.lineTo(addr).offer(kind, body)
	}
}
