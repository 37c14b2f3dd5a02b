package placement

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// placeMessage requests a placement from a cell's owner or, if Failed is set, a reassignment.
// The owner replies within Wait. While the request is queued, the sender repeats the message,
// so that each side can tell that the other is still live.
type placeMessage struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Cell    string
	Request Request
	Failed  string
	Wait    time.Duration
}

// placeReply answers a placeMessage.
type placeReply struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Waiting is set while the request is queued.
	Waiting    bool
	Assignment Assignment
	Refusal    *fault.Detail
}

// stageUpdate reports the progress of one request, which belongs to the VM that sends the
// update.
type stageUpdate struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Cell  string
	Seq   uint64
	Stage Stage
}

// restoredLease informs a new owner of an existing assignment.
type restoredLease struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Cell       string
	Request    Request
	Assignment Assignment
	Stage      Stage
	Elapsed    time.Duration
}

// updateMessage carries several updates to one owner.
type updateMessage struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Stages   []stageUpdate
	Restored []restoredLease
}

// updateReply acknowledges an updateMessage.
type updateReply struct{}
