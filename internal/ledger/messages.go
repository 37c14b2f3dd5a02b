package ledger

import (
	"github.com/fulmartide/fulmartide/internal/fault"
)

// request is one operation sent to the owner of a shard.
type request struct {
	Kind    operationKind `msgpack:"k"`
	Intent  Intent        `msgpack:"i"`
	Outcome Outcome       `msgpack:"o"`
}

// reply is the owner's decision. After a transport error, there is no reply and the sender does not know
// what the owner decided.
type reply struct {
	Outcome *Outcome `msgpack:"o"`
	// Fault is set if the operation failed at the owner.
	Fault *fault.Detail `msgpack:"f"`
	// NotRecorded is set with Fault if the ledger certainly does not contain the operation.
	NotRecorded bool `msgpack:"c"`
}

func newReply(r result) *reply {
	out := &reply{Outcome: r.outcome, NotRecorded: r.notRecorded}
	if r.err != nil {
		d := fault.DetailOf(r.err)
		out.Fault = &d
	}
	return out
}

func (r *reply) result() result {
	if r.Fault != nil {
		return result{err: r.Fault.Err(), notRecorded: r.NotRecorded}
	}
	return result{outcome: r.Outcome}
}
