package spread

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/duty"
	"github.com/fulmartide/fulmartide/internal/ident"
)

const (
	// PullTimeout bounds one pull; after it another peer may be asked.
	PullTimeout = 1500 * time.Millisecond
	// maxLogDeltas bounds the deltas kept to serve peers that are behind.
	maxLogDeltas = 64
	// maxLogEntries bounds the entries in all kept deltas together.
	maxLogEntries = 4096
)

// Origin tells where a version came from.
type Origin uint8

// The origins of a version.
const (
	// FromPlatform: read from the platform, or written there by this VM.
	FromPlatform Origin = iota + 1
	// FromPush: pushed by a VM of this data centre's bridges.
	FromPush
	// FromRelay: handed to this VM to pass on to its data centre.
	FromRelay
	// FromPull: pulled from a peer that had shown a higher version.
	FromPull
)

// Input is one input of the Machine.
type Input interface{ isInput() }

type (
	// Read is a table read from the platform.
	Read struct{ Table *Table }
	// Pushed is a delta sent by a peer. Done is told the version held after it.
	Pushed struct {
		From   ident.VM
		Delta  Delta
		Origin Origin
		Done   func(version uint64)
	}
	// Observed is the version that a peer's heartbeat shows.
	Observed struct {
		From    ident.VM
		Version uint64
	}
	// Pulled is the answer to a Pull: a delta, a table, or neither when it failed.
	Pulled struct {
		From  ident.VM
		Delta *Delta
		Table *Table
	}
	// Asked is a peer's pull from Have. Answer is given a delta or a table, or neither when
	// this VM has nothing later, and the version held.
	Asked struct {
		Have   uint64
		Answer func(d *Delta, t *Table, held uint64)
	}
	// Lead says whether this VM is to push new versions to its data centre.
	Lead struct{ Leads bool }
)

func (Read) isInput()     {}
func (Pushed) isInput()   {}
func (Observed) isInput() {}
func (Pulled) isInput()   {}
func (Asked) isInput()    {}
func (Lead) isInput()     {}

// Action is one action of the Machine.
type Action interface{ isAction() }

type (
	// Adopt puts a table in force.
	Adopt struct {
		Table  *Table
		Origin Origin
	}
	// Push sends a delta to the VMs of this data centre.
	Push struct{ Delta Delta }
	// Pull asks a peer for what is later than Have.
	Pull struct {
		From ident.VM
		Have uint64
	}
	// Reply calls a function with what it asked for.
	Reply struct{ Call func() }
)

func (Adopt) isAction() {}
func (Push) isAction()  {}
func (Pull) isAction()  {}
func (Reply) isAction() {}

// Machine decides which version is in force, what to push and whom to ask.
type Machine struct {
	table *Table
	log   []Delta
	leads bool

	pulling   bool
	pullSince clock.Instant
	out       []Action
}

var _ duty.Machine[Input, Action] = (*Machine)(nil)

// Version gives the version in force, 0 for none.
func (m *Machine) Version() uint64 {
	if m.table == nil {
		return 0
	}
	return m.table.Version
}

// Step takes one input.
func (m *Machine) Step(now clock.Instant, in Input) []Action {
	m.out = nil
	switch in := in.(type) {
	case Read:
		m.adopt(in.Table, FromPlatform)
	case Pushed:
		m.pushed(now, in)
	case Observed:
		if in.Version > m.Version() {
			m.pull(now, in.From, m.Version())
		}
	case Pulled:
		m.pulled(now, in)
	case Asked:
		m.asked(in)
	case Lead:
		m.leads = in.Leads
	}
	return m.out
}

func (m *Machine) adopt(t *Table, origin Origin) bool {
	if m.table != nil && t.Version <= m.table.Version {
		return false
	}
	d := Diff(m.table, t)
	m.table = t
	m.out = append(m.out, Adopt{Table: t, Origin: origin})
	if d.Version <= d.Base {
		return true
	}
	m.remember(d)
	if m.leads && origin != FromPush || origin == FromRelay {
		m.out = append(m.out, Push{Delta: d})
	}
	return true
}

func (m *Machine) remember(d Delta) {
	m.log = append(m.log, d)
	entries := 0
	for i := len(m.log) - 1; i >= 0; i-- {
		entries += len(m.log[i].Set) + len(m.log[i].Delete)
		if entries > maxLogEntries || len(m.log)-i > maxLogDeltas {
			m.log = append([]Delta(nil), m.log[i+1:]...)
			return
		}
	}
}

func (m *Machine) pushed(now clock.Instant, in Pushed) {
	if in.Delta.Version > m.Version() {
		m.take(now, in.From, in.Delta, in.Origin)
	}
	version, done := m.Version(), in.Done
	if done != nil {
		m.out = append(m.out, Reply{func() { done(version) }})
	}
}

// take applies a delta, or asks its sender for what is missing.
func (m *Machine) take(now clock.Instant, from ident.VM, d Delta, origin Origin) {
	t, err := m.table.Apply(d)
	switch {
	case err == nil:
		m.adopt(t, origin)
	case d.Base == m.Version():
		m.pull(now, from, 0)
	default:
		m.pull(now, from, m.Version())
	}
}

func (m *Machine) pull(now clock.Instant, from ident.VM, have uint64) {
	if m.pulling && now.Sub(m.pullSince) < PullTimeout {
		return
	}
	m.pulling, m.pullSince = true, now
	m.out = append(m.out, Pull{From: from, Have: have})
}

func (m *Machine) pulled(now clock.Instant, in Pulled) {
	m.pulling = false
	switch {
	case in.Table != nil:
		m.adopt(in.Table, FromPull)
	case in.Delta != nil && in.Delta.Version > m.Version():
		m.take(now, in.From, *in.Delta, FromPull)
	}
}

func (m *Machine) asked(in Asked) {
	answer, table, held := in.Answer, m.table, m.Version()
	if in.Have >= held {
		m.out = append(m.out, Reply{func() { answer(nil, nil, held) }})
		return
	}
	if d, ok := m.since(in.Have); ok && in.Have > 0 {
		m.out = append(m.out, Reply{func() { answer(&d, nil, held) }})
		return
	}
	m.out = append(m.out, Reply{func() { answer(nil, table, held) }})
}

// since composes the kept deltas that lead from a version to the one in force.
func (m *Machine) since(version uint64) (Delta, bool) {
	for i, d := range m.log {
		if d.Base != version {
			continue
		}
		for _, next := range m.log[i+1:] {
			d = compose(d, next)
		}
		return d, true
	}
	return Delta{}, false
}
