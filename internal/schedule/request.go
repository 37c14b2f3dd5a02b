package schedule

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/prefixcache"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Request describes the endpoint that a call needs.
type Request struct {
	Service string
	Stage   traffic.Stage
	// Tokens is nil for calls without token counts.
	Tokens *traffic.Tokens
	// PreferredDataCentre is the preferred data centre. If it is empty, this VM's data centre is
	// preferred.
	PreferredDataCentre string
	// Unsent lists endpoints to which this VM got no connection for the call. They are chosen again only if another VM
	// reaches them.
	Unsent []traffic.EndpointID
	// Exclude lists endpoints that must not be chosen, because they were tried before.
	Exclude []traffic.EndpointID
	// NotRetryable is set if the call cannot be retried after a failure of the endpoint.
	NotRetryable bool
	// SkipQueue is set if the call is placed before queued ones, because its prompt has been
	// prefilled and is kept for a short time only.
	SkipQueue bool
	// Version is the software version that the endpoint must have, nil for any.
	Version *string
	// Regions are the regions in which the endpoint must be, nil for any.
	Regions []string
	// Rank is the priority of the call; 0 is the most urgent.
	Rank int
	// Workspace is the name of the call's workspace, empty for none.
	Workspace string
	// Returned is set if the call's caller was refused before and has come back.
	Returned bool
	// PlanUse is the used part of the plan of the call's workspace, 0 if it has none.
	PlanUse float64
	// Prefix is the parts of the prompt that engines may hold, nil for none.
	Prefix prefixcache.Chain
	// prefilledElsewhere are the software versions whose decode engines do not prefill prompts.
	prefilledElsewhere []string
	// MaxPrefillTime is the maximum predicted prefill time, including the prompts that the engine
	// has queued; 0 means no maximum. An idle engine is accepted in any case.
	MaxPrefillTime time.Duration
	// BodyBytes is the size of the request.
	BodyBytes int
	// MaxEventGap is the objective for the time between two events, 0 for none.
	MaxEventGap time.Duration
}

// awaitsVMs reports whether other VMs may say soon that they reach endpoints for a request.
func (t *table) awaitsVMs(now clock.Instant, req *Request) bool {
	return slices.ContainsFunc(t.byService[req.Service], func(s *endpointState) bool {
		return s.Stage == req.Stage && s.staying() && req.accepts(s.SoftwareVersion) && !req.excludes(s.ID) && t.open(s, req.Regions) && s.path.awaiting(now)
	})
}

// accepts reports whether an endpoint of a software version can serve the request.
func (req *Request) accepts(version string) bool {
	return req.Version == nil || *req.Version == version
}

// hasVersion reports whether an endpoint of the version that a request needs is listed and stays.
func (t *table) hasVersion(req *Request) bool {
	return slices.ContainsFunc(t.byService[req.Service], func(s *endpointState) bool {
		return s.Stage == req.Stage && s.staying() && req.accepts(s.SoftwareVersion)
	})
}

func (req *Request) excludes(id traffic.EndpointID) bool { return slices.Contains(req.Exclude, id) }

// work returns the work that the call will add to the endpoint.
func (req *Request) work() Work {
	w := Work{Calls: 1}
	if req.Tokens == nil {
		return w
	}
	switch req.Stage {
	case traffic.Prefill:
		w.Tokens = req.Tokens.Prompt
	default:
		w.Tokens = decodeMemory(*req.Tokens)
	}
	return w
}
