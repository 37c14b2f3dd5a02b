package relay

import (
	"context"
	"sync"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// registry knows the requests that this process serves now.
type registry struct {
	mu       sync.Mutex
	live     map[string]*liveRequest
	stopping bool
	limit    int
	idle     chan struct{}
}

// liveRequest is one request that is served, and the endpoints that may hold memory for it.
type liveRequest struct {
	cancel    context.CancelCauseFunc
	endpoints map[string]struct{}
}

func newRegistry(limit int) *registry {
	return &registry{live: map[string]*liveRequest{}, limit: limit, idle: make(chan struct{})}
}

// add admits a request to the process, or refuses while it stops or is full.
func (r *registry) add(id string, cancel context.CancelCauseFunc) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return fault.New(fault.Stopping, "send the call again; another VM takes it", "this VM is shutting down")
	}
	if len(r.live) >= r.limit {
		return fault.New(fault.Overloaded, "send the call again after the time given", "this VM serves its limit of requests",
			fault.WithRetryAfter(processFullWait))
	}
	r.live[id] = &liveRequest{cancel: cancel, endpoints: map[string]struct{}{}}
	return nil
}

func (r *registry) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.live, id)
	r.signalIdle()
}

func (r *registry) signalIdle() {
	if !r.stopping || len(r.live) > 0 {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

func (r *registry) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.live[id]
	return ok
}

// claim notes that an endpoint is about to be given work of a request.
func (r *registry) claim(id, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.live[id]; l != nil {
		l.endpoints[endpoint] = struct{}{}
	}
}

// abandon notes that a request needs nothing that an endpoint holds.
func (r *registry) abandon(id, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.live[id]; l != nil {
		delete(l.endpoints, endpoint)
	}
}

// hasAt reports whether a request is served and may need what an endpoint holds.
func (r *registry) hasAt(id, endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.live[id]
	if l == nil {
		return false
	}
	_, ok := l.endpoints[endpoint]
	return ok
}

func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.live)
}

// stop refuses new requests and waits until the others end or ctx does. It cuts those that
// remain and gives their number.
func (r *registry) stop(ctx context.Context) int {
	r.mu.Lock()
	r.stopping = true
	r.signalIdle()
	r.mu.Unlock()
	select {
	case <-r.idle:
		return 0
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.live {
		l.cancel(fault.New(fault.Stopping, "send the call again; another VM takes it", "this VM stopped before the answer was whole",
			fault.WithExecution(fault.ExecutionUnknown)))
	}
	return len(r.live)
}

func (r *registry) isStopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}
