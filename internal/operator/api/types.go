// Package api defines the daemon's operator API: JSON request and response types, HTTP helpers for
// the server, and the client that the command-line tool uses.
//
// Commands change state and are POST requests under /operator/command/. Queries are read-only and
// are GET requests under /operator/query/.
package api

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/keys"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/placement"
)

// Prefixes of the operator API.
const (
	CommandPrefix = "/operator/command/"
	QueryPrefix   = "/operator/query/"
)

// Paths of the commands.
const (
	PathApply    = CommandPrefix + "config/apply"
	PathGive     = CommandPrefix + "key/give"
	PathWithdraw = CommandPrefix + "key/withdraw"
	PathDrain    = CommandPrefix + "endpoint/drain"
)

// Paths of the queries.
const (
	PathConfiguration    = QueryPrefix + "config"
	PathHistory          = QueryPrefix + "config/history"
	PathConfirmations    = QueryPrefix + "config/confirmations"
	PathKeys             = QueryPrefix + "keys"
	PathKeyConfirmations = QueryPrefix + "keys/confirmations"
	PathStatus           = QueryPrefix + "status"
	PathEndpoints        = QueryPrefix + "endpoints"
	PathExplain          = QueryPrefix + "explain"
)

// ParameterID is the query parameter that identifies a key or request.
const ParameterID = "id"

// ApplyRequest applies a configuration document.
type ApplyRequest struct {
	Document configuration.Document `json:"document"`
	// IfVersion must be the current version; 0 means that no document may be stored yet.
	IfVersion configuration.Version `json:"if_version"`
}

// ApplyResponse contains the accepted version.
type ApplyResponse struct {
	Version configuration.Version `json:"version"`
}

// GiveRequest creates a key.
type GiveRequest struct {
	Workspace string `json:"workspace"`
}

// GiveResponse contains a new key. This is the only response that contains the secret.
type GiveResponse struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Secret    string `json:"secret"`
}

// WithdrawRequest invalidates a key.
type WithdrawRequest struct {
	KeyID string `json:"key_id"`
}

// WithdrawResponse is the progress of a withdrawal.
type WithdrawResponse struct {
	KeyID string `json:"key_id"`
	keys.Withdrawal
}

// FullyConfirmed reports whether the platform has stored the withdrawal and all data centres have
// confirmed it.
func (r WithdrawResponse) FullyConfirmed() bool { return r.Stored && len(r.Unconfirmed) == 0 }

// DrainRequest marks an endpoint as leaving, or clears the mark if Undo is set.
type DrainRequest struct {
	Endpoint string `json:"endpoint"`
	Undo     bool   `json:"undo,omitempty"`
}

// DrainResponse is the result of a DrainRequest. Version is the configuration version in which the
// endpoint has the requested mark. Changed is false if it already had this mark.
type DrainResponse struct {
	Endpoint string                `json:"endpoint"`
	Leaving  bool                  `json:"leaving"`
	Version  configuration.Version `json:"version"`
	Changed  bool                  `json:"changed"`
}

// ConfigurationResponse contains the current configuration of the responding VM and the time at which
// the VM adopted it. Version 0 means that the VM has none.
type ConfigurationResponse struct {
	Version   configuration.Version  `json:"version"`
	AdoptedAt time.Time              `json:"applied"`
	Document  configuration.Document `json:"document"`
}

// HistoryResponse contains the latest accepted changes, oldest first.
type HistoryResponse struct {
	Revisions []configuration.Revision `json:"revisions"`
}

// ConfirmationsResponse contains the current configuration version of each VM.
type ConfirmationsResponse struct {
	DataCentres []configuration.Confirmation `json:"data_centres"`
}

// KeysResponse contains all keys, including withdrawn ones.
type KeysResponse struct {
	Keys []keys.Key `json:"keys"`
}

// StatusResponse is the responding VM's view of the fleet.
type StatusResponse struct {
	VM            ident.VM              `json:"vm"`
	DataCentre    string                `json:"data_centre"`
	Region        string                `json:"region"`
	Configuration configuration.Version `json:"configuration"`
	Members       []Member              `json:"members"`
	// Shares lists the rate-limit shares that the responding VM holds.
	Shares []limiter.ShareStatus `json:"shares"`
}

// Member is one VM in the membership view of the responding VM.
type Member struct {
	VM         ident.VM `json:"vm"`
	DataCentre string   `json:"data_centre"`
	Region     string   `json:"region"`
	Peer       string   `json:"peer"`
	// State is alive, suspect, leaving or gone.
	State string `json:"state"`
}

// EndpointsResponse contains the endpoints of the current configuration, sorted by name.
type EndpointsResponse struct {
	Version   configuration.Version `json:"version"`
	Endpoints []Endpoint            `json:"endpoints"`
	// Unresponsive names the VMs that did not report the load of their cells.
	Unresponsive []string `json:"silent"`
}

// Endpoint is one endpoint with the load that the owner of its cell reports.
type Endpoint struct {
	Name string `json:"name"`
	configuration.Endpoint
	// Load is nil if no VM reports it, which is always the case for plain services.
	Load *placement.EndpointStatus `json:"load,omitempty"`
}

// ExplainResponse contains the trace of one request.
type ExplainResponse struct {
	RequestID string  `json:"request_id"`
	Events    []Event `json:"events"`
}

// Event is one event in the trace of a request.
type Event struct {
	At      time.Time         `json:"at"`
	Stage   string            `json:"stage"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields,omitempty"`
}
