package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
)

// Cause is the reason why an endpoint was not chosen.
type Cause uint8

const (
	// CauseLeaving: the endpoint is being drained.
	CauseLeaving Cause = iota
	// CauseEjected: the endpoint failed repeatedly or does not respond.
	CauseEjected
	// CauseAvoided: the endpoint already failed this request.
	CauseAvoided
	// CauseNotLoaded: the endpoint has not loaded the model or adapter.
	CauseNotLoaded
	// CauseChanging: the endpoint is about to change its role.
	CauseChanging
	// CauseFull: the endpoint has no slot that is free now or soon enough.
	CauseFull
	// CauseSlower: another endpoint is predicted to be faster.
	CauseSlower
	causeCount
)

var causeNames = [causeCount]string{"leaving", "ejected", "avoided", "not_loaded", "changing", "full", "slower"}

// Rejections counts the endpoints that were not chosen, by cause.
type Rejections [causeCount]uint16

// String formats r as space-separated cause=count pairs.
func (r Rejections) String() string {
	var parts []string
	for i, n := range r {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", causeNames[i], n))
		}
	}
	return strings.Join(parts, " ")
}

const (
	// shortlistSize is the number of endpoints of each role that are combined into candidate
	// pairs.
	shortlistSize = 4
	// prefillLookahead is how long before a prefill endpoint becomes idle it may be assigned
	// its next prompt. Requests that would wait longer remain in the fair queue, where they can
	// still be reordered.
	prefillLookahead = 50 * time.Millisecond
	// keepFraction is the fraction of the retention time of a prefill result within which a decode
	// slot must be predicted to become free.
	keepFraction = 0.25
	// remotePenalty is added to the score of an endpoint outside the caller's data centre.
	remotePenalty = 2 * time.Millisecond
	// failurePenalty is added to the score of an endpoint for each of its recent failures.
	failurePenalty = 100 * time.Millisecond
)

// exclusionCause returns the cause that excludes an endpoint from all decisions.
func (e *replica) exclusionCause() (Cause, bool) {
	switch {
	case e.leaving:
		return CauseLeaving, true
	case e.health.ejected:
		return CauseEjected, true
	case !e.hasModel(e.config.Model):
		return CauseNotLoaded, true
	case e.changingRole:
		return CauseChanging, true
	}
	return 0, false
}

// prefillCandidate is a prefill endpoint under consideration. Times are relative to now.
type prefillCandidate struct {
	replica *replica
	cached  int64
	wait    time.Duration
	doneIn  time.Duration
}

// decodeCandidate is a decode endpoint under consideration.
type decodeCandidate struct {
	replica *replica
	slotIn  time.Duration
}

// candidatePair combines a prefill and a decode candidate.
type candidatePair struct {
	prefill  prefillCandidate
	decode   decodeCandidate
	transfer linkSpan
	// firstToken is the predicted time to the first token.
	firstToken time.Duration
	// firstTokenWithSlot is the same prediction if a slot were free immediately.
	firstTokenWithSlot time.Duration
	score              time.Duration
	// withinKeepTime is set if the slot and the link become free while the prefill result is
	// kept.
	withinKeepTime bool
}

// topK keeps the items with the lowest scores, in ascending order.
type topK[T any] struct {
	items  [shortlistSize]T
	scores [shortlistSize]time.Duration
	length int
}

func (b *topK[T]) insert(item *T, score time.Duration) {
	if b.length == shortlistSize && score >= b.scores[shortlistSize-1] {
		return
	}
	i := b.length
	if b.length < shortlistSize {
		b.length++
	} else {
		i--
	}
	for ; i > 0 && score < b.scores[i-1]; i-- {
		b.items[i], b.scores[i] = b.items[i-1], b.scores[i-1]
	}
	b.items[i], b.scores[i] = *item, score
}

// choice is the result of evaluating the candidate pairs of one request.
type choice struct {
	pair     candidatePair
	found    bool
	rejected Rejections
	// deferredScore is the score of the best pair whose prefill would wait longer than
	// prefillLookahead, 0 if there is none.
	deferredScore time.Duration
	// earliestFirstToken is the earliest first token of any pair if a slot were free
	// immediately, 0 if there is no pair. Most slots become free before their predicted
	// release, so a request is not refused for lack of a slot before its time is up.
	earliestFirstToken time.Duration
	// hasPrefill and hasDecode are set if at least one endpoint of the role passed the filter.
	hasPrefill, hasDecode bool
}

// choose evaluates the endpoints for r. Predicted times are based on the owner's own claims.
// The result is valid until the next call.
func (c *Cell) choose(now clock.Instant, r *Request) *choice {
	ch := &c.choice
	*ch = choice{}
	prefills := c.shortlistPrefill(now, r, ch)
	if prefills.length == 0 {
		return ch
	}
	decodes := c.shortlistDecode(now, r, prefills.items[0].doneIn, ch)
	for i := range prefills.length {
		for j := range decodes.length {
			ch.consider(c.evaluate(now, r, &prefills.items[i], &decodes.items[j]))
		}
	}
	return ch
}

// consider records p if it is better than the pairs considered before.
func (ch *choice) consider(p candidatePair) {
	if ch.earliestFirstToken == 0 || p.firstTokenWithSlot < ch.earliestFirstToken {
		ch.earliestFirstToken = p.firstTokenWithSlot
	}
	if !p.withinKeepTime {
		return
	}
	if p.prefill.wait > prefillLookahead {
		if ch.deferredScore == 0 || p.score < ch.deferredScore {
			ch.deferredScore = p.score
		}
		return
	}
	if !ch.found || p.score < ch.pair.score {
		ch.pair, ch.found = p, true
	}
}

func (c *Cell) shortlistPrefill(now clock.Instant, r *Request, ch *choice) *topK[prefillCandidate] {
	b := &c.topPrefills
	b.length = 0
	if !r.NeedPrefill {
		c.addKeptCandidate(r, ch)
		return b
	}
	role := &c.roles[roleIndex(configuration.RolePrefill)]
	ch.addRejections(role)
	filter := c.newEndpointFilter(r)
	matched := c.prefix.match(now, r.Pieces)
	uncachedWork := c.cost.prefillTime(r.PromptTokens)
	for _, e := range role.usable {
		if filter.restrictive && !filter.accepts(e, ch) {
			continue
		}
		ch.hasPrefill = true
		wait := e.prefill.wait(now)
		if b.length == shortlistSize && wait >= b.scores[shortlistSize-1] {
			continue
		}
		o := prefillCandidate{replica: e, wait: wait}
		work := uncachedWork
		if n := matched[e.index]; n > 0 {
			o.cached = min(int64(n)*c.cost.pieceTokens, max(0, r.PromptTokens-1))
			work = c.cost.prefillTime(r.PromptTokens - o.cached)
		}
		o.doneIn = wait + scaleDuration(work, e.slowdown)
		b.insert(&o, o.doneIn+filter.scorePenalty(e))
	}
	return b
}

// addKeptCandidate adds the endpoint that already keeps the prefill result.
func (c *Cell) addKeptCandidate(r *Request, ch *choice) {
	e := c.replicas[r.PrefillHolder]
	if e == nil {
		return
	}
	ch.hasPrefill = true
	c.topPrefills.insert(&prefillCandidate{replica: e, cached: r.PromptTokens}, 0)
}

func (c *Cell) shortlistDecode(now clock.Instant, r *Request, prefillIn time.Duration, ch *choice) *topK[decodeCandidate] {
	b := &c.topDecodes
	b.length = 0
	batchLimit := c.batchLimitFor(r)
	role := &c.roles[roleIndex(configuration.RoleDecode)]
	ch.addRejections(role)
	filter := c.newEndpointFilter(r)
	for _, e := range role.usable {
		if filter.restrictive && !filter.accepts(e, ch) {
			continue
		}
		ch.hasDecode = true
		slotAt, ok := e.decode.freeAt(now, c.capacityFor(e, r, batchLimit))
		if !ok {
			ch.rejected[CauseFull]++
			continue
		}
		score := c.cost.gap(len(e.decode.claims)+1) + filter.scorePenalty(e)
		if b.length == shortlistSize && score >= b.scores[shortlistSize-1] {
			continue
		}
		o := decodeCandidate{replica: e, slotIn: slotAt.Sub(now)}
		score += max(0, o.slotIn-prefillIn) + linkWait(now, e, prefillIn)
		b.insert(&o, score)
	}
	return b
}

// endpointFilter holds the properties of a request that the filters and penalties of a role
// use.
type endpointFilter struct {
	// restrictive is set if the filter may exclude a usable endpoint.
	restrictive bool
	avoid       []string
	adapter     string
	// dataCentre is the number of the request's data centre.
	dataCentre int
}

func (c *Cell) newEndpointFilter(r *Request) endpointFilter {
	f := endpointFilter{avoid: r.Avoid, restrictive: len(r.Avoid) > 0, dataCentre: c.dataCentreNumber(r.DataCentre)}
	if r.Adapter != "" {
		f.adapter, f.restrictive = r.Adapter, true
	}
	return f
}

// accepts reports whether the request may use e, which must be usable, and counts the cause if
// not.
func (f *endpointFilter) accepts(e *replica, ch *choice) bool {
	if slices.Contains(f.avoid, e.name) {
		ch.rejected[CauseAvoided]++
		return false
	}
	if f.adapter != "" && !e.hasAdapter(f.adapter) {
		ch.rejected[CauseNotLoaded]++
		return false
	}
	return true
}

// scorePenalty returns a penalty that favours local endpoints without recent failures.
func (f *endpointFilter) scorePenalty(e *replica) time.Duration {
	p := time.Duration(min(e.health.failures, ejectAfterFailures)) * failurePenalty
	if e.dataCentre != f.dataCentre {
		p += remotePenalty
	}
	return p
}

// addRejections adds the counts of the endpoints of a role that no request may use.
func (ch *choice) addRejections(role *roleState) {
	for cause, n := range role.rejected {
		ch.rejected[cause] += n
	}
}

// linkWait returns how long e's link is claimed beyond the end of the prefill.
func linkWait(now clock.Instant, e *replica, prefillIn time.Duration) time.Duration {
	if len(e.link.spans) == 0 {
		return 0
	}
	last := e.link.spans[len(e.link.spans)-1]
	return max(0, last.end.Sub(now)-prefillIn)
}

// batchLimitFor returns the maximum batch size that meets the gap target of r.
func (c *Cell) batchLimitFor(r *Request) int { return c.cost.batchLimit(r.Gap) }

// capacityFor returns the capacity of e for r. While urgent requests arrive, requests that may
// wait cannot use the reserved part.
func (c *Cell) capacityFor(e *replica, r *Request, batchLimit int) int {
	capacity := e.capacity(batchLimit)
	if r.Class == configuration.MayWait && c.urgentRecently {
		return capacity - urgentReserve(capacity)
	}
	return capacity
}

// urgentReserve returns the part of an endpoint's capacity that is reserved for urgent
// requests.
func urgentReserve(capacity int) int {
	const reserveDivisor, minCapacity = 10, 4
	if capacity < minCapacity {
		return 0
	}
	return max(1, capacity/reserveDivisor)
}

// evaluate predicts the time to the first token for one pair.
func (c *Cell) evaluate(now clock.Instant, r *Request, p *prefillCandidate, d *decodeCandidate) candidatePair {
	transfer := c.cost.transferTime(r.PromptTokens, linkRate(p.replica, d.replica))
	prefilledAt := now.Add(p.doneIn)
	transferAt := earliestStart(&p.replica.link, &d.replica.link, prefilledAt, transfer)
	transferredIn := transferAt.Add(transfer).Sub(now)
	running := d.replica.decode.runningAt(max(prefilledAt, now.Add(d.slotIn)))
	gap := c.cost.gap(min(running+1, max(1, d.replica.config.Slots)))
	firstToken := max(transferredIn, d.slotIn) + gap + c.overhead.value
	filter := endpointFilter{dataCentre: c.dataCentreNumber(r.DataCentre)}
	window := p.doneIn + scaleDuration(c.cost.resultTTL, keepFraction)
	return candidatePair{
		prefill:            *p,
		decode:             *d,
		transfer:           linkSpan{start: transferAt, end: transferAt.Add(transfer)},
		firstToken:         firstToken,
		firstTokenWithSlot: transferredIn + gap + c.overhead.value,
		score:              firstToken + filter.scorePenalty(p.replica) + filter.scorePenalty(d.replica),
		withinKeepTime:     d.slotIn <= window && transferAt.Sub(now) <= window,
	}
}

// linkRate returns the rate of the slower of two links; 0 means unlimited.
func linkRate(a, b *replica) int64 {
	x, y := a.config.LinkBytesPerSecond, b.config.LinkBytesPerSecond
	if x <= 0 {
		return y
	}
	if y <= 0 {
		return x
	}
	return min(x, y)
}
