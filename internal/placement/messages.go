package placement

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// Input is what a Cell takes: one of the types below.
type Input interface{ input() }

// PlaceInput asks for a placement. Asking again for a request that waits changes nothing;
// asking again for a placed one gives the same assignment.
type PlaceInput struct{ Request Request }

// CancelInput ends a request wherever it is.
type CancelInput struct{ ID ident.RequestID }

// ProgressInput tells of a stage that a placed request has passed.
type ProgressInput struct {
	ID    ident.RequestID
	Stage Stage
}

// ReassignInput gives up a placed request's endpoints after Failed failed, and asks for
// others. Request carries the targets still left and the endpoints to avoid.
type ReassignInput struct {
	Request Request
	Failed  string
	// Started says that the first token was given, so that its target no longer counts.
	Started bool
}

// RestoreInput brings an assignment that another owner made.
type RestoreInput struct {
	Request    Request
	Assignment Assignment
	Stage      Stage
	// Elapsed is the time since the assignment.
	Elapsed time.Duration
}

// MembersInput brings the fleet's VMs. Claims of a VM that is gone, or that lives under a
// higher incarnation, are freed.
type MembersInput struct{ Members []membership.Member }

// LoadInput is an endpoint's load report.
type LoadInput struct {
	Endpoint string
	Load     endpoint.Load
}

// SilentInput tells that an endpoint did not answer a load poll.
type SilentInput struct{ Endpoint string }

// CacheInput brings an endpoint's cache events.
type CacheInput struct {
	Endpoint string
	Events   []endpoint.CacheEvent
}

// ConfigurationInput brings the model and endpoints of the cell.
type ConfigurationInput struct {
	Model     configuration.Model
	Endpoints map[string]configuration.Endpoint
}

// TickInput marks the passing of time.
type TickInput struct{}

func (PlaceInput) input()         {}
func (CancelInput) input()        {}
func (ProgressInput) input()      {}
func (ReassignInput) input()      {}
func (RestoreInput) input()       {}
func (MembersInput) input()       {}
func (LoadInput) input()          {}
func (SilentInput) input()        {}
func (CacheInput) input()         {}
func (ConfigurationInput) input() {}
func (TickInput) input()          {}

// Action is what a Cell decides. Exactly one field is set.
type Action struct {
	// Decision answers a PlaceInput or a ReassignInput.
	Decision *Decision
	// Status tells how the endpoints stand.
	Status *CellStatus
	// Ejection tells that an endpoint was ejected or readmitted.
	Ejection *Ejection
	// Order asks for an order to an endpoint.
	Order *OrderAction
}

// CellStatus tells how a cell stands.
type CellStatus struct {
	Endpoints      []EndpointStatus
	Claims, Queued int
}

// Decision is the answer for one request: an assignment, or a refusal before it was run.
type Decision struct {
	ID         ident.RequestID
	Workspace  string
	Class      configuration.Class
	Assignment Assignment
	// Refusal is nil when the request was assigned.
	Refusal *fault.Detail
	// Waited is the time in the queue.
	Waited time.Duration
	// Rejected counts the endpoints that were passed over, by cause.
	Rejected Rejections
	// Moved is set when this answers a ReassignInput.
	Moved bool
}

// Ejection tells that an endpoint gets no work for a while, or gets work again.
type Ejection struct {
	Endpoint string
	Ejected  bool
	Cause    string
}

// EndpointStatus is what the owner of a cell knows of one endpoint.
type EndpointStatus struct {
	Endpoint string `json:"endpoint"`
	Role     string `json:"role"`
	// Running counts decode claims; Queued counts prefill claims.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// State is known, leaving or ejected.
	State string `json:"state"`
}
