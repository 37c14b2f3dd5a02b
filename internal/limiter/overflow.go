package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// slotDuration is the time covered by one slot of the history.
	slotDuration = 64 * time.Millisecond
	// slotCount is the number of slots kept.
	slotCount = 512
)

// overflow is a history, in time slots, of the tokens that a bucket lost at its burst limit and
// of its maximum balance. Tokens lost by one share still belong to the plan: a single bucket for
// the entire plan would have kept them if another share had headroom at that time. The other
// share may therefore still receive them, up to the headroom it has had ever since.
type overflow struct {
	since clock.Instant
	slots [slotCount]overflowSlot
}

// overflowSlot covers one time slot: the maximum balance and the lost tokens, both in units.
type overflowSlot struct {
	index    int64
	maxLevel int64
	lost     int64
}

func slotIndex(at clock.Instant) int64 { return int64(at) / int64(slotDuration) }

func slotStart(index int64) clock.Instant { return clock.Instant(index * int64(slotDuration)) }

func (o *overflow) reset(now clock.Instant) { *o = overflow{since: now} }

// oldestSlot returns the first slot that is completely covered and still kept at now.
func (o *overflow) oldestSlot(now clock.Instant) int64 {
	return max(slotIndex(o.since)+1, slotIndex(now)-slotCount+2)
}

// recordLevel records a balance in a slot.
func (o *overflow) recordLevel(index, level int64) *overflowSlot {
	s := &o.slots[index%slotCount]
	if s.index != index {
		*s = overflowSlot{index: index, maxLevel: level}
	}
	s.maxLevel = max(s.maxLevel, level)
	return s
}

// recordAccrual records that the balance rose from level at the given rate between two instants.
// fullAt is when it reached the limit.
func (o *overflow) recordAccrual(from, fullAt, to clock.Instant, level, rate, limit int64) {
	for index := max(slotIndex(from), slotIndex(to)-slotCount+1); index <= slotIndex(to); index++ {
		end := min(to, slotStart(index+1))
		high := limit
		if end < fullAt {
			high = level + rate*int64(end-from)
		}
		s := o.recordLevel(index, high)
		if begin := max(fullAt, slotStart(index)); end > begin {
			s.lost += rate * int64(end-begin)
		}
	}
}

// raiseLevels raises the recorded balances in the slots from first to last by units.
func (o *overflow) raiseLevels(first, last, units, limit int64) {
	for index := max(first, last-slotCount+1); index <= last; index++ {
		if s := &o.slots[index%slotCount]; s.index == index {
			s.maxLevel = min(limit, s.maxLevel+units)
		}
	}
}

// recordLoss records units that would have been lost at some time after an instant if a later
// refund had been known then.
func (o *overflow) recordLoss(at clock.Instant, units int64) {
	s := &o.slots[slotIndex(at)%slotCount]
	if at >= o.since && s.index == slotIndex(at) {
		s.lost += units
	}
}

// headroomSince returns the minimum distance to the limit since the start of a slot.
func (o *overflow) headroomSince(first int64, now clock.Instant, limit int64) int64 {
	if first < o.oldestSlot(now) {
		return 0
	}
	headroom := limit
	for index := first; index <= slotIndex(now); index++ {
		s := o.slots[index%slotCount]
		if s.index != index {
			return 0
		}
		headroom = min(headroom, limit-s.maxLevel)
	}
	return headroom
}

// firstSlotWithHeadroom returns the first slot since which the distance to the limit has been at
// least headroom.
func (o *overflow) firstSlotWithHeadroom(now clock.Instant, headroom, limit int64) (first int64, ok bool) {
	first = slotIndex(now) + 1
	for first > o.oldestSlot(now) {
		s := o.slots[(first-1)%slotCount]
		if s.index != first-1 || limit-s.maxLevel < headroom {
			break
		}
		first--
	}
	return first, first <= slotIndex(now)
}

// take removes up to want tokens that were lost after an instant from the history and returns
// their number.
func (o *overflow) take(now, after clock.Instant, maxTokens int64) int64 {
	first, last := max(slotIndex(after)+1, o.oldestSlot(now)), slotIndex(now)
	var lost int64
	for index := first; index <= last; index++ {
		if s := o.slots[index%slotCount]; s.index == index {
			lost += s.lost
		}
	}
	tokens := min(max(maxTokens, 0), lost/unitsPerToken)
	remaining := tokens * unitsPerToken
	for index := first; index <= last && remaining > 0; index++ {
		if s := &o.slots[index%slotCount]; s.index == index {
			taken := min(remaining, s.lost)
			s.lost -= taken
			remaining -= taken
		}
	}
	return tokens
}
