package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/eventloop"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// Timing constants.
const (
	// TickPeriod is the time between ticks.
	TickPeriod = 100 * time.Millisecond
	// PingPeriod is the time between a VM's heartbeats within its data centre.
	PingPeriod = 400 * time.Millisecond
	// PingTimeout is the timeout of a heartbeat.
	PingTimeout = 300 * time.Millisecond
	// IndirectTimeout is the timeout of an indirect probe through another VM.
	IndirectTimeout = 500 * time.Millisecond
	// unreachableProbePeriod is the time between probes of unreachable VMs.
	unreachableProbePeriod = 800 * time.Millisecond
	// syncQuietPeriod is the time without changes after which differing checksums start a sync.
	// Before that, the differing records are probably still in transit.
	syncQuietPeriod = 300 * time.Millisecond
	// pauseThreshold is the gap between two ticks above which this process counts as paused.
	// Calls that were in flight during a pause say nothing about other VMs.
	pauseThreshold = time.Second
	// goneRetention is how long a Gone incarnation is remembered.
	goneRetention = 2 * time.Hour
	// maxIndirectProbes is the number of other VMs asked to probe an unresponsive one.
	maxIndirectProbes = 2
)

// machine decides which VMs are live, which to probe and which to notify. It is deterministic:
// its random numbers are seeded with the VM's identity.
type machine struct {
	self  string
	table table
	seeds []netip.AddrPort
	// listedAddresses and listedDataCentres hold the platform's list by VM name.
	listedAddresses   map[string]listedAddress
	listedDataCentres map[string]string

	pendingCalls map[uint64]pendingCall
	lastCallID   uint64
	rng          *rand.Rand

	now        clock.Instant
	lastTick   clock.Instant
	lastChange clock.Instant
	nextPing   clock.Instant
	nextProbe  clock.Instant
	nextJoin   clock.Instant
	nextList   clock.Instant
	useRing    bool
	joined     bool
	joinIndex  int
	listing    bool
	listRead   bool
	syncing    bool
	replaced   bool
	links      map[string]*link

	derived   derivedState
	viewStale bool
	view      *View
	out       []action
}

// listedAddress is the address of a VM on the platform's list.
type listedAddress struct {
	addr netip.AddrPort
	// reported is the address that the VM itself reported when addr appeared on the list. If the VM
	// now reports another one, it has moved and the list is stale.
	reported netip.AddrPort
}

// derivedState caches values that are computed from the table on demand.
type derivedState struct {
	sorted      []*entry
	bridges     map[string][]*entry
	unreachable map[string]bool
}

var _ eventloop.Machine[input, action] = (*machine)(nil)

func newMachine(self Member, seeds []netip.AddrPort) *machine {
	rec := Record{VM: self.VM, DataCentre: self.DataCentre, Region: self.Region, PeerAddress: self.PeerAddress, Seq: 1}
	m := &machine{
		self:              self.VM.Name,
		table:             table{self.VM.Name: {Record: rec}},
		seeds:             seeds,
		listedAddresses:   map[string]listedAddress{},
		listedDataCentres: map[string]string{},
		pendingCalls:      map[uint64]pendingCall{},
		rng:               rand.New(rand.NewPCG(xxhash.Sum64String(self.VM.Name), uint64(self.VM.Incarnation))),
		links:             map[string]*link{},
	}
	m.invalidate()
	m.view = m.buildView()
	return m
}

func (m *machine) me() *entry { return m.table[m.self] }

// Step processes one input and returns the resulting actions.
func (m *machine) Step(now clock.Instant, in input) []action {
	m.now, m.out = now, nil
	m.detectPause(in)
	switch in := in.(type) {
	case tick:
		m.handleTick()
	case request:
		m.handleRequest(in)
	case outcome:
		m.handleOutcome(in)
	case listRead:
		m.handleListRead(in)
	case callFailed:
		m.probe(in.vm, false)
	case leave:
		m.updateSelf(FlagLeaving, "graceful shutdown")
	}
	m.publishIfChanged()
	return m.out
}

func (m *machine) emit(a action) { m.out = append(m.out, a) }

// updateSelf increments the Seq of this VM's own record, sets flags in it (0 if no flag is to be
// set), clears FlagSuspect and broadcasts the record.
func (m *machine) updateSelf(flags Flags, reason string) {
	e := m.me()
	if m.replaced || e.hasAny(FlagGone) {
		return
	}
	before := m.stateOf(e)
	e.Seq++
	e.Flags = e.Flags&^FlagSuspect | flags
	m.recordChange(e, before, reason)
	m.broadcast(e.Record)
}

// invalidate discards all values derived from the table.
func (m *machine) invalidate() {
	m.viewStale = true
	m.derived = derivedState{bridges: map[string][]*entry{}, unreachable: map[string]bool{}}
}

// invalidateEntry discards the values derived from an entry whose position does not change.
func (m *machine) invalidateEntry(e *entry) {
	m.viewStale = true
	delete(m.derived.bridges, e.DataCentre)
	if e.DataCentre == m.me().DataCentre {
		clear(m.derived.unreachable)
	}
}

func (m *machine) recordChange(e *entry, before State, reason string) {
	m.invalidateEntry(e)
	m.lastChange = m.now
	after := m.stateOf(e)
	if before != after {
		m.emit(changed{vm: e.VM, from: before, to: after, reason: reason})
	}
}

// broadcast sends records to all members of this data centre and to one bridge of each other
// data centre, which forwards them there.
func (m *machine) broadcast(records ...Record) {
	msg := &Message{Op: OpUpdate, Records: records}
	m.broadcastLocal(msg, ident.VM{})
	for _, dc := range m.dataCentres() {
		if dc == m.me().DataCentre {
			continue
		}
		if bridges := m.bridgesOf(dc); len(bridges) > 0 {
			m.emit(send{to: m.addressOf(bridges[0]), msg: msg})
		}
	}
}

// broadcastLocal sends a message to all other members of this data centre except one.
func (m *machine) broadcastLocal(msg *Message, except ident.VM) {
	for _, e := range m.sorted() {
		if e.DataCentre == m.me().DataCentre && e.VM.Name != m.self && e.VM != except && !e.hasAny(FlagGone) {
			m.emit(send{to: m.addressOf(e), msg: msg})
		}
	}
}

// sorted returns all entries sorted by name. The slice is shared and must not be modified.
func (m *machine) sorted() []*entry {
	if m.derived.sorted != nil {
		return m.derived.sorted
	}
	out := make([]*entry, 0, len(m.table))
	for _, e := range m.table {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int { return compareNames(a.VM, b.VM) })
	m.derived.sorted = out
	return out
}

// dataCentres returns the sorted names of the data centres with members that are not Gone.
func (m *machine) dataCentres() []string {
	var out []string
	for _, e := range m.sorted() {
		if !e.hasAny(FlagGone) && !slices.Contains(out, e.DataCentre) {
			out = append(out, e.DataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// addressOf returns the address of a VM on the platform's list, or the one that the VM reports
// if the list has none or is stale.
func (m *machine) addressOf(e *entry) netip.AddrPort {
	if a := m.listedAddresses[e.VM.Name]; a.addr.IsValid() && a.reported == e.PeerAddress {
		return a.addr
	}
	return e.PeerAddress
}

// merge merges records from another VM and returns those that changed the table.
func (m *machine) merge(records []Record, reason string) []Record {
	var changed []Record
	for _, r := range records {
		if m.mergeOne(r, reason) {
			changed = append(changed, r)
		}
	}
	return changed
}

func (m *machine) mergeOne(r Record, reason string) bool {
	if r.VM.Name == "" {
		return false
	}
	if r.VM.Name == m.self && !m.replaced {
		return m.mergeSelf(r)
	}
	e, ok := m.table[r.VM.Name]
	if !ok {
		return m.add(r, reason)
	}
	listed := r.Flags & FlagListed
	if !r.supersedes(&e.Record) {
		if r.VM == e.VM {
			e.Flags |= listed
		}
		return false
	}
	before := m.stateOf(e)
	if r.VM == e.VM {
		r.Flags |= e.Flags & FlagListed
		e.Record = r
	} else {
		moved := r.PeerAddress != e.PeerAddress
		m.invalidateEntry(e)
		*e = entry{Record: r}
		if moved {
			m.scheduleEarlyListRead()
		}
	}
	m.recordChange(e, before, reason)
	return true
}

// add adds an unknown VM. Gone incarnations are ignored.
func (m *machine) add(r Record, reason string) bool {
	if r.hasAny(FlagGone) {
		return false
	}
	e := &entry{Record: r}
	m.table[r.VM.Name] = e
	m.derived.sorted = nil
	m.recordChange(e, 0, reason)
	a, listed := m.listedAddresses[r.VM.Name]
	if !listed {
		m.scheduleEarlyListRead()
	} else if !a.reported.IsValid() {
		m.listedAddresses[r.VM.Name] = listedAddress{addr: a.addr, reported: r.PeerAddress}
	}
	return true
}

// mergeSelf handles a record about this VM that another VM sent. It refutes suspicion, and it marks
// this VM as replaced if the record is of a later incarnation or declares this one Gone.
func (m *machine) mergeSelf(r Record) bool {
	e := m.me()
	sameIncarnation := r.VM.Incarnation == e.VM.Incarnation
	switch {
	case r.VM.Incarnation > e.VM.Incarnation, sameIncarnation && r.hasAny(FlagGone) && !e.hasAny(FlagGone):
		before := m.stateOf(e)
		m.replaced = true
		e.Record = r
		m.recordChange(e, before, "replaced or removed from the platform's list")
		return true
	case sameIncarnation && r.hasAny(FlagSuspect) && r.Seq >= e.Seq:
		e.Seq = r.Seq
		m.updateSelf(0, "refuted suspicion")
	case sameIncarnation && r.Seq > e.Seq:
		e.Seq = r.Seq
		m.updateSelf(0, "raised its sequence number")
	}
	return false
}
