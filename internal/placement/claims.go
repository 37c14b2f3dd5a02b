package placement

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// prefillQueue is the prefill work claimed on one endpoint, in order of assignment.
type prefillQueue struct {
	work      []*claim
	tokens    int64
	headStart clock.Instant
	// until is when the queue is predicted to be empty; rest is the part after its head.
	until clock.Instant
	rest  time.Duration
}

func (q *prefillQueue) add(now clock.Instant, c *claim) {
	if len(q.work) == 0 {
		q.headStart = now
	}
	q.work = append(q.work, c)
	q.tokens += c.prefillTokens
}

func (q *prefillQueue) remove(now clock.Instant, c *claim) bool {
	i := slices.Index(q.work, c)
	if i < 0 {
		return false
	}
	q.work = slices.Delete(q.work, i, i+1)
	q.tokens -= c.prefillTokens
	if i == 0 {
		q.headStart = now
	}
	return true
}

// predict recomputes the end of the queue after a change.
func (q *prefillQueue) predict(cost *modelCost, slowdown float64) {
	q.until, q.rest = 0, 0
	if len(q.work) == 0 {
		return
	}
	head := q.work[0].prefillTokens
	q.rest = scale(cost.prefillTime(q.tokens-head), slowdown)
	q.until = q.headStart.Add(scale(cost.prefillTime(head), slowdown) + q.rest)
}

// wait predicts when work added now would start. A head that takes longer than predicted
// counts as about to end.
func (q *prefillQueue) wait(now clock.Instant) time.Duration {
	return max(q.rest, q.until.Sub(now), 0)
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// decodeSlots are the decode slots claimed on one endpoint.
type decodeSlots struct {
	claims []*claim
	// releases are the predicted releases of claims, in order.
	releases []clock.Instant
	// batch is the tightest limit that a claim's gap target sets.
	batch int
	// foreign counts requests that the engine runs and this owner did not place.
	foreign int
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

// refresh recomputes what is derived from the claims.
func (d *decodeSlots) refresh() {
	d.releases = d.releases[:0]
	d.batch = maxBatch
	for _, c := range d.claims {
		d.releases = append(d.releases, c.release)
		d.batch = min(d.batch, c.batch)
	}
	slices.Sort(d.releases)
}

// freeAt predicts when one more request can decode on an endpoint of the given capacity.
func (d *decodeSlots) freeAt(now clock.Instant, capacity int) (at clock.Instant, ok bool) {
	if capacity <= 0 {
		return 0, false
	}
	over := len(d.claims) + d.foreign - capacity
	if over < 0 {
		return now, true
	}
	if over >= len(d.releases) {
		return 0, false
	}
	return max(now, d.releases[over]), true
}

// runningAt predicts how many claims still decode at an instant.
func (d *decodeSlots) runningAt(at clock.Instant) int {
	ended, _ := slices.BinarySearch(d.releases, at+1)
	return len(d.claims) + d.foreign - ended
}

// span is a time on a link claimed for one transfer.
type span struct {
	start, end clock.Instant
	claim      *claim
}

// timetable holds the transfers claimed on one endpoint's link, by start.
type timetable struct{ spans []span }

func (t *timetable) add(s span) {
	if s.end <= s.start {
		return
	}
	i, _ := slices.BinarySearchFunc(t.spans, s, func(a, b span) int { return int(a.start - b.start) })
	t.spans = slices.Insert(t.spans, i, s)
}

func (t *timetable) remove(c *claim) {
	t.spans = slices.DeleteFunc(t.spans, func(s span) bool { return s.claim == c })
}

// conflict gives the end of a span that overlaps [start, end).
func (t *timetable) conflict(start, end clock.Instant) (clock.Instant, bool) {
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

// earliest gives the first start from ready on at which both links are free for d.
func earliest(a, b *timetable, ready clock.Instant, d time.Duration) clock.Instant {
	start := ready
	for {
		end := start.Add(d)
		next, busy := a.conflict(start, end)
		if !busy {
			next, busy = b.conflict(start, end)
		}
		if !busy {
			return start
		}
		start = next
	}
}
