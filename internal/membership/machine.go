package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/duty"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// Timing of membership.
const (
	// TickPeriod is the time between ticks.
	TickPeriod = 100 * time.Millisecond
	// PingPeriod is the time between heartbeats of one VM within its data centre.
	PingPeriod = 400 * time.Millisecond
	// PingTimeout bounds one heartbeat's reply.
	PingTimeout = 300 * time.Millisecond
	// IndirectTimeout bounds a probe by a third VM.
	IndirectTimeout = 500 * time.Millisecond
	// reprobePeriod is the time between probes of VMs that are not heard.
	reprobePeriod = 800 * time.Millisecond
	// settleTime is how long changes may be on their way before two VMs compare records.
	settleTime = 300 * time.Millisecond
	// pauseGap between two ticks shows that this process was paused; calls made before it
	// say nothing of other VMs.
	pauseGap = time.Second
	// goneKeep is how long a Gone life is remembered.
	goneKeep = 2 * time.Hour
	// helpers is the number of third VMs asked about one that is not heard.
	helpers = 2
)

// machine decides who is live, whom to probe and whom to tell. It is deterministic: its random
// numbers come from the VM's identity.
type machine struct {
	self  string
	table table
	seeds []netip.AddrPort
	// addresses and homes are what the platform's list says of each name.
	addresses map[string]listedAddress
	homes     map[string]string

	calls  map[uint64]asked
	nextOp uint64
	rng    *rand.Rand

	now        clock.Instant
	lastTick   clock.Instant
	lastChange clock.Instant
	nextPing   clock.Instant
	nextProbe  clock.Instant
	nextJoin   clock.Instant
	nextList   clock.Instant
	ringTurn   bool
	joined     bool
	joinTurn   int
	listing    bool
	listOK     bool
	syncing    bool
	replaced   bool
	links      map[string]*link

	known derived
	dirty bool
	view  *View
	out   []action
}

// listedAddress is the address that the platform's list gives for a name.
type listedAddress struct {
	addr netip.AddrPort
	// stated is the address that the VM itself stated when the list began to give addr. A VM
	// that states another has moved, and the list lags.
	stated netip.AddrPort
}

// derived is worked out from the table when it is first asked for after a change.
type derived struct {
	order   []*entry
	bridges map[string][]*entry
	cuts    map[string]bool
}

var _ duty.Machine[input, action] = (*machine)(nil)

func newMachine(self Member, seeds []netip.AddrPort) *machine {
	rec := Record{VM: self.VM, DataCentre: self.DataCentre, Region: self.Region, Peer: self.Peer, Seq: 1}
	m := &machine{
		self:      self.VM.Name,
		table:     table{self.VM.Name: {Record: rec}},
		seeds:     seeds,
		addresses: map[string]listedAddress{},
		homes:     map[string]string{},
		calls:     map[uint64]asked{},
		rng:       rand.New(rand.NewPCG(xxhash.Sum64String(self.VM.Name), uint64(self.VM.Incarnation))),
		links:     map[string]*link{},
	}
	m.touch()
	m.view = m.buildView()
	return m
}

func (m *machine) me() *entry { return m.table[m.self] }

// Step takes one input.
func (m *machine) Step(now clock.Instant, in input) []action {
	m.now, m.out = now, nil
	m.notePause(in)
	switch in := in.(type) {
	case tick:
		m.tick()
	case request:
		m.request(in)
	case outcome:
		m.outcome(in)
	case listRead:
		m.list(in)
	case evidence:
		m.probe(in.vm, false)
	case leave:
		m.say(FlagLeaving, "planned stop")
	}
	m.publishIfChanged()
	return m.out
}

func (m *machine) act(a action) { m.out = append(m.out, a) }

// say changes what this VM states of itself and tells the fleet.
func (m *machine) say(flags Flags, reason string) {
	e := m.me()
	if m.replaced || e.has(FlagGone) {
		return
	}
	before := m.stateOf(e)
	e.Seq++
	e.Flags = e.Flags&^FlagSuspect | flags
	m.noteChange(e, before, reason)
	m.originate(e.Record)
}

// touch forgets what was derived from the table.
func (m *machine) touch() {
	m.dirty = true
	m.known = derived{bridges: map[string][]*entry{}, cuts: map[string]bool{}}
}

// touchEntry forgets what was derived from one entry that stays in its place.
func (m *machine) touchEntry(e *entry) {
	m.dirty = true
	delete(m.known.bridges, e.DataCentre)
	if e.DataCentre == m.me().DataCentre {
		clear(m.known.cuts)
	}
}

func (m *machine) noteChange(e *entry, before State, reason string) {
	m.touchEntry(e)
	m.lastChange = m.now
	after := m.stateOf(e)
	if before != after {
		m.act(changed{vm: e.VM, from: before, to: after, reason: reason})
	}
}

// originate tells news that this VM found itself: to its data centre, and to one bridge of
// each other data centre, which passes it on there.
func (m *machine) originate(records ...Record) {
	msg := &Message{Op: OpUpdate, Records: records}
	m.tellDataCentre(msg, ident.VM{})
	for _, dc := range m.dataCentres() {
		if dc == m.me().DataCentre {
			continue
		}
		if bridges := m.bridgesOf(dc); len(bridges) > 0 {
			m.act(send{to: m.addressOf(bridges[0]), msg: msg})
		}
	}
}

// tellDataCentre sends a message to all members of this data centre but one.
func (m *machine) tellDataCentre(msg *Message, but ident.VM) {
	for _, e := range m.sorted() {
		if e.DataCentre == m.me().DataCentre && e.VM.Name != m.self && e.VM != but && !e.has(FlagGone) {
			m.act(send{to: m.addressOf(e), msg: msg})
		}
	}
}

// sorted gives all entries by name. The slice is shared and must not be changed.
func (m *machine) sorted() []*entry {
	if m.known.order != nil {
		return m.known.order
	}
	out := make([]*entry, 0, len(m.table))
	for _, e := range m.table {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int { return compareNames(a.VM, b.VM) })
	m.known.order = out
	return out
}

// dataCentres gives the names of the data centres with members that are not Gone, sorted.
func (m *machine) dataCentres() []string {
	var out []string
	for _, e := range m.sorted() {
		if !e.has(FlagGone) && !slices.Contains(out, e.DataCentre) {
			out = append(out, e.DataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// addressOf gives the platform's address for a VM's name, or the one that the VM states when
// the list has none or lags.
func (m *machine) addressOf(e *entry) netip.AddrPort {
	if a := m.addresses[e.VM.Name]; a.addr.IsValid() && a.stated == e.Peer {
		return a.addr
	}
	return e.Peer
}

// merge takes records from another VM and gives those that were news.
func (m *machine) merge(records []Record, reason string) []Record {
	var news []Record
	for _, r := range records {
		if m.mergeOne(r, reason) {
			news = append(news, r)
		}
	}
	return news
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
	if !r.newer(&e.Record) {
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
		moved := r.Peer != e.Peer
		m.touchEntry(e)
		*e = entry{Record: r}
		if moved {
			m.listSoon()
		}
	}
	m.noteChange(e, before, reason)
	return true
}

// add takes a VM that was unknown. A life that is over needs no place.
func (m *machine) add(r Record, reason string) bool {
	if r.has(FlagGone) {
		return false
	}
	e := &entry{Record: r}
	m.table[r.VM.Name] = e
	m.known.order = nil
	m.noteChange(e, 0, reason)
	a, listed := m.addresses[r.VM.Name]
	if !listed {
		m.listSoon()
	} else if !a.stated.IsValid() {
		m.addresses[r.VM.Name] = listedAddress{addr: a.addr, stated: r.Peer}
	}
	return true
}

// mergeSelf answers what others say of this VM: it refutes suspicion, and stands down before
// a later life under its name or the word that it is Gone.
func (m *machine) mergeSelf(r Record) bool {
	e := m.me()
	own := r.VM.Incarnation == e.VM.Incarnation
	switch {
	case r.VM.Incarnation > e.VM.Incarnation, own && r.has(FlagGone) && !e.has(FlagGone):
		before := m.stateOf(e)
		m.replaced = true
		e.Record = r
		m.noteChange(e, before, "replaced or taken off the platform's list")
		return true
	case own && r.has(FlagSuspect) && r.Seq >= e.Seq:
		e.Seq = r.Seq
		m.say(0, "refuted suspicion")
	case own && r.Seq > e.Seq:
		e.Seq = r.Seq
		m.say(0, "raised its sequence")
	}
	return false
}
