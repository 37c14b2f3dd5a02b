package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// overflowSlot is the time that one slot of a history covers.
	overflowSlot = 64 * time.Millisecond
	// overflowSlots is the number of slots kept.
	overflowSlots = 512
)

// overflow remembers, in slots of time, what a bucket lost at its cap and how high its
// balance was. What one share lost at some instant belongs to the plan: one bucket for all
// would have kept it if another share had room then. So the other share may still get it, up
// to the room that it has had ever since.
type overflow struct {
	since clock.Instant
	slots [overflowSlots]overflowSlotState
}

// overflowSlotState covers one slot of time: the highest balance and what was lost, in units.
type overflowSlotState struct {
	index int64
	high  int64
	lost  int64
}

func slotOf(at clock.Instant) int64 { return int64(at) / int64(overflowSlot) }

func slotStart(index int64) clock.Instant { return clock.Instant(index * int64(overflowSlot)) }

func (o *overflow) reset(now clock.Instant) { *o = overflow{since: now} }

// oldest gives the first slot that is whole and still kept at now.
func (o *overflow) oldest(now clock.Instant) int64 {
	return max(slotOf(o.since)+1, slotOf(now)-overflowSlots+2)
}

// reach notes a balance.
func (o *overflow) reach(index, level int64) *overflowSlotState {
	s := &o.slots[index%overflowSlots]
	if s.index != index {
		*s = overflowSlotState{index: index, high: level}
	}
	s.high = max(s.high, level)
	return s
}

// pass notes that a balance rose at rate from level between two instants, up to the limit,
// which it reached at full.
func (o *overflow) pass(from, full, to clock.Instant, level, rate, limit int64) {
	for index := max(slotOf(from), slotOf(to)-overflowSlots+1); index <= slotOf(to); index++ {
		end := min(to, slotStart(index+1))
		high := limit
		if end < full {
			high = level + rate*int64(end-from)
		}
		s := o.reach(index, high)
		if begin := max(full, slotStart(index)); end > begin {
			s.lost += rate * int64(end-begin)
		}
	}
}

// raise notes that the balance was higher by units in the slots from first to last.
func (o *overflow) raise(first, last, units, limit int64) {
	for index := max(first, last-overflowSlots+1); index <= last; index++ {
		if s := &o.slots[index%overflowSlots]; s.index == index {
			s.high = min(limit, s.high+units)
		}
	}
}

// lose notes units that a refund would have lost at some time after an instant.
func (o *overflow) lose(at clock.Instant, units int64) {
	s := &o.slots[slotOf(at)%overflowSlots]
	if at >= o.since && s.index == slotOf(at) {
		s.lost += units
	}
}

// roomSince gives the least distance to the limit since the start of a slot.
func (o *overflow) roomSince(first int64, now clock.Instant, limit int64) int64 {
	if first < o.oldest(now) {
		return 0
	}
	room := limit
	for index := first; index <= slotOf(now); index++ {
		s := o.slots[index%overflowSlots]
		if s.index != index {
			return 0
		}
		room = min(room, limit-s.high)
	}
	return room
}

// roomyFrom gives the first slot since which the distance to the limit has been room or more.
func (o *overflow) roomyFrom(now clock.Instant, room, limit int64) (first int64, ok bool) {
	first = slotOf(now) + 1
	for first > o.oldest(now) {
		s := o.slots[(first-1)%overflowSlots]
		if s.index != first-1 || limit-s.high < room {
			break
		}
		first--
	}
	return first, first <= slotOf(now)
}

// give takes up to want tokens of what was lost after an instant out of the history.
func (o *overflow) give(now, after clock.Instant, want int64) int64 {
	first, last := max(slotOf(after)+1, o.oldest(now)), slotOf(now)
	var lost int64
	for index := first; index <= last; index++ {
		if s := o.slots[index%overflowSlots]; s.index == index {
			lost += s.lost
		}
	}
	tokens := min(max(want, 0), lost/unit)
	left := tokens * unit
	for index := first; index <= last && left > 0; index++ {
		if s := &o.slots[index%overflowSlots]; s.index == index {
			taken := min(left, s.lost)
			s.lost -= taken
			left -= taken
		}
	}
	return tokens
}
