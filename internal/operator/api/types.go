// Package api is the operator API of the daemon: typed JSON requests and responses, what
// both sides share of HTTP, and the client that the command-line tool uses.
//
// Commands change state and are POST requests under /operator/command/; queries only read and
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

// ParameterID names the key or request that a query is about.
const ParameterID = "id"

// ApplyRequest puts a document in force.
type ApplyRequest struct {
	Document configuration.Document `json:"document"`
	// IfVersion is the version that must be in force; 0 means that there is none.
	IfVersion configuration.Version `json:"if_version"`
}

// ApplyResponse names the accepted version.
type ApplyResponse struct {
	Version configuration.Version `json:"version"`
}

// GiveRequest makes a key.
type GiveRequest struct {
	Workspace string `json:"workspace"`
}

// GiveResponse is the new key. The secret is shown this once.
type GiveResponse struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Secret    string `json:"secret"`
}

// WithdrawRequest stops a key.
type WithdrawRequest struct {
	KeyID string `json:"key_id"`
}

// WithdrawResponse says how far a withdrawal has come.
type WithdrawResponse struct {
	KeyID string `json:"key_id"`
	keys.Withdrawal
}

// Whole says that the platform and every data centre hold the withdrawal.
func (r WithdrawResponse) Whole() bool { return r.Stored && len(r.Unconfirmed) == 0 }

// DrainRequest marks an endpoint as leaving, or takes the mark back.
type DrainRequest struct {
	Endpoint string `json:"endpoint"`
	Undo     bool   `json:"undo,omitempty"`
}

// DrainResponse names the version that holds the mark. Changed is false when an earlier one
// held it already.
type DrainResponse struct {
	Endpoint string                `json:"endpoint"`
	Leaving  bool                  `json:"leaving"`
	Version  configuration.Version `json:"version"`
	Changed  bool                  `json:"changed"`
}

// ConfigurationResponse is the configuration in force at one VM. Version 0 means none.
type ConfigurationResponse struct {
	Version  configuration.Version  `json:"version"`
	Applied  time.Time              `json:"applied"`
	Document configuration.Document `json:"document"`
}

// HistoryResponse lists the latest accepted changes, oldest first.
type HistoryResponse struct {
	Revisions []configuration.Revision `json:"revisions"`
}

// ConfirmationsResponse says which version each VM has in force.
type ConfirmationsResponse struct {
	DataCentres []configuration.Confirmation `json:"data_centres"`
}

// KeysResponse lists the keys, withdrawn ones too.
type KeysResponse struct {
	Keys []keys.Key `json:"keys"`
}

// StatusResponse is what one VM knows.
type StatusResponse struct {
	VM            ident.VM              `json:"vm"`
	DataCentre    string                `json:"data_centre"`
	Region        string                `json:"region"`
	Configuration configuration.Version `json:"configuration"`
	Members       []Member              `json:"members"`
	// Shares are those that this VM holds.
	Shares []limiter.ShareStatus `json:"shares"`
}

// Member is one VM as the answering VM sees it.
type Member struct {
	VM         ident.VM `json:"vm"`
	DataCentre string   `json:"data_centre"`
	Region     string   `json:"region"`
	Peer       string   `json:"peer"`
	// State is alive, suspect, leaving or gone.
	State string `json:"state"`
}

// EndpointsResponse lists the endpoints of the configuration in force, sorted by name.
type EndpointsResponse struct {
	Version   configuration.Version `json:"version"`
	Endpoints []Endpoint            `json:"endpoints"`
	// Silent names the VMs that could not be asked for the load of their cells.
	Silent []string `json:"silent"`
}

// Endpoint is one endpoint with its load, as the owner of its cell counts it.
type Endpoint struct {
	Name string `json:"name"`
	configuration.Endpoint
	// Load is nil where no VM counts it, as for plain services.
	Load *placement.EndpointStatus `json:"load,omitempty"`
}

// ExplainResponse gives the steps of one request.
type ExplainResponse struct {
	RequestID string  `json:"request_id"`
	Events    []Event `json:"events"`
}

// Event is one step of a request.
type Event struct {
	At      time.Time         `json:"at"`
	Stage   string            `json:"stage"`
	Message string            `json:"message"`
	Fields  map[string]string `json:"fields,omitempty"`
}
