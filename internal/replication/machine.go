package replication

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/eventloop"
	"github.com/fulmartide/fulmartide/internal/ident"
)

const (
	// PullTimeout is the time after which a pull without a result may be repeated with any peer.
	PullTimeout = 1500 * time.Millisecond
	// maxLoggedDeltas is the maximum number of deltas kept to serve peers with older versions.
	maxLoggedDeltas = 64
	// maxLoggedEntries is the maximum total number of entries in the kept deltas.
	maxLoggedEntries = 4096
)

// Origin is the source of a version.
type Origin uint8

// The origins of a version.
const (
	// FromPlatform is a version that was read from the platform or written there by this VM.
	FromPlatform Origin = iota + 1
	// FromPush is a version that a bridge of this data centre pushed.
	FromPush
	// FromRelay is a version that was sent to this VM for distribution in its data centre.
	FromRelay
	// FromPull is a version that was pulled from a peer that reported a higher one.
	FromPull
)

// Input is an input of the Machine.
type Input interface{ isInput() }

type (
	// TableRead is a table that was read from the platform.
	TableRead struct{ Table *Table }
	// DeltaReceived is a delta sent by a peer. Done is called with the resulting current version.
	DeltaReceived struct {
		From   ident.VM
		Delta  Delta
		Origin Origin
		Done   func(version uint64)
	}
	// VersionObserved is the version reported in a peer's heartbeat.
	VersionObserved struct {
		From    ident.VM
		Version uint64
	}
	// PullCompleted is the result of a Pull: a delta, a table, or neither if it failed.
	PullCompleted struct {
		From  ident.VM
		Delta *Delta
		Table *Table
	}
	// PullRequested is a peer's request for changes since a version. Respond is called with a delta,
	// a table, or neither if there are no later changes, and with the current version.
	PullRequested struct {
		Since   uint64
		Respond func(d *Delta, t *Table, version uint64)
	}
	// LeaderChanged sets whether this VM pushes new versions to its data centre.
	LeaderChanged struct{ IsLeader bool }
)

func (TableRead) isInput()       {}
func (DeltaReceived) isInput()   {}
func (VersionObserved) isInput() {}
func (PullCompleted) isInput()   {}
func (PullRequested) isInput()   {}
func (LeaderChanged) isInput()   {}

// Action is an action requested by the Machine.
type Action interface{ isAction() }

type (
	// Adopt makes a table the current version.
	Adopt struct {
		Table  *Table
		Origin Origin
	}
	// Push sends a delta to the VMs of this data centre.
	Push struct{ Delta Delta }
	// Pull requests the changes since a version from a peer.
	Pull struct {
		From  ident.VM
		Since uint64
	}
	// Reply calls a function that delivers the response to an input.
	Reply struct{ Send func() }
)

func (Adopt) isAction() {}
func (Push) isAction()  {}
func (Pull) isAction()  {}
func (Reply) isAction() {}

// Machine decides which version is current, what to push and which peer to pull from.
type Machine struct {
	table    *Table
	deltas   []Delta
	isLeader bool

	pulling     bool
	pullStarted clock.Instant
	out         []Action
}

var _ eventloop.Machine[Input, Action] = (*Machine)(nil)

// Version returns the current version, 0 if there is none.
func (m *Machine) Version() uint64 {
	if m.table == nil {
		return 0
	}
	return m.table.Version
}

// Step processes one input and returns the resulting actions.
func (m *Machine) Step(now clock.Instant, in Input) []Action {
	m.out = nil
	switch in := in.(type) {
	case TableRead:
		m.adopt(in.Table, FromPlatform)
	case DeltaReceived:
		m.handleDelta(now, in)
	case VersionObserved:
		if in.Version > m.Version() {
			m.requestPull(now, in.From, m.Version())
		}
	case PullCompleted:
		m.handlePullCompleted(now, in)
	case PullRequested:
		m.handlePullRequest(in)
	case LeaderChanged:
		m.isLeader = in.IsLeader
	}
	return m.out
}

func (m *Machine) adopt(t *Table, origin Origin) bool {
	if m.table != nil && t.Version <= m.table.Version {
		return false
	}
	delta := Diff(m.table, t)
	m.table = t
	m.out = append(m.out, Adopt{Table: t, Origin: origin})
	if delta.Version <= delta.Base {
		return true
	}
	m.logDelta(delta)
	if m.isLeader && origin != FromPush || origin == FromRelay {
		m.out = append(m.out, Push{Delta: delta})
	}
	return true
}

func (m *Machine) logDelta(d Delta) {
	m.deltas = append(m.deltas, d)
	entries := 0
	for i := len(m.deltas) - 1; i >= 0; i-- {
		entries += len(m.deltas[i].Set) + len(m.deltas[i].Delete)
		if entries > maxLoggedEntries || len(m.deltas)-i > maxLoggedDeltas {
			m.deltas = append([]Delta(nil), m.deltas[i+1:]...)
			return
		}
	}
}

func (m *Machine) handleDelta(now clock.Instant, in DeltaReceived) {
	if in.Delta.Version > m.Version() {
		m.applyDelta(now, in.From, in.Delta, in.Origin)
	}
	version, done := m.Version(), in.Done
	if done != nil {
		m.out = append(m.out, Reply{func() { done(version) }})
	}
}

// applyDelta applies a delta, or pulls the missing changes from its sender.
func (m *Machine) applyDelta(now clock.Instant, from ident.VM, d Delta, origin Origin) {
	t, err := m.table.Apply(d)
	switch {
	case err == nil:
		m.adopt(t, origin)
	case d.Base == m.Version():
		m.requestPull(now, from, 0)
	default:
		m.requestPull(now, from, m.Version())
	}
}

func (m *Machine) requestPull(now clock.Instant, from ident.VM, since uint64) {
	if m.pulling && now.Sub(m.pullStarted) < PullTimeout {
		return
	}
	m.pulling, m.pullStarted = true, now
	m.out = append(m.out, Pull{From: from, Since: since})
}

func (m *Machine) handlePullCompleted(now clock.Instant, in PullCompleted) {
	m.pulling = false
	switch {
	case in.Table != nil:
		m.adopt(in.Table, FromPull)
	case in.Delta != nil && in.Delta.Version > m.Version():
		m.applyDelta(now, in.From, *in.Delta, FromPull)
	}
}

func (m *Machine) handlePullRequest(in PullRequested) {
	respond, table, version := in.Respond, m.table, m.Version()
	if in.Since >= version {
		m.out = append(m.out, Reply{func() { respond(nil, nil, version) }})
		return
	}
	if d, ok := m.deltaSince(in.Since); ok && in.Since > 0 {
		m.out = append(m.out, Reply{func() { respond(&d, nil, version) }})
		return
	}
	m.out = append(m.out, Reply{func() { respond(nil, table, version) }})
}

// deltaSince composes the kept deltas from the given version to the current one.
func (m *Machine) deltaSince(version uint64) (Delta, bool) {
	for i, d := range m.deltas {
		if d.Base != version {
			continue
		}
		for _, next := range m.deltas[i+1:] {
			d = compose(d, next)
		}
		return d, true
	}
	return Delta{}, false
}
