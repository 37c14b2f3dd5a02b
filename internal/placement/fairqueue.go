package placement

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Limits of the queue of one class.
const (
	// MaxQueuedPerWorkspace is the maximum number of queued requests of one workspace in one
	// class.
	MaxQueuedPerWorkspace = 256
	// MaxQueued is the maximum number of queued requests of one class in a cell.
	MaxQueued = 2048
	// maxCreditTokens is the maximum service credit, in tokens at a weight of 1, that an idle
	// workspace accumulates. It lets a workspace within its share send one long prompt without
	// being delayed.
	maxCreditTokens = 64_000
)

// queuedRequest is a request that waits for an assignment.
type queuedRequest struct {
	request Request
	// cost is the service charged to the request's workspace, in tokens.
	cost int64
	// waitDeadline is when a request that is still queued is refused.
	arrivedAt, waitDeadline clock.Instant
	// firstTokenDue is when the first token is due, 0 without a target.
	firstTokenDue clock.Instant
	// reassignment is set if an already placed request needs another endpoint; it then belongs
	// to no flow.
	reassignment bool
	flow         *flow
}

// timeLeft returns the time until the first token is due.
func (w *queuedRequest) timeLeft(now clock.Instant) time.Duration {
	if w.firstTokenDue == 0 {
		return noTarget
	}
	return w.firstTokenDue.Sub(now)
}

// noTarget is the time left of a request without a first-token target.
const noTarget = time.Duration(1<<63 - 1)

// flow holds the queued requests of one workspace.
type flow struct {
	workspace string
	weight    int64
	items     []*queuedRequest
	tokens    int64
	// virtualStart is the virtual time at which the service of the head starts.
	virtualStart float64
	// skippedRound is the last round in which the head was skipped.
	skippedRound uint64
}

// fairQueue implements start-time fair queueing over workspaces. It serves the backlogged flow
// with the lowest virtual start, which then advances by the cost divided by the weight. A
// workspace that was idle resumes at most maxCreditTokens before the current virtual time.
type fairQueue struct {
	flows       map[string]*flow
	active      []*flow
	virtualTime float64
	length      int
	tokens      int64
	round       uint64
	// byWaitDeadline orders the requests of a workspace by wait deadline instead of arrival.
	byWaitDeadline bool
}

func newFairQueue(byWaitDeadline bool) *fairQueue {
	return &fairQueue{flows: map[string]*flow{}, byWaitDeadline: byWaitDeadline}
}

// push adds w. It returns the request that was evicted if the queue exceeded a limit.
func (q *fairQueue) push(w *queuedRequest) (evicted *queuedRequest) {
	f := q.flowOf(w)
	if len(f.items) == 0 {
		f.virtualStart = max(f.virtualStart, q.virtualTime-maxCreditTokens)
		q.active = append(q.active, f)
	}
	at := len(f.items)
	if q.byWaitDeadline {
		at, _ = slices.BinarySearchFunc(f.items, w, func(a, b *queuedRequest) int { return compareWaitDeadline(a, b) })
	}
	f.items = slices.Insert(f.items, at, w)
	f.tokens += w.cost
	w.flow = f
	q.length++
	q.tokens += w.cost
	return q.evictOverBound(f)
}

func compareWaitDeadline(a, b *queuedRequest) int {
	if a.waitDeadline <= b.waitDeadline {
		return -1
	}
	return 1
}

func (q *fairQueue) flowOf(w *queuedRequest) *flow {
	f := q.flows[w.request.Workspace]
	if f == nil {
		f = &flow{workspace: w.request.Workspace}
		q.flows[w.request.Workspace] = f
	}
	f.weight = max(1, int64(w.request.Weight))
	return f
}

// evictOverBound removes the newest request of the added flow if that flow exceeds its limit.
// If the whole queue exceeds its limit, it removes the newest request of the flow with the most
// tokens relative to its weight.
func (q *fairQueue) evictOverBound(added *flow) *queuedRequest {
	f := added
	switch {
	case len(added.items) > MaxQueuedPerWorkspace:
	case q.length > MaxQueued:
		f = q.heaviestFlow()
	default:
		return nil
	}
	w := newestRequest(f.items)
	q.remove(w)
	return w
}

func (q *fairQueue) heaviestFlow() *flow {
	best := q.active[0]
	for _, f := range q.active[1:] {
		if f.tokens*best.weight > best.tokens*f.weight {
			best = f
		}
	}
	return best
}

func newestRequest(items []*queuedRequest) *queuedRequest {
	last := items[0]
	for _, w := range items[1:] {
		if w.arrivedAt >= last.arrivedAt {
			last = w
		}
	}
	return last
}

// beginRound resets which heads were skipped.
func (q *fairQueue) beginRound() { q.round++ }

// head returns the next request to serve, without those skipped in this round, or nil.
func (q *fairQueue) head() *queuedRequest {
	var best *flow
	for _, f := range q.active {
		if f.skippedRound == q.round && q.round > 0 {
			continue
		}
		if best == nil || f.virtualStart < best.virtualStart {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.items[0]
}

// skip skips the flow of w for the rest of this round.
func (q *fairQueue) skip(w *queuedRequest) { w.flow.skippedRound = q.round }

// serve removes w and charges its cost to its workspace.
func (q *fairQueue) serve(w *queuedRequest) {
	f := w.flow
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	f.virtualStart += float64(w.cost) / float64(f.weight)
	q.remove(w)
}

// remove removes w without charging its workspace.
func (q *fairQueue) remove(w *queuedRequest) {
	f := w.flow
	i := slices.Index(f.items, w)
	if i < 0 {
		return
	}
	f.items = slices.Delete(f.items, i, i+1)
	f.tokens -= w.cost
	q.length--
	q.tokens -= w.cost
	if len(f.items) == 0 {
		q.active = slices.DeleteFunc(q.active, func(o *flow) bool { return o == f })
	}
}

// removeIdleFlows removes the flows without queued requests whose service credit is at its
// maximum.
func (q *fairQueue) removeIdleFlows() {
	for name, f := range q.flows {
		if len(f.items) == 0 && f.virtualStart <= q.virtualTime-maxCreditTokens {
			delete(q.flows, name)
		}
	}
}

// tokensAhead estimates how many tokens are served before w: those ahead of it in its own flow,
// and those of other flows with an earlier virtual start.
func (q *fairQueue) tokensAhead(w *queuedRequest) int64 {
	var own int64
	for _, o := range w.flow.items {
		if o == w {
			break
		}
		own += o.cost
	}
	tag := float64(own)/float64(w.flow.weight) + w.flow.virtualStart
	total := float64(own)
	for _, f := range q.active {
		if f == w.flow {
			continue
		}
		share := (tag - f.virtualStart) * float64(f.weight)
		total += max(0, min(share, float64(f.tokens)))
	}
	return int64(total)
}
