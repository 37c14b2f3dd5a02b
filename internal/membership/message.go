package membership

import (
	"cmp"
	"net/netip"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

// Op is the operation of a Message.
type Op uint8

// The operations between VMs.
const (
	// OpPing is a heartbeat; the reply shows that the VM is alive.
	OpPing Op = 1
	// OpIndirect asks the receiver to ping a third VM; the reply states whether that VM answered.
	OpIndirect Op = 2
	// OpUpdate carries changed records and has no reply.
	OpUpdate Op = 3
	// OpSync carries the sender's bucket checksums; the reply carries the records that differ.
	OpSync Op = 4
)

// Message is a request or reply between two VMs.
type Message struct {
	Op Op `msgpack:"o,omitempty"`
	// From is the sender of a reply.
	From ident.VM `msgpack:"f,omitempty"`
	// Sum is a checksum of the sender's records.
	Sum uint32 `msgpack:"s,omitempty"`
	// Digest summarizes the versions that the sender has. It is attached to OpPing and its reply.
	Digest  *Digest            `msgpack:"d,omitempty"`
	Records codec.List[Record] `msgpack:"r,omitempty"`
	Buckets []uint32           `msgpack:"b,omitempty"`
	// Target and TargetAddress identify the VM to probe with OpIndirect.
	Target        ident.VM       `msgpack:"t,omitempty"`
	TargetAddress netip.AddrPort `msgpack:"p,omitempty"`
	// Answered is the result of OpIndirect.
	Answered bool `msgpack:"a,omitempty"`
}

// input is an input of the machine.
type input interface{ isInput() }

type (
	// tick is sent every TickPeriod.
	tick struct{}
	// request is a message from another VM; a reply action with the same id answers it.
	request struct {
		id   uint64
		from ident.VM
		msg  *Message
	}
	// outcome is the reply to a call, nil if the call failed.
	outcome struct {
		callID uint64
		reply  *Message
	}
	// listRead is the result of reading the platform's list; ok is false if the platform did not
	// answer.
	listRead struct {
		vms []objectstore.VM
		ok  bool
	}
	// callFailed reports a failed call to a VM by another part of this process.
	callFailed struct{ vm ident.VM }
	// leave starts a graceful shutdown.
	leave struct{}
)

func (tick) isInput()       {}
func (request) isInput()    {}
func (outcome) isInput()    {}
func (listRead) isInput()   {}
func (callFailed) isInput() {}
func (leave) isInput()      {}

// action is an action requested by the machine.
type action interface{ isAction() }

type (
	// call sends a message; its reply or failure comes back as an outcome.
	call struct {
		callID uint64
		to     netip.AddrPort
		// indirect is set for calls whose reply depends on a third VM.
		indirect bool
		msg      *Message
	}
	// send sends a one-way message.
	send struct {
		to  netip.AddrPort
		msg *Message
	}
	// reply answers a request.
	reply struct {
		id  uint64
		msg *Message
	}
	// digestSeen passes on another VM's digest.
	digestSeen struct {
		from   Member
		digest Digest
	}
	// publish replaces the current view.
	publish struct{ view *View }
	// readList reads the platform's list.
	readList struct{}
	// changed logs a change of a member's state.
	changed struct {
		vm       ident.VM
		from, to State
		reason   string
	}
)

func (call) isAction()       {}
func (send) isAction()       {}
func (reply) isAction()      {}
func (digestSeen) isAction() {}
func (publish) isAction()    {}
func (readList) isAction()   {}
func (changed) isAction()    {}

func compareNames(a, b ident.VM) int { return cmp.Compare(a.Name, b.Name) }

// pendingCall is a call in flight.
type pendingCall struct {
	kind   pendingKind
	target ident.VM
	at     clock.Instant
	// dataCentre is the remote data centre of a bridge's heartbeat, otherwise empty.
	dataCentre string
	// requestID identifies the OpIndirect request that this ping serves.
	requestID uint64
	// final marks a ping whose failure is not followed by indirect probes.
	final bool
	// round collects the indirect probes of one target.
	round *indirectRound
}

type pendingKind uint8

const (
	pendingPing pendingKind = iota + 1
	pendingIndirect
	pendingPingForOther
	pendingSync
)

// indirectRound collects the results of the indirect probes of one target.
type indirectRound struct {
	waiting int
	reached bool
}
