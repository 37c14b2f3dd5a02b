package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
)

// reserveMode determines how a reserve request may be granted.
type reserveMode uint8

const (
	// modeAllOrNothing grants either all tokens or none. The grant is final.
	modeAllOrNothing reserveMode = iota + 1
	// modePartial grants as many tokens as are available. The grant is tentative until the
	// requester has decided whether to admit.
	modePartial
	// modePartialWait is modePartial, but waits first while tentative grants of other requests
	// are undecided.
	modePartialWait
)

// ReserveRequest requests tokens from a shard holder. The sender's VM and Seq identify it, so a
// duplicate receives the same reply as the original.
type ReserveRequest struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string
	Seq       uint64
	Tokens    int64
	Mode      reserveMode
}

// reserveStatus is the result of a reserve request.
type reserveStatus uint8

const (
	// statusGranted means that all requested tokens were granted.
	statusGranted reserveStatus = iota + 1
	// statusInsufficient means that the balance was too low. In modeAllOrNothing nothing was
	// granted, in the partial modes Granted tokens were.
	statusInsufficient
	// statusContended is statusInsufficient while tentative grants of other requests are
	// undecided.
	statusContended
	// StatusNotHolder means that the VM does not hold the share or may not grant at present.
	StatusNotHolder
	// StatusNoPlan means that the holder knows no plan for the workspace.
	StatusNoPlan
	// StatusUnreachable is set by the requester if no reply arrived in time.
	StatusUnreachable
)

// ReserveReply is the reply to a ReserveRequest. Balance is the remaining balance in whole tokens
// and is only a hint.
type ReserveReply struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Status  reserveStatus
	Granted int64
	Balance int64
}

// ConfirmTentative as the Used value of a Settlement confirms a tentative grant: the request was
// admitted.
const ConfirmTentative = -1

// Settlement ends one grant, or confirms a tentative grant if Used is ConfirmTentative.
type Settlement struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string
	Seq       uint64
	Used      int64
}

// SettlementBatch contains settlements sent by one requester to one holder. VM is set to the
// requester if a previous holder forwards the batch.
type SettlementBatch struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	VM    *ident.VM
	Items []Settlement
}

// controlRequest carries a newly written record, the balances of shards being handed over, or a
// reclaim request. Without any of these it is a query for the record applied by the receiver.
// Receivers reply with a controlReply.
type controlRequest struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	DataCentre string
	// Record is the encoded record as written at Version.
	Record  []byte
	Version uint64
	// Reclaim requests tokens that shares held by the receiver lost at their burst limit.
	Reclaim []ReclaimItem
	// Balances are the bucket states of shards that the sender hands over to the receiver.
	Balances []bucketState
}

// controlReply returns the record version applied by the receiver, and the record itself if it is
// newer than the sender's.
type controlReply struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
	Record  []byte
	// Reclaimed is the number of tokens granted for each item of Reclaim.
	Reclaimed []int64
}

// ReclaimItem requests up to Tokens that the receiver's share lost while it was at its burst
// limit. The sender's share has had headroom for them for at least Age.
type ReclaimItem struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string
	Age       time.Duration
	Tokens    int64
}

// bucketState is the state of one bucket in a handover.
type bucketState struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Shard     int
	Workspace string
	Term      uint64
	Level     int64
	Grants    []grantState
}

// grantState is one unsettled grant in a handover.
type grantState struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	VM       ident.VM
	Seq      uint64
	Tokens   int64
	Headroom int64
}
