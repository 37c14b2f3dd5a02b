package statesync

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
)

const (
	// unresponsiveAfter is the time without a heartbeat after which a VM counts as unresponsive.
	unresponsiveAfter = 1200 * time.Millisecond
	// removeAfter is the time without a heartbeat after which a VM is removed. Until then it may
	// still be serving behind a network partition and keeps its share of plans.
	removeAfter = 25 * time.Second
	// formerRetention is how long after its removal a VM keeps its part of the rate limits of endpoints. It may be
	// behind a long network partition and reach the endpoints.
	formerRetention = 10 * time.Minute
	// smallFleetPeriod is the time between heartbeats to the direct peers in a small fleet,
	// largeFleetPeriod the minimum in a large one, where updates keep a VM visible in between.
	smallFleetPeriod = 200 * time.Millisecond
	largeFleetPeriod = 400 * time.Millisecond
	// fullHeartbeatPeriod is the time between heartbeats that repeat the full state of a VM.
	fullHeartbeatPeriod = time.Second
	// largeFleet is the number of other VMs from which on VMs of other data centres receive
	// digests. Without digests, messages and bytes between data centres would grow with the
	// square of the fleet size.
	largeFleet = 24
	// digestSenders is the number of VMs of a data centre that send digests, so that the loss of
	// one leaves no gap. digestPeriod is the time between two digests of one sender to the same
	// data centre.
	digestSenders = 2
	digestPeriod  = 800 * time.Millisecond
	// missedHeartbeats is the number of missed heartbeats after which a VM counts as unresponsive, but
	// no later than maxSilence after the first one was due.
	missedHeartbeats = 4
	maxSilence       = 2500 * time.Millisecond
)

// hasLowestAddress reports whether this VM has the lowest address of all live VMs.
func (t *memberTable) hasLowestAddress() bool {
	for addr, p := range t.peers {
		if !p.unresponsive && addr.Compare(t.self.Address) < 0 {
			return false
		}
	}
	return true
}

// peerState is the state of another VM as known here.
type peerState struct {
	member Member
	// firstSeen is when the VM was first listed or heard from, lastHeartbeat when its last
	// heartbeat came.
	firstSeen, lastHeartbeat clock.Instant
	// contacted is set once a heartbeat came.
	contacted    bool
	unresponsive bool
	// totals are the counters of the VM's last message, nil before its first full heartbeat.
	totals map[admission.CounterKey]int64
}

func newPeerState(m Member, now clock.Instant) *peerState {
	return &peerState{member: m, firstSeen: now, unresponsive: true}
}

// memberTable tracks which VMs are up. It does no I/O.
type memberTable struct {
	self  Member
	peers map[netip.AddrPort]*peerState
	// ended holds past incarnations, so that a stale heartbeat does not bring one back. Comparing
	// incarnation numbers is not enough: they are taken from the wall clock, which may have been
	// set back before a restart.
	ended map[ident.VM]clock.Instant
	// gone holds the VMs that were removed without a heartbeat since. The registry may list them still,
	// as nothing deletes the entry of a VM that was lost.
	gone map[ident.VM]bool
	// former holds the addresses of VMs that were removed or left, with the time. They may serve calls still.
	former map[netip.AddrPort]clock.Instant
}

func newMemberTable(self Member) *memberTable {
	return &memberTable{
		self: self, peers: map[netip.AddrPort]*peerState{}, ended: map[ident.VM]clock.Instant{}, gone: map[ident.VM]bool{},
		former: map[netip.AddrPort]clock.Instant{},
	}
}

// addListed adds members listed in the registry and returns the new ones. lost are the listed VMs that
// were removed: they count again only once they send a heartbeat.
func (t *memberTable) addListed(now clock.Instant, members []Member) (added, lost []Member) {
	for _, m := range members {
		if _, ended := t.ended[m.VM]; ended {
			continue // a VM that leaves soon after its start keeps its entry
		}
		switch {
		case m.Address == t.self.Address || !m.Address.IsValid() || t.peers[m.Address] != nil:
		case t.gone[m.VM]:
			lost = append(lost, m)
		default:
			t.peers[m.Address] = newPeerState(m, now)
			added = append(added, m)
		}
	}
	return added, lost
}

// memberChange is the effect of a heartbeat.
type memberChange struct {
	// joined is set if the VM, or this incarnation of it, was not known.
	joined bool
	// recovered is set if the VM was unresponsive.
	recovered bool
	// replaced is the incarnation of the VM that has ended.
	replaced ident.VM
	// increments is how far the counters have grown since the VM's previous report.
	increments map[admission.CounterKey]int64
	// stale is set for a heartbeat of an incarnation that has ended.
	stale bool
}

// changesFleet reports whether other members of the fleet are live than before.
func (c memberChange) changesFleet() bool { return c.joined || c.recovered || !c.replaced.IsZero() }

// applyHeartbeat records a heartbeat.
func (t *memberTable) applyHeartbeat(now clock.Instant, hb *heartbeat) memberChange {
	if _, ended := t.ended[hb.From.VM]; ended || hb.From.VM == t.self.VM {
		return memberChange{stale: true}
	}
	delete(t.gone, hb.From.VM)
	delete(t.former, hb.From.Address)
	p := t.peers[hb.From.Address]
	var c memberChange
	if p == nil {
		p = newPeerState(hb.From, now)
		p.unresponsive = false
		t.peers[hb.From.Address] = p
		c.joined = true
	}
	if p.contacted && p.member.VM != hb.From.VM {
		if hb.From.VM.Incarnation < p.member.VM.Incarnation && !p.unresponsive {
			return memberChange{stale: true}
		}
		c.replaced = p.member.VM
		t.ended[c.replaced] = now
		p.totals = nil
	}
	if !p.contacted {
		c.joined = true
	}
	c.recovered = p.unresponsive
	p.member, p.lastHeartbeat, p.contacted, p.unresponsive = hb.From, now, true, false
	if hb.Full {
		c.increments = p.updateTotals(hb.Counters)
	}
	if hb.Leaving {
		t.ended[hb.From.VM] = now
		t.former[hb.From.Address] = now
		delete(t.peers, hb.From.Address)
		c.replaced = hb.From.VM
	}
	return c
}

// updateTotals stores the counters of a VM and returns how far they have grown since its previous
// report. The first report returns nothing, as what was admitted before it has long been refilled.
// Messages of one VM arrive in order on a connection; after a reconnect an older one may arrive
// late, which the next full heartbeat corrects.
func (p *peerState) updateTotals(counters []counter) map[admission.CounterKey]int64 {
	out := map[admission.CounterKey]int64{}
	first := p.totals == nil
	if first {
		p.totals = map[admission.CounterKey]int64{}
	}
	for _, c := range counters {
		key := admission.CounterKey{Kind: c.Kind, Name: c.Name}
		if increment := c.Total - p.totals[key]; increment != 0 && !first {
			out[key] = increment
		}
		p.totals[key] = c.Total
	}
	return out
}

// applyCounters records counters that arrive in an update, between full heartbeats. The update shows that
// the VM is up.
func (t *memberTable) applyCounters(now clock.Instant, vm ident.VM, from netip.AddrPort, counters []counter) map[admission.CounterKey]int64 {
	p := t.peers[from]
	if p == nil || p.member.VM != vm || p.totals == nil {
		return nil // the next full heartbeat of the VM brings them
	}
	p.lastHeartbeat = now
	return p.updateTotals(counters)
}

// expire marks VMs as unresponsive, and removes those that have been so for long.
func (t *memberTable) expire(now clock.Instant) (unresponsive, removed []Member) {
	direct, remote := t.heartbeatTimeouts()
	for addr, p := range t.peers {
		timeout := remote
		if t.isDirect(p) {
			timeout = direct
		}
		last := max(p.firstSeen, p.lastHeartbeat)
		switch {
		case now.Sub(last) > removeAfter:
			removed = append(removed, p.member)
			delete(t.peers, addr)
			t.gone[p.member.VM] = true
			t.former[addr] = now
		case !p.unresponsive && now.Sub(p.lastHeartbeat) > timeout:
			p.unresponsive = true
			unresponsive = append(unresponsive, p.member)
		}
	}
	for vm, at := range t.ended {
		if now.Sub(at) > removeAfter {
			delete(t.ended, vm)
		}
	}
	for addr, at := range t.former {
		if now.Sub(at) > formerRetention {
			delete(t.former, addr)
		}
	}
	return unresponsive, removed
}

// fleet returns the addresses of all other VMs that may be up, reachable or not.
func (t *memberTable) fleet() []netip.AddrPort {
	out := t.addresses(allPeers)
	for addr := range t.former {
		if t.peers[addr] == nil && addr != t.self.Address {
			out = append(out, addr)
		}
	}
	return out
}

// heartbeatTimeouts returns the times without a heartbeat after which a direct peer, and any other
// VM, counts as unresponsive.
func (t *memberTable) heartbeatTimeouts() (direct, remote time.Duration) {
	period := t.heartbeatPeriod()
	return max(unresponsiveAfter, min(missedHeartbeats*period, period+maxSilence)), missedHeartbeats * digestPeriod
}

func (t *memberTable) large() bool { return len(t.peers) >= largeFleet }

// isDirect reports whether a VM is a direct peer.
func (t *memberTable) isDirect(p *peerState) bool {
	return !t.large() || p.member.DataCentre == t.self.DataCentre
}

// remoteIn returns a function that reports whether a VM is live, in the given data centre and not a
// direct peer.
func (t *memberTable) remoteIn(dataCentre string) func(*peerState) bool {
	return func(p *peerState) bool {
		return p.member.DataCentre == dataCentre && !p.unresponsive && !t.isDirect(p)
	}
}

// placesAt returns a function that reports whether a VM often places work at the endpoints of a data
// centre: the direct peers, and the live VMs of that data centre.
func (t *memberTable) placesAt(dataCentre string) func(*peerState) bool {
	remote := t.remoteIn(dataCentre)
	return func(p *peerState) bool { return t.isDirect(p) || remote(p) }
}

// heartbeatPeriod returns the time between heartbeats to the direct peers. It grows with their
// number, so that the load of a VM grows more slowly than the fleet. In a data centre that is divided
// into subsets, updates go to all direct peers as well and show that a busy VM is up.
func (t *memberTable) heartbeatPeriod() time.Duration {
	if !t.large() {
		return smallFleetPeriod
	}
	period := largeFleetPeriod
	if t.subsets() > 1 {
		period = fullHeartbeatPeriod
	}
	return period * time.Duration(max(largeFleet, t.directPeers())) / largeFleet
}

// directPeers returns the number of known direct peers.
func (t *memberTable) directPeers() int {
	n := 0
	for _, p := range t.peers {
		if t.isDirect(p) {
			n++
		}
	}
	return n
}

// subsets returns into how many subsets this VM and its direct peers are divided; see releaseSubset.
func (t *memberTable) subsets() int {
	if !t.large() {
		return 1
	}
	return subsets(t.directPeers() + 1)
}

// directOrder returns this VM and its live direct peers sorted by address, and the index of this
// VM.
func (t *memberTable) directOrder() (vms []ident.VM, self int) {
	members := append(t.liveDirectPeers(), t.self)
	slices.SortFunc(members, func(a, b Member) int { return a.Address.Compare(b.Address) })
	for i, m := range members {
		if m.Address == t.self.Address {
			self = i
		}
		vms = append(vms, m.VM)
	}
	return vms, self
}

// rank returns the number of live direct peers with a lower address than this VM.
func (t *memberTable) rank() int {
	n := 0
	for addr, p := range t.peers {
		if !p.unresponsive && t.isDirect(p) && addr.Compare(t.self.Address) < 0 {
			n++
		}
	}
	return n
}

// listedRank returns the number of known direct peers with a lower address than this VM.
func (t *memberTable) listedRank() int {
	n := 0
	for addr, p := range t.peers {
		if t.isDirect(p) && addr.Compare(t.self.Address) < 0 {
			n++
		}
	}
	return n
}

// addresses returns the addresses of the known VMs for which match returns true.
func (t *memberTable) addresses(match func(*peerState) bool) []netip.AddrPort {
	var out []netip.AddrPort
	for addr, p := range t.peers {
		if match(p) {
			out = append(out, addr)
		}
	}
	return out
}
