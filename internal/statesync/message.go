// Package statesync synchronises state between the VMs of a fleet: which VMs are up, the work each
// has placed on endpoints, the usage each has admitted, failed endpoints, and the versions of
// shared documents. Nothing is persisted; a VM that was unreachable receives the full state again
// with the next full heartbeat.
//
// The direct peers of a VM are those with which it exchanges its full state: all VMs of a small
// fleet, the VMs of the same data centre in a large one. Across the data centres of a large fleet
// VMs exchange digests, and updates about the endpoints of the receiving data centre.
package statesync

import (
	"net/netip"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Member is one incarnation of a VM.
type Member struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	VM         ident.VM
	Address    netip.AddrPort
	DataCentre string
}

// endpointWork is the work that a VM has placed on one endpoint.
type endpointWork struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name      string
	StartedAt int64
	Work      schedule.Work
	// Slowness is how long work took at the endpoint, as a multiple of the usual time, SlownessAge before the message was
	// sent; 0 if it is not known. They are encoded as an endpointPace, as builds without them reject a longer array.
	Slowness    float64       `msgpack:"-"`
	SlownessAge time.Duration `msgpack:"-"`
}

func (w endpointWork) id() traffic.EndpointID {
	return traffic.EndpointID{Name: w.Name, StartedAt: w.StartedAt}
}

// counter is the value of one admission counter of a VM, counted since the VM started.
type counter struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Kind  admission.CounterKind
	Name  string
	Total int64
}

// usage is the number of tokens admitted for a workspace in the current plan window.
type usage struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string
	Tokens    int64
}

// heartbeat reports that a VM is up. Full heartbeats also repeat its state.
type heartbeat struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	From Member
	// Leaving is set by a VM that accepts no more calls.
	Leaving bool
	// Full is set if Work and Counters hold the full state of the VM. Otherwise they are empty:
	// changes are sent as they occur, and a full heartbeat only corrects the state after lost
	// updates.
	Full bool
	// Seq numbers the changes of Work.
	Seq      uint64
	Work     endpointWorks
	Counters codec.List[counter]
	// Versions are the versions of the sender's documents, indexed by document number.
	Versions []traffic.DocumentVersion
	// Age is the time since these versions were last known to be the newest in the store.
	Age time.Duration
	// Reading is the read of the store of which this is known. It follows the message.
	Reading traffic.Reading `msgpack:"-"`
	// Quarantine is the fingerprint of what the sender knows about prompts that crash engines.
	Quarantine uint64
	// Limits are the rate limits of endpoints in force, in full heartbeats only.
	Limits codec.List[endpointLimit]
}

// endpointLimit is what a VM knows of the rate limit of an endpoint.
type endpointLimit struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name      string
	StartedAt int64
	Limit     schedule.Limit
}

// digest reports the combined state of one data centre's VMs to another data centre of a large fleet.
type digest struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// From is the VM that created the digest.
	From Member
	// Forward asks the receiver to send the digest on to the other VMs of its data centre.
	Forward bool
	// Members are the live VMs of the sender's data centre, including the sender.
	Members codec.List[Member]
	// Work is the combined work of Members, except on endpoints of the receiver's data centre:
	// each member reports that work to the receiver's data centre itself.
	Work codec.List[endpointWork]
	// Used is the combined usage that Members admitted in the current plan window.
	Used codec.List[usage]
	// Versions, Age, Reading and Quarantine are as in a heartbeat.
	Versions   []traffic.DocumentVersion
	Age        time.Duration
	Reading    traffic.Reading `msgpack:"-"`
	Quarantine uint64
}

// update reports changes of a VM's work and counters. VMs of other data centres of a large fleet
// receive only the work on their own endpoints.
type update struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	From     netip.AddrPort
	Seq      uint64
	Work     endpointWorks
	Counters codec.List[counter]
	// Snapshot is set if Work is all the work that the sender has on endpoints of the receiver's
	// data centre.
	Snapshot bool
}

// failure reports that an endpoint aborted a call, was found dead, changes its stage, or leaves.
type failure struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name      string
	StartedAt int64
	Outcome   schedule.Outcome
}

// documentRequest asks for a document if its version is not Known.
type documentRequest struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Document int
	Known    traffic.DocumentVersion
}

// documentResponse carries a document. Body is empty if the sender has no other version.
type documentResponse struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Version traffic.DocumentVersion
	Body    []byte
	// Age is the time since the sender's documents were last known to be the newest in the store.
	Age time.Duration
}

// windowRequest asks for the receiver's knowledge of the usage in the current plan window. Only a VM
// that has just started sends it, so the reply also tells it which documents are in force.
type windowRequest struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// LivedThrough is set if only a VM that lived through the window is asked: the sender knows already what the
	// others have from records.
	LivedThrough bool
}

// windowResponse is the reply to a windowRequest.
type windowResponse struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Complete is set if the sender knows all usage in the window. Otherwise State is empty.
	Complete bool
	State    admission.WindowState
	// From, Versions and Age are as in a heartbeat.
	From     Member
	Versions []traffic.DocumentVersion
	Age      time.Duration
}

// quarantineRequest asks for all that the receiver knows about prompts that crash engines.
type quarantineRequest struct{}
