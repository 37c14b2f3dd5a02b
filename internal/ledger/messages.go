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

// reply is the owner's decision. Fault is a decision of the ledger; a transport error, in
// contrast, means that there is no decision from the owner.
type reply struct {
	Outcome     *Outcome      `msgpack:"o"`
	Fault       *fault.Detail `msgpack:"f"`
	NotRecorded bool          `msgpack:"c"`
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
