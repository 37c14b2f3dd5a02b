package statesync

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// sendsDigests reports whether this VM sends digests of its data centre to the other ones.
func (t *memberTable) sendsDigests() bool { return t.large() && t.rank() < digestSenders }

// digestPause returns the time until this VM's next digest. In a data centre that is divided into subsets
// each digest is forwarded to many VMs, and the standby sends only every other one.
func (t *memberTable) digestPause() time.Duration {
	if t.rank() > 0 && t.subsets() > 1 {
		return 2 * digestPeriod
	}
	return digestPeriod
}

// liveDirectPeers returns the live direct peers, without this VM.
func (t *memberTable) liveDirectPeers() []Member {
	var out []Member
	for _, p := range t.peers {
		if !p.unresponsive && t.isDirect(p) {
			out = append(out, p.member)
		}
	}
	return out
}

// unreachableDataCentres returns the other data centres without a live VM.
func (t *memberTable) unreachableDataCentres() []string {
	reachable := map[string]bool{t.self.DataCentre: true}
	for _, p := range t.peers {
		reachable[p.member.DataCentre] = reachable[p.member.DataCentre] || !p.unresponsive
	}
	var out []string
	for dataCentre, live := range reachable {
		if !live {
			out = append(out, dataCentre)
		}
	}
	return out
}

// digestReceivers returns one VM of each other data centre. The choice rotates with turn, so that
// an unreachable VM costs only an occasional digest. Unresponsive VMs are used only if a data
// centre has no others.
func (t *memberTable) digestReceivers(turn int) map[string]netip.AddrPort {
	live, all := map[string][]netip.AddrPort{}, map[string][]netip.AddrPort{}
	for addr, p := range t.peers {
		if t.isDirect(p) {
			continue
		}
		all[p.member.DataCentre] = append(all[p.member.DataCentre], addr)
		if !p.unresponsive {
			live[p.member.DataCentre] = append(live[p.member.DataCentre], addr)
		}
	}
	out := map[string]netip.AddrPort{}
	for dataCentre, candidates := range all {
		if len(live[dataCentre]) > 0 {
			candidates = live[dataCentre]
		}
		slices.SortFunc(candidates, netip.AddrPort.Compare)
		out[dataCentre] = candidates[turn%len(candidates)]
	}
	return out
}

// digestLoop periodically sends digests to the other data centres while this VM is a digest sender.
func (s *Service) digestLoop(ctx context.Context) {
	for turn := 0; ; turn++ {
		s.mu.Lock()
		pause := s.members.digestPause()
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		s.mu.Lock()
		var receivers map[string]netip.AddrPort
		if s.members.sendsDigests() && !s.leaving {
			receivers = s.members.digestReceivers(turn)
		}
		s.mu.Unlock()
		for dataCentre, to := range receivers {
			d := s.newDigest(dataCentre)
			sendTo(s, peer.KindDigest, &d, []netip.AddrPort{to})
		}
	}
}

func (s *Service) newDigest(to string) digest {
	s.mu.Lock()
	members := s.members.liveDirectPeers()
	s.mu.Unlock()
	vms := make([]ident.VM, 0, len(members))
	for _, m := range members {
		vms = append(vms, m.VM)
	}
	fresh := s.opts.Documents.Freshness()
	return digest{
		From: s.opts.Self, Forward: true, Members: append(members, s.opts.Self),
		Work: workList(s.opts.Work.CombinedWork(vms, to)), Used: usageList(s.opts.Plans.WindowUsage()),
		Versions: fresh.Versions, Age: fresh.Age, Reading: fresh.Reading, Quarantine: s.opts.Quarantine.Fingerprint(),
	}
}

// A digest is forwarded to forwardBatch VMs at a time, with forwardPause between: the link of a small VM
// needs milliseconds for each copy.
const (
	forwardBatch = 4
	forwardPause = 32 * time.Millisecond
)

// onDigest records which VMs of another data centre are live and, in a large fleet, the work and
// usage of that data centre. If the digest is to be forwarded, it also requests newer documents from
// the sender and forwards the digest to the direct peers.
func (s *Service) onDigest(ctx context.Context, _ ident.VM, d *digest) (*noReply, error) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	large := s.members.large()
	s.digestSeq++
	seq := s.digestSeq
	s.mu.Unlock()
	// The VMs of a large fleet send heartbeats only within their data centre. For the VMs of other
	// data centres a digest counts as a heartbeat of each of its members.
	for _, m := range d.Members {
		m.DataCentre = d.From.DataCentre
		s.recordHeartbeat(&heartbeat{From: m})
	}
	if !large {
		return nil, nil // in a small fleet the VMs of the other data centre report directly
	}
	s.opts.Plans.SetDataCentreUsage(d.From.DataCentre, byWorkspace(d.Used))
	s.opts.Work.ReplaceDataCentreWork(d.From.DataCentre, seq, byEndpoint(d.Work))
	s.opts.Log.Debug("digest received", zap.String("data_centre", d.From.DataCentre), zap.Stringer("vm", d.From.VM),
		zap.Int("vms", len(d.Members)), zap.Int("endpoints", len(d.Work)), zap.Duration("took", s.opts.Clock.Now().Sub(now)))
	if d.Forward {
		s.requestNewer(d.From, traffic.Freshness{Versions: d.Versions, Reading: d.Reading, Age: d.Age})
		s.requestQuarantine(d.From, d.Quarantine)
		s.forwardDigest(ctx, d)
	}
	return nil, nil
}

// forwardDigest sends a digest on to the direct peers, which are the VMs of this data centre.
func (s *Service) forwardDigest(ctx context.Context, d *digest) {
	forwarded := digest{From: d.From, Members: d.Members, Work: d.Work, Used: d.Used}
	s.mu.Lock()
	to := s.members.addresses(s.members.isDirect)
	s.mu.Unlock()
	for batch := range slices.Chunk(to, forwardBatch) {
		sendTo(s, peer.KindDigest, &forwarded, batch)
		select {
		case <-ctx.Done():
			return
		case <-time.After(forwardPause):
		}
	}
}

// forgetUnreachable discards the work reported for data centres that are no longer reachable.
func (s *Service) forgetUnreachable() {
	s.mu.Lock()
	unreachable := s.members.unreachableDataCentres()
	s.mu.Unlock()
	for _, dataCentre := range unreachable {
		s.opts.Work.ForgetDataCentre(dataCentre)
	}
}
