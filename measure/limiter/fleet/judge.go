package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/limiter"
)

// Kind of a message between VMs.
type Kind int

// The kinds that Traffic counts.
const (
	Reserve Kind = iota
	Reply
	Settle
	Control
	Recover
	kinds
)

// Traffic counts messages between VMs and the bytes of their bodies.
type Traffic struct {
	Messages [kinds]int
	Bytes    [kinds]int
}

func (t *Traffic) count(k Kind, bytes int) {
	t.Messages[k]++
	t.Bytes[k] += bytes
}

// Judge follows one workspace: what it used, and what one exact bucket would have admitted.
type Judge struct {
	Workspace string
	// Admitted, Refused and Wrongful count requests; Late the worst time to admission.
	Admitted, Refused, Wrongful, Unavailable int
	Latency                                  []time.Duration
	Asks                                     int
	exact                                    *replay
	grants                                   []*Grant
	changes                                  []change
}

// change is the limit that the fleet may use from an instant on.
type change struct {
	at    clock.Instant
	limit limiter.Limit
}

// Judge gives the judge of a workspace.
func (f *Fleet) Judge(workspace string) *Judge {
	j := f.Judges[workspace]
	if j == nil {
		plan, _ := limiter.PlanLimit(&f.snapshot.Document, workspace)
		j = &Judge{Workspace: workspace, exact: newReplay(f.Now, plan), changes: []change{{at: f.Now, limit: plan}}}
		f.Judges[workspace] = j
	}
	return j
}

// plan notes a new configuration. A workspace that comes back after its removal has at most
// what its new plan accrues since the removal: a holder that took over in the meantime
// cannot tell it from a new workspace.
func (j *Judge) plan(now clock.Instant, snap *configuration.Snapshot) {
	next, _ := limiter.PlanLimit(&snap.Document, j.Workspace)
	last := j.changes[len(j.changes)-1].limit
	if last == (limiter.Limit{}) {
		last = next
		j.changes[len(j.changes)-1].limit = next
	}
	both := limiter.Limit{Rate: max(last.Rate, next.Rate), Burst: max(last.Burst, next.Burst)}
	j.changes = append(j.changes, change{at: now, limit: both}, change{at: now.Add(configSpread + limiter.PauseLimit), limit: next})
}

// Overspend gives the most tokens that any window holds over rate × t + burst.
func (j *Judge) Overspend() int64 {
	grants := slices.Clone(j.grants)
	slices.SortStableFunc(grants, func(a, b *Grant) int { return cmp.Compare(a.At, b.At) })
	first := j.changes[0]
	level, at, limit := first.limit.Burst*int64(time.Second), first.at, first.limit
	worst := int64(0)
	next := 1
	accrue := func(to clock.Instant) {
		level = min(limit.Burst*int64(time.Second), level+limit.Rate*int64(to-at))
		at = to
	}
	for _, g := range grants {
		for ; next < len(j.changes) && j.changes[next].at <= g.At; next++ {
			accrue(j.changes[next].at)
			limit = j.changes[next].limit
		}
		accrue(g.At)
		level -= g.Used * int64(time.Second)
		worst = max(worst, -level)
	}
	return (worst + int64(time.Second) - 1) / int64(time.Second)
}

// replay is an exact bucket that recomputes its balance from its charges at each question.
type replay struct {
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

func newReplay(now clock.Instant, l limiter.Limit) *replay {
	return &replay{limit: l, level: l.Burst * int64(time.Second), at: now}
}

func (r *replay) accrue(level int64, from, to clock.Instant) int64 {
	return min(r.limit.Burst*int64(time.Second), level+r.limit.Rate*int64(to-from))
}

// fold forgets the leading charges that cannot change any more.
func (r *replay) fold() {
	for len(r.charges) > 0 && r.charges[0].settled {
		c := r.charges[0]
		r.level = r.accrue(r.level, r.at, c.at) - c.tokens*int64(time.Second)
		r.at = c.at
		r.charges = r.charges[1:]
	}
}

func (r *replay) take(now clock.Instant, tokens int64) *charge {
	r.fold()
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
