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
	keepPart = 0.25
	// remotePenalty is added for an endpoint outside the caller's data centre.
	remotePenalty = 2 * time.Millisecond
	// failurePenalty is added for each recent failure of an endpoint.
	failurePenalty = 100 * time.Millisecond
)

// unusable gives the cause that excludes an endpoint from all decisions.
func (e *replica) unusable() (Cause, bool) {
	switch {
	case e.leaving:
		return CauseLeaving, true
	case e.health.ejected:
		return CauseEjected, true
	case !e.serves(e.conf.Model):
		return CauseNotLoaded, true
	}
	return 0, false
}

// prefillOption is a prefill endpoint under consideration. Times count from now.
type prefillOption struct {
	replica *replica
	cached  int64
	wait    time.Duration
	done    time.Duration
}

// decodeOption is a decode endpoint under consideration.
type decodeOption struct {
	replica *replica
	slotAt  time.Duration
}

// pair is a whole option.
type pair struct {
	prefill  prefillOption
	decode   decodeOption
	transfer span
	// first is the predicted time to the first token.
	first time.Duration
	// atOnce is the same if a slot were free at once.
	atOnce time.Duration
	score  time.Duration
	// inTime says that the slot and the link are free while the result is kept.
	inTime bool
}

// best keeps the options with the lowest scores, in order.
type best[T any] struct {
	items [shortlist]T
	score [shortlist]time.Duration
	n     int
}

func (b *best[T]) add(item *T, score time.Duration) {
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
	b.items[i], b.score[i] = *item, score
}

// choice is the outcome of weighing all pairs for one request.
type choice struct {
	pair     pair
	found    bool
	rejected Rejections
	// busier is the predicted first token of the best pair whose prefill has to wait longer
	// than prefillLookahead, 0 when there is none.
	busier time.Duration
	// soonest is the earliest first token of any pair if a slot were free at once, 0 when there
	// is no pair. Slots are mostly freed before their predicted release, so a request is not
	// refused for want of one before its time is up.
	soonest time.Duration
	// anyPrefill and anyDecode say that some endpoint of the role passed the filter.
	anyPrefill, anyDecode bool
}

// choose weighs the endpoints for r. Times are predicted from the owner's own claims. The
// result is valid until the next call.
func (c *Cell) choose(now clock.Instant, r *Request) *choice {
	ch := &c.choice
	*ch = choice{}
	prefills := c.shortlistPrefill(now, r, ch)
	if prefills.n == 0 {
		return ch
	}
	decodes := c.shortlistDecode(now, r, prefills.items[0].done, ch)
	for i := range prefills.n {
		for j := range decodes.n {
			ch.consider(c.weigh(now, r, &prefills.items[i], &decodes.items[j]))
		}
	}
	return ch
}

// consider keeps p when it is better than what was found before.
func (ch *choice) consider(p pair) {
	if ch.soonest == 0 || p.atOnce < ch.soonest {
		ch.soonest = p.atOnce
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
	b := &c.prefillBest
	b.n = 0
	if !r.NeedPrefill {
		c.keptOption(r, ch)
		return b
	}
	role := &c.roles[roleIndex(configuration.RolePrefill)]
	ch.add(role)
	v := c.viewOf(configuration.RolePrefill, r)
	matched := c.prefix.match(now, r.Pieces)
	whole := c.cost.prefillTime(r.PromptTokens)
	for _, e := range role.usable {
		if v.picky && !v.accepts(e, ch) {
			continue
		}
		ch.anyPrefill = true
		wait := e.prefill.wait(now)
		if b.n == shortlist && wait >= b.score[shortlist-1] {
			continue
		}
		o := prefillOption{replica: e, wait: wait}
		work := whole
		if n := matched[e.index]; n > 0 {
			o.cached = min(int64(n)*c.cost.pieceTokens, max(0, r.PromptTokens-1))
			work = c.cost.prefillTime(r.PromptTokens - o.cached)
		}
		o.done = wait + scale(work, e.slowdown)
		b.add(&o, o.done+v.penalty(e))
	}
	return b
}

// keptOption stands for the endpoint that keeps the result already.
func (c *Cell) keptOption(r *Request, ch *choice) {
	e := c.byName[r.Kept]
	if e == nil {
		return
	}
	ch.anyPrefill = true
	c.prefillBest.add(&prefillOption{replica: e, cached: r.PromptTokens}, 0)
}

func (c *Cell) shortlistDecode(now clock.Instant, r *Request, need time.Duration, ch *choice) *best[decodeOption] {
	b := &c.decodeBest
	b.n = 0
	batch := c.batchFor(r)
	role := &c.roles[roleIndex(configuration.RoleDecode)]
	ch.add(role)
	v := c.viewOf(configuration.RoleDecode, r)
	for _, e := range role.usable {
		if v.picky && !v.accepts(e, ch) {
			continue
		}
		ch.anyDecode = true
		at, ok := e.decode.freeAt(now, c.allowed(e, r, batch))
		if !ok {
			ch.rejected[CauseFull]++
			continue
		}
		score := c.cost.gap(len(e.decode.claims)+1) + v.penalty(e)
		if b.n == shortlist && score >= b.score[shortlist-1] {
			continue
		}
		o := decodeOption{replica: e, slotAt: at.Sub(now)}
		score += max(0, o.slotAt-need) + linkWait(now, e, need)
		b.add(&o, score)
	}
	return b
}

// requestView is what filtering and penalties of one role need to know of a request.
type requestView struct {
	// picky is set when a usable endpoint may be excluded.
	picky   bool
	avoid   []string
	adapter string
	// dataCentre is the number of the request's data centre.
	dataCentre int
}

// viewOf prepares the filter; the adapter counts only if an endpoint has it loaded.
func (c *Cell) viewOf(role configuration.Role, r *Request) requestView {
	v := requestView{avoid: r.Avoid, picky: len(r.Avoid) > 0, dataCentre: c.dataCentreNumber(r.DataCentre)}
	if r.Adapter == "" {
		return v
	}
	for _, e := range c.roles[roleIndex(role)].usable {
		if e.has(r.Adapter) {
			v.adapter, v.picky = r.Adapter, true
			break
		}
	}
	return v
}

// accepts reports whether this request may use a usable endpoint, and counts the cause if not.
func (v *requestView) accepts(e *replica, ch *choice) bool {
	if slices.Contains(v.avoid, e.name) {
		ch.rejected[CauseAvoided]++
		return false
	}
	if v.adapter != "" && !e.has(v.adapter) {
		ch.rejected[CauseNotLoaded]++
		return false
	}
	return true
}

// penalty makes a near endpoint that has not failed lately go first.
func (v *requestView) penalty(e *replica) time.Duration {
	p := time.Duration(min(e.health.failures, ejectAfterFailures)) * failurePenalty
	if e.dataCentre != v.dataCentre {
		p += remotePenalty
	}
	return p
}

// add counts the endpoints of a role that no request may use.
func (ch *choice) add(role *roleState) {
	for cause, n := range role.rejected {
		ch.rejected[cause] += n
	}
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
func (c *Cell) weigh(now clock.Instant, r *Request, p *prefillOption, d *decodeOption) pair {
	took := c.cost.transferTime(r.PromptTokens, linkRate(p.replica, d.replica))
	ready := now.Add(p.done)
	start := earliest(&p.replica.link, &d.replica.link, ready, took)
	moved := start.Add(took).Sub(now)
	running := d.replica.decode.runningAt(max(ready, now.Add(d.slotAt)))
	gap := c.cost.gap(min(running+1, max(1, d.replica.conf.Slots)))
	first := max(moved, d.slotAt) + gap + c.overhead.value
	v := requestView{dataCentre: c.dataCentreNumber(r.DataCentre)}
	window := p.done + scale(c.cost.keep, keepPart)
	return pair{
		prefill:  *p,
		decode:   *d,
		transfer: span{start: start, end: start.Add(took)},
		first:    first,
		atOnce:   moved + gap + c.overhead.value,
		score:    first + v.penalty(p.replica) + v.penalty(d.replica),
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
