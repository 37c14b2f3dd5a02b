package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// usage is a debit. Its used tokens count at the time of the debit.
type usage struct {
	at   clock.Instant
	used int64
}

// checkWindows fails if the tokens used in any time window exceed rate × t + burst.
func checkWindows(t *rapid.T, uses []usage, l Limit) {
	t.Helper()
	for i := range uses {
		var sum int64
		for j := i; j < len(uses); j++ {
			sum += uses[j].used
			elapsed := int64(uses[j].at - uses[i].at)
			if sum*unitsPerToken > l.Rate*elapsed+l.Burst*unitsPerToken {
				t.Fatalf("%d tokens used within %v exceed rate %d and burst %d", sum, time.Duration(elapsed), l.Rate, l.Burst)
			}
		}
	}
}

func TestRefundMatchesDebitOfUsedTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Int64Range(0, 50).Draw(t, "rate"), Burst: rapid.Int64Range(1, 100).Draw(t, "burst")}
		b := newBucket(0, l, true)
		var now clock.Instant
		var uses []usage
		open := map[uint64]int{}
		step := func() { now += clock.Instant(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "dt")) }
		settle := func(seq uint64) {
			i := open[seq]
			delete(open, seq)
			used := rapid.Int64Range(0, uses[i].used).Draw(t, "used")
			if !b.settle(now, grantID{seq: seq}, used) {
				t.Fatal("grant not found")
			}
			uses[i].used = used
		}
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			step()
			if balance := b.available(now); balance > 0 && rapid.Bool().Draw(t, "reserve") {
				tokens := rapid.Int64Range(1, balance).Draw(t, "tokens")
				b.debit(now, grantID{seq: uint64(n)}, tokens, false)
				open[uint64(n)] = len(uses)
				uses = append(uses, usage{at: now, used: tokens})
			} else if len(open) > 0 {
				settle(rapid.SampledFrom(sortedKeys(open)).Draw(t, "settle"))
			}
			checkWindows(t, uses, l)
		}
		for _, seq := range sortedKeys(open) {
			step()
			settle(seq)
		}
		reference := newBucket(0, l, true)
		for i, u := range uses {
			if reference.available(u.at) < u.used {
				t.Fatalf("debit %d exceeds the balance of the reference bucket", i)
			}
			reference.debit(u.at, grantID{seq: uint64(i)}, u.used, false)
		}
		if reference.advance(now); reference.level != b.level {
			t.Fatalf("level is %d, reference bucket has %d", b.level, reference.level)
		}
	})
}

func TestLimitChangeAddsNoTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Custom(func(t *rapid.T) Limit {
			return Limit{Rate: rapid.Int64Range(0, 20).Draw(t, "rate"), Burst: rapid.Int64Range(0, 50).Draw(t, "burst")}
		})
		l := limit.Draw(t, "plan")
		b, reference := newBucket(0, l, true), newBucket(0, l, true)
		maxLimit := l
		var now clock.Instant
		var uses []usage
		type event struct {
			at    clock.Instant
			limit Limit
			use   int
		}
		var events []event
		for n := range rapid.IntRange(1, 20).Draw(t, "steps") {
			now += clock.Instant(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "dt"))
			switch balance := b.available(now); {
			case rapid.IntRange(0, 3).Draw(t, "op") == 0:
				l = limit.Draw(t, "plan")
				maxLimit = Limit{max(maxLimit.Rate, l.Rate), max(maxLimit.Burst, l.Burst)}
				b.setLimit(now, l)
				events = append(events, event{at: now, limit: l, use: -1})
			case balance > 0:
				b.debit(now, grantID{seq: uint64(n)}, balance, false)
				events = append(events, event{at: now, use: len(uses)})
				uses = append(uses, usage{at: now, used: balance})
				if rapid.Bool().Draw(t, "settle at once") {
					uses[len(uses)-1].used = balance / 2
					now += clock.Instant(time.Millisecond)
					b.settle(now, grantID{seq: uint64(n)}, balance/2)
				}
			}
		}
		checkWindows(t, uses, maxLimit)
		for _, e := range events {
			if e.use < 0 {
				reference.setLimit(e.at, e.limit)
				continue
			}
			if reference.available(e.at) < uses[e.use].used {
				t.Fatal("debit exceeds the balance of a reference bucket with the same limit changes")
			}
			reference.debit(e.at, grantID{seq: uint64(e.use)}, uses[e.use].used, false)
		}
	})
}

func TestSharesSumToPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Weights(rapid.MapOfN(rapid.StringN(1, 3, 3), rapid.IntRange(1, 1000), 1, 10).Draw(t, "weights"))
		plan := Limit{Rate: rapid.Int64Range(0, 1<<40).Draw(t, "rate"), Burst: rapid.Int64Range(0, MaxBurstTokens).Draw(t, "burst")}
		var sum Limit
		for dc := range w {
			s := w.shareOf(plan, dc)
			sum.Rate += s.Rate
			sum.Burst += s.Burst
		}
		if sum != plan {
			t.Fatalf("sum of shares is %+v, plan is %+v", sum, plan)
		}
	})
}

func TestFullHistoryDropsOldestEntry(t *testing.T) {
	b := newBucket(0, Limit{Rate: 0, Burst: 2 * maxGrants}, true)
	for i := range uint64(maxGrants + 1) {
		b.debit(0, grantID{vm: ident.VM{Name: "a"}, seq: i}, 1, false)
	}
	if b.settle(0, grantID{vm: ident.VM{Name: "a"}}, 0) {
		t.Fatal("oldest grant is still refundable")
	}
	e := newEndedRequests()
	for i := range uint64(maxEndedRequests + 1) {
		e.add(grantID{seq: i})
	}
	if e.has(grantID{}) || !e.has(grantID{seq: maxEndedRequests}) || len(e.ids) != maxEndedRequests {
		t.Fatal("ended requests are not the most recent ones")
	}
}

// TestOverflowIsSpentOnce transfers the overflow of two buckets to each other and checks their
// total used tokens against the sum of their limits.
func TestOverflowIsSpentOnce(t *testing.T) {
	transferred := int64(0)
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Int64Range(1, 60).Draw(t, "rate"), Burst: rapid.Int64Range(1, 40).Draw(t, "burst")}
		buckets := []*bucket{newBucket(0, l, true), newBucket(0, l, true)}
		now := clock.Instant(0)
		var uses []usage
		open := map[uint64]int{}
		owner := map[uint64]int{}
		var replies []func()
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
				b.debit(now, grantID{seq: uint64(n)}, tokens, false)
				open[uint64(n)], owner[uint64(n)] = len(uses), k
				uses = append(uses, usage{at: now, used: tokens})
			case op == 2 && len(open) > 0:
				seq := rapid.SampledFrom(sortedKeys(open)).Draw(t, "settle")
				u := &uses[open[seq]]
				u.used = rapid.Int64Range(0, u.used).Draw(t, "used")
				buckets[owner[seq]].settle(now, grantID{seq: seq}, u.used)
				delete(open, seq)
			case op == 3:
				var o reclaimRequest
				b.addReclaimItem(now, "w", rapid.IntRange(0, headroomFractions-1).Draw(t, "fraction"), &o)
				other.advance(now)
				for i, item := range o.items {
					got := other.overflow.take(now, now.Add(-item.Age), item.Tokens)
					replies = append(replies, func() { b.deposit(now, o.slots[i], got) })
					transferred += got
				}
			case op == 4 && len(replies) > 0:
				replies[0]()
				replies = replies[1:]
			}
			if b.available(now); b.level > b.capacity() || b.overflow.headroomSince(slotIndex(now), now, b.capacity()) > b.capacity()-b.level {
				t.Fatal("balance exceeds the burst or its recorded maximum")
			}
		}
		checkWindows(t, uses, Limit{Rate: 2 * l.Rate, Burst: 2 * l.Burst})
	})
	if transferred == 0 {
		t.Fatal("no overflow was transferred")
	}
}
