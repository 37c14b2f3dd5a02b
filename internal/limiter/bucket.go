package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// unitsPerToken is the number of balance units per token. A rate of one token per second adds one
// unit per nanosecond, so all arithmetic is exact in integers.
const unitsPerToken = int64(time.Second)

// MaxBurstTokens is the maximum burst of one share.
const MaxBurstTokens = int64(1) << 32

// maxGrants bounds the number of refundable grants per bucket. When it is exceeded, the oldest
// grant becomes non-refundable.
const maxGrants = 4096

// grantID identifies one request's grant from one share.
type grantID struct {
	vm  ident.VM
	seq uint64
}

// grant is a debit that can still be refunded. headroom is the minimum distance, in units,
// between the balance and the burst limit from this debit until the next one in the list.
type grant struct {
	order     uint64
	id        grantID
	tokens    int64
	headroom  int64
	at        clock.Instant
	tentative bool
}

// bucket is an exact token bucket. A refund restores the balance that would have resulted if only
// the used tokens had been debited in the first place. The used tokens therefore comply with rate
// and burst over any time window.
type bucket struct {
	rate  int64
	burst int64
	// level is the balance in units at updatedAt.
	level     int64
	updatedAt clock.Instant
	grants    []grant
	overflow  overflow
	byID      map[grantID]uint64
	nextOrder uint64
}

// newBucket returns a bucket that is either full or empty at now.
func newBucket(now clock.Instant, l Limit, full bool) *bucket {
	b := &bucket{rate: l.Rate, burst: l.Burst, updatedAt: now, byID: map[grantID]uint64{}}
	b.overflow.reset(now)
	if full {
		b.level = b.capacity()
	}
	return b
}

func (b *bucket) capacity() int64 { return b.burst * unitsPerToken }

// advance accrues tokens up to now. A clock that goes backwards accrues nothing.
func (b *bucket) advance(now clock.Instant) {
	elapsed := int64(now - b.updatedAt)
	if elapsed <= 0 {
		return
	}
	before, level := b.updatedAt, b.level
	missing := max(0, b.capacity()-level)
	b.updatedAt = now
	fullAt := now + 1
	if b.rate > 0 && elapsed >= (missing+b.rate-1)/b.rate {
		b.level = max(level, b.capacity())
		fullAt = before.Add(time.Duration((missing + b.rate - 1) / b.rate))
	} else {
		b.level += b.rate * elapsed
	}
	b.overflow.recordAccrual(before, fullAt, now, level, b.rate, b.capacity())
	b.updateHeadroom()
}

// updateHeadroom lowers the headroom of the newest grant to the current distance between the
// balance and the burst limit.
func (b *bucket) updateHeadroom() {
	if n := len(b.grants); n > 0 {
		b.grants[n-1].headroom = min(b.grants[n-1].headroom, b.capacity()-b.level)
	}
}

// available returns the balance at now in whole tokens.
func (b *bucket) available(now clock.Instant) int64 {
	b.advance(now)
	return b.level / unitsPerToken
}

// find returns the index of a grant.
func (b *bucket) find(id grantID) (int, bool) {
	order, ok := b.byID[id]
	if !ok {
		return 0, false
	}
	return slices.BinarySearchFunc(b.grants, order, func(p grant, o uint64) int { return cmp.Compare(p.order, o) })
}

// debit takes tokens, which must be available.
func (b *bucket) debit(now clock.Instant, id grantID, tokens int64, tentative bool) {
	b.advance(now)
	b.level -= tokens * unitsPerToken
	if len(b.grants) == maxGrants {
		b.remove(0)
	}
	b.nextOrder++
	b.byID[id] = b.nextOrder
	b.grants = append(b.grants, grant{
		order:     b.nextOrder,
		id:        id,
		tokens:    tokens,
		headroom:  b.capacity() - b.level,
		at:        now,
		tentative: tentative,
	})
}

// settle ends a grant and refunds its unused tokens. It reports whether the grant was found.
func (b *bucket) settle(now clock.Instant, id grantID, used int64) bool {
	b.advance(now)
	i, ok := b.find(id)
	if !ok {
		return false
	}
	used = min(max(used, 0), b.grants[i].tokens)
	b.refund(i, b.grants[i].tokens-used)
	b.remove(i)
	return true
}

// refund credits tokens of a grant as if they had never been debited. Tokens that would have
// exceeded the burst limit in the meantime count as overflow.
func (b *bucket) refund(i int, tokens int64) {
	credit := tokens * unitsPerToken
	first := slotIndex(b.grants[i].at)
	for k := i; k < len(b.grants); k++ {
		last := slotIndex(b.updatedAt)
		if k+1 < len(b.grants) {
			last = slotIndex(b.grants[k+1].at)
		}
		b.overflow.raiseLevels(first, last, credit, b.capacity())
		first = max(first, last+1)
		if excess := credit - b.grants[k].headroom; excess > 0 {
			b.overflow.recordLoss(b.grants[k].at, excess)
			credit = b.grants[k].headroom
		}
		b.grants[k].headroom -= credit
	}
	b.level += credit
}

// deposit adds tokens that another share lost after the start of a slot, limited to the headroom
// that has existed since then.
func (b *bucket) deposit(now clock.Instant, slot, tokens int64) {
	b.advance(now)
	units := min(tokens*unitsPerToken, b.overflow.headroomSince(slot, now, b.capacity()))
	b.level += units
	b.overflow.raiseLevels(slot, slotIndex(now), units, b.capacity())
	for k := range b.grants {
		if k+1 == len(b.grants) || b.grants[k+1].at >= slotStart(slot) {
			b.grants[k].headroom = max(0, b.grants[k].headroom-units)
		}
	}
}

// remove deletes a grant. The preceding grant then covers its time span too.
func (b *bucket) remove(i int) {
	if i > 0 {
		b.grants[i-1].headroom = min(b.grants[i-1].headroom, b.grants[i].headroom)
	}
	delete(b.byID, b.grants[i].id)
	b.grants = slices.Delete(b.grants, i, i+1)
}

// setLimit changes the limit. It never increases the balance.
func (b *bucket) setLimit(now clock.Instant, l Limit) {
	if b.rate == l.Rate && b.burst == l.Burst {
		return
	}
	b.advance(now)
	b.rate, b.burst = l.Rate, l.Burst
	b.level = min(b.level, b.capacity())
	b.overflow.reset(now)
	b.updateHeadroom()
}

// settleMatching ends all matching grants as fully used and returns their number.
func (b *bucket) settleMatching(match func(grant) bool) int {
	n := 0
	for i := len(b.grants) - 1; i >= 0; i-- {
		if match(b.grants[i]) {
			b.remove(i)
			n++
		}
	}
	return n
}

// hasTentative reports whether a tentative grant is undecided.
func (b *bucket) hasTentative(now clock.Instant) bool {
	for _, p := range slices.Backward(b.grants) {
		if now.Sub(p.at) > tentativeTimeout {
			return false
		}
		if p.tentative {
			return true
		}
	}
	return false
}

// confirm makes a tentative grant final.
func (b *bucket) confirm(id grantID) {
	if i, ok := b.find(id); ok {
		b.grants[i].tentative = false
	}
}

// restoreGrant adds a grant that was debited by another holder, without debiting it again.
func (b *bucket) restoreGrant(now clock.Instant, id grantID, tokens, headroom int64) {
	b.nextOrder++
	b.byID[id] = b.nextOrder
	b.grants = append(b.grants, grant{order: b.nextOrder, id: id, tokens: tokens, headroom: headroom, at: now})
}
