// Package configuration manages the settings that operators change at run time: plans, workspaces,
// models, routes, endpoints and data centres. It validates a document as a whole, assigns a version
// to each accepted document, and distributes it to all VMs. A VM never returns to an earlier version.
//
// Only the platform's conditional update decides which document is accepted. Several VMs may send
// the same version to another VM; its content is always the same, and a VM ignores a version that
// it already has.
//
// A cell is a group of endpoints of one model in one region whose requests are scheduled by one VM,
// see package placement.
package configuration

import "time"

// Version numbers accepted documents. It is the platform's version of the object.
type Version uint64

// Class is the scheduling class of a request.
type Class string

const (
	// Urgent requests are refused early if their latency targets cannot be met.
	Urgent Class = "urgent"
	// MayWait requests are queued until their deadline.
	MayWait Class = "may_wait"
)

// Role is the function of an endpoint.
type Role string

const (
	// RolePrefill endpoints process prompts.
	RolePrefill Role = "prefill"
	// RoleDecode endpoints generate tokens.
	RoleDecode Role = "decode"
	// RoleService endpoints are plain HTTP services.
	RoleService Role = "service"
)

// Document is a complete configuration. Its maps are keyed by object name.
type Document struct {
	DataCentres map[string]DataCentre `json:"data_centres" toml:"data_centres"`
	Plans       map[string]Plan       `json:"plans" toml:"plans"`
	Workspaces  map[string]Workspace  `json:"workspaces" toml:"workspaces"`
	Models      map[string]Model      `json:"models" toml:"models"`
	Routes      map[string]Route      `json:"routes" toml:"routes"`
	Endpoints   map[string]Endpoint   `json:"endpoints" toml:"endpoints"`
}

// DataCentre assigns a data centre to a region. A cell contains only endpoints of one region.
type DataCentre struct {
	Region string `json:"region" toml:"region"`
	// ShareWeight is this data centre's share of the rate and burst of every plan, relative to the
	// other data centres. Default 1.
	ShareWeight int `json:"share_weight" toml:"share_weight"`
}

// Plan defines which models and how many tokens its workspaces may use.
type Plan struct {
	// Models lists the permitted models; an empty list permits none.
	Models []string `json:"models" toml:"models"`
	// Adapters lists the permitted adapters; an empty list permits none.
	Adapters []string `json:"adapters" toml:"adapters"`
	// TokensPerSecond is the rate limit of each workspace on this plan.
	TokensPerSecond int64 `json:"tokens_per_second" toml:"tokens_per_second"`
	// BurstTokens is the capacity of each workspace's token bucket.
	BurstTokens int64 `json:"burst_tokens" toml:"burst_tokens"`
	// Weight is the scheduling weight relative to other workspaces when a cell is full. Default 1.
	Weight int `json:"weight" toml:"weight"`
}

// Workspace is one customer.
type Workspace struct {
	// Plan names the workspace's plan.
	Plan string `json:"plan" toml:"plan"`
	// KeyUnconfirmedSeconds limits how long a partitioned data centre accepts this workspace's
	// keys without receiving updates about withdrawn keys. 0 sets no limit.
	KeyUnconfirmedSeconds int64 `json:"key_unconfirmed_seconds" toml:"key_unconfirmed_seconds"`
}

// Model describes a model and the performance of its engines.
type Model struct {
	// Adapters lists the adapters that engines of this model can load.
	Adapters []string `json:"adapters" toml:"adapters"`
	// KVBytesPerToken is the KV cache size of one token.
	KVBytesPerToken int64 `json:"kv_bytes_per_token" toml:"kv_bytes_per_token"`
	// PieceTokens is the number of tokens in one block of the prefix cache. Default 2048.
	PieceTokens int64 `json:"piece_tokens" toml:"piece_tokens"`
	// PrefillTokensPerSecond is the prefill rate of one endpoint.
	PrefillTokensPerSecond int64 `json:"prefill_tokens_per_second" toml:"prefill_tokens_per_second"`
	// GapBaseMicros and GapPerSlotMicros define the time between tokens at batch size n:
	// base + n × per slot, in microseconds.
	GapBaseMicros    int64 `json:"gap_base_micros" toml:"gap_base_micros"`
	GapPerSlotMicros int64 `json:"gap_per_slot_micros" toml:"gap_per_slot_micros"`
	// PrefillTTLMillis is how long an endpoint retains the result of a prefill.
	PrefillTTLMillis int64 `json:"keep_millis" toml:"keep_millis"`
	// MaxOutputTokens limits max_tokens of a request. Default 1024.
	MaxOutputTokens int64 `json:"max_output_tokens" toml:"max_output_tokens"`
	// FirstTokenMillis and GapMillis are the latency targets for the first token and between tokens.
	FirstTokenMillis int64 `json:"first_token_millis" toml:"first_token_millis"`
	GapMillis        int64 `json:"gap_millis" toml:"gap_millis"`
	// DeadlineMillis limits the total duration of a call to this model. Default 60000.
	DeadlineMillis int64 `json:"deadline_millis" toml:"deadline_millis"`
}

// Route maps a method and path to a plain service.
type Route struct {
	Method string `json:"method" toml:"method"`
	// Path must match exactly, or as a prefix if it ends in a slash.
	Path string `json:"path" toml:"path"`
	// Service selects the endpoints whose Service has the same name.
	Service string `json:"service" toml:"service"`
	// Idempotent is set if calls may be retried. Other calls are executed at most once.
	Idempotent bool `json:"idempotent" toml:"idempotent"`
	// Commit is set if calls require an Idempotency-Key and are recorded in the ledger.
	Commit bool `json:"commit" toml:"commit"`
	// AllowAnonymous is set if calls require no API key.
	AllowAnonymous bool `json:"open" toml:"open"`
	// Class is urgent or may_wait. Default urgent.
	Class Class `json:"class" toml:"class"`
	// CostTokens is charged to the workspace's plan for each call. Default 1.
	CostTokens int64 `json:"cost_tokens" toml:"cost_tokens"`
	// DeadlineMillis limits the total duration of a call. Default 10000.
	DeadlineMillis int64 `json:"deadline_millis" toml:"deadline_millis"`
}

// Endpoint is one replica of a model's engine or of a plain service.
type Endpoint struct {
	Role       Role   `json:"role" toml:"role"`
	DataCentre string `json:"data_centre" toml:"data_centre"`
	// Address is IP:port.
	Address string `json:"address" toml:"address"`
	// Model is set for engines, Service for plain services.
	Model   string `json:"model" toml:"model"`
	Service string `json:"service" toml:"service"`
	// Slots is the maximum number of requests decoded or served concurrently.
	Slots int `json:"slots" toml:"slots"`
	// LinkBytesPerSecond is the bandwidth available for KV cache transfers.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second" toml:"link_bytes_per_second"`
	// Leaving is set while the endpoint drains: it receives no new requests.
	Leaving bool `json:"leaving" toml:"leaving"`
	// ChecksFencingToken is true if the endpoint rejects requests with a stale fencing token.
	ChecksFencingToken bool `json:"checks_fence" toml:"checks_fence"`
}

// Snapshot is an accepted document with its version. It is immutable.
type Snapshot struct {
	Version  Version
	Document Document
	// AdoptedAt is the time at which this VM adopted the version.
	AdoptedAt time.Time
}
