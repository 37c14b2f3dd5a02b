package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// overflowSlot is the time that one slot of an overflow history covers.
	overflowSlot = 64 * time.Millisecond
	// overflowSlots is the number of slots kept.
	overflowSlots = 512
	// overflowMemory is the greatest age of a debit that overflow can cover.
	overflowMemory = (overflowSlots - 32) * overflowSlot
	// recoverTransit is the longest way of a recover request that is answered in time.
	recoverTransit = time.Second
)

// overflow remembers what a bucket lost at its cap, and how low its balance was, in slots of
// time. With it the bucket can take over a debit of the past that another share made: if the
// debit had been made here, the balance would be the same now, for the overflow would have
// filled it up again.
type overflow struct {
	since clock.Instant
	slots [overflowSlots]overflowSlotState
}

// overflowSlotState covers one slot of time: the lowest balance and what was lost, in units.
type overflowSlotState struct {
	index int64
	low   int64
	lost  int64
}

func slotOf(at clock.Instant) int64 { return int64(at) / int64(overflowSlot) }

func (o *overflow) reset(now clock.Instant) { *o = overflow{since: now} }

// at gives the slot of an index; it begins with the given balance.
func (o *overflow) at(index, level int64) *overflowSlotState {
	s := &o.slots[index%overflowSlots]
	if s.index != index {
		*s = overflowSlotState{index: index, low: level}
	}
	return s
}

// pass notes that the balance was at least level from one instant to another, and at the cap
// from full on.
func (o *overflow) pass(from, full, to clock.Instant, level, rate int64) {
	first := max(slotOf(from), slotOf(to)-overflowSlots+1)
	for index := first; index <= slotOf(to); index++ {
		s := o.at(index, level)
		s.low = min(s.low, level)
		begin := max(full, clock.Instant(index*int64(overflowSlot)))
		end := min(to, clock.Instant((index+1)*int64(overflowSlot)))
		if end > begin {
			s.lost += rate * int64(end-begin)
		}
	}
}

// lower notes a balance after a debit.
func (o *overflow) lower(now clock.Instant, level int64) {
	s := o.at(slotOf(now), level)
	s.low = min(s.low, level)
}

// add notes units that a refund would have lost at some time after an instant.
func (o *overflow) add(at clock.Instant, units int64) {
	s := &o.slots[slotOf(at)%overflowSlots]
	if at >= o.since && s.index == slotOf(at) {
		s.lost += units
	}
}

// raise notes that the balance was higher by units in the slots from first to last.
func (o *overflow) raise(first, last, units int64) {
	for index := max(first, last-overflowSlots+1); index <= last && units > 0; index++ {
		if s := &o.slots[index%overflowSlots]; s.index == index {
			s.low += units
		}
	}
}

// cover takes over up to want tokens of a debit made before the instant at, no longer before
// than recoverTransit. The balance must have been there from the debit on, and the overflow
// after at must make up for it.
func (o *overflow) cover(now, at clock.Instant, want int64) int64 {
	earliest := at.Add(-recoverTransit)
	if earliest < o.since || now.Sub(earliest) > overflowMemory {
		return 0
	}
	first, from, last := slotOf(earliest), slotOf(at)+1, slotOf(now)
	units := want * unit
	made := int64(0)
	for index := first; index <= last && made < units; index++ {
		s := o.slots[index%overflowSlots]
		if s.index != index {
			return 0
		}
		units = min(units, made+s.low)
		if index >= from {
			made += s.lost
		}
	}
	tokens := min(units, made) / unit
	o.use(first, from, last, tokens*unit)
	return tokens
}

// use lowers the history by units that are debited in slot first.
func (o *overflow) use(first, from, last, units int64) {
	for index := first; index <= last && units > 0; index++ {
		s := &o.slots[index%overflowSlots]
		s.low -= units
		if index >= from {
			made := min(units, s.lost)
			s.lost -= made
			units -= made
		}
	}
}
