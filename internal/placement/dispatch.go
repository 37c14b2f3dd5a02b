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
	// maxSkips is the maximum number of queue heads skipped in one round because they wait for
	// an endpoint that has their prefix cached.
	maxSkips = 4
	// minRetryAfter and maxRetryAfter bound the retry delay returned with a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// drainTimeFactor scales the predicted queueing time before it is compared with the time a
	// request has left.
	drainTimeFactor = 0.8
	// minWaitDivisor sets the minimum queueing time of a request without a first-token target:
	// its deadline, less the minimum service time, divided by this value. It applies even if
	// the predicted decode of a long output would leave less.
	minWaitDivisor = 4
)

// outcome is the result of one attempt to place a request.
type outcome uint8

const (
	// outcomeDecided: the request was assigned or refused.
	outcomeDecided outcome = iota
	// outcomeDeferred: the request waits for a better endpoint; others may be placed before it.
	outcomeDeferred
	// outcomeBlocked: the request and all requests behind it wait for capacity.
	outcomeBlocked
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
		c.lastUrgentAt = now
		c.urgentRecently = true
	}
	c.planner.recordDemand(now, &r)
	w := c.newQueuedRequest(now, r)
	c.queued[r.ID] = w
	if evicted := c.queueFor(w).push(w); evicted != nil {
		c.refuseEvicted(now, evicted)
		return
	}
	c.arrival = w
}

func (c *Cell) newQueuedRequest(now clock.Instant, r Request) *queuedRequest {
	w := &queuedRequest{request: r, cost: r.PromptTokens + r.MaxOutputTokens, arrivedAt: now}
	minService := c.minServiceTime(now, &r)
	switch {
	case r.Class == configuration.Urgent && r.FirstToken > 0:
		w.firstTokenDue = now.Add(r.FirstToken)
		w.waitDeadline = w.firstTokenDue.Add(-minService)
	default:
		decode := scaleDuration(time.Duration(r.MaxOutputTokens)*c.cost.gap(1), c.decodeDurations.mean())
		w.waitDeadline = now.Add(max(r.Deadline-minService-decode, (r.Deadline-minService)/minWaitDivisor))
	}
	return w
}

// minServiceTime returns the shortest possible time to the first token, on idle endpoints.
func (c *Cell) minServiceTime(now clock.Instant, r *Request) time.Duration {
	if !r.NeedPrefill {
		return c.cost.gap(1)
	}
	longestMatch := 0
	for _, n := range c.prefix.match(now, r.Pieces) {
		longestMatch = max(longestMatch, n)
	}
	cached := min(int64(longestMatch)*c.cost.pieceTokens, max(0, r.PromptTokens-1))
	return c.cost.prefillTime(r.PromptTokens-cached) + c.cost.transferTime(r.PromptTokens, c.fastestLink) + c.cost.gap(1)
}

func (c *Cell) queueFor(w *queuedRequest) *fairQueue {
	if w.request.Class == configuration.MayWait {
		return c.mayWait
	}
	return c.urgent
}

func (c *Cell) dequeue(w *queuedRequest) {
	delete(c.queued, w.request.ID)
	if w.reassignment {
		c.removeReassignment(w)
		return
	}
	c.queueFor(w).remove(w)
}

// dispatch serves reassignments first, then urgent requests, then requests that may wait.
func (c *Cell) dispatch(now clock.Instant) {
	if len(c.queued) == 0 || !c.warmedUp(now) {
		return
	}
	c.dispatchReassignments(now)
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
		switch c.tryPlace(now, w) {
		case outcomeDecided:
		case outcomeDeferred:
			q.skip(w)
			skips++
			if skips > maxSkips {
				return
			}
		case outcomeBlocked:
			return
		}
	}
}

// tryPlace assigns w, refuses it, or leaves it in the queue.
func (c *Cell) tryPlace(now clock.Instant, w *queuedRequest) outcome {
	r := &w.request
	if c.policy != PolicyPredictive {
		return c.tryBaseline(now, w)
	}
	if c.batchLimitFor(r) < 1 {
		return c.refuse(now, w, Rejections{}, targetMissedFault(0, "no endpoint can meet the gap target"))
	}
	ch := c.choose(now, r)
	if !ch.hasPrefill || !ch.hasDecode {
		return c.handleNoEndpoint(now, w, ch)
	}
	timeLeft := w.timeLeft(now)
	inTime := ch.pair.firstToken <= timeLeft
	switch {
	case ch.earliestFirstToken > timeLeft:
		return c.refuse(now, w, ch.rejected, targetMissedFault(ch.earliestFirstToken-timeLeft, "predicted first token in "+formatMillis(ch.earliestFirstToken)))
	case ch.found && inTime && (ch.deferredScore == 0 || ch.pair.score <= ch.deferredScore):
		c.assign(now, w, ch)
		return outcomeDecided
	case w.waitDeadline <= now:
		return c.refuse(now, w, ch.rejected, targetMissedFault(minRetryAfter, "no assignment within the time that the target allows"))
	case ch.deferredScore > 0:
		return outcomeDeferred
	default:
		return outcomeBlocked
	}
}

// handleNoEndpoint refuses a request that no endpoint can serve. A request that may wait
// remains queued while an endpoint may recover or load the required model or adapter.
func (c *Cell) handleNoEndpoint(now clock.Instant, w *queuedRequest, ch *choice) outcome {
	mayRecover := ch.rejected[CauseEjected]+ch.rejected[CauseNotLoaded]+ch.rejected[CauseChanging] > 0
	if mayRecover && w.request.Class == configuration.MayWait && now.Before(w.waitDeadline) {
		return outcomeBlocked
	}
	return c.refuse(now, w, ch.rejected, noEndpointFault(ch.rejected))
}

func noEndpointFault(rejected Rejections) fault.Detail {
	return fault.Detail{
		Kind:       fault.Unavailable,
		Message:    "no endpoint can serve the request: " + rejected.String(),
		Remedy:     "retry later; operators: check the model's endpoints with endpoint list",
		Execution:  fault.NotExecuted,
		RetryAfter: minEjection,
	}
}

func targetMissedFault(wait time.Duration, message string) fault.Detail {
	return fault.Detail{
		Kind:       fault.TargetMissed,
		Message:    message,
		Remedy:     "retry after the stated time, or relax the target",
		Execution:  fault.NotExecuted,
		RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait)),
	}
}

func (c *Cell) assign(now clock.Instant, w *queuedRequest, ch *choice) {
	if !w.reassignment {
		c.queueFor(w).serve(w)
		c.rate.addServed(w.cost)
		c.budget.deposit()
	} else {
		c.removeReassignment(w)
	}
	delete(c.queued, w.request.ID)
	cl := c.claimPair(now, &w.request, &ch.pair)
	ch.rejected[CauseSlower] = c.countSlower(ch)
	cl.assignment.Reason = assignmentReason(ch)
	c.emit(Action{Decision: &Decision{
		ID:         w.request.ID,
		Workspace:  w.request.Workspace,
		Class:      w.request.Class,
		Assignment: cl.assignment,
		Waited:     now.Sub(w.arrivedAt),
		Rejected:   ch.rejected,
		Reassigned: w.reassignment,
	}})
}

// countSlower returns the number of endpoints that were available to the request but not
// chosen.
func (c *Cell) countSlower(ch *choice) uint16 {
	const chosen = 2
	others := len(c.prefills) + len(c.decodes) - chosen
	for _, n := range ch.rejected[:CauseSlower] {
		others -= int(n)
	}
	return uint16(max(0, others))
}

func assignmentReason(ch *choice) string {
	p := &ch.pair
	return fmt.Sprintf("first_token=%s prefill_wait=%s slot_in=%s", formatMillis(p.firstToken), formatMillis(p.prefill.wait), formatMillis(p.decode.slotIn))
}

func formatMillis(d time.Duration) string { return d.Round(time.Millisecond).String() }

func (c *Cell) refuse(now clock.Instant, w *queuedRequest, rejected Rejections, d fault.Detail) outcome {
	c.dequeue(w)
	if w.reassignment {
		d.Execution = fault.ExecutionUnknown
	}
	c.emit(Action{Decision: &Decision{
		ID:         w.request.ID,
		Workspace:  w.request.Workspace,
		Class:      w.request.Class,
		Refusal:    &d,
		Waited:     now.Sub(w.arrivedAt),
		Rejected:   rejected,
		Reassigned: w.reassignment,
	}})
	return outcomeDecided
}

func (c *Cell) refuseEvicted(now clock.Instant, w *queuedRequest) {
	d := fault.Detail{
		Kind:       fault.Overloaded,
		Message:    "the workspace has too many queued requests",
		Remedy:     "send fewer concurrent requests, or retry after the stated time",
		Execution:  fault.NotExecuted,
		RetryAfter: c.retryAfter(c.queueFor(w).tokens),
	}
	c.refuse(now, w, Rejections{}, d)
}

func (c *Cell) retryAfter(tokens int64) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, c.drainTime(tokens)))
}

// drainTime predicts how long the cell needs to serve the given number of queued tokens.
func (c *Cell) drainTime(tokens int64) time.Duration {
	if rate, ok := c.rate.value(); ok {
		return durationAtRate(tokens, rate)
	}
	return durationAtRate(tokens, c.cost.prefillRate*int64(max(1, len(c.prefills))))
}

// refuseIfBacklogged refuses an urgent arrival if the requests queued ahead of it make its
// target unreachable.
func (c *Cell) refuseIfBacklogged(now clock.Instant) {
	w := c.arrival
	c.arrival = nil
	if w == nil || w.firstTokenDue == 0 || c.queued[w.request.ID] != w {
		return
	}
	queueing := scaleDuration(c.drainTime(c.urgent.tokensAhead(w)+w.cost), drainTimeFactor)
	if slack := w.waitDeadline.Sub(now); queueing > slack {
		c.refuse(now, w, Rejections{}, targetMissedFault(queueing-slack, "predicted queue wait of "+formatMillis(queueing)+" exceeds the target"))
	}
}

// refuseExpired refuses all queued requests whose wait deadline has passed.
func (c *Cell) refuseExpired(now clock.Instant) {
	c.expired = c.expired[:0]
	c.expired = appendExpired(c.expired, now, c.reassignments)
	for _, q := range []*fairQueue{c.urgent, c.mayWait} {
		for _, f := range q.active {
			c.expired = appendExpired(c.expired, now, f.items)
		}
	}
	for _, w := range c.expired {
		wait := c.retryAfter(c.queueFor(w).tokens)
		c.refuse(now, w, Rejections{}, targetMissedFault(wait, "no assignment within the time that the target allows"))
	}
	clear(c.expired)
}

func appendExpired(expired []*queuedRequest, now clock.Instant, items []*queuedRequest) []*queuedRequest {
	for _, w := range items {
		if w.waitDeadline <= now {
			expired = append(expired, w)
		}
	}
	return expired
}

// Queued returns the number of queued requests.
func (c *Cell) Queued() int { return len(c.queued) }

// Contains reports whether a request is queued or has a claim.
func (c *Cell) Contains(id ident.RequestID) bool {
	return c.claims[id] != nil || c.queued[id] != nil
}
