package statesync

import (
	"net/netip"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// SendHeartbeat sends a heartbeat immediately, to announce the versions and age of the documents.
func (s *Service) SendHeartbeat() { s.sendHeartbeat() }

// sendHeartbeat sends a heartbeat to the direct peers, or to all VMs when this one is leaving.
func (s *Service) sendHeartbeat() {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	hb := heartbeat{
		From: s.opts.Self, Leaving: s.leaving,
		Full: s.leaving || s.lastFull == 0 || now.Sub(s.lastFull) >= fullHeartbeatPeriod,
	}
	if hb.Full {
		s.lastFull = now
	}
	s.mu.Unlock()
	hb.setFreshness(s.opts.Documents.Freshness())
	hb.Quarantine = s.opts.Quarantine.Fingerprint()
	if hb.Full {
		seq, work := s.opts.Work.OwnWork()
		hb.Seq, hb.Work, hb.Counters = seq, flatWorkList(work), counterList(s.opts.Plans.OwnTotals())
		s.addPaces(hb.Work)
		hb.Limits = limitList(s.opts.Work.Limits())
		if s.remoteRepeatDue(now) {
			s.repeatRemoteWork(seq, work)
		}
	}
	to := s.members.isDirect
	if hb.Leaving {
		to = allPeers
	}
	broadcast(s, peer.KindHeartbeat, &hb, to)
}

// greet sends VMs that are not members a heartbeat, to which a live one responds with its own.
func (s *Service) greet(vms []Member) {
	hb := heartbeat{From: s.opts.Self, Quarantine: s.opts.Quarantine.Fingerprint()}
	hb.setFreshness(s.opts.Documents.Freshness())
	var to []netip.AddrPort
	for _, m := range vms {
		to = append(to, m.Address)
	}
	sendTo(s, peer.KindHeartbeat, &hb, to)
}

// remoteRepeatDue reports whether the work at endpoints of other data centres is to be repeated now.
func (s *Service) remoteRepeatDue(now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastRemoteRepeat) < remoteRepeatPeriod {
		return false
	}
	s.lastRemoteRepeat = now
	return true
}

// repeatRemoteWork sends each other data centre all the work that this VM has there. A data centre
// without any is sent emptyRepeats empty snapshots, and then nothing until work changes there again.
func (s *Service) repeatRemoteWork(seq uint64, work map[string]map[traffic.EndpointID]schedule.Work) {
	s.mu.Lock()
	var to []string
	for dataCentre := range s.remoteRepeats {
		to = append(to, dataCentre)
		if len(work[dataCentre]) > 0 {
			continue
		}
		if s.remoteRepeats[dataCentre]--; s.remoteRepeats[dataCentre] <= 0 {
			delete(s.remoteRepeats, dataCentre)
		}
	}
	s.mu.Unlock()
	for _, dataCentre := range to {
		m := update{From: s.opts.Self.Address, Seq: seq, Work: workList(work[dataCentre]), Snapshot: true}
		s.addPaces(m.Work)
		broadcast(s, peer.KindWork, &m, s.members.remoteIn(dataCentre))
	}
}

// flatWorkList returns the work on the endpoints of all data centres as one list.
func flatWorkList(byDataCentre map[string]map[traffic.EndpointID]schedule.Work) []endpointWork {
	var out []endpointWork
	for _, work := range byDataCentre {
		out = append(out, workList(work)...)
	}
	return out
}

func workList(work map[traffic.EndpointID]schedule.Work) []endpointWork {
	var out []endpointWork
	for id, w := range work {
		out = append(out, endpointWork{Name: id.Name, StartedAt: id.StartedAt, Work: w})
	}
	return out
}

func counterList(totals map[admission.CounterKey]int64) []counter {
	var out []counter
	for key, n := range totals {
		out = append(out, counter{Kind: key.Kind, Name: key.Name, Total: n})
	}
	return out
}

func usageList(used map[string]int64) []usage {
	var out []usage
	for name, tokens := range used {
		out = append(out, usage{Workspace: name, Tokens: tokens})
	}
	return out
}

func allPeers(*peerState) bool { return true }

// broadcast queues a message for the known VMs for which match returns true.
func broadcast[Msg any](s *Service, kind peer.Kind, msg *Msg, match func(*peerState) bool) {
	s.mu.Lock()
	addresses := s.members.addresses(match)
	s.mu.Unlock()
	sendTo(s, kind, msg, addresses)
}

func sendTo[Msg any](s *Service, kind peer.Kind, msg *Msg, to []netip.AddrPort) {
	message, err := peer.NewBroadcast(kind, msg)
	if err != nil {
		s.opts.Log.Error("could not encode message to other vms", zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	for _, addr := range to {
		q := s.queueTo(addr)
		if q.idle() && s.opts.Transport.TrySendBroadcast(addr, message) {
			continue
		}
		q.push(message)
	}
}
