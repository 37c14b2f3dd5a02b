package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

const (
	// joinPeriodAlone is the time between join attempts while this VM knows no other live VM.
	joinPeriodAlone = 300 * time.Millisecond
	// contactPeriod is the time between attempts to reach listed VMs and seeds that are not yet
	// members.
	contactPeriod = 3 * time.Second
	// listPeriodBridge and listPeriod are the times between reads of the platform's list by bridges
	// and by other VMs.
	listPeriodBridge = 2 * time.Second
	listPeriod       = 30 * time.Second
	// listRetryDelay is the delay after a failed read of the list.
	listRetryDelay = time.Second
	// listReadSpreadPerMember times the number of members is the interval over which the members
	// spread their reads of the list after a VM appeared that is not in their copy of it.
	listReadSpreadPerMember = 25 * time.Millisecond
	// listMissesUntilRemoved is the number of consecutive reads without a VM after which it counts
	// as removed from the list.
	listMissesUntilRemoved = 2
)

// joinUnknown sends a sync request to a listed VM or seed that is not known to be running.
func (m *machine) joinUnknown() {
	if m.now.Before(m.nextJoin) {
		return
	}
	alone := !slices.ContainsFunc(m.sorted(), func(e *entry) bool {
		return e.VM.Name != m.self && m.stateOf(e) == Alive
	})
	m.nextJoin = m.now.Add(contactPeriod)
	if alone || !m.joined {
		m.nextJoin = m.now.Add(joinPeriodAlone)
	}
	if !alone && m.joined && !m.isBridge() {
		return
	}
	if candidates := m.joinCandidates(); len(candidates) > 0 {
		m.sync(candidates[m.joinIndex%len(candidates)], ident.VM{})
		m.joinIndex++
	}
}

// joinCandidates returns the addresses of listed VMs and seeds that are not known to be running.
// Listed VMs come first, those of the local data centre before the others.
func (m *machine) joinCandidates() []netip.AddrPort {
	known := map[netip.AddrPort]bool{m.me().PeerAddress: true, m.addressOf(m.me()): true}
	var out []netip.AddrPort
	for _, e := range m.sorted() {
		if st := m.stateOf(e); st == Alive || st == Leaving {
			known[m.addressOf(e)], known[e.PeerAddress] = true, true
		}
	}
	add := func(a netip.AddrPort) {
		if a.IsValid() && !known[a] {
			known[a] = true
			out = append(out, a)
		}
	}
	names := make([]string, 0, len(m.listedAddresses))
	for name := range m.listedAddresses {
		names = append(names, name)
	}
	localDataCentre := m.me().DataCentre
	slices.SortFunc(names, func(a, b string) int {
		if localA, localB := m.listedDataCentres[a] == localDataCentre, m.listedDataCentres[b] == localDataCentre; localA != localB {
			if localA {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	for _, name := range names {
		add(m.listedAddresses[name].addr)
	}
	for _, seed := range m.seeds {
		add(seed)
	}
	return out
}

func (m *machine) refreshList() {
	if m.listing || m.now.Before(m.nextList) {
		return
	}
	m.listing = true
	m.emit(readList{})
}

// scheduleEarlyListRead moves the next read of the list forward to a random time, so that the
// VMs of a large fleet do not all read it at once.
func (m *machine) scheduleEarlyListRead() {
	if !m.listRead {
		return
	}
	within := time.Duration(len(m.table)) * listReadSpreadPerMember
	if at := m.now.Add(time.Duration(m.rng.Int64N(int64(within)))); at.Before(m.nextList) {
		m.nextList = at
	}
}

func (m *machine) handleListRead(in listRead) {
	m.listing = false
	if !in.ok {
		m.nextList = m.now.Add(listRetryDelay)
		return
	}
	period := listPeriod/2 + time.Duration(m.rng.Int64N(int64(listPeriod)))
	if m.isBridge() {
		period = listPeriodBridge
	}
	m.nextList = m.now.Add(period)
	m.listRead = true
	m.applyList(in.vms)
}

func (m *machine) applyList(vms []objectstore.VM) {
	listed := map[string]bool{}
	clear(m.listedDataCentres)
	for name := range m.listedAddresses {
		if m.table[name] == nil {
			delete(m.listedAddresses, name)
		}
	}
	for _, vm := range vms {
		listed[vm.Name] = true
		m.listedDataCentres[vm.Name] = vm.DataCentre
		m.updateListedAddress(vm.Name, vm.Address)
	}
	for _, e := range m.sorted() {
		m.updateListed(e, listed[e.VM.Name])
	}
}

func (m *machine) updateListedAddress(name string, addr netip.AddrPort) {
	old := m.listedAddresses[name]
	if old.addr == addr && old.reported.IsValid() {
		return
	}
	updated := listedAddress{addr: addr}
	if e := m.table[name]; e != nil {
		updated.reported = e.PeerAddress
	}
	m.listedAddresses[name] = updated
	m.invalidate()
}

// updateListed records whether a VM is on the platform's list. The list is eventually consistent,
// so a VM that left the list is declared Gone only if it is also unreachable.
func (m *machine) updateListed(e *entry, listed bool) {
	if listed {
		e.Flags |= FlagListed
		e.listMisses = 0
		return
	}
	if !e.hasAny(FlagListed) || e.hasAny(FlagGone) || e.VM.Name == m.self {
		return
	}
	e.listMisses++
	if e.listMisses < listMissesUntilRemoved || m.stateOf(e) != Suspect {
		return
	}
	before := m.stateOf(e)
	e.Flags |= FlagGone
	m.recordChange(e, before, "removed from the platform's list")
	m.broadcast(e.Record)
}
