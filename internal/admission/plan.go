// Package admission decides whether a call may proceed: it enforces the workspaces' plans across
// all VMs, and the budget for retries. Decisions involve no I/O; the exchange between VMs supplies
// what the other VMs admitted.
package admission

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Limit is what a plan allows within any window: Rate times the window, plus Burst once.
type Limit struct {
	// Rate is in tokens per second; 0 means no limit. Burst is in tokens.
	Rate, Burst float64
}

const (
	// windowBuckets is the number of buckets of a plan's window. A bucket leaves the window as a
	// whole.
	windowBuckets = 64
	// accountBuckets is one more than windowBuckets: the current bucket has only begun, so a window
	// extends over parts of accountBuckets buckets.
	accountBuckets = windowBuckets + 1
)

// account is the usage of a workspace's plan in the window, as known to this VM. It holds this
// VM's own admissions and those of its direct peers. The totals that other data centres report
// are stored in Plans.
type account struct {
	limit Limit
	// previousAllowed is what the plan allowed before its last change. A raise takes effect
	// immediately. A reduction begins to take effect at changeEffectiveAt and is complete one window
	// later.
	previousAllowed   float64
	changeEffectiveAt clock.Instant
	// buckets holds the tokens of each bucket of the window, sum their total.
	buckets [accountBuckets]int64
	bucket  int64
	sum     int64
	// ownTotal is the number of tokens that this VM admitted since its start. hasOwn is set once it
	// admitted any.
	ownTotal int64
	hasOwn   bool
	// counted is the number of tokens that were added since this VM started, by any VM.
	counted int64
	// adopted is what buckets holds of the usage that records and other VMs told this one at its start, nil if they told none.
	adopted *adoptedUsage
}

// Slack is the permitted overuse of a plan in a window while VMs cannot know the usage of others.
type Slack struct {
	// PlanFraction is a fraction of the plan. Tokens is allowed in addition.
	PlanFraction, Tokens float64
}

const (
	// partitionSlack is the fraction of the slack that is shared by the sides of a partition.
	// remainderSlack is the fraction that is added to a plan's remainder (see Plans.remainderShare)
	// and shared by the data centres while their usage reports are delayed. The rest is for VMs that
	// restart during a partition.
	partitionSlack = 0.1
	remainderSlack = 0.5
)

// amount returns the given fraction of the slack, in tokens, for a plan that allows the given number
// of tokens in a window.
func (s Slack) amount(allowed, fraction float64) float64 {
	return fraction * (s.PlanFraction*allowed + s.Tokens)
}

// Plans holds an account for each workspace. It is not safe for concurrent use.
type Plans struct {
	window time.Duration
	slack  Slack
	// loweringDelay is the time after which a lowered plan takes effect.
	loweringDelay time.Duration
	accounts      map[string]*account
	// startedAt is when this VM began to count usage. It does not know earlier usage.
	startedAt clock.Instant
	// seeded is set when another VM has reported the usage before startedAt.
	seeded bool
	// restarted is set when all VMs ended and started again at restartedAt, and only records tell the usage
	// before. hot are the workspaces in these records.
	restarted   bool
	restartedAt clock.Instant
	// toldOfRestart is set once another VM has told what it knows since then.
	toldOfRestart bool
	hot           map[string]bool
	// recorded is the usage of each workspace at the last record of this VM.
	recorded map[string]recordedUsage
	// shares is the share of the fleet that this VM could reach, including itself, in each bucket. The
	// VMs that can reach each other may use this share of what is left of each plan.
	shares shareHistory
	// remainderShare is the share of a plan's remainder that this VM and its direct peers may use
	// until the other data centres report again. The remainder is what the plan still allows, not
	// counting what this VM and its direct peers admitted in the recent buckets.
	remainderShare float64
	// dataCentres is the usage by the VMs of other data centres that report totals.
	dataCentres map[string]dataCentreUsage
}

// minWindow is the shortest window.
const minWindow = time.Second

// NewPlans returns Plans that count usage over a window of at least minWindow. loweringDelay is the time
// within which a configuration change takes effect on all VMs; a lowered plan takes effect after it.
func NewPlans(now clock.Instant, window, loweringDelay time.Duration, slack Slack) *Plans {
	p := &Plans{
		startedAt: now, window: max(window, minWindow), loweringDelay: loweringDelay, slack: slack, accounts: map[string]*account{},
		remainderShare: 1, dataCentres: map[string]dataCentreUsage{}, hot: map[string]bool{},
	}
	p.shares = newShareHistory(p.bucket(now))
	return p
}

// SetLiveShare sets the share of the fleet that this VM can reach, including itself. Unreachable
// VMs may still be admitting calls, so their share of each plan is reserved for them. If the share falls,
// they may have been unreachable for up to the time unnoticed already, or for the whole window if this VM
// has just started.
func (p *Plans) SetLiveShare(now clock.Instant, share float64, unnoticed time.Duration) {
	switch sinceStart := now.Sub(p.startedAt); {
	case p.restarted && sinceStart < p.window:
		unnoticed = sinceStart // the usage before the start is known from records
	case sinceStart < p.window:
		unnoticed = p.window
	}
	p.shares.set(p.bucket(now), share, int64(unnoticed/p.bucketDuration()))
}

// SetRemainderShare sets the share of a plan's remainder that this VM and its direct peers may use
// until the other data centres report their usage again; see Plans.remainderShare. It is 1 if all
// VMs are direct peers.
func (p *Plans) SetRemainderShare(share float64) { p.remainderShare = share }

// usage returns the account of a workspace, whose limit is not set if it is new.
func (p *Plans) usage(now clock.Instant, workspace string) *account {
	a := p.accounts[workspace]
	if a == nil {
		a = &account{bucket: p.bucket(now)}
		p.accounts[workspace] = a
	}
	p.advance(a, now)
	return a
}

// account returns the account of a workspace, with its current limit.
func (p *Plans) account(now clock.Instant, workspace string, l Limit) *account {
	a := p.usage(now, workspace)
	if a.limit == (Limit{}) {
		a.limit = l // the account was created from another VM's report
	}
	if a.limit != l {
		a.previousAllowed, a.changeEffectiveAt = p.allowed(workspace, a, now), now.Add(p.loweringDelay)
		a.limit = l
	}
	return a
}

// SetLimit receives the limit of a workspace's plan that is in force from now on.
func (p *Plans) SetLimit(now clock.Instant, workspace string, l Limit) {
	if l.Rate > 0 {
		p.account(now, workspace, l)
	}
}

func (p *Plans) bucketDuration() time.Duration { return p.window / windowBuckets }

func (p *Plans) bucket(now clock.Instant) int64 { return int64(now) / int64(p.bucketDuration()) }

// advance removes the buckets that have left the window.
func (p *Plans) advance(a *account, now clock.Instant) {
	bucket := p.bucket(now)
	for ; a.bucket < bucket && a.sum > 0; a.bucket++ {
		i := (a.bucket + 1) % accountBuckets
		a.sum -= a.buckets[i]
		a.buckets[i] = 0
	}
	a.bucket = max(a.bucket, bucket)
}

func (a *account) add(tokens int64) {
	a.buckets[a.bucket%accountBuckets] += tokens
	a.sum += tokens
	a.counted += tokens
}

// recentBuckets is the number of buckets whose usage other data centres may not know yet.
const recentBuckets = 10

// recent returns what this VM and its direct peers admitted in the recent buckets.
func (a *account) recent() int64 {
	sum := int64(0)
	for i := range int64(recentBuckets) {
		sum += a.buckets[(a.bucket-i+accountBuckets*recentBuckets)%accountBuckets]
	}
	return sum
}

// limitTokens returns what a limit allows in the part of the window whose usage this VM knows, in
// tokens.
func (p *Plans) limitTokens(now clock.Instant, workspace string, l Limit) float64 {
	plan := p.plan(l)
	switch {
	case p.WindowComplete(now):
		return plan
	case p.restarted:
		return plan + min(p.unrecorded(now, workspace, l), p.slack.amount(plan, restartSlack))
	}
	return p.beforeRecords(now, l)
}

// WindowComplete reports whether this VM knows the usage of the whole window.
func (p *Plans) WindowComplete(now clock.Instant) bool {
	if p.restarted {
		return now.Sub(p.restartedAt) >= p.window
	}
	return p.seeded || now.Sub(p.startedAt) >= p.window
}

// allowedOnThisSide returns what the VMs on this side of a partition may use in the window, including
// what they have used: their share of what is left of the plan and of the slack. used is the usage that
// this VM knows of, estimated that of the whole fleet.
func (p *Plans) allowedOnThisSide(allowed float64, used int64, estimated float64) float64 {
	left := allowed + p.slack.amount(allowed, partitionSlack) - estimated
	return min(allowed, float64(used)+p.shares.current*left)
}

// allowed returns what a plan allows in the window that ends now, in tokens. In a window that
// includes the lowering of the plan, it interpolates between the previous and the current plan.
func (p *Plans) allowed(workspace string, a *account, now clock.Instant) float64 {
	allowed := p.limitTokens(now, workspace, a.limit)
	if since := max(0, now.Sub(a.changeEffectiveAt)); since < p.window && a.previousAllowed > allowed {
		allowed += (a.previousAllowed - allowed) * (1 - float64(since)/float64(p.window))
	}
	return allowed
}

// Decision is an admission decision with the values that led to it.
type Decision struct {
	Admitted bool
	// UsedBefore is the workspace's usage in the window before this call. Allowed is what its plan
	// allows the VMs on this side of a partition, in tokens.
	UsedBefore int64
	Allowed    float64
	// OwnTotal is the total that this VM admitted for the workspace since its start, including this
	// call.
	OwnTotal int64
	// RetryAfter is the time after which the same call would be admitted if there were no others.
	RetryAfter time.Duration
}

// Admit charges cost to a workspace's plan or rejects it.
func (p *Plans) Admit(now clock.Instant, workspace string, l Limit, cost int64) Decision {
	d := p.Preview(now, workspace, l, cost)
	if !d.Admitted || l.Rate <= 0 {
		return d
	}
	a := p.account(now, workspace, l)
	a.add(cost)
	a.ownTotal += cost
	a.hasOwn = true
	d.OwnTotal = a.ownTotal
	return d
}

// Preview returns the decision of Admit, without OwnTotal, and charges nothing.
func (p *Plans) Preview(now clock.Instant, workspace string, l Limit, cost int64) Decision {
	if l.Rate <= 0 {
		return Decision{Admitted: true}
	}
	a := p.account(now, workspace, l)
	remote, estimatedRemote := p.dataCentreUsed(now, workspace)
	unrecorded := p.unrecorded(now, workspace, l)
	remote, estimatedRemote = remote+int64(unrecorded), estimatedRemote+unrecorded
	d := Decision{UsedBefore: a.sum + remote}
	d.Allowed = p.allowedOnThisSide(p.allowed(workspace, a, now), d.UsedBefore, p.shares.estimate(a)+estimatedRemote)
	if float64(d.UsedBefore+cost) > d.Allowed {
		d.RetryAfter = p.timeUntilFreed(a, float64(d.UsedBefore+cost)-d.Allowed)
		if end := p.restartedAt.Add(p.window).Sub(now); p.restarted && end > 0 {
			d.RetryAfter = min(d.RetryAfter, end)
		}
		return d
	}
	if p.remainderShare < 1 {
		recent := float64(a.recent())
		remainder := d.Allowed - float64(d.UsedBefore) + recent
		if recent+float64(cost) > p.remainderShare*(remainder+p.slack.amount(d.Allowed, remainderSlack)) {
			d.RetryAfter = p.bucketDuration() * recentBuckets
			return d
		}
	}
	d.Admitted = true
	return d
}

// timeUntilFreed returns the time until usage that leaves the window allows excess tokens more.
func (p *Plans) timeUntilFreed(a *account, excess float64) time.Duration {
	for i := int64(1); i <= accountBuckets; i++ {
		bucket := (a.bucket + i) % accountBuckets
		excess -= float64(a.buckets[bucket]) * p.shares.current / p.shares.shares[bucket]
		if excess <= 0 {
			return time.Duration(i) * p.bucketDuration()
		}
	}
	return p.window
}

// Refund refunds the cost of a call that was certainly not run.
func (p *Plans) Refund(now clock.Instant, workspace string, cost int64) {
	if a := p.accounts[workspace]; a != nil {
		p.AddFromPeer(now, workspace, -cost)
		a.ownTotal -= cost
	}
}

// AddFromPeer adds what another VM admitted. tokens is negative for a refund.
func (p *Plans) AddFromPeer(now clock.Instant, workspace string, tokens int64) {
	a := p.usage(now, workspace)
	a.add(max(tokens, -a.sum))
}

// ownTotals adds what this VM admitted since its start to out, by workspaces that had any calls.
func (p *Plans) ownTotals(out map[CounterKey]int64) {
	for name, a := range p.accounts {
		if a.hasOwn {
			out[CounterKey{AdmittedTokens, name}] = a.ownTotal
		}
	}
}
