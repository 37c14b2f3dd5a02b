package relay

import (
	"context"
	"sync"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// requestRegistry tracks the requests that this process is serving.
type requestRegistry struct {
	mu       sync.Mutex
	requests map[string]*liveRequest
	stopping bool
	limit    int
	drained  chan struct{}
}

// liveRequest is a request being served and the endpoints that may hold memory for it.
type liveRequest struct {
	cancel    context.CancelCauseFunc
	endpoints map[string]struct{}
}

func newRequestRegistry(limit int) *requestRegistry {
	return &requestRegistry{requests: map[string]*liveRequest{}, limit: limit, drained: make(chan struct{})}
}

// add registers a request. It fails if the process is stopping or has reached its limit.
func (r *requestRegistry) add(id string, cancel context.CancelCauseFunc) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return fault.New(fault.Stopping, "retry the call; another VM will serve it", "this VM is shutting down",
			fault.WithRetryAfter(defaultRetryAfter))
	}
	if len(r.requests) >= r.limit {
		return fault.New(fault.Overloaded, "retry the call after the Retry-After delay", "this VM is at its request limit",
			fault.WithRetryAfter(defaultRetryAfter))
	}
	r.requests[id] = &liveRequest{cancel: cancel, endpoints: map[string]struct{}{}}
	return nil
}

func (r *requestRegistry) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, id)
	r.signalDrained()
}

func (r *requestRegistry) signalDrained() {
	if !r.stopping || len(r.requests) > 0 {
		return
	}
	select {
	case <-r.drained:
	default:
		close(r.drained)
	}
}

func (r *requestRegistry) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.requests[id]
	return ok
}

// addEndpoint records that work of a request is about to be sent to an endpoint.
func (r *requestRegistry) addEndpoint(id, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.requests[id]; l != nil {
		l.endpoints[endpoint] = struct{}{}
	}
}

// removeEndpoint records that a request no longer needs the memory that an endpoint holds for it.
func (r *requestRegistry) removeEndpoint(id, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.requests[id]; l != nil {
		delete(l.endpoints, endpoint)
	}
}

// usesEndpoint reports whether a request is being served and may need the memory that an endpoint
// holds for it.
func (r *requestRegistry) usesEndpoint(id, endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.requests[id]
	if l == nil {
		return false
	}
	_, ok := l.endpoints[endpoint]
	return ok
}

func (r *requestRegistry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// stop rejects new requests and waits until the running ones finish or ctx ends. It then cancels
// the remaining requests and returns their number.
func (r *requestRegistry) stop(ctx context.Context) int {
	r.rejectNew()
	select {
	case <-r.drained:
		return 0
	case <-ctx.Done():
	}
	return r.cancelAll()
}

func (r *requestRegistry) rejectNew() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	r.signalDrained()
}

// cancelAll cancels all requests and returns their number.
func (r *requestRegistry) cancelAll() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.requests {
		l.cancel(fault.New(fault.Stopping, "retry the call; another VM will serve it",
			"this VM stopped before the response was complete",
			fault.WithExecution(fault.ExecutionUnknown), fault.WithRetryAfter(defaultRetryAfter)))
	}
	return len(r.requests)
}

func (r *requestRegistry) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}
