package membership

import (
	"cmp"
	"net/netip"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

// Op tells what a Message is for.
type Op uint8

// The operations between VMs.
const (
	// OpPing is a heartbeat; its reply shows that the VM lives.
	OpPing Op = 1
	// OpIndirect asks the receiver to ping a third VM; the reply says whether it answered.
	OpIndirect Op = 2
	// OpUpdate carries changed records and has no reply.
	OpUpdate Op = 3
	// OpSync carries the sender's bucket hashes; the reply carries the records that differ.
	OpSync Op = 4
)

// Message is a request or a reply between two VMs.
type Message struct {
	Op Op `msgpack:"o,omitempty"`
	// From is the sender of a reply.
	From ident.VM `msgpack:"f,omitempty"`
	// Sum is a hash of all records that the sender holds.
	Sum uint32 `msgpack:"s,omitempty"`
	// Digest rides on OpPing and its reply.
	Digest  *Digest  `msgpack:"d,omitempty"`
	Records []Record `msgpack:"r,omitempty"`
	Buckets []uint32 `msgpack:"b,omitempty"`
	// Target and TargetPeer name the third VM of OpIndirect.
	Target     ident.VM       `msgpack:"t,omitempty"`
	TargetPeer netip.AddrPort `msgpack:"p,omitempty"`
	// Answered is the reply to OpIndirect.
	Answered bool `msgpack:"a,omitempty"`
}

// input is one input of the machine.
type input interface{ isInput() }

type (
	// tick marks the passing of TickPeriod.
	tick struct{}
	// request is a message from another VM; a reply action with the same id answers it.
	request struct {
		id   uint64
		from ident.VM
		msg  *Message
	}
	// outcome is the reply to a call, nil when it failed.
	outcome struct {
		op    uint64
		reply *Message
	}
	// listRead is the platform's list, ok false when the platform did not answer.
	listRead struct {
		vms []objectstore.VM
		ok  bool
	}
	// evidence is a failed call of another part of this process.
	evidence struct{ vm ident.VM }
	// leave begins a planned stop.
	leave struct{}
)

func (tick) isInput()     {}
func (request) isInput()  {}
func (outcome) isInput()  {}
func (listRead) isInput() {}
func (evidence) isInput() {}
func (leave) isInput()    {}

// action is one action of the machine.
type action interface{ isAction() }

type (
	// call sends a message and wants its outcome.
	call struct {
		op uint64
		to netip.AddrPort
		// indirect calls wait for a third VM.
		indirect bool
		msg      *Message
	}
	// send sends a message without a reply.
	send struct {
		to  netip.AddrPort
		msg *Message
	}
	// reply answers a request.
	reply struct {
		id  uint64
		msg *Message
	}
	// digestSeen hands on another VM's digest.
	digestSeen struct {
		from   Member
		digest Digest
	}
	// publish puts a new view in force.
	publish struct{ view *View }
	// readList reads the platform's list.
	readList struct{}
	// changed is for the log.
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

// asked notes when a call was made.
type asked struct {
	op     pendingKind
	target ident.VM
	at     clock.Instant
	// dataCentre is set for calls between bridges.
	dataCentre string
	// request is the OpIndirect to answer.
	request uint64
	// second marks the direct probe after a third VM heard the target.
	second bool
	// stage collects the indirect probes of one target.
	stage *indirectStage
}

type pendingKind uint8

const (
	pendingPing pendingKind = iota + 1
	pendingIndirect
	pendingForOther
	pendingSync
)

// indirectStage collects the answers of third VMs about one target.
type indirectStage struct {
	waiting int
	heard   bool
}
