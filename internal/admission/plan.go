// Package admission decides whether a call may go on: a workspace's plan over all VMs, and the
// budget for sending calls more than once. The decisions are pure; the exchange between VMs
// feeds them with what the others admitted.
package admission

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Limit is what a plan allows.
type Limit struct {
	// Rate is in tokens a second; 0 means no limit. Burst is in tokens.
	Rate, Burst float64
}

// bucket is this VM's picture of a workspace's one token bucket: its own admissions at once,
// those of others as they are told.
type bucket struct {
	limit   Limit
	level   float64
	updated clock.Instant
	// used is all that this VM admitted since it started.
	used int64
}

// Plans holds a bucket for each workspace. It is not safe for use by many goroutines.
type Plans struct {
	buckets map[string]*bucket
	// share is the part of each rate that this side of a cut may use.
	share float64
}

// NewPlans makes Plans whose buckets are full.
func NewPlans() *Plans { return &Plans{buckets: map[string]*bucket{}, share: 1} }

// SetShare states which part of the VMs this one hears, itself counted. The rest may be
// admitting unheard, and keep their part.
func (p *Plans) SetShare(now clock.Instant, share float64) {
	if share == p.share {
		return
	}
	for _, b := range p.buckets {
		p.refill(b, now)
		if share < p.share {
			b.level = min(b.level, b.limit.Burst*share)
		}
	}
	p.share = share
}

// Share gives what SetShare stated.
func (p *Plans) Share() float64 { return p.share }

func (p *Plans) bucket(now clock.Instant, workspace string, l Limit) *bucket {
	b := p.buckets[workspace]
	if b == nil {
		b = &bucket{limit: l, level: l.Burst * p.share, updated: now}
		p.buckets[workspace] = b
	}
	p.refill(b, now)
	if b.limit != l {
		b.level = min(b.level, l.Burst)
		b.limit = l
	}
	return b
}

func (p *Plans) refill(b *bucket, now clock.Instant) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.level = min(b.limit.Burst*p.share, b.level+elapsed*b.limit.Rate*p.share)
}

// Verdict is the outcome of a decision on a plan, with what decided it.
type Verdict struct {
	Admitted bool
	// Level is the bucket's level before the decision, in tokens.
	Level float64
	// Wait is the time after which the same call would be admitted if no other came.
	Wait time.Duration
}

// Admit draws cost from a workspace's bucket, or refuses.
func (p *Plans) Admit(now clock.Instant, workspace string, l Limit, cost int64) Verdict {
	if l.Rate <= 0 {
		return Verdict{Admitted: true}
	}
	b := p.bucket(now, workspace, l)
	v := Verdict{Level: b.level}
	if b.level < float64(cost) {
		missing := float64(cost) - b.level
		v.Wait = time.Duration(missing / (l.Rate * p.share) * float64(time.Second))
		return v
	}
	v.Admitted = true
	b.level -= float64(cost)
	b.used += cost
	return v
}

// Return gives back what a call drew that was certainly not run.
func (p *Plans) Return(workspace string, cost int64) {
	if b := p.buckets[workspace]; b != nil {
		b.level = min(b.limit.Burst*p.share, b.level+float64(cost))
		b.used -= cost
	}
}

// Heard draws what another VM admitted. The level may fall below zero.
func (p *Plans) Heard(now clock.Instant, workspace string, tokens int64) {
	if b := p.buckets[workspace]; b != nil {
		p.refill(b, now)
		b.level -= float64(tokens)
	}
}

// Used gives what this VM admitted for each workspace since it started, in tokens.
func (p *Plans) Used() map[string]int64 {
	out := make(map[string]int64, len(p.buckets))
	for name, b := range p.buckets {
		out[name] = b.used
	}
	return out
}
