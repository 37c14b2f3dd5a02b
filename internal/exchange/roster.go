package exchange

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
)

const (
	// silentAfter is how long a VM may give no heartbeat before it counts as unheard.
	silentAfter = 1200 * time.Millisecond
	// goneAfter is how long before it counts as gone. Until then it may be serving behind a cut,
	// and keeps its part of plans.
	goneAfter = 25 * time.Second
	// shortPeriod is the time between heartbeats to VMs that are told everything; largePeriod
	// is that in a large fleet, where changes alone are frequent signs of life.
	shortPeriod = 200 * time.Millisecond
	largePeriod = 400 * time.Millisecond
	// fullPeriod is the time between heartbeats that repeat all that a VM holds and admitted.
	fullPeriod = time.Second
	// largeFleet is the number of other VMs from which those of other data centres are told by
	// digests: otherwise messages and bytes between data centres grow with the square of the
	// fleet.
	largeFleet = 24
	// digestSenders VMs of a data centre send digests, so that the loss of one leaves no gap;
	// digestPeriod is the time between two digests of one sender to the same data centre.
	digestSenders = 2
	digestPeriod  = 800 * time.Millisecond
	// missedPeriods is the number of heartbeats after which a VM counts as unheard.
	missedPeriods = 4
)

// first reports whether no heard VM's address comes before this one's.
func (r *roster) first() bool {
	for addr, p := range r.peers {
		if !p.silent && addr.Compare(r.self.Address) < 0 {
			return false
		}
	}
	return true
}

// peerState is what is known of another VM.
type peerState struct {
	member Member
	// known is when the VM was first listed, heard when it last gave a heartbeat.
	known, heard clock.Instant
	everHeard    bool
	silent       bool
	// counts is what the VM had counted by its last message, nil if it did not tell yet.
	counts map[admission.CounterKey]int64
}

func newPeerState(m Member, now clock.Instant) *peerState {
	return &peerState{member: m, known: now, silent: true}
}

// roster decides which VMs are up. It does no I/O.
type roster struct {
	self  Member
	peers map[netip.AddrPort]*peerState
	// ended holds lives that are over, so that a late heartbeat does not bring one back. Lives
	// are numbered by the time of day, which may have been set back before the last one began.
	ended map[ident.VM]clock.Instant
}

func newRoster(self Member) *roster {
	return &roster{self: self, peers: map[netip.AddrPort]*peerState{}, ended: map[ident.VM]clock.Instant{}}
}

// listed takes over members from the store. It gives those that are new.
func (r *roster) listed(now clock.Instant, members []Member) (fresh []Member) {
	for _, m := range members {
		if m.Address == r.self.Address || !m.Address.IsValid() || r.peers[m.Address] != nil {
			continue
		}
		r.peers[m.Address] = newPeerState(m, now)
		fresh = append(fresh, m)
	}
	return fresh
}

// change is what a heartbeat or the passing of time changed.
type change struct {
	// joined is set when the VM, or this life of it, was not known.
	joined bool
	// returned is set when the VM was silent.
	returned bool
	// replaced is the earlier life of the VM that is over.
	replaced ident.VM
	// counted is what the VM counted since it last told.
	counted map[admission.CounterKey]int64
	// late is set for a heartbeat of a life that is over.
	late bool
}

// hear takes over a heartbeat.
func (r *roster) hear(now clock.Instant, b *beat) change {
	if _, over := r.ended[b.From.VM]; over || b.From.VM == r.self.VM {
		return change{late: true}
	}
	p := r.peers[b.From.Address]
	var c change
	if p == nil {
		p = newPeerState(b.From, now)
		p.silent = false
		r.peers[b.From.Address] = p
		c.joined = true
	}
	if p.everHeard && p.member.VM != b.From.VM {
		if b.From.VM.Incarnation < p.member.VM.Incarnation && !p.silent {
			return change{late: true}
		}
		c.replaced = p.member.VM
		r.ended[c.replaced] = now
		p.counts = nil
	}
	if !p.everHeard {
		c.joined = true
	}
	c.returned = p.silent
	p.member, p.heard, p.everHeard, p.silent = b.From, now, true, false
	if b.Full {
		c.counted = p.draw(b.Counts)
	}
	if b.Leaving {
		r.ended[b.From.VM] = now
		delete(r.peers, b.From.Address)
		c.replaced = b.From.VM
	}
	return c
}

// draw gives what was counted since the VM last told, nothing where it had not told yet: what a
// life admitted before has long refilled. Messages of one VM arrive in order on its connection;
// after a new connection an older one may come late and is put right by the next heartbeat.
func (p *peerState) draw(counts []count) map[admission.CounterKey]int64 {
	out := map[admission.CounterKey]int64{}
	first := p.counts == nil
	if first {
		p.counts = map[admission.CounterKey]int64{}
	}
	for _, c := range counts {
		name := admission.CounterKey{Kind: c.Of, Name: c.Name}
		if more := c.N - p.counts[name]; more != 0 && !first {
			out[name] = more
		}
		p.counts[name] = c.N
	}
	return out
}

// changed takes over what a VM has counted, between heartbeats.
func (r *roster) changed(vm ident.VM, from netip.AddrPort, counts []count) map[admission.CounterKey]int64 {
	p := r.peers[from]
	if p == nil || p.member.VM != vm || p.counts == nil {
		return nil // its next full heartbeat tells
	}
	return p.draw(counts)
}

// pass marks VMs that fell silent or are gone.
func (r *roster) pass(now clock.Instant) (silent, gone []Member) {
	for addr, p := range r.peers {
		last := max(p.known, p.heard)
		switch {
		case now.Sub(last) > goneAfter:
			gone = append(gone, p.member)
			delete(r.peers, addr)
		case !p.silent && now.Sub(p.heard) > r.silence(p):
			p.silent = true
			silent = append(silent, p.member)
		}
	}
	for vm, at := range r.ended {
		if now.Sub(at) > goneAfter {
			delete(r.ended, vm)
		}
	}
	return silent, gone
}

// silence is how long a VM may give no heartbeat before it counts as unheard.
func (r *roster) silence(p *peerState) time.Duration {
	if r.near(p) {
		return max(silentAfter, missedPeriods*r.period())
	}
	return missedPeriods * digestPeriod
}

func (r *roster) large() bool { return len(r.peers) >= largeFleet }

// near reports whether a VM is told everything.
func (r *roster) near(p *peerState) bool {
	return !r.large() || p.member.DataCentre == r.self.DataCentre
}

// farIn picks the VMs of another data centre that are not told everything.
func (r *roster) farIn(dataCentre string) func(*peerState) bool {
	return func(p *peerState) bool { return p.member.DataCentre == dataCentre && !p.silent && !r.near(p) }
}

// period is the time between heartbeats to VMs that are told everything. It grows with their
// number, so that the work of a VM grows less than the fleet does.
func (r *roster) period() time.Duration {
	if !r.large() {
		return shortPeriod
	}
	told := 0
	for _, p := range r.peers {
		if r.near(p) {
			told++
		}
	}
	return largePeriod * time.Duration(max(largeFleet, told)) / largeFleet
}

// counts gives the number of VMs that may be serving, and of those heard, this one in both.
func (r *roster) counts() (known, heard int) {
	known, heard = len(r.peers)+1, 1
	for _, p := range r.peers {
		if !p.silent {
			heard++
		}
	}
	return known, heard
}

// parts gives what plans and the retry budget need to know of the fleet.
func (r *roster) parts() admission.FleetShares {
	return admission.FleetShares{DirectShare: r.togetherPart(), LiveShare: r.share(), RemainderShare: r.split()}
}

// togetherPart is the part of the known VMs that tell each other everything, this one counted.
func (r *roster) togetherPart() float64 {
	n := 1
	for _, p := range r.peers {
		if !p.silent && r.near(p) {
			n++
		}
	}
	return float64(n) / float64(len(r.peers)+1)
}

// split is the part of what is left of a plan that the VMs of this data centre may use until
// those of the others have told what they used.
func (r *roster) split() float64 {
	if !r.large() {
		return 1
	}
	heard := map[string]bool{r.self.DataCentre: true}
	for _, p := range r.peers {
		if !p.silent {
			heard[p.member.DataCentre] = true
		}
	}
	return 1 / float64(len(heard))
}

// share is the part of the fleet that is heard, this VM counted: each data centre counts the
// same, as callers come to each, and within one each VM does.
func (r *roster) share() float64 {
	known, heard := map[string]int{r.self.DataCentre: 1}, map[string]int{r.self.DataCentre: 1}
	for _, p := range r.peers {
		known[p.member.DataCentre]++
		if !p.silent {
			heard[p.member.DataCentre]++
		}
	}
	sum := 0.0
	for dataCentre, n := range known {
		sum += float64(heard[dataCentre]) / float64(n)
	}
	return sum / float64(len(known))
}

// order gives the VMs that tell each other everything and are heard, by address, and this one's
// place among them.
func (r *roster) order() (vms []ident.VM, self int) {
	members := append(r.together(), r.self)
	slices.SortFunc(members, func(a, b Member) int { return a.Address.Compare(b.Address) })
	for i, m := range members {
		if m.Address == r.self.Address {
			self = i
		}
		vms = append(vms, m.VM)
	}
	return vms, self
}

// rank gives the number of heard VMs that are told everything and whose address comes before
// this one's.
func (r *roster) rank() int {
	n := 0
	for addr, p := range r.peers {
		if !p.silent && r.near(p) && addr.Compare(r.self.Address) < 0 {
			n++
		}
	}
	return n
}

// addresses gives those of the known VMs that to picks.
func (r *roster) addresses(to func(*peerState) bool) []netip.AddrPort {
	var out []netip.AddrPort
	for addr, p := range r.peers {
		if to(p) {
			out = append(out, addr)
		}
	}
	return out
}
