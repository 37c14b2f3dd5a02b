package placement

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// askMessage asks a cell's owner for a placement or, with Failed set, for another one. The
// owner answers within Wait; the asker repeats the message while the request waits, which
// shows each of them that the other is there.
type askMessage struct {
	Cell    string        `msgpack:"c"`
	Request Request       `msgpack:"r"`
	Failed  string        `msgpack:"f,omitempty"`
	Started bool          `msgpack:"s,omitempty"`
	Wait    time.Duration `msgpack:"w"`
}

// askReply answers an askMessage.
type askReply struct {
	// Waiting is set while the request is in the queue.
	Waiting    bool          `msgpack:"w,omitempty"`
	Assignment Assignment    `msgpack:"a"`
	Refusal    *fault.Detail `msgpack:"f,omitempty"`
}

// stageUpdate is one request's progress.
type stageUpdate struct {
	Cell  string          `msgpack:"c"`
	ID    ident.RequestID `msgpack:"i"`
	Stage Stage           `msgpack:"s"`
}

// restoredLease is one assignment that a new owner has to know of.
type restoredLease struct {
	Cell       string        `msgpack:"c"`
	Request    Request       `msgpack:"r"`
	Assignment Assignment    `msgpack:"a"`
	Stage      Stage         `msgpack:"s"`
	Elapsed    time.Duration `msgpack:"e"`
}

// updateMessage brings several updates to one owner.
type updateMessage struct {
	Stages   []stageUpdate   `msgpack:"s,omitempty"`
	Restored []restoredLease `msgpack:"r,omitempty"`
}

// updateReply acknowledges an updateMessage.
type updateReply struct{}
