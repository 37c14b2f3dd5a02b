// Package configuration holds what operators edit while traffic runs: plans, workspaces,
// models, routes, endpoints and data centres. It checks a document as a whole, gives each
// accepted one a version, and never lets a VM go back to an earlier version.
//
// Which document is accepted is decided by the platform's conditional update alone. Two VMs that
// both watch the platform, or push the same version, hand on the same accepted table, and a VM
// that has a version ignores it.
package configuration

import "time"

// Version counts accepted documents. It is the platform's version of the object.
type Version uint64

// Class tells urgent work from work that may wait.
type Class string

// The classes of work.
const (
	// Urgent work is refused early when its latency targets cannot be met.
	Urgent Class = "urgent"
	// MayWait work queues until its deadline.
	MayWait Class = "may_wait"
)

// Role tells what an endpoint does.
type Role string

// The roles of endpoints.
const (
	// RolePrefill endpoints compute prompts.
	RolePrefill Role = "prefill"
	// RoleDecode endpoints generate tokens.
	RoleDecode Role = "decode"
	// RoleService endpoints are plain services.
	RoleService Role = "service"
)

// Document is one whole configuration. Maps are keyed by the object's name.
type Document struct {
	DataCentres map[string]DataCentre `json:"data_centres" toml:"data_centres"`
	Plans       map[string]Plan       `json:"plans" toml:"plans"`
	Workspaces  map[string]Workspace  `json:"workspaces" toml:"workspaces"`
	Models      map[string]Model      `json:"models" toml:"models"`
	Routes      map[string]Route      `json:"routes" toml:"routes"`
	Endpoints   map[string]Endpoint   `json:"endpoints" toml:"endpoints"`
}

// DataCentre places a data centre in a region. Cells of endpoints do not span regions.
type DataCentre struct {
	// Region is the region's name.
	Region string `json:"region" toml:"region"`
	// ShareWeight sets the part of every plan's rate and burst held in this data centre,
	// relative to the others. Default 1.
	ShareWeight int `json:"share_weight" toml:"share_weight"`
}

// Plan is what its workspaces may use.
type Plan struct {
	// Models that may be used; empty allows none.
	Models []string `json:"models" toml:"models"`
	// Adapters that may be used; empty allows none.
	Adapters []string `json:"adapters" toml:"adapters"`
	// TokensPerSecond is the rate of each workspace of this plan.
	TokensPerSecond int64 `json:"tokens_per_second" toml:"tokens_per_second"`
	// BurstTokens is the most tokens a workspace may use at once.
	BurstTokens int64 `json:"burst_tokens" toml:"burst_tokens"`
	// Weight sets the share of a full cell relative to other workspaces. Default 1.
	Weight int `json:"weight" toml:"weight"`
}

// Workspace is one customer.
type Workspace struct {
	// Plan names the workspace's plan.
	Plan string `json:"plan" toml:"plan"`
	// KeyUnconfirmedSeconds bounds how long a cut-off data centre goes on taking this
	// workspace's keys without news of withdrawals. 0 sets no bound.
	KeyUnconfirmedSeconds int64 `json:"key_unconfirmed_seconds" toml:"key_unconfirmed_seconds"`
}

// Model describes a model and what its engines cost.
type Model struct {
	// Adapters that engines of this model can load.
	Adapters []string `json:"adapters" toml:"adapters"`
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int64 `json:"kv_bytes_per_token" toml:"kv_bytes_per_token"`
	// PieceTokens is the number of tokens in one piece of the prefix cache. Default 2048.
	PieceTokens int64 `json:"piece_tokens" toml:"piece_tokens"`
	// PrefillTokensPerSecond is the speed of one prefill endpoint.
	PrefillTokensPerSecond int64 `json:"prefill_tokens_per_second" toml:"prefill_tokens_per_second"`
	// GapBaseMicros and GapPerSlotMicros give the time between tokens at a batch of n:
	// base + n × per slot, in microseconds.
	GapBaseMicros    int64 `json:"gap_base_micros" toml:"gap_base_micros"`
	GapPerSlotMicros int64 `json:"gap_per_slot_micros" toml:"gap_per_slot_micros"`
	// KeepMillis is how long a prefill's result is kept.
	KeepMillis int64 `json:"keep_millis" toml:"keep_millis"`
	// MaxOutputTokens bounds max_tokens of a request. Default 1024.
	MaxOutputTokens int64 `json:"max_output_tokens" toml:"max_output_tokens"`
	// FirstTokenMillis and GapMillis are the latency targets of calls to this model.
	FirstTokenMillis int64 `json:"first_token_millis" toml:"first_token_millis"`
	GapMillis        int64 `json:"gap_millis" toml:"gap_millis"`
	// DeadlineMillis bounds a whole call to this model. Default 60000.
	DeadlineMillis int64 `json:"deadline_millis" toml:"deadline_millis"`
}

// Route maps a method and path to a plain service.
type Route struct {
	Method string `json:"method" toml:"method"`
	// Path is matched whole, or as a prefix when it ends in a slash.
	Path string `json:"path" toml:"path"`
	// Service names the service; its endpoints carry the same name.
	Service string `json:"service" toml:"service"`
	// Idempotent calls may be retried; others run at most once.
	Idempotent bool `json:"idempotent" toml:"idempotent"`
	// Commit calls need an Idempotency-Key and are recorded in the ledger.
	Commit bool `json:"commit" toml:"commit"`
	// Open routes need no key.
	Open bool `json:"open" toml:"open"`
	// Class is urgent or may_wait. Default urgent.
	Class Class `json:"class" toml:"class"`
	// CostTokens is taken from the workspace's plan for each call. Default 1.
	CostTokens int64 `json:"cost_tokens" toml:"cost_tokens"`
	// DeadlineMillis bounds a whole call. Default 10000.
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
	// Slots is the number of requests an engine decodes at once, or a service serves at once.
	Slots int `json:"slots" toml:"slots"`
	// LinkBytesPerSecond is the rate of the endpoint's KV link.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second" toml:"link_bytes_per_second"`
	// Leaving endpoints get no new work.
	Leaving bool `json:"leaving" toml:"leaving"`
	// ChecksFence says that the endpoint refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence" toml:"checks_fence"`
}

// Snapshot is an accepted document with its version. It is never changed.
type Snapshot struct {
	Version  Version
	Document Document
	// Applied is when this VM put the version in force.
	Applied time.Time
}
