package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// bucket is a single token bucket that is refilled continuously.
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

// refund is a number of tokens to return to the bucket at a given time.
type refund struct {
	at     time.Duration
	tokens int64
}

// WithinPlan replays the calls of one workspace against one central token bucket in the order in which
// they were sent, and reports for each call whether the bucket admits it. Unused tokens are refunded
// at the time at which the measured call ended. A call that the router refused as over plan although
// the bucket admits it is replayed as if it had run for typicalDuration.
func WithinPlan(p configuration.Plan, outcomes []Outcome, typicalDuration time.Duration) []bool {
	order := make([]int, len(outcomes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(outcomes[a].SentAt, outcomes[b].SentAt) })
	b := newBucket(p)
	within := make([]bool, len(outcomes))
	var pending []refund
	for _, i := range order {
		o := outcomes[i]
		pending = b.applyRefunds(pending, o.SentAt)
		if !b.take(o.SentAt, o.Call.ReservedTokens()) {
			continue
		}
		within[i] = true
		pending = append(pending, refundOf(o, typicalDuration))
		slices.SortFunc(pending, func(x, y refund) int { return cmp.Compare(x.at, y.at) })
	}
	return within
}

func (b *bucket) applyRefunds(pending []refund, now time.Duration) []refund {
	for len(pending) > 0 && pending[0].at <= now {
		b.refund(pending[0].at, pending[0].tokens)
		pending = pending[1:]
	}
	return pending
}

func refundOf(o Outcome, typicalDuration time.Duration) refund {
	switch {
	case o.Complete:
		return refund{o.EndedAt, o.Call.ReservedTokens() - o.Call.UsedTokens()}
	case o.Kind == fault.PlanExceeded:
		return refund{o.SentAt + typicalDuration, o.Call.ReservedTokens() - o.Call.UsedTokens()}
	case o.Refused():
		return refund{o.EndedAt, o.Call.ReservedTokens()}
	default:
		return refund{o.EndedAt, max(0, o.Call.ReservedTokens()-o.Call.PromptTokens()-o.Tokens)}
	}
}

// RefusedWithTokensLeft counts the calls of one workspace that were refused as over plan although
// they fitted into one central token bucket that is charged only with the calls that the router
// admitted before. Unlike WithinPlan, the result does not depend on which of several large calls
// arrived first.
func RefusedWithTokensLeft(p configuration.Plan, outcomes []Outcome) int {
	order := slices.Clone(outcomes)
	slices.SortStableFunc(order, func(a, b Outcome) int { return cmp.Compare(a.SentAt, b.SentAt) })
	b := newBucket(p)
	var pending []refund
	refused := 0
	for _, o := range order {
		pending = b.applyRefunds(pending, o.SentAt)
		b.advance(o.SentAt)
		if o.Kind == fault.PlanExceeded {
			if b.tokens >= float64(o.Call.ReservedTokens()) {
				refused++
			}
			continue
		}
		b.tokens -= float64(o.Call.ReservedTokens())
		pending = append(pending, refundOf(o, 0))
		slices.SortFunc(pending, func(x, y refund) int { return cmp.Compare(x.at, y.at) })
	}
	return refused
}

// Overspend returns the maximum number of tokens by which the completed calls of one workspace
// exceeded its plan in any time window, or 0 if they never did. A window contains the calls that were
// certainly admitted within it: sent after its start and answered before its end. Tokens that earlier
// calls returned within the window may be spent again.
func Overspend(p configuration.Plan, outcomes []Outcome) float64 {
	var complete []Outcome
	for _, o := range outcomes {
		if o.Complete {
			complete = append(complete, o)
		}
	}
	byEnd := slices.Clone(complete)
	slices.SortFunc(byEnd, func(a, b Outcome) int { return cmp.Compare(a.EndedAt, b.EndedAt) })
	slices.SortFunc(complete, func(a, b Outcome) int { return cmp.Compare(a.HeadersAt, b.HeadersAt) })
	worst := 0.0
	for _, first := range complete {
		worst = max(worst, overspendFrom(p, first.SentAt, complete, byEnd))
	}
	return worst
}

func overspendFrom(p configuration.Plan, start time.Duration, byHeaders, byEnd []Outcome) float64 {
	worst, used, refunded := 0.0, int64(0), int64(0)
	ends := byEnd
	for _, o := range byHeaders {
		if o.SentAt < start {
			continue
		}
		used += o.Call.UsedTokens()
		for len(ends) > 0 && ends[0].EndedAt <= o.HeadersAt {
			if e := ends[0]; e.SentAt < start && e.EndedAt >= start {
				refunded += e.Call.ReservedTokens() - e.Call.UsedTokens()
			}
			ends = ends[1:]
		}
		allowed := float64(p.BurstTokens) + float64(p.TokensPerSecond)*(o.HeadersAt-start).Seconds() + float64(refunded)
		worst = max(worst, float64(used)-allowed)
	}
	return worst
}
