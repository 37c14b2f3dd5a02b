package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// unit is the number of balance units in one token. A rate of one token a second adds one
// unit each nanosecond, so that all arithmetic is exact in integers.
const unit = int64(time.Second)

// MaxBurstTokens is the largest burst of one share.
const MaxBurstTokens = int64(1) << 32

// maxHeld bounds the parts that one bucket can still refund. Beyond it the oldest part loses
// its refund.
const maxHeld = 4096

// partID names what one request holds at one share.
type partID struct {
	vm  ident.VM
	seq uint64
}

// part is a debit that may still be refunded. room is the least distance between the balance
// and the cap from this debit to the next one still held, in units.
type part struct {
	order     uint64
	id        partID
	tokens    int64
	room      int64
	at        clock.Instant
	tentative bool
}

// bucket is one exact token bucket. A refund restores the balance that it would have had if
// only the used tokens had been taken at the time of the debit, so the used tokens obey the
// rate and burst over any window.
type bucket struct {
	rate  int64
	burst int64
	// level is the balance in units as of at.
	level     int64
	at        clock.Instant
	held      []part
	overflow  overflow
	byID      map[partID]uint64
	nextOrder uint64
}

// newBucket makes a bucket that is full or empty at now.
func newBucket(now clock.Instant, l Limit, full bool) *bucket {
	b := &bucket{rate: l.Rate, burst: l.Burst, at: now, byID: map[partID]uint64{}}
	b.overflow.reset(now)
	if full {
		b.level = b.limit()
	}
	return b
}

func (b *bucket) limit() int64 { return b.burst * unit }

// advance adds what has accrued up to now. Time that goes back adds nothing.
func (b *bucket) advance(now clock.Instant) {
	elapsed := int64(now - b.at)
	if elapsed <= 0 {
		return
	}
	before, level := b.at, b.level
	missing := max(0, b.limit()-level)
	b.at = now
	full := now + 1
	if b.rate > 0 && elapsed >= (missing+b.rate-1)/b.rate {
		b.level = max(level, b.limit())
		full = before.Add(time.Duration((missing + b.rate - 1) / b.rate))
	} else {
		b.level += b.rate * elapsed
	}
	b.overflow.pass(before, full, now, level, b.rate, b.limit())
	b.noteRoom()
}

// noteRoom lowers the newest part's room to the present distance to the cap.
func (b *bucket) noteRoom() {
	if n := len(b.held); n > 0 {
		b.held[n-1].room = min(b.held[n-1].room, b.limit()-b.level)
	}
}

// available gives the whole tokens in the bucket at now.
func (b *bucket) available(now clock.Instant) int64 {
	b.advance(now)
	return b.level / unit
}

// find gives the index of a part.
func (b *bucket) find(id partID) (int, bool) {
	order, ok := b.byID[id]
	if !ok {
		return 0, false
	}
	return slices.BinarySearchFunc(b.held, order, func(p part, o uint64) int { return cmp.Compare(p.order, o) })
}

// debit takes tokens, which must be available.
func (b *bucket) debit(now clock.Instant, id partID, tokens int64, tentative bool) {
	b.advance(now)
	b.level -= tokens * unit
	if len(b.held) == maxHeld {
		b.drop(0)
	}
	b.nextOrder++
	b.byID[id] = b.nextOrder
	b.held = append(b.held, part{
		order:     b.nextOrder,
		id:        id,
		tokens:    tokens,
		room:      b.limit() - b.level,
		at:        now,
		tentative: tentative,
	})
}

// settle ends a part of which used tokens were used, and reports whether it was known.
func (b *bucket) settle(now clock.Instant, id partID, used int64) bool {
	b.advance(now)
	i, ok := b.find(id)
	if !ok {
		return false
	}
	used = min(max(used, 0), b.held[i].tokens)
	b.refund(i, b.held[i].tokens-used)
	b.drop(i)
	return true
}

// refund takes tokens off a part as if they had never been debited. What would have been
// above the cap in the meantime counts as overflow.
func (b *bucket) refund(i int, tokens int64) {
	credit := tokens * unit
	first := slotOf(b.held[i].at)
	for k := i; k < len(b.held); k++ {
		last := slotOf(b.at)
		if k+1 < len(b.held) {
			last = slotOf(b.held[k+1].at)
		}
		b.overflow.raise(first, last, credit, b.limit())
		first = max(first, last+1)
		if over := credit - b.held[k].room; over > 0 {
			b.overflow.lose(b.held[k].at, over)
			credit = b.held[k].room
		}
		b.held[k].room -= credit
	}
	b.level += credit
}

// deposit adds tokens that another share lost after the start of a slot, as far as there has
// been room since.
func (b *bucket) deposit(now clock.Instant, slot, tokens int64) {
	b.advance(now)
	units := min(tokens*unit, b.overflow.roomSince(slot, now, b.limit()))
	b.level += units
	b.overflow.raise(slot, slotOf(now), units, b.limit())
	for k := range b.held {
		if k+1 == len(b.held) || b.held[k+1].at >= slotStart(slot) {
			b.held[k].room = max(0, b.held[k].room-units)
		}
	}
}

// drop forgets a part; the part before it answers for its stretch of time too.
func (b *bucket) drop(i int) {
	if i > 0 {
		b.held[i-1].room = min(b.held[i-1].room, b.held[i].room)
	}
	delete(b.byID, b.held[i].id)
	b.held = slices.Delete(b.held, i, i+1)
}

// change puts another limit in force. The balance never grows by it.
func (b *bucket) change(now clock.Instant, l Limit) {
	if b.rate == l.Rate && b.burst == l.Burst {
		return
	}
	b.advance(now)
	b.rate, b.burst = l.Rate, l.Burst
	b.level = min(b.level, b.limit())
	b.overflow.reset(now)
	b.noteRoom()
}

// settleAll ends the parts that gone accepts as used in full, and gives their number.
func (b *bucket) settleAll(gone func(part) bool) int {
	n := 0
	for i := len(b.held) - 1; i >= 0; i-- {
		if gone(b.held[i]) {
			b.drop(i)
			n++
		}
	}
	return n
}

// contended reports whether a part is undecided.
func (b *bucket) contended(now clock.Instant) bool {
	for _, p := range slices.Backward(b.held) {
		if now.Sub(p.at) > tentativeLimit {
			return false
		}
		if p.tentative {
			return true
		}
	}
	return false
}

// confirm makes a tentative part a decided one.
func (b *bucket) confirm(id partID) {
	if i, ok := b.find(id); ok {
		b.held[i].tentative = false
	}
}

// restore adds a part that another holder debited, without a debit here.
func (b *bucket) restore(now clock.Instant, id partID, tokens, room int64) {
	b.nextOrder++
	b.byID[id] = b.nextOrder
	b.held = append(b.held, part{order: b.nextOrder, id: id, tokens: tokens, room: room, at: now})
}
