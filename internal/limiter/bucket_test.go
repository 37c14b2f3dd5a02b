package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// use is a debit whose used tokens count at the instant of the debit.
type use struct {
	at   clock.Instant
	used int64
}

// checkWindows fails when the used tokens of a window are above rate × t + burst.
func checkWindows(t *rapid.T, uses []use, l Limit) {
	t.Helper()
	for i := range uses {
		var sum int64
		for j := i; j < len(uses); j++ {
			sum += uses[j].used
			elapsed := int64(uses[j].at - uses[i].at)
			if sum*unit > l.Rate*elapsed+l.Burst*unit {
				t.Fatalf("used %d tokens in %v over rate %d and burst %d", sum, time.Duration(elapsed), l.Rate, l.Burst)
			}
		}
	}
}

func TestBucketEqualsOneChargedWithUsedTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Int64Range(0, 50).Draw(t, "rate"), Burst: rapid.Int64Range(1, 100).Draw(t, "burst")}
		b := newBucket(0, l, true)
		var now clock.Instant
		var uses []use
		open := map[uint64]int{}
		step := func() { now += clock.Instant(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "dt")) }
		settle := func(seq uint64) {
			i := open[seq]
			delete(open, seq)
			used := rapid.Int64Range(0, uses[i].used).Draw(t, "used")
			if !b.settle(now, partID{seq: seq}, used) {
				t.Fatal("part unknown")
			}
			uses[i].used = used
		}
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			step()
			if have := b.available(now); have > 0 && rapid.Bool().Draw(t, "reserve") {
				tokens := rapid.Int64Range(1, have).Draw(t, "tokens")
				b.debit(now, partID{seq: uint64(n)}, tokens, false)
				open[uint64(n)] = len(uses)
				uses = append(uses, use{at: now, used: tokens})
			} else if len(open) > 0 {
				settle(rapid.SampledFrom(sorted(open)).Draw(t, "settle"))
			}
			checkWindows(t, uses, l)
		}
		for _, seq := range sorted(open) {
			step()
			settle(seq)
		}
		exact := newBucket(0, l, true)
		for i, u := range uses {
			if exact.available(u.at) < u.used {
				t.Fatalf("use %d does not fit an exact bucket", i)
			}
			exact.debit(u.at, partID{seq: uint64(i)}, u.used, false)
		}
		if exact.advance(now); exact.level != b.level {
			t.Fatalf("level %d, exact bucket has %d", b.level, exact.level)
		}
	})
}

func TestBucketChangesOfPlanGainNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Custom(func(t *rapid.T) Limit {
			return Limit{Rate: rapid.Int64Range(0, 20).Draw(t, "rate"), Burst: rapid.Int64Range(0, 50).Draw(t, "burst")}
		})
		l := limit.Draw(t, "plan")
		b, exact := newBucket(0, l, true), newBucket(0, l, true)
		most := l
		var now clock.Instant
		var uses []use
		type event struct {
			at    clock.Instant
			limit Limit
			use   int
		}
		var events []event
		for n := range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += clock.Instant(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "dt"))
			switch have := b.available(now); {
			case rapid.IntRange(0, 3).Draw(t, "op") == 0:
				l = limit.Draw(t, "plan")
				most = Limit{max(most.Rate, l.Rate), max(most.Burst, l.Burst)}
				b.change(now, l)
				events = append(events, event{at: now, limit: l, use: -1})
			case have > 0:
				b.debit(now, partID{seq: uint64(n)}, have, false)
				events = append(events, event{at: now, use: len(uses)})
				uses = append(uses, use{at: now, used: have})
				if rapid.Bool().Draw(t, "settle at once") {
					uses[len(uses)-1].used = have / 2
					now += clock.Instant(time.Millisecond)
					b.settle(now, partID{seq: uint64(n)}, have/2)
				}
			}
		}
		checkWindows(t, uses, most)
		for _, e := range events {
			if e.use < 0 {
				exact.change(e.at, e.limit)
				continue
			}
			if exact.available(e.at) < uses[e.use].used {
				t.Fatal("more than an exact bucket under the same changes")
			}
			exact.debit(e.at, partID{seq: uint64(e.use)}, uses[e.use].used, false)
		}
	})
}

func TestSharesSumToThePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Weights(rapid.MapOfN(rapid.StringN(1, 3, 3), rapid.IntRange(1, 1000), 1, 10).Draw(t, "weights"))
		plan := Limit{Rate: rapid.Int64Range(0, 1<<40).Draw(t, "rate"), Burst: rapid.Int64Range(0, MaxBurstTokens).Draw(t, "burst")}
		var sum Limit
		for dc := range w {
			s := w.share(plan, dc)
			sum.Rate += s.Rate
			sum.Burst += s.Burst
		}
		if sum != plan {
			t.Fatalf("shares sum to %+v, plan is %+v", sum, plan)
		}
	})
}

func TestBoundsForgetRefundsOnly(t *testing.T) {
	b := newBucket(0, Limit{Rate: 0, Burst: 2 * maxHeld}, true)
	for i := range uint64(maxHeld + 1) {
		b.debit(0, partID{vm: ident.VM{Name: "a"}, seq: i}, 1, false)
	}
	if b.settle(0, partID{vm: ident.VM{Name: "a"}}, 0) {
		t.Fatal("the oldest part kept its refund")
	}
	e := newEndedParts()
	for i := range uint64(endedMemory + 1) {
		e.add(partID{seq: i})
	}
	if e.has(partID{}) || !e.has(partID{seq: endedMemory}) || len(e.ids) != endedMemory {
		t.Fatal("ended parts are not the newest ones")
	}
}

// TestOverflowIsNeverSpentTwice moves what two buckets lose to the other one and checks the
// used tokens of both together against the sum of their limits.
func TestOverflowIsNeverSpentTwice(t *testing.T) {
	moved := int64(0)
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Int64Range(1, 60).Draw(t, "rate"), Burst: rapid.Int64Range(1, 40).Draw(t, "burst")}
		buckets := []*bucket{newBucket(0, l, true), newBucket(0, l, true)}
		now := clock.Instant(0)
		var uses []use
		open := map[uint64]int{}
		owner := map[uint64]int{}
		var answers []func()
		for n := range rapid.IntRange(10, 80).Draw(t, "steps") {
			now += clock.Instant(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "dt"))
			k := rapid.IntRange(0, 1).Draw(t, "bucket")
			b, other := buckets[k], buckets[1-k]
			switch op := rapid.IntRange(0, 4).Draw(t, "op"); {
			case op < 2 && b.available(now) > 0:
				tokens := b.available(now)
				if op == 1 {
					tokens = rapid.Int64Range(1, tokens).Draw(t, "tokens")
				}
				b.debit(now, partID{seq: uint64(n)}, tokens, false)
				open[uint64(n)], owner[uint64(n)] = len(uses), k
				uses = append(uses, use{at: now, used: tokens})
			case op == 2 && len(open) > 0:
				seq := rapid.SampledFrom(sorted(open)).Draw(t, "settle")
				u := &uses[open[seq]]
				u.used = rapid.Int64Range(0, u.used).Draw(t, "used")
				buckets[owner[seq]].settle(now, partID{seq: seq}, u.used)
				delete(open, seq)
			case op == 3:
				var o offer
				b.want(now, "w", rapid.IntRange(0, roomFractions-1).Draw(t, "fraction"), &o)
				other.advance(now)
				for i, item := range o.items {
					got := other.overflow.give(now, now.Add(-item.Age), item.Tokens)
					answers = append(answers, func() { b.deposit(now, o.slots[i], got) })
					moved += got
				}
			case op == 4 && len(answers) > 0:
				answers[0]()
				answers = answers[1:]
			}
			if b.available(now); b.level > b.limit() || b.overflow.roomSince(slotOf(now), now, b.limit()) > b.limit()-b.level {
				t.Fatal("balance above the cap or above its history")
			}
		}
		checkWindows(t, uses, Limit{Rate: 2 * l.Rate, Burst: 2 * l.Burst})
	})
	if moved == 0 {
		t.Fatal("nothing was ever moved")
	}
}
