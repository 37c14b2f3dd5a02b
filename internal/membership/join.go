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
	// joinPeriod is the time between tries while this VM has met no other.
	joinPeriod = 300 * time.Millisecond
	// meetPeriod is the time between tries to reach VMs that are listed or seeds but not met.
	meetPeriod = 3 * time.Second
	// listPeriodBridge and listPeriod are the times between reads of the platform's list.
	listPeriodBridge = 2 * time.Second
	listPeriod       = 30 * time.Second
	// listRetry is the time until the next read after one that failed.
	listRetry = time.Second
	// listSpread times the number of members is the time over which all of them read the list
	// after a VM appeared that is not on their copy.
	listSpread = 25 * time.Millisecond
	// listMissing is the number of successive reads without a VM after which it is off the list.
	listMissing = 2
)

// tickJoin asks for members: VMs that are listed or seeds, and not known to be running.
func (m *machine) tickJoin() {
	if m.now.Before(m.nextJoin) {
		return
	}
	alone := !slices.ContainsFunc(m.sorted(), func(e *entry) bool {
		return e.VM.Name != m.self && m.stateOf(e) == Alive
	})
	m.nextJoin = m.now.Add(meetPeriod)
	if alone || !m.joined {
		m.nextJoin = m.now.Add(joinPeriod)
	}
	if !alone && m.joined && !m.isBridge() {
		return
	}
	if unmet := m.unmet(); len(unmet) > 0 {
		m.sync(unmet[m.joinTurn%len(unmet)], ident.VM{})
		m.joinTurn++
	}
}

// unmet gives addresses where a VM may run that this VM does not hear, its own data centre's first.
func (m *machine) unmet() []netip.AddrPort {
	met := map[netip.AddrPort]bool{m.me().Peer: true, m.addressOf(m.me()): true}
	var out []netip.AddrPort
	for _, e := range m.sorted() {
		if st := m.stateOf(e); st == Alive || st == Leaving {
			met[m.addressOf(e)], met[e.Peer] = true, true
		}
	}
	add := func(a netip.AddrPort) {
		if a.IsValid() && !met[a] {
			met[a] = true
			out = append(out, a)
		}
	}
	names := make([]string, 0, len(m.addresses))
	for name := range m.addresses {
		names = append(names, name)
	}
	home := m.me().DataCentre
	slices.SortFunc(names, func(a, b string) int {
		if nearA, nearB := m.homes[a] == home, m.homes[b] == home; nearA != nearB {
			if nearA {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	for _, name := range names {
		add(m.addresses[name].addr)
	}
	for _, seed := range m.seeds {
		add(seed)
	}
	return out
}

func (m *machine) tickList() {
	if m.listing || m.now.Before(m.nextList) {
		return
	}
	m.listing = true
	m.act(readList{})
}

// listSoon brings the next read of the list forward, to a random moment that keeps the reads
// of a large fleet apart.
func (m *machine) listSoon() {
	if !m.listOK {
		return
	}
	within := time.Duration(len(m.table)) * listSpread
	if at := m.now.Add(time.Duration(m.rng.Int64N(int64(within)))); at.Before(m.nextList) {
		m.nextList = at
	}
}

func (m *machine) list(in listRead) {
	m.listing = false
	if !in.ok {
		m.nextList = m.now.Add(listRetry)
		return
	}
	period := listPeriod/2 + time.Duration(m.rng.Int64N(int64(listPeriod)))
	if m.isBridge() {
		period = listPeriodBridge
	}
	m.nextList = m.now.Add(period)
	m.listOK = true
	m.takeList(in.vms)
}

func (m *machine) takeList(vms []objectstore.VM) {
	on := map[string]bool{}
	clear(m.homes)
	for name := range m.addresses {
		if m.table[name] == nil {
			delete(m.addresses, name)
		}
	}
	for _, vm := range vms {
		on[vm.Name] = true
		m.homes[vm.Name] = vm.DataCentre
		m.takeAddress(vm.Name, vm.Address)
	}
	for _, e := range m.sorted() {
		m.checkListed(e, on[e.VM.Name])
	}
}

func (m *machine) takeAddress(name string, addr netip.AddrPort) {
	old := m.addresses[name]
	if old.addr == addr && old.stated.IsValid() {
		return
	}
	now := listedAddress{addr: addr}
	if e := m.table[name]; e != nil {
		now.stated = e.Peer
	}
	m.addresses[name] = now
	m.touch()
}

// checkListed notes that a VM is listed, or that it was and is no more. The list lags, so a VM
// that is heard stays; one that is not heard is gone for good.
func (m *machine) checkListed(e *entry, on bool) {
	if on {
		e.Flags |= FlagListed
		e.missing = 0
		return
	}
	if !e.has(FlagListed) || e.has(FlagGone) || e.VM.Name == m.self {
		return
	}
	e.missing++
	if e.missing < listMissing || m.stateOf(e) != Suspect {
		return
	}
	before := m.stateOf(e)
	e.Flags |= FlagGone
	m.noteChange(e, before, "off the platform's list")
	m.originate(e.Record)
}
