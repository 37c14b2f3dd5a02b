package placement

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// Input is an input of a Cell: one of the types below.
type Input interface{ input() }

// PlaceInput requests a placement. Repeating it has no effect for a queued request, and returns
// the same assignment for a placed one.
type PlaceInput struct{ Request Request }

// CancelInput ends a request, whether it is queued or placed.
type CancelInput struct{ ID ident.RequestID }

// ProgressInput reports a stage that a placed request has completed.
type ProgressInput struct {
	ID    ident.RequestID
	Stage Stage
}

// ReassignInput abandons a placed request's endpoints after Failed has failed, and requests
// others. Request contains the remaining deadline and the endpoints to avoid; its first-token target
// no longer applies.
type ReassignInput struct {
	Request Request
	Failed  string
}

// RestoreInput carries an assignment made by a previous owner.
type RestoreInput struct {
	Request    Request
	Assignment Assignment
	Stage      Stage
	// Elapsed is the time since the assignment.
	Elapsed time.Duration
}

// MembersInput carries the members of the fleet. Claims of a VM that is gone, or that has
// restarted with a higher incarnation, are freed.
type MembersInput struct{ Members []membership.Member }

// LoadInput carries an endpoint's load report.
type LoadInput struct {
	Endpoint string
	Load     endpoint.Load
}

// LoadPollFailedInput reports that an endpoint did not answer a load poll.
type LoadPollFailedInput struct{ Endpoint string }

// CacheInput carries an endpoint's cache events.
type CacheInput struct {
	Endpoint string
	Events   []endpoint.CacheEvent
}

// ConfigurationInput carries the model and endpoints of the cell.
type ConfigurationInput struct {
	Model     configuration.Model
	Endpoints map[string]configuration.Endpoint
}

// TickInput advances time.
type TickInput struct{}

func (PlaceInput) input()          {}
func (CancelInput) input()         {}
func (ProgressInput) input()       {}
func (ReassignInput) input()       {}
func (RestoreInput) input()        {}
func (MembersInput) input()        {}
func (LoadInput) input()           {}
func (LoadPollFailedInput) input() {}
func (CacheInput) input()          {}
func (ConfigurationInput) input()  {}
func (TickInput) input()           {}

// Action is an output of a Cell. Exactly one field is set.
type Action struct {
	// Decision answers a PlaceInput or a ReassignInput.
	Decision *Decision
	// Status reports the state of the cell and its endpoints.
	Status *CellStatus
	// Ejection reports that an endpoint was ejected or readmitted.
	Ejection *Ejection
	// Order requests that an order be sent to an endpoint.
	Order *OrderAction
}

// CellStatus is the state of a cell.
type CellStatus struct {
	Endpoints      []EndpointStatus
	Claims, Queued int
}

// Decision is the answer to one request: an assignment, or a refusal before anything was run.
type Decision struct {
	ID         ident.RequestID
	Workspace  string
	Class      configuration.Class
	Assignment Assignment
	// Refusal is nil if the request was assigned.
	Refusal *fault.Detail
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// Rejected counts the endpoints that were not chosen, by cause.
	Rejected Rejections
	// Reassigned is set if this answers a ReassignInput.
	Reassigned bool
}

// Ejection reports that an endpoint is temporarily excluded from placement, or included again.
type Ejection struct {
	Endpoint string
	Ejected  bool
	Cause    string
}

// EndpointStatus is the state of one endpoint as the owner of its cell sees it.
type EndpointStatus struct {
	Endpoint string `json:"endpoint"`
	Role     string `json:"role"`
	// Running counts decode claims; Queued counts prefill claims.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// State is known, leaving or ejected.
	State string `json:"state"`
}
