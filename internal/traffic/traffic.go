// Package traffic holds what the path of a call works on: the call itself, the routes,
// services and workspaces in force, and the endpoints that may run it. The types carry no
// protocol; each edge of the product fills them from its own.
package traffic

import (
	"net/netip"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Kind says what may be repeated of a route's calls.
type Kind uint8

// The kinds of route.
const (
	// Once: a call runs at most once.
	Once Kind = iota
	// Repeatable: a call may run more than once.
	Repeatable
	// Stream: the answer is a series of events; a call runs at most once unless the route
	// lets a stream go on elsewhere.
	Stream
)

// String gives the name that log lines show.
func (k Kind) String() string { return [...]string{"once", "repeatable", "stream"}[k] }

// Route says which calls go to which services, and how they may be handled.
type Route struct {
	Name string
	// Host and Prefix select the route; the longest prefix of a host wins. A prefix begins
	// and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Resumable lets a stream go on at another endpoint after the last event given.
	Resumable bool
	// Timeout is the longest that a call may be kept waiting.
	Timeout time.Duration
	// Target is the latency objective: up to the first event on streams, else to the answer.
	Target time.Duration
	// EventGap is the longest pause between events for which a stream is still on time.
	EventGap time.Duration
	// Attempts is the most endpoints that one call may run on.
	Attempts int
	// Priority ranks calls; 0 goes first.
	Priority int
	// Open lets calls without a key pass.
	Open bool
	// Targets are the services with their weights.
	Targets []Target
}

// Target is a service's share of a route.
type Target struct {
	Service string
	Weight  int
}

// Repeats reports whether a call of the route may run again after one that may have run.
func (r *Route) Repeats() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// Service is a pool of endpoints.
type Service struct {
	Name string
	// Engine is set for a pool of model engines.
	Engine *Engine
}

// Engine holds the figures of a pool of model engines.
type Engine struct {
	// Capacity is the memory for requests of one engine, in tokens.
	Capacity int64
	// Kept is how long an engine keeps a prompt that it read for another.
	Kept time.Duration
}

// Workspace is a customer with its keys and plan.
type Workspace struct {
	Name string
	// Priority comes before the route's where it is set.
	Priority *int
	// Rate and Burst bound the tokens of the workspace over all VMs; no rate means no limit.
	Rate, Burst float64
	// PlainCost is what a call without token counts costs, in tokens.
	PlainCost int64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Tokens is the size of a generation.
type Tokens struct {
	// Prompt is the number of tokens to read, Output the most tokens to make.
	Prompt, Output int64
	// Expected is the caller's guess of the tokens to make, often far off; 0 for none.
	Expected int64
}

// Call is one attempt of a caller.
type Call struct {
	// ID is the caller's own id of the attempt.
	ID string
	// Method, Target and Body go to the endpoint as they came.
	Method, Target, Host string
	Header               map[string][]string
	Body                 []byte
	// Key is the caller's key, empty for none.
	Key string
	// Tokens is nil for a call that states no sizes.
	Tokens *Tokens
	// After is the last event that the caller already has, empty for none.
	After string
	// Arrived and Deadline bound the caller's wait.
	Arrived, Deadline clock.Instant

	// Route, Service and Workspace are set by the dispatcher.
	Route     *Route
	Service   *Service
	Workspace *Workspace
}

// Cost is what the call draws from its workspace's plan, in tokens.
func (c *Call) Cost() int64 {
	switch {
	case c.Tokens != nil:
		return c.Tokens.Prompt + c.Tokens.Output
	case c.Workspace != nil:
		return c.Workspace.PlainCost
	default:
		return 0
	}
}

// Stage is the part that an engine plays.
type Stage uint8

// The stages. Whole endpoints take calls from begin to end.
const (
	Whole Stage = iota
	Prefill
	Decode
)

// String gives the name that log lines show.
func (s Stage) String() string { return [...]string{"whole", "prefill", "decode"}[s] }

// EndpointID names one life of an endpoint.
type EndpointID struct {
	// Name is the endpoint's id; Born tells its lives apart.
	Name string
	Born int64
}

// Endpoint is one back end that may run calls.
type Endpoint struct {
	ID         EndpointID
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Stage      Stage
	// Leaving endpoints take no new work.
	Leaving bool
	// Version is the store's version of this entry.
	Version uint64
}

// Endpoints is the table of back ends as of a version of the store.
type Endpoints struct {
	Version uint64
	List    []Endpoint
}
