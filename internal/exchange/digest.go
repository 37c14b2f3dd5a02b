package exchange

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// sendsDigests reports whether this VM tells other data centres about its own.
func (r *roster) sendsDigests() bool { return r.large() && r.rank() < digestSenders }

// together gives the VMs of this data centre that are heard, without this one.
func (r *roster) together() []Member {
	var out []Member
	for _, p := range r.peers {
		if !p.silent && r.near(p) {
			out = append(out, p.member)
		}
	}
	return out
}

// unheard gives the other data centres of which no VM is heard.
func (r *roster) unheard() []string {
	heard := map[string]bool{r.self.DataCentre: true}
	for _, p := range r.peers {
		heard[p.member.DataCentre] = heard[p.member.DataCentre] || !p.silent
	}
	var out []string
	for dataCentre, any := range heard {
		if !any {
			out = append(out, dataCentre)
		}
	}
	return out
}

// receivers gives one VM of each other data centre, another one at each turn, so that one that
// cannot be reached costs a digest at most now and then. VMs that are not heard are taken where
// a data centre has no others.
func (r *roster) receivers(turn int) map[string]netip.AddrPort {
	heard, all := map[string][]netip.AddrPort{}, map[string][]netip.AddrPort{}
	for addr, p := range r.peers {
		if r.near(p) {
			continue
		}
		all[p.member.DataCentre] = append(all[p.member.DataCentre], addr)
		if !p.silent {
			heard[p.member.DataCentre] = append(heard[p.member.DataCentre], addr)
		}
	}
	out := map[string]netip.AddrPort{}
	for dataCentre, from := range all {
		if len(heard[dataCentre]) > 0 {
			from = heard[dataCentre]
		}
		slices.SortFunc(from, netip.AddrPort.Compare)
		out[dataCentre] = from[turn%len(from)]
	}
	return out
}

// digestLoop tells the other data centres about this one while it is this VM's turn to.
func (s *Service) digestLoop(ctx context.Context) {
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(digestPeriod):
		}
		s.mu.Lock()
		due := s.roster.sendsDigests() && !s.leaving
		receivers := s.roster.receivers(turn)
		s.mu.Unlock()
		if !due {
			continue
		}
		for dataCentre, to := range receivers {
			d := s.makeDigest(dataCentre)
			sendTo(s, peer.KindDigest, &d, []netip.AddrPort{to})
		}
	}
}

func (s *Service) makeDigest(to string) digest {
	s.mu.Lock()
	members := s.roster.together()
	s.mu.Unlock()
	vms := make([]ident.VM, 0, len(members))
	for _, m := range members {
		vms = append(vms, m.VM)
	}
	used, _ := s.opts.Plans.WindowUsage()
	return digest{
		From: s.opts.Self, HandOn: true, Members: append(members, s.opts.Self),
		Work: endpointWorks(s.opts.Work.CombinedWork(vms, to)), Used: uses(used),
		Versions: s.opts.Documents.Versions(), Age: s.opts.Documents.Age(),
	}
}

// handOnPause is left between the sends of a digest that is handed on, as the link of a small
// VM takes milliseconds for each.
const handOnPause = 8 * time.Millisecond

// onDigest takes over what another data centre's VMs hold and admitted.
func (s *Service) onDigest(ctx context.Context, _ ident.VM, d *digest) (*nothing, error) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	large := s.roster.large()
	s.digests++
	seq := s.digests
	s.mu.Unlock()
	for _, m := range d.Members {
		m.DataCentre = d.From.DataCentre
		s.noteBeat(&beat{From: m})
	}
	if !large {
		return nil, nil // its VMs tell everything themselves
	}
	s.opts.Plans.SetDataCentreUsage(d.From.DataCentre, byWorkspace(d.Used))
	s.opts.Work.ReplaceDataCentreWork(d.From.DataCentre, seq, byEndpoint(d.Work))
	s.opts.Log.Debug("digest heard", zap.String("data_centre", d.From.DataCentre), zap.Stringer("vm", d.From.VM),
		zap.Int("vms", len(d.Members)), zap.Int("endpoints", len(d.Work)), zap.Duration("took", s.opts.Clock.Now().Sub(now)))
	if d.HandOn {
		s.compare(d.From, d.Versions, d.Age)
		s.handOn(ctx, d)
	}
	return nil, nil
}

// handOn gives a digest to the other VMs of this data centre.
func (s *Service) handOn(ctx context.Context, d *digest) {
	on := digest{From: d.From, Members: d.Members, Work: d.Work, Used: d.Used}
	s.mu.Lock()
	to := s.roster.addresses(s.roster.near)
	s.mu.Unlock()
	for _, addr := range to {
		sendTo(s, peer.KindDigest, &on, []netip.AddrPort{addr})
		select {
		case <-ctx.Done():
			return
		case <-time.After(handOnPause):
		}
	}
}

// forgetUnheard drops what data centres told that are not heard any more.
func (s *Service) forgetUnheard() {
	s.mu.Lock()
	unheard := s.roster.unheard()
	s.mu.Unlock()
	for _, dataCentre := range unheard {
		s.opts.Work.ForgetDataCentre(dataCentre)
	}
}
