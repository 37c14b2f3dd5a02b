package placement

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// askMessage asks a cell's owner for a placement or, with Failed set, for another one. The
// owner answers within Wait; the asker repeats the message while the request waits, which
// shows each of them that the other is there.
type askMessage struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Cell    string
	Request Request
	Failed  string
	Started bool
	Wait    time.Duration
}

// askReply answers an askMessage.
type askReply struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Waiting is set while the request is in the queue.
	Waiting    bool
	Assignment Assignment
	Refusal    *fault.Detail
}

// stageUpdate is one request's progress. Its request is of the VM that sends it.
type stageUpdate struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Cell  string
	Seq   uint64
	Stage Stage
}

// restoredLease is one assignment that a new owner has to know of.
type restoredLease struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Cell       string
	Request    Request
	Assignment Assignment
	Stage      Stage
	Elapsed    time.Duration
}

// updateMessage brings several updates to one owner.
type updateMessage struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Stages   []stageUpdate
	Restored []restoredLease
}

// updateReply acknowledges an updateMessage.
type updateReply struct{}
