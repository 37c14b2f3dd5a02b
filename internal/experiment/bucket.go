package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// bucket is one exact token bucket.
type bucket struct {
	rate, burst, tokens float64
	last                time.Duration
}

func newBucket(p configuration.Plan) *bucket {
	return &bucket{rate: float64(p.TokensPerSecond), burst: float64(p.BurstTokens), tokens: float64(p.BurstTokens)}
}

func (b *bucket) advance(now time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*max(0, now-b.last).Seconds())
	b.last = max(b.last, now)
}

func (b *bucket) take(now time.Duration, tokens int64) bool {
	b.advance(now)
	if b.tokens < float64(tokens) {
		return false
	}
	b.tokens -= float64(tokens)
	return true
}

func (b *bucket) refund(now time.Duration, tokens int64) {
	b.advance(now)
	b.tokens = min(b.burst, b.tokens+float64(tokens))
}

// giveBack is a refund that is due.
type giveBack struct {
	at     time.Duration
	tokens int64
}

// WithinPlan replays the calls of one workspace through one exact bucket in order of arrival,
// and tells for each whether that bucket admits it. Refunds come when the measured call ended.
// A call that was refused although the bucket admits it counts as if it had run for typical.
func WithinPlan(p configuration.Plan, outcomes []Outcome, typical time.Duration) []bool {
	order := make([]int, len(outcomes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(outcomes[a].Sent, outcomes[b].Sent) })
	b := newBucket(p)
	within := make([]bool, len(outcomes))
	var due []giveBack
	for _, i := range order {
		o := outcomes[i]
		due = b.refundDue(due, o.Sent)
		if !b.take(o.Sent, o.Call.Reserved()) {
			continue
		}
		within[i] = true
		due = append(due, refundOf(o, typical))
		slices.SortFunc(due, func(x, y giveBack) int { return cmp.Compare(x.at, y.at) })
	}
	return within
}

func (b *bucket) refundDue(due []giveBack, now time.Duration) []giveBack {
	for len(due) > 0 && due[0].at <= now {
		b.refund(due[0].at, due[0].tokens)
		due = due[1:]
	}
	return due
}

func refundOf(o Outcome, typical time.Duration) giveBack {
	switch {
	case o.Whole:
		return giveBack{o.Ended, o.Call.Reserved() - o.Call.Used()}
	case o.Kind == fault.PlanExceeded:
		return giveBack{o.Sent + typical, o.Call.Reserved() - o.Call.Used()}
	case o.Refused():
		return giveBack{o.Ended, o.Call.Reserved()}
	default:
		return giveBack{o.Ended, max(0, o.Call.Reserved()-o.Call.PromptTokens()-o.Tokens)}
	}
}

// RefusedWithTokensLeft counts the calls of one workspace that were refused as over plan
// although one exact bucket, charged with just the calls that were admitted before, held their
// tokens. Beside WithinPlan it does not depend on which of several large calls came first.
func RefusedWithTokensLeft(p configuration.Plan, outcomes []Outcome) int {
	order := slices.Clone(outcomes)
	slices.SortStableFunc(order, func(a, b Outcome) int { return cmp.Compare(a.Sent, b.Sent) })
	b := newBucket(p)
	var due []giveBack
	refused := 0
	for _, o := range order {
		due = b.refundDue(due, o.Sent)
		b.advance(o.Sent)
		if o.Kind == fault.PlanExceeded {
			if b.tokens >= float64(o.Call.Reserved()) {
				refused++
			}
			continue
		}
		b.tokens -= float64(o.Call.Reserved())
		due = append(due, refundOf(o, 0))
		slices.SortFunc(due, func(x, y giveBack) int { return cmp.Compare(x.at, y.at) })
	}
	return refused
}

// Overspend gives the most tokens by which the whole answers of one workspace exceeded its
// plan in any window, 0 when they never did. A window holds the calls that were certainly
// admitted within it: sent after its start, answered before its end. What earlier calls gave
// back within the window may be spent again.
func Overspend(p configuration.Plan, outcomes []Outcome) float64 {
	var whole []Outcome
	for _, o := range outcomes {
		if o.Whole {
			whole = append(whole, o)
		}
	}
	byEnd := slices.Clone(whole)
	slices.SortFunc(byEnd, func(a, b Outcome) int { return cmp.Compare(a.Ended, b.Ended) })
	slices.SortFunc(whole, func(a, b Outcome) int { return cmp.Compare(a.Answered, b.Answered) })
	worst := 0.0
	for _, first := range whole {
		worst = max(worst, overspendFrom(p, first.Sent, whole, byEnd))
	}
	return worst
}

func overspendFrom(p configuration.Plan, start time.Duration, byAnswer, byEnd []Outcome) float64 {
	worst, used, refunded := 0.0, int64(0), int64(0)
	ends := byEnd
	for _, o := range byAnswer {
		if o.Sent < start {
			continue
		}
		used += o.Call.Used()
		for len(ends) > 0 && ends[0].Ended <= o.Answered {
			if e := ends[0]; e.Sent < start && e.Ended >= start {
				refunded += e.Call.Reserved() - e.Call.Used()
			}
			ends = ends[1:]
		}
		allowed := float64(p.BurstTokens) + float64(p.TokensPerSecond)*(o.Answered-start).Seconds() + float64(refunded)
		worst = max(worst, float64(used)-allowed)
	}
	return worst
}
