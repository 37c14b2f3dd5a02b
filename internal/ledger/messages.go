package ledger

import (
	"github.com/fulmartide/fulmartide/internal/fault"
)

// request asks the owner of a shard for one operation.
type request struct {
	Kind    operationKind `msgpack:"k"`
	Intent  Intent        `msgpack:"i"`
	Outcome Outcome       `msgpack:"o"`
}

// reply is the owner's decision. A fault here is the ledger's own; a fault of the transport
// means that the owner gave no decision.
type reply struct {
	Outcome *Outcome      `msgpack:"o"`
	Fault   *fault.Detail `msgpack:"f"`
	Clean   bool          `msgpack:"c"`
}

func newReply(r result) *reply {
	out := &reply{Outcome: r.outcome, Clean: r.clean}
	if r.err != nil {
		d := fault.DetailOf(r.err)
		out.Fault = &d
	}
	return out
}

func (r *reply) result() result {
	if r.Fault != nil {
		return result{err: r.Fault.Err(), clean: r.Clean}
	}
	return result{outcome: r.Outcome}
}
