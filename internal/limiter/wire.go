package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
)

// mode says what a reserve request accepts.
type mode uint8

const (
	// modeWhole takes all tokens or none, for good.
	modeWhole mode = iota + 1
	// modePart takes what is there, until the gathering request is decided.
	modePart
	// modePartWaiting is modePart that first waits for undecided parts of other requests.
	modePartWaiting
)

// ReserveRequest asks a share holder for tokens. The sender's VM and Seq identify it, so a
// doubled request gets the first one's answer.
type ReserveRequest struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string
	Seq       uint64
	Tokens    int64
	Mode      mode
}

// status is a share holder's answer.
type status uint8

const (
	// statusGranted: Granted tokens were taken.
	statusGranted status = iota + 1
	// statusShort: too few tokens are there; none was taken.
	statusShort
	// statusContended: as statusShort, while undecided parts of other requests are out.
	statusContended
	// StatusNotHolder: this VM does not hold the share, or may not grant now.
	StatusNotHolder
	// StatusNoPlan: the workspace has no plan here.
	StatusNoPlan
	// StatusUnreachable is set by the requester when no reply came in time.
	StatusUnreachable
)

// ReserveReply answers a ReserveRequest. Balance is the whole tokens left, as a hint.
type ReserveReply struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Status  status
	Granted int64
	Balance int64
}

// KeepUsed in a Settlement means that a tentative part is now part of a decided reservation.
const KeepUsed = -1

// Settlement ends one part, or confirms a tentative one when Used is KeepUsed.
type Settlement struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string
	Seq       uint64
	Used      int64
}

// SettleBatch carries settlements of one requester to one holder. VM is the requester when a
// former holder passes the batch on.
type SettleBatch struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	VM    *ident.VM
	Items []Settlement
}

// controlRequest carries what changes the holders: a record that was written, balances of
// shards handed over, or a question for terms seen.
type controlRequest struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	DataCentre string
	// Record is the record as written, at version Version.
	Record  []byte
	Version uint64
	// Recover asks for overflow of a shard held by the receiver.
	Recover []RecoverItem
	// Balances are those of the shards that the sender handed to the receiver.
	Balances []balance
}

// controlReply gives the record version that the receiver applies, and the record itself
// when it is newer than the sender's.
type controlReply struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
	Record  []byte
	// Recovered answers Recover with tokens, item by item.
	Recovered []int64
}

// RecoverItem asks for up to Tokens that the receiver's share lost at its cap: the sender's
// share has had room for them for Age.
type RecoverItem struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string
	Age       time.Duration
	Tokens    int64
}

// balance is one bucket in a handover.
type balance struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Shard     int
	Workspace string
	Term      uint64
	Level     int64
	Parts     []partState
}

// partState is one unsettled part in a handover.
type partState struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	VM     ident.VM
	Seq    uint64
	Tokens int64
	Room   int64
}
