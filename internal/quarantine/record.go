// Package quarantine keeps calls from endpoints that crash one endpoint after the other. Calls whose endpoint
// crashes leave a record. Two properties of a call are told apart: a part of its prompt, and the request as a whole,
// by its key. One that explains several of these crashes, and with which few calls get their answers, is
// quarantined. Calls with it are refused until one of them, tried after a while, gets its answer. VMs share their
// records, so that all of them decide the same, and keep them in a store, so that they outlive the VMs.
package quarantine

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Record is something that a VM has seen of the parts of a prompt, or of a request.
type Record struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// ID identifies the record; VMs choose it at random.
	ID uint64
	// Endpoint is the endpoint that crashed. It is empty in a record that clears Parts: a call with them got its answer.
	Endpoint traffic.EndpointID
	// Parts are the parts of the prompt, in order, or only the key of the request.
	Parts []string
	// Call is the id of the call. For a part of a prompt, a call that is sent again after a crash counts once.
	Call string
	// Age is the time since the event.
	Age time.Duration
	// Ran is the time between the send and the crash.
	Ran time.Duration
}

// isRequest reports whether the record is about a request, not about parts of a prompt.
func (r *Record) isRequest() bool { return len(r.Parts) == 1 && traffic.IsRequestKey(r.Parts[0]) }

func (r *Record) clears() bool { return r.Endpoint.Name == "" }

// Starts is the number of calls with a part in their prompts whose engines began to answer.
type Starts struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Part  string
	Calls int
}

// State is what VMs tell each other.
type State struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Records codec.List[Record]
	Starts  codec.List[Starts]
}

// Empty reports whether the state says nothing.
func (s *State) Empty() bool { return len(s.Records) == 0 && len(s.Starts) == 0 }

// entry is a record with the time of its event.
type entry struct {
	Record
	at clock.Instant
}
