// Package traffic declares the types that the request path works on: the call, the configured
// routes, services and workspaces, and the endpoints. The types are independent of protocols and
// platforms, whose adapters fill them.
package traffic

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// RouteKind is how the calls of a route respond and whether they may run more than once.
type RouteKind uint8

// The kinds of route.
const (
	// NonIdempotent is a route whose calls run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent is a route whose calls may run more than once.
	Idempotent
	// Stream is a route that responds with a stream of events. A call runs at most once unless
	// the route is resumable.
	Stream
)

// String returns the name used in logs.
func (k RouteKind) String() string { return [...]string{"once", "repeatable", "stream"}[k] }

// Route maps calls to services and sets how they are handled.
type Route struct {
	Name string
	// Host and Prefix select the route; the longest matching prefix wins. A prefix begins and ends
	// with a slash.
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable allows a stream to continue at another endpoint after the last event delivered.
	Resumable bool
	// Timeout is the maximum time that a call may wait for its response.
	Timeout time.Duration
	// LatencyTarget is the latency objective: the time to the first event of a stream, else to the
	// response.
	LatencyTarget time.Duration
	// MaxEventGap is the objective for the time between two events of a stream.
	MaxEventGap time.Duration
	// MaxAttempts is the maximum number of attempts at running a call on an endpoint. Attempts that
	// certainly did not run the call are not counted.
	MaxAttempts int
	// Priority orders calls; 0 is the highest.
	Priority int
	// AllowAnonymous allows calls without a key.
	AllowAnonymous bool
	// Targets are the services of the route with their weights.
	Targets []Target
	// HomeRegions are the regions in which the calls of the route are handled, nil for all.
	HomeRegions []string
}

// Target is a service of a route and its share of the calls.
type Target struct {
	Service string
	Weight  int
}

// Retryable reports whether a call may be sent again although its previous attempt may have run.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Service is a pool of endpoints.
type Service struct {
	Name string
	// Engine is set if the endpoints are model engines.
	Engine *EngineParameters
	// Cold says what endpoints bear that have just started.
	Cold ColdStart
	// Ranked is set if the calls to the service may have different ranks. NewConfiguration sets it.
	Ranked bool
	// ranks are the ranks of the priorities that calls to the service may have, nil if they have only one.
	ranks map[priority]int
}

// ColdStart says what an endpoint bears while it is cold: after its start, and whenever it says so.
type ColdStart struct {
	// Duration is how long an endpoint is cold after its start.
	Duration time.Duration
	// Rate is the number of requests a second that a cold endpoint bears from all VMs together, 0 for no limit.
	Rate float64
}

// EngineParameters holds the parameters of the model engines of a service.
type EngineParameters struct {
	// KVCapacity is the KV cache size of one engine, in tokens.
	KVCapacity int64
	// HandleTTL is how long a prefill engine keeps a processed prompt for the decode engine.
	HandleTTL time.Duration
}

// Workspace is a customer and its plan.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route, if set.
	Priority *int
	// Rate and Burst limit the tokens of the workspace across all VMs. A zero rate means no limit.
	Rate, Burst float64
	// DefaultCost is the cost of a call without token counts, in tokens.
	DefaultCost int64
	// HomeRegions are the regions in which the calls of the workspace are handled, nil for all.
	HomeRegions []string
}

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// PromptPart is a part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Tokens holds the token counts of a generation request.
type Tokens struct {
	// Prompt is the number of prompt tokens, MaxOutput the maximum number of generated ones.
	Prompt, MaxOutput int64
	// ExpectedOutput is the caller's estimate of the number of generated tokens, 0 for none. It is
	// often far off.
	ExpectedOutput int64
}

// Call is a request as sent by a caller. If the caller repeats the request, each repetition is
// another Call.
type Call struct {
	// ID is the id that the caller gave the call. Each repetition of a request has its own.
	ID string
	// Method, RequestURI and Body are forwarded to the endpoint unchanged.
	Method, RequestURI, Host string
	Header                   map[string][]string
	Body                     []byte
	// Key is the caller's key, empty for none.
	Key string
	// Tokens is nil for a call without token counts.
	Tokens *Tokens
	// PromptParts are the ids of the parts of the prompt that other calls may have as well, in order. The
	// last part of a prompt is the call's own and is not among them.
	PromptParts []string
	// Prefix are the leading parts of the prompt with their lengths, in order, the last one included. It is nil if fewer than
	// two parts are known.
	Prefix []PromptPart
	// LastEventID is the id of the last event that the caller has received, empty for none.
	LastEventID string
	// Resumes is the ID of the call that brought the first event of the stream that this call resumes, empty for none.
	Resumes string
	// ArrivedAt is the time at which the call arrived. Deadline is the time by which the caller expects
	// the response.
	ArrivedAt, Deadline clock.Instant

	// Route, Service and Workspace are set by the dispatcher.
	Route     *Route
	Service   *Service
	Workspace *Workspace
}

// RequestKey identifies the request of a call: it is the same on all VMs for calls of the same workspace, target and
// body, whatever their ids. It has a form that no id of a prompt part has.
func (c *Call) RequestKey() string {
	h := sha256.New()
	workspace := ""
	if c.Workspace != nil {
		workspace = c.Workspace.Name
	}
	for _, field := range []string{workspace, c.Method, c.Host, c.RequestURI} {
		_, _ = io.WriteString(h, strconv.Itoa(len(field))+":"+field)
	}
	_, _ = h.Write(c.Body)
	return requestKeyPrefix + hex.EncodeToString(h.Sum(nil)[:requestKeyBytes])
}

// IsRequestKey reports whether s is a request key, and not the id of a prompt part.
func IsRequestKey(s string) bool { return strings.HasPrefix(s, requestKeyPrefix) }

const (
	requestKeyPrefix = "request:"
	// requestKeyBytes is the number of bytes of the hash in a request key.
	requestKeyBytes = 12
)

// Cost returns the number of tokens that the call uses of its workspace's plan.
func (c *Call) Cost() int64 {
	switch {
	case c.Tokens != nil:
		return c.Tokens.Prompt + c.Tokens.MaxOutput
	case c.Workspace != nil:
		return c.Workspace.DefaultCost
	default:
		return 0
	}
}

// Stage is the part of a generation that an endpoint runs.
type Stage uint8

// The stages. Aggregated endpoints run calls from start to end.
const (
	Aggregated Stage = iota
	Prefill
	Decode
)

// String returns the name used in logs.
func (s Stage) String() string { return [...]string{"whole", "prefill", "decode"}[s] }

// EndpointID identifies one incarnation of an endpoint.
type EndpointID struct {
	// Name is the id of the endpoint, StartedAt the start time that distinguishes its incarnations.
	Name      string
	StartedAt int64 `msgpack:"Born"`
}

// Endpoint is one backend replica.
type Endpoint struct {
	ID         EndpointID
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// SoftwareVersion is the version of the software that the endpoint runs, empty if it does not say.
	SoftwareVersion string
	Slots           int
	Stage           Stage
	// Leaving is set if the endpoint accepts no new calls.
	Leaving bool
	// ColdFor is how long the endpoint stays cold, as it said when it wrote this version of its entry.
	ColdFor time.Duration
	// Version is the store's version of this entry.
	Version uint64
	// Retained is set if the store lists the endpoint no more, but a VM keeps it in its table for a
	// while after an outage of the store.
	Retained bool
}

// StreamOrigin is the service and the software version of the endpoint that began a stream. A stream may continue only
// there: what two versions write does not fit together.
type StreamOrigin struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Service, Version string
}

// Origin returns the origin of streams that the endpoint begins.
func (e *Endpoint) Origin() StreamOrigin {
	return StreamOrigin{Service: e.Service, Version: e.SoftwareVersion}
}

// Via is another VM that sends requests to endpoints for this one.
type Via struct {
	// VM is the name of the VM, Address where it accepts connections of other VMs.
	VM         string
	Address    netip.AddrPort
	DataCentre string
	// Permit is set for a request for which this VM has used a permit of the endpoint's rate limit. The other VM then
	// uses none.
	Permit bool
}

// DocumentVersion identifies a version of a document that is kept in the store. The store may be
// restored from a backup: its versions then go back and are used again, and its era rises.
type DocumentVersion struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Era is the era of the store in which the version was read, 0 if the store has none.
	Era uint64
	// Number is the store's version of the endpoint table, and the operators' version of the
	// configuration. It is 0 for no document.
	Number uint64
}

// Reading identifies a read of the store by a VM.
type Reading struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	VM ident.VM
	// Number counts the reads of the VM from 1.
	Number uint64
}

// IsZero reports whether r identifies no read.
func (r Reading) IsZero() bool { return r.VM.IsZero() }

// Freshness says as of when the store is known to have held documents.
type Freshness struct {
	// Versions are the versions of the documents, indexed by document number.
	Versions []DocumentVersion
	// Reading is the read that found them in the store, Age before this was said. It is zero if that is not known.
	Reading Reading
	Age     time.Duration
}

// Endpoints is the endpoint table at a version of the store.
type Endpoints struct {
	// Era is the era of the store; see DocumentVersion.
	Era     uint64
	Version uint64
	List    codec.List[Endpoint]
	// Evacuated are the data centres to whose endpoints nothing more is to be sent, in order.
	Evacuated []string
	// EvacuationsKnown is set if Evacuated is as new as the table. A VM that does not know evacuations leaves it unset.
	EvacuationsKnown bool
	// EvacuationsLost are those of Evacuated that the store does not list since it was restored from a backup. They stay
	// in force for EvacuationsLostFor, so that they can be written again.
	EvacuationsLost    []string
	EvacuationsLostFor time.Duration
}
