// Package exchange is what VMs tell each other: who is up, what each holds at endpoints, what
// each admitted, which endpoints are dead, and which documents they have. Nothing of it lasts;
// a VM that was away is told everything again with the next heartbeat.
package exchange

import (
	"net/netip"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Member is one life of a VM.
type Member struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	VM         ident.VM
	Address    netip.AddrPort
	DataCentre string
}

// endpointWork is what a VM holds at one endpoint.
type endpointWork struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name string
	Born int64
	Work schedule.Work
}

func (w endpointWork) id() traffic.EndpointID { return traffic.EndpointID{Name: w.Name, Born: w.Born} }

// count is what a VM counted since it started.
type count struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Of   admission.CounterKind
	Name string
	N    int64
}

// use is what a data centre admitted for a workspace in the window of plans, in tokens.
type use struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Workspace string
	Tokens    int64
}

// beat is a heartbeat.
type beat struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	From Member
	// Leaving VMs take no more calls.
	Leaving bool
	// Full: Work and Counts hold all that the VM holds and counted, and Window what it knows to
	// have been used of plans; else they are empty, as changes are told at once and this only
	// repairs what was lost of them.
	Full bool
	// Seq numbers the changes of Work.
	Seq    uint64
	Work   []endpointWork
	Counts []count
	Window []use
	// Whole: nothing that was used in the window is missing there.
	Whole bool
	// Versions of the documents that the sender has, in the order of Documents.
	Versions []uint64
	// Age is the time since they are known to have been the store's newest.
	Age time.Duration
}

// digest tells the VMs of one data centre about those of another in a large fleet, in sums.
type digest struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// From is the VM that made the digest.
	From Member
	// HandOn: the receiver is to hand the digest on to the other VMs of its data centre.
	HandOn bool
	// Members are the VMs that the sender hears of its data centre, itself counted.
	Members []Member
	// Work is what they hold together, but for endpoints of the receiver's data centre, of which
	// they tell themselves.
	Work []endpointWork
	// Used is what they admitted together in the window of plans.
	Used []use
	// Versions and Age are as those of a beat.
	Versions []uint64
	Age      time.Duration
}

// changes tells what changed of what a VM holds and has counted. VMs of other data centres of a
// large fleet are told of the endpoints of theirs only.
type changes struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	From   netip.AddrPort
	Seq    uint64
	Work   []endpointWork
	Counts []count
	// All: the sender holds nothing else at endpoints of the receiver's data centre.
	All bool
}

// failure tells that an endpoint broke off, or was found dead.
type failure struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name    string
	Born    int64
	Outcome schedule.Outcome
}

// documentAsk asks for a document if it is newer than Than.
type documentAsk struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Document int
	Than     uint64
}

// documentAnswer holds a document; without a body there is none that is newer.
type documentAnswer struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
	Body    []byte
	// Age is the time since the sender's documents are known to have been the store's newest.
	Age time.Duration
}
