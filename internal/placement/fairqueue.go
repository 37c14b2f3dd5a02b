package placement

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Bounds of one class's queue.
const (
	// MaxQueuedPerWorkspace is the most requests of one workspace that wait in one class.
	MaxQueuedPerWorkspace = 256
	// MaxQueued is the most requests that wait in one class of a cell.
	MaxQueued = 2048
	// savedTokens is the most service, in tokens for a weight of 1, that an idle workspace
	// saves up. It lets a workspace within its share send one long prompt and go on.
	savedTokens = 64_000
)

// waiting is one request in a queue.
type waiting struct {
	request Request
	// cost is what the request takes of its workspace's share, in tokens.
	cost int64
	// arrived and limit bound the wait: past limit the request is refused.
	arrived, limit clock.Instant
	// target is when the first token is due, 0 without a target.
	target clock.Instant
	// move is set when a placed request looks for another endpoint; it is in no flow.
	move bool
	flow *flow
}

// left is the time until the first token is due.
func (w *waiting) left(now clock.Instant) time.Duration {
	if w.target == 0 {
		return noTarget
	}
	return w.target.Sub(now)
}

// noTarget stands for the time left of a request without a target.
const noTarget = time.Duration(1<<63 - 1)

// flow is one workspace's part of a queue.
type flow struct {
	workspace string
	weight    int64
	items     []*waiting
	tokens    int64
	// start is the virtual time at which the head's service starts.
	start float64
	// skipped is the round in which the head was passed over.
	skipped uint64
}

// fairQueue orders requests by start-time fair queueing over workspaces: of the flows that
// wait, the one with the lowest virtual start is served, and its start grows by the cost over
// the weight. A workspace that was idle starts at most savedTokens before the present virtual time.
type fairQueue struct {
	flows   map[string]*flow
	active  []*flow
	virtual float64
	length  int
	tokens  int64
	round   uint64
	// byLimit orders a workspace's requests by limit in place of arrival.
	byLimit bool
}

func newFairQueue(byLimit bool) *fairQueue {
	return &fairQueue{flows: map[string]*flow{}, byLimit: byLimit}
}

// push adds w, and gives the request that has to leave when the queue is over a bound.
func (q *fairQueue) push(w *waiting) (evicted *waiting) {
	f := q.flowOf(w)
	if len(f.items) == 0 {
		f.start = max(f.start, q.virtual-savedTokens)
		q.active = append(q.active, f)
	}
	at := len(f.items)
	if q.byLimit {
		at, _ = slices.BinarySearchFunc(f.items, w, func(a, b *waiting) int { return compareLimit(a, b) })
	}
	f.items = slices.Insert(f.items, at, w)
	f.tokens += w.cost
	w.flow = f
	q.length++
	q.tokens += w.cost
	return q.overBound(f)
}

func compareLimit(a, b *waiting) int {
	if a.limit <= b.limit {
		return -1
	}
	return 1
}

func (q *fairQueue) flowOf(w *waiting) *flow {
	f := q.flows[w.request.Workspace]
	if f == nil {
		f = &flow{workspace: w.request.Workspace}
		q.flows[w.request.Workspace] = f
	}
	f.weight = max(1, int64(w.request.Weight))
	return f
}

// overBound takes out the newest request of the flow that is over its bound, or, when the
// whole queue is, of the flow with the most tokens for its weight.
func (q *fairQueue) overBound(added *flow) *waiting {
	f := added
	switch {
	case len(added.items) > MaxQueuedPerWorkspace:
	case q.length > MaxQueued:
		f = q.heaviest()
	default:
		return nil
	}
	w := newest(f.items)
	q.remove(w)
	return w
}

func (q *fairQueue) heaviest() *flow {
	best := q.active[0]
	for _, f := range q.active[1:] {
		if f.tokens*best.weight > best.tokens*f.weight {
			best = f
		}
	}
	return best
}

func newest(items []*waiting) *waiting {
	last := items[0]
	for _, w := range items[1:] {
		if w.arrived >= last.arrived {
			last = w
		}
	}
	return last
}

// beginRound forgets which heads were skipped.
func (q *fairQueue) beginRound() { q.round++ }

// head gives the next request to serve that was not skipped in this round, or nil.
func (q *fairQueue) head() *waiting {
	var best *flow
	for _, f := range q.active {
		if f.skipped == q.round && q.round > 0 {
			continue
		}
		if best == nil || f.start < best.start {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.items[0]
}

// skip passes over the flow of w for this round.
func (q *fairQueue) skip(w *waiting) { w.flow.skipped = q.round }

// serve takes w out and charges its workspace.
func (q *fairQueue) serve(w *waiting) {
	f := w.flow
	q.virtual = max(q.virtual, f.start)
	f.start += float64(w.cost) / float64(f.weight)
	q.remove(w)
}

// remove takes w out without a charge.
func (q *fairQueue) remove(w *waiting) {
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

// forgetIdle drops flows that have nothing waiting and nothing owed.
func (q *fairQueue) forgetIdle() {
	for name, f := range q.flows {
		if len(f.items) == 0 && f.start <= q.virtual-savedTokens {
			delete(q.flows, name)
		}
	}
}

// ahead estimates the tokens served before w is: those of its own workspace, and of the
// others what has an earlier virtual start.
func (q *fairQueue) ahead(w *waiting) int64 {
	var own int64
	for _, o := range w.flow.items {
		if o == w {
			break
		}
		own += o.cost
	}
	tag := float64(own)/float64(w.flow.weight) + w.flow.start
	total := float64(own)
	for _, f := range q.active {
		if f == w.flow {
			continue
		}
		share := (tag - f.start) * float64(f.weight)
		total += max(0, min(share, float64(f.tokens)))
	}
	return int64(total)
}
