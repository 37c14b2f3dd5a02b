// Package quarantine keeps prompts from the engines that crash one engine after the other. Calls whose
// engine crashes while it begins to answer leave a record with the parts of their prompts; a part that
// explains several of these crashes, and with which few calls get their answers, is quarantined. Calls with
// it are refused until one of them, tried after a while, gets its answer. VMs share their records, so that
// all of them decide the same, and keep them in a store, so that they outlive the VMs.
package quarantine

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Record is something that a VM has seen of the parts of a prompt.
type Record struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// ID identifies the record; VMs choose it at random.
	ID uint64
	// Endpoint is the engine that crashed. It is empty in a record that clears Parts: a call with them, sent
	// to try the parts again, got its answer.
	Endpoint traffic.EndpointID
	// Parts are the parts of the prompt, in order.
	Parts []string
	// Call is the id of the call. A call that is sent again after a crash counts once.
	Call string
	// Age is the time since the event.
	Age time.Duration
}

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

	Records []Record
	Starts  []Starts
}

// Empty reports whether the state says nothing.
func (s *State) Empty() bool { return len(s.Records) == 0 && len(s.Starts) == 0 }

// entry is a record with the time of its event.
type entry struct {
	Record
	at clock.Instant
}
