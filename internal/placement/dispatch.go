package placement

import (
	"fmt"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
)

const (
	// maxSkips is the number of heads passed over in one round because they wait for an
	// endpoint that has their prefix.
	maxSkips = 4
	// minRetryAfter and maxRetryAfter bound the wait that a refusal names.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// drainTrust is the part of a predicted queueing time that counts against a request.
	drainTrust = 0.8
	// minWaitPart is the divisor that gives the least part of a deadline that work without a
	// first-token target may wait, however long its output may get.
	minWaitPart = 4
)

// verdict is what became of a try.
type verdict uint8

const (
	// done: the request was answered.
	done verdict = iota
	// later: it waits for a better endpoint; others may go first.
	later
	// blocked: it waits for room, and so does all behind it.
	blocked
)

func (c *Cell) place(now clock.Instant, r Request) {
	if cl := c.claims[r.ID]; cl != nil {
		c.emit(Action{Decision: &Decision{ID: r.ID, Workspace: r.Workspace, Class: r.Class, Assignment: cl.assignment}})
		return
	}
	if c.queued[r.ID] != nil {
		return
	}
	if r.Class == configuration.Urgent {
		c.lastUrgent = now
		c.urgentLately = true
	}
	w := c.newWaiting(now, r)
	c.queued[r.ID] = w
	if evicted := c.queueOf(w).push(w); evicted != nil {
		c.refuseEvicted(now, evicted)
		return
	}
	c.arrival = w
}

func (c *Cell) newWaiting(now clock.Instant, r Request) *waiting {
	w := &waiting{request: r, cost: r.PromptTokens + r.MaxOutputTokens, arrived: now}
	least := c.leastService(now, &r)
	switch {
	case r.Class == configuration.Urgent && r.FirstToken > 0:
		w.target = now.Add(r.FirstToken)
		w.limit = w.target.Add(-least)
	default:
		decode := scale(time.Duration(r.MaxOutputTokens)*c.cost.gap(1), c.lengths.mean())
		w.limit = now.Add(max(r.Deadline-least-decode, (r.Deadline-least)/minWaitPart))
	}
	return w
}

// leastService is the shortest time to the first token on idle endpoints.
func (c *Cell) leastService(now clock.Instant, r *Request) time.Duration {
	if !r.NeedPrefill {
		return c.cost.gap(1)
	}
	longest := 0
	for _, n := range c.prefix.match(now, r.Pieces) {
		longest = max(longest, n)
	}
	cached := min(int64(longest)*c.cost.pieceTokens, max(0, r.PromptTokens-1))
	return c.cost.prefillTime(r.PromptTokens-cached) + c.cost.transferTime(r.PromptTokens, c.fastestLink) + c.cost.gap(1)
}

func (c *Cell) queueOf(w *waiting) *fairQueue {
	if w.request.Class == configuration.MayWait {
		return c.mayWait
	}
	return c.urgent
}

func (c *Cell) dequeue(w *waiting) {
	delete(c.queued, w.request.ID)
	if w.move {
		c.dropMove(w)
		return
	}
	c.queueOf(w).remove(w)
}

// dispatch serves moves first, then urgent work, then work that may wait.
func (c *Cell) dispatch(now clock.Instant) {
	if len(c.queued) == 0 || !c.settled(now) {
		return
	}
	c.dispatchMoves(now)
	c.dispatchQueue(now, c.urgent)
	if c.urgent.length == 0 {
		c.dispatchQueue(now, c.mayWait)
	}
}

func (c *Cell) dispatchQueue(now clock.Instant, q *fairQueue) {
	if q.length == 0 {
		return
	}
	q.beginRound()
	skips := 0
	for w := q.head(); w != nil; w = q.head() {
		switch c.try(now, w) {
		case done:
		case later:
			q.skip(w)
			skips++
			if skips > maxSkips {
				return
			}
		case blocked:
			return
		}
	}
}

// try assigns w, refuses it or leaves it waiting.
func (c *Cell) try(now clock.Instant, w *waiting) verdict {
	r := &w.request
	if c.policy != PolicyPredictive {
		return c.tryByTurn(now, w)
	}
	if c.batchFor(r) < 1 {
		return c.refuse(now, w, Rejections{}, missed(0, "no endpoint can keep the gap target"))
	}
	ch := c.choose(now, r)
	if !ch.anyPrefill || !ch.anyDecode {
		return c.noEndpoint(now, w, ch)
	}
	left := w.left(now)
	inTime := ch.pair.first <= left
	switch {
	case ch.soonest > left:
		return c.refuse(now, w, ch.rejected, missed(ch.soonest-left, "predicted first token in "+millis(ch.soonest)))
	case ch.found && inTime && (ch.busier == 0 || ch.pair.score <= ch.busier):
		c.assign(now, w, ch)
		return done
	case w.limit <= now:
		return c.refuse(now, w, ch.rejected, missed(minRetryAfter, "waited as long as the target allows"))
	case ch.busier > 0:
		return later
	default:
		return blocked
	}
}

// noEndpoint refuses a request that no endpoint may serve. Work that may wait stays while
// the endpoints are only ejected.
func (c *Cell) noEndpoint(now clock.Instant, w *waiting, ch *choice) verdict {
	mayRecover := ch.rejected[CauseEjected] > 0
	if mayRecover && w.request.Class == configuration.MayWait && now.Before(w.limit) {
		return blocked
	}
	return c.refuse(now, w, ch.rejected, noEndpoint(ch.rejected))
}

func noEndpoint(rejected Rejections) fault.Detail {
	return fault.Detail{
		Kind:       fault.Unavailable,
		Message:    "no endpoint can serve the request: " + rejected.String(),
		Remedy:     "retry later; operators: check the model's endpoints with endpoint list",
		Run:        fault.NotRun,
		RetryAfter: minEjection,
	}
}

func missed(wait time.Duration, message string) fault.Detail {
	return fault.Detail{
		Kind:       fault.TargetMissed,
		Message:    message,
		Remedy:     "retry after the stated time, or relax the target",
		Run:        fault.NotRun,
		RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait)),
	}
}

func (c *Cell) assign(now clock.Instant, w *waiting, ch *choice) {
	if !w.move {
		c.queueOf(w).serve(w)
		c.rate.served(w.cost)
		c.budget.earn()
	} else {
		c.dropMove(w)
	}
	delete(c.queued, w.request.ID)
	cl := c.claimPair(now, &w.request, &ch.pair)
	ch.rejected[CauseSlower] = c.slower(ch)
	cl.assignment.Reason = reason(ch)
	c.emit(Action{Decision: &Decision{
		ID:         w.request.ID,
		Workspace:  w.request.Workspace,
		Class:      w.request.Class,
		Assignment: cl.assignment,
		Waited:     now.Sub(w.arrived),
		Rejected:   ch.rejected,
		Moved:      w.move,
	}})
}

// slower counts the endpoints that were open to the request and not chosen.
func (c *Cell) slower(ch *choice) uint16 {
	const chosen = 2
	others := len(c.prefills) + len(c.decodes) - chosen
	for _, n := range ch.rejected[:CauseSlower] {
		others -= int(n)
	}
	return uint16(max(0, others))
}

func reason(ch *choice) string {
	p := &ch.pair
	return fmt.Sprintf("first_token=%s prefill_wait=%s slot_in=%s", millis(p.first), millis(p.prefill.wait), millis(p.decode.slotAt))
}

func millis(d time.Duration) string { return d.Round(time.Millisecond).String() }

func (c *Cell) refuse(now clock.Instant, w *waiting, rejected Rejections, d fault.Detail) verdict {
	c.dequeue(w)
	if w.move {
		d.Run = fault.RunUnknown
	}
	c.emit(Action{Decision: &Decision{
		ID:        w.request.ID,
		Workspace: w.request.Workspace,
		Class:     w.request.Class,
		Refusal:   &d,
		Waited:    now.Sub(w.arrived),
		Rejected:  rejected,
		Moved:     w.move,
	}})
	return done
}

func (c *Cell) refuseEvicted(now clock.Instant, w *waiting) {
	d := fault.Detail{
		Kind:       fault.Overloaded,
		Message:    "the workspace has too many requests waiting",
		Remedy:     "send fewer requests at once, or retry after the stated time",
		Run:        fault.NotRun,
		RetryAfter: c.retryAfter(c.queueOf(w).tokens),
	}
	c.refuse(now, w, Rejections{}, d)
}

func (c *Cell) retryAfter(tokens int64) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, c.drainTime(tokens)))
}

// drainTime predicts how long the cell takes to serve queued tokens.
func (c *Cell) drainTime(tokens int64) time.Duration {
	if rate, ok := c.rate.value(); ok {
		return ratio(tokens, rate)
	}
	return ratio(tokens, c.cost.prefillRate*int64(max(1, len(c.prefills))))
}

// refuseHopeless refuses an urgent arrival that the queue before it leaves no chance.
func (c *Cell) refuseHopeless(now clock.Instant) {
	w := c.arrival
	c.arrival = nil
	if w == nil || w.target == 0 || c.queued[w.request.ID] != w {
		return
	}
	queueing := scale(c.drainTime(c.urgent.ahead(w)+w.cost), drainTrust)
	if spare := w.limit.Sub(now); queueing > spare {
		c.refuse(now, w, Rejections{}, missed(queueing-spare, "predicted wait of "+millis(queueing)+" in the queue"))
	}
}

// refuseLate refuses all waiting requests whose limit has passed.
func (c *Cell) refuseLate(now clock.Instant) {
	c.late = c.late[:0]
	c.late = appendLate(c.late, now, c.moves)
	for _, q := range []*fairQueue{c.urgent, c.mayWait} {
		for _, f := range q.active {
			c.late = appendLate(c.late, now, f.items)
		}
	}
	for _, w := range c.late {
		wait := c.retryAfter(c.queueOf(w).tokens)
		c.refuse(now, w, Rejections{}, missed(wait, "waited as long as the target allows"))
	}
	clear(c.late)
}

func appendLate(late []*waiting, now clock.Instant, items []*waiting) []*waiting {
	for _, w := range items {
		if w.limit <= now {
			late = append(late, w)
		}
	}
	return late
}

// Queued gives the number of requests that wait.
func (c *Cell) Queued() int { return len(c.queued) }

// Knows reports whether a request waits or holds a claim.
func (c *Cell) Knows(id ident.RequestID) bool {
	return c.claims[id] != nil || c.queued[id] != nil
}
