package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
)

// Cause is why an endpoint was passed over.
type Cause uint8

// The causes.
const (
	// CauseLeaving: it is leaving.
	CauseLeaving Cause = iota
	// CauseEjected: it failed too often or does not answer.
	CauseEjected
	// CauseAvoided: it failed this request already.
	CauseAvoided
	// CauseNotLoaded: the model or adapter is not loaded.
	CauseNotLoaded
	// CauseFull: no slot is free, or free soon enough.
	CauseFull
	// CauseSlower: another is predicted to be faster.
	CauseSlower
	causes
)

var causeNames = [causes]string{"leaving", "ejected", "avoided", "not_loaded", "full", "slower"}

// Rejections counts endpoints by the cause for which they were passed over.
type Rejections [causes]uint16

// String gives cause=count pairs.
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
	// shortlist is the number of endpoints of each role that are weighed as pairs.
	shortlist = 4
	// prefillLookahead is how long before a prefill endpoint falls idle it may be given its
	// next prompt. What waits longer stays in the fair queue, where order can still change.
	prefillLookahead = 50 * time.Millisecond
	// keepPart is the part of a result's keep time within which a predicted release counts.
	keepPart = 0.5
	// remotePenalty is added for an endpoint outside the caller's data centre.
	remotePenalty = 2 * time.Millisecond
	// failurePenalty is added for each recent failure of an endpoint.
	failurePenalty = 100 * time.Millisecond
)

// filter gives the cause that excludes an endpoint from all decisions on r.
func filter(e *replica, r *Request) (Cause, bool) {
	switch {
	case e.leaving:
		return CauseLeaving, false
	case e.health.ejected:
		return CauseEjected, false
	case len(r.Avoid) > 0 && slices.Contains(r.Avoid, e.name):
		return CauseAvoided, false
	case !e.serves(r.Model):
		return CauseNotLoaded, false
	}
	return 0, true
}

// prefillOption is a prefill endpoint under consideration. Times count from now.
type prefillOption struct {
	replica *replica
	cached  int64
	wait    time.Duration
	done    time.Duration
	score   time.Duration
}

// decodeOption is a decode endpoint under consideration.
type decodeOption struct {
	replica *replica
	slotAt  time.Duration
	score   time.Duration
}

// pair is a whole option.
type pair struct {
	prefill  prefillOption
	decode   decodeOption
	transfer span
	// first is the predicted time to the first token.
	first time.Duration
	score time.Duration
	// inTime says that the slot and the link are free while the result is kept.
	inTime bool
}

// best keeps the options with the lowest scores, in order.
type best[T any] struct {
	items [shortlist]T
	score [shortlist]time.Duration
	n     int
}

func (b *best[T]) add(item T, score time.Duration) {
	if b.n == shortlist && score >= b.score[shortlist-1] {
		return
	}
	i := b.n
	if b.n < shortlist {
		b.n++
	} else {
		i--
	}
	for ; i > 0 && score < b.score[i-1]; i-- {
		b.items[i], b.score[i] = b.items[i-1], b.score[i-1]
	}
	b.items[i], b.score[i] = item, score
}

// choice is the outcome of weighing all pairs for one request.
type choice struct {
	pair     pair
	found    bool
	rejected Rejections
	// busier is the predicted first token of the best pair whose prefill has to wait longer
	// than prefillLookahead, 0 when there is none.
	busier time.Duration
	// soonest is the earliest predicted first token of any pair, 0 when there is none.
	soonest time.Duration
	// anyPrefill and anyDecode say that some endpoint of the role passed the filter.
	anyPrefill, anyDecode bool
}

// choose weighs the endpoints for r. Times are predicted from the owner's own claims.
func (c *Cell) choose(now clock.Instant, r *Request) choice {
	var ch choice
	prefills := c.shortlistPrefill(now, r, &ch)
	if prefills.n == 0 {
		return ch
	}
	decodes := c.shortlistDecode(now, r, prefills.items[0].done, &ch)
	for i := range prefills.items[:prefills.n] {
		for j := range decodes.items[:decodes.n] {
			p := c.weigh(now, r, prefills.items[i], decodes.items[j])
			ch.consider(p)
		}
	}
	return ch
}

// consider keeps p when it is better than what was found before.
func (ch *choice) consider(p pair) {
	if ch.soonest == 0 || p.first < ch.soonest {
		ch.soonest = p.first
	}
	if !p.inTime {
		return
	}
	if p.prefill.wait > prefillLookahead {
		if ch.busier == 0 || p.score < ch.busier {
			ch.busier = p.score
		}
		return
	}
	if !ch.found || p.score < ch.pair.score {
		ch.pair, ch.found = p, true
	}
}

func (c *Cell) shortlistPrefill(now clock.Instant, r *Request, ch *choice) *best[prefillOption] {
	c.prefillBest = best[prefillOption]{}
	if !r.NeedPrefill {
		c.keptOption(r, ch)
		return &c.prefillBest
	}
	matched := c.prefix.match(now, r.Pieces)
	lastResort := c.answering(configuration.RolePrefill)
	adapted := c.adapterLoaded(configuration.RolePrefill, r.Adapter)
	for _, e := range c.prefills {
		cause, ok := filter(e, r)
		switch {
		case !ok:
			ch.rejected[cause]++
			continue
		case lastResort && !e.health.answering():
			ch.rejected[CauseEjected]++
			continue
		case adapted && !e.has(r.Adapter):
			ch.rejected[CauseNotLoaded]++
			continue
		}
		ch.anyPrefill = true
		o := c.prefillOption(now, r, e, matched[e.index])
		c.prefillBest.add(o, o.score)
	}
	return &c.prefillBest
}

// keptOption stands for the endpoint that keeps the result already.
func (c *Cell) keptOption(r *Request, ch *choice) {
	e := c.byName[r.Kept]
	if e == nil {
		return
	}
	ch.anyPrefill = true
	c.prefillBest.add(prefillOption{replica: e, cached: r.PromptTokens}, 0)
}

func (c *Cell) prefillOption(now clock.Instant, r *Request, e *replica, matched int) prefillOption {
	cached := min(int64(matched)*c.cost.pieceTokens, max(0, r.PromptTokens-1))
	wait := e.prefill.wait(now, &c.cost, e.slowdown)
	work := scale(c.cost.prefillTime(r.PromptTokens-cached), e.slowdown)
	return prefillOption{
		replica: e,
		cached:  cached,
		wait:    wait,
		done:    wait + work,
		score:   wait + work + penalty(e, r),
	}
}

func penalty(e *replica, r *Request) time.Duration {
	p := time.Duration(min(e.health.failures, ejectAfterFailures)) * failurePenalty
	if e.conf.DataCentre != r.DataCentre {
		p += remotePenalty
	}
	return p
}

func (c *Cell) shortlistDecode(now clock.Instant, r *Request, need time.Duration, ch *choice) *best[decodeOption] {
	c.decodeBest = best[decodeOption]{}
	batch := c.batchFor(r)
	lastResort := c.answering(configuration.RoleDecode)
	adapted := c.adapterLoaded(configuration.RoleDecode, r.Adapter)
	for _, e := range c.decodes {
		cause, ok := filter(e, r)
		switch {
		case !ok:
			ch.rejected[cause]++
			continue
		case lastResort && !e.health.answering():
			ch.rejected[CauseEjected]++
			continue
		case adapted && !e.has(r.Adapter):
			ch.rejected[CauseNotLoaded]++
			continue
		}
		ch.anyDecode = true
		at, ok := e.decode.freeAt(now, c.allowed(e, r, batch))
		if !ok {
			ch.rejected[CauseFull]++
			continue
		}
		o := decodeOption{replica: e, slotAt: at.Sub(now)}
		o.score = max(0, o.slotAt-need) + c.cost.gap(len(e.decode.claims)+1) + penalty(e, r)
		o.score += linkWait(now, e, need)
		c.decodeBest.add(o, o.score)
	}
	return &c.decodeBest
}

// linkWait is the claimed link time of e that ends after need.
func linkWait(now clock.Instant, e *replica, need time.Duration) time.Duration {
	if len(e.link.spans) == 0 {
		return 0
	}
	last := e.link.spans[len(e.link.spans)-1]
	return max(0, last.end.Sub(now)-need)
}

// batchFor is the limit that the gap target of r sets on a batch.
func (c *Cell) batchFor(r *Request) int { return c.cost.batchLimit(r.Gap) }

// allowed is the capacity of e for r: work that may wait leaves room while urgent work comes.
func (c *Cell) allowed(e *replica, r *Request, batch int) int {
	capacity := e.capacity(batch)
	if r.Class == configuration.MayWait && c.urgentLately {
		return capacity - reserveFor(capacity)
	}
	return capacity
}

// reserveFor is the part of an endpoint's capacity kept free of work that may wait.
func reserveFor(capacity int) int {
	const reservePart, leastCapacity = 10, 4
	if capacity < leastCapacity {
		return 0
	}
	return max(1, capacity/reservePart)
}

// weigh predicts the first token of one pair.
func (c *Cell) weigh(now clock.Instant, r *Request, p prefillOption, d decodeOption) pair {
	took := c.cost.transferTime(r.PromptTokens, linkRate(p.replica, d.replica))
	ready := now.Add(p.done)
	start := earliest(&p.replica.link, &d.replica.link, ready, took)
	moved := start.Add(took).Sub(now)
	running := d.replica.decode.runningAt(max(ready, now.Add(d.slotAt)))
	gap := c.cost.gap(min(running+1, max(1, d.replica.conf.Slots)))
	first := max(moved, d.slotAt) + gap
	window := p.done + scale(c.cost.keep, keepPart)
	return pair{
		prefill:  p,
		decode:   d,
		transfer: span{start: start, end: start.Add(took)},
		first:    first,
		score:    first + penalty(p.replica, r) + penalty(d.replica, r),
		inTime:   d.slotAt <= window && start.Sub(now) <= window,
	}
}

// linkRate is the rate of the slower of two links; 0 is no limit.
func linkRate(a, b *replica) int64 {
	x, y := a.conf.LinkBytesPerSecond, b.conf.LinkBytesPerSecond
	if x <= 0 {
		return y
	}
	if y <= 0 {
		return x
	}
	return min(x, y)
}

// answering reports whether some endpoint of a role that may get work answers its polls;
// then those that do not answer are left out, also where the floor kept them from ejection.
func (c *Cell) answering(role configuration.Role) bool {
	return c.roles[roleIndex(role)].answering > 0
}

// adapterLoaded reports whether an endpoint of a role has the adapter loaded.
func (c *Cell) adapterLoaded(role configuration.Role, adapter string) bool {
	if adapter == "" {
		return false
	}
	for _, e := range c.ofRole(role) {
		if !e.leaving && !e.health.ejected && e.has(adapter) {
			return true
		}
	}
	return false
}
