package placement

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// prefillQueue holds the claimed prefill work of one endpoint, in order of assignment.
type prefillQueue struct {
	claims        []*claim
	tokens        int64
	headStartedAt clock.Instant
	// emptyAt is the predicted time at which the queue is empty; tailTime is the predicted
	// duration of everything after the head.
	emptyAt  clock.Instant
	tailTime time.Duration
}

func (q *prefillQueue) add(now clock.Instant, c *claim) {
	if len(q.claims) == 0 {
		q.headStartedAt = now
	}
	q.claims = append(q.claims, c)
	q.tokens += c.prefillTokens
}

func (q *prefillQueue) remove(now clock.Instant, c *claim) bool {
	i := slices.Index(q.claims, c)
	if i < 0 {
		return false
	}
	q.claims = slices.Delete(q.claims, i, i+1)
	q.tokens -= c.prefillTokens
	if i == 0 {
		q.headStartedAt = now
	}
	return true
}

// predict recomputes the predicted end of the queue after a change.
func (q *prefillQueue) predict(cost *modelCost, slowdown float64) {
	q.emptyAt, q.tailTime = 0, 0
	if len(q.claims) == 0 {
		return
	}
	head := q.claims[0].prefillTokens
	q.tailTime = scaleDuration(cost.prefillTime(q.tokens-head), slowdown)
	q.emptyAt = q.headStartedAt.Add(scaleDuration(cost.prefillTime(head), slowdown) + q.tailTime)
}

// wait predicts how long work added now would wait. A head that runs longer than predicted is
// assumed to end immediately.
func (q *prefillQueue) wait(now clock.Instant) time.Duration {
	return max(q.tailTime, q.emptyAt.Sub(now), 0)
}

func scaleDuration(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// decodeSlots holds the claimed decode slots of one endpoint.
type decodeSlots struct {
	claims []*claim
	// releaseTimes holds the predicted release times of the claims in ascending order.
	releaseTimes []clock.Instant
	// batchLimit is the lowest limit that the gap target of any claim sets.
	batchLimit int
	// external counts requests that run on the engine but were not placed by this owner.
	external int
}

func (d *decodeSlots) add(c *claim) {
	d.claims = append(d.claims, c)
	d.refresh()
}

func (d *decodeSlots) remove(c *claim) bool {
	i := slices.Index(d.claims, c)
	if i < 0 {
		return false
	}
	d.claims = slices.Delete(d.claims, i, i+1)
	d.refresh()
	return true
}

// refresh recomputes the fields that are derived from the claims.
func (d *decodeSlots) refresh() {
	d.releaseTimes = d.releaseTimes[:0]
	d.batchLimit = maxBatch
	for _, c := range d.claims {
		d.releaseTimes = append(d.releaseTimes, c.releaseAt)
		d.batchLimit = min(d.batchLimit, c.batchLimit)
	}
	slices.Sort(d.releaseTimes)
}

// freeAt predicts when an endpoint of the given capacity can decode one more request.
func (d *decodeSlots) freeAt(now clock.Instant, capacity int) (at clock.Instant, ok bool) {
	if capacity <= 0 {
		return 0, false
	}
	excess := len(d.claims) + d.external - capacity
	if excess < 0 {
		return now, true
	}
	if excess >= len(d.releaseTimes) {
		return 0, false
	}
	return max(now, d.releaseTimes[excess]), true
}

// runningAt predicts how many requests are still decoding at the given time.
func (d *decodeSlots) runningAt(at clock.Instant) int {
	ended, _ := slices.BinarySearch(d.releaseTimes, at+1)
	return len(d.claims) + d.external - ended
}

// linkSpan is an interval on a link that is claimed for one transfer.
type linkSpan struct {
	start, end clock.Instant
	claim      *claim
}

// linkSchedule holds the claimed transfers of one endpoint's link, ordered by start time.
type linkSchedule struct{ spans []linkSpan }

func (t *linkSchedule) add(s linkSpan) {
	if s.end <= s.start {
		return
	}
	i, _ := slices.BinarySearchFunc(t.spans, s, func(a, b linkSpan) int { return int(a.start - b.start) })
	t.spans = slices.Insert(t.spans, i, s)
}

func (t *linkSchedule) remove(c *claim) {
	t.spans = slices.DeleteFunc(t.spans, func(s linkSpan) bool { return s.claim == c })
}

// overlapEnd returns the end of the first span that overlaps [start, end).
func (t *linkSchedule) overlapEnd(start, end clock.Instant) (clock.Instant, bool) {
	for _, s := range t.spans {
		if s.start >= end {
			return 0, false
		}
		if s.end > start {
			return s.end, true
		}
	}
	return 0, false
}

// earliestStart returns the earliest start, not before ready, at which both links are free for
// d.
func earliestStart(a, b *linkSchedule, ready clock.Instant, d time.Duration) clock.Instant {
	start := ready
	for {
		end := start.Add(d)
		next, overlaps := a.overlapEnd(start, end)
		if !overlaps {
			next, overlaps = b.overlapEnd(start, end)
		}
		if !overlaps {
			return start
		}
		start = next
	}
}
