package simulation

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/limiter"
)

// Kind is the type of a message between VMs.
type Kind int

// The message types that Traffic counts.
const (
	Reserve Kind = iota
	Reply
	Settle
	Control
	Reclaim
	kindCount
)

// Traffic counts the messages between VMs and the bytes of their bodies.
type Traffic struct {
	Messages [kindCount]int
	Bytes    [kindCount]int
}

func (t *Traffic) count(k Kind, bytes int) {
	t.Messages[k]++
	t.Bytes[k] += bytes
}

// Checker records the token usage of one workspace and compares the admission decisions with those of
// one central token bucket, the reference bucket.
type Checker struct {
	Workspace string
	// Admitted and Refused count requests. WronglyRefused counts the refused requests that the reference
	// bucket admits. Unavailable is unused. Latency contains the times from the arrival of requests to
	// their admission.
	Admitted, Refused, WronglyRefused, Unavailable int
	Latency                                        []time.Duration
	ShareRequests                                  int
	reference                                      *referenceBucket
	grants                                         []*Grant
	limitChanges                                   []limitChange
}

// limitChange is the limit that applies to the fleet from the time at.
type limitChange struct {
	at    clock.Instant
	limit limiter.Limit
}

// Checker returns the checker of a workspace. It creates the checker at the first call.
func (f *Fleet) Checker(workspace string) *Checker {
	c := f.Checkers[workspace]
	if c == nil {
		plan, _ := limiter.PlanLimit(&f.snapshot.Document, workspace)
		c = &Checker{Workspace: workspace, reference: newReferenceBucket(f.Now, plan), limitChanges: []limitChange{{at: f.Now, limit: plan}}}
		f.Checkers[workspace] = c
	}
	return c
}

// changePlan records a new configuration. If a removed workspace is added again, the new limit also
// applies to the time in between, because a holder that took over in that time cannot know that the
// workspace existed before. While the VMs switch to the new configuration, the higher of both limits
// applies.
func (c *Checker) changePlan(now clock.Instant, snap *configuration.Snapshot) {
	next, _ := limiter.PlanLimit(&snap.Document, c.Workspace)
	last := c.limitChanges[len(c.limitChanges)-1].limit
	if last == (limiter.Limit{}) {
		last = next
		c.limitChanges[len(c.limitChanges)-1].limit = next
	}
	transitional := limiter.Limit{Rate: max(last.Rate, next.Rate), Burst: max(last.Burst, next.Burst)}
	c.limitChanges = append(c.limitChanges, limitChange{at: now, limit: transitional}, limitChange{at: now.Add(maxConfigDelay + limiter.PauseLimit), limit: next})
}

// Overspend returns the maximum number of tokens used in any time window t in excess of rate × t + burst.
// The levels are tokens multiplied by time.Second, so that the accrual of each nanosecond is an integer.
func (c *Checker) Overspend() int64 {
	grants := slices.Clone(c.grants)
	slices.SortStableFunc(grants, func(a, b *Grant) int { return cmp.Compare(a.At, b.At) })
	first := c.limitChanges[0]
	level, at, limit := first.limit.Burst*int64(time.Second), first.at, first.limit
	worst := int64(0)
	next := 1
	accrue := func(to clock.Instant) {
		level = min(limit.Burst*int64(time.Second), level+limit.Rate*int64(to-at))
		at = to
	}
	for _, g := range grants {
		for ; next < len(c.limitChanges) && c.limitChanges[next].at <= g.At; next++ {
			accrue(c.limitChanges[next].at)
			limit = c.limitChanges[next].limit
		}
		accrue(g.At)
		level -= g.Used * int64(time.Second)
		worst = max(worst, -level)
	}
	return (worst + int64(time.Second) - 1) / int64(time.Second)
}

// referenceBucket is a central token bucket. It recomputes its level from the charges at each call of
// take, because a settlement changes an earlier charge. As in Overspend, levels are tokens multiplied by
// time.Second.
type referenceBucket struct {
	limit   limiter.Limit
	level   int64
	at      clock.Instant
	charges []*charge
}

type charge struct {
	at      clock.Instant
	tokens  int64
	settled bool
}

func newReferenceBucket(now clock.Instant, l limiter.Limit) *referenceBucket {
	return &referenceBucket{limit: l, level: l.Burst * int64(time.Second), at: now}
}

func (r *referenceBucket) accrue(level int64, from, to clock.Instant) int64 {
	return min(r.limit.Burst*int64(time.Second), level+r.limit.Rate*int64(to-from))
}

// compact applies the settled charges at the start of the list to the level and removes them.
func (r *referenceBucket) compact() {
	for len(r.charges) > 0 && r.charges[0].settled {
		c := r.charges[0]
		r.level = r.accrue(r.level, r.at, c.at) - c.tokens*int64(time.Second)
		r.at = c.at
		r.charges = r.charges[1:]
	}
}

func (r *referenceBucket) take(now clock.Instant, tokens int64) *charge {
	r.compact()
	level, at := r.level, r.at
	for _, c := range r.charges {
		level = r.accrue(level, at, c.at) - c.tokens*int64(time.Second)
		at = c.at
	}
	if r.accrue(level, at, now) < tokens*int64(time.Second) {
		return nil
	}
	c := &charge{at: now, tokens: tokens}
	r.charges = append(r.charges, c)
	return c
}

func (c *charge) settle(used int64) { c.tokens, c.settled = used, true }
