// Package admission decides whether a call may go on: a workspace's plan over all VMs, and the
// budget for sending calls more than once. The decisions are pure; the exchange between VMs
// feeds them with what the others admitted.
package admission

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Limit is what a plan allows: within any window, Rate times the window and Burst once.
type Limit struct {
	// Rate is in tokens a second; 0 means no limit. Burst is in tokens.
	Rate, Burst float64
}

const (
	// planParts is the number of parts of a plan's window; a part leaves it as a whole.
	planParts = 64
	// planBins holds one part more, so that all of any window is counted.
	planBins = planParts + 1
)

// account is this VM's picture of what a workspace used of its plan in the window: its own
// admissions at once, those of VMs that tell at once as they tell them. What other data centres
// tell in sums is kept apart.
type account struct {
	limit Limit
	// former is what the plan allowed before it was lowered at loweredAt.
	former    float64
	loweredAt clock.Instant
	// bins holds the tokens of each part of the window, sum those of all.
	bins [planBins]int64
	bin  int64
	sum  int64
	// used is all that this VM admitted since it started.
	used int64
}

// Slack is what may be used beyond a plan in a window where VMs cannot know what others use.
type Slack struct {
	// Over is a part of the plan, Tokens come besides.
	Over, Tokens float64
}

const (
	// cutSlack is the part of the slack that the sides of a cut share, splitSlack that which data
	// centres share that tell each other late. The rest is for VMs that start anew in a cut.
	cutSlack   = 0.1
	splitSlack = 0.25
)

// of gives a part of the slack of a plan that allows so much in a window.
func (s Slack) of(plan, part float64) float64 { return part * (s.Over*plan + s.Tokens) }

// Plans holds an account for each workspace. It is not safe for use by many goroutines.
type Plans struct {
	window time.Duration
	slack  Slack
	// notice is how long after it was learnt a lower plan begins to count.
	notice   time.Duration
	accounts map[string]*account
	// started is when this VM began to hear what is used; what was before, it does not know.
	started clock.Instant
	// learnt is set when another VM told what was used before.
	learnt bool
	// share is the part of each plan that this side of a cut may use.
	share float64
	// split is the part of what is left of a plan that VMs that tell each other at once may use
	// until the others have told again.
	split float64
	// far is what VMs of other data centres used, where those tell in sums.
	far map[string]farUse
}

// farUse is what the VMs of a data centre had admitted in the window when they told.
type farUse struct {
	at     clock.Instant
	tokens map[string]int64
}

// farHold is how long a sum counts in full; after that it leaves the window evenly.
const farHold = 2 * time.Second

// NewPlans makes Plans that are counted over a window. notice is the time in which a change
// comes into force on all VMs; a lower plan begins to count when it is over.
func NewPlans(now clock.Instant, window, notice time.Duration, slack Slack) *Plans {
	return &Plans{started: now, window: window, notice: notice, slack: slack, accounts: map[string]*account{}, share: 1, split: 1, far: map[string]farUse{}}
}

// SetShare states which part of the VMs this one hears, itself counted. The rest may be
// admitting unheard, and keep their part.
func (p *Plans) SetShare(share float64) { p.share = share }

// SetSplit states which part of what is left of a plan may be used by the VMs that tell each
// other at once, this one counted, until those that tell seldom have told again; 1 where all
// tell at once.
func (p *Plans) SetSplit(split float64) { p.split = split }

func (p *Plans) account(now clock.Instant, workspace string, l Limit) *account {
	a := p.accounts[workspace]
	if a == nil {
		a = &account{limit: l, bin: p.bin(now)}
		p.accounts[workspace] = a
	}
	p.advance(a, now)
	if a.limit == (Limit{}) {
		a.limit = l // known from another VM only
	}
	if a.limit != l {
		a.former, a.loweredAt = p.allowed(a, now), now.Add(p.notice)
		a.limit = l
	}
	return a
}

func (p *Plans) binTime() time.Duration { return p.window / planParts }

func (p *Plans) bin(now clock.Instant) int64 { return int64(now) / int64(p.binTime()) }

// advance lets what has left the window go.
func (p *Plans) advance(a *account, now clock.Instant) {
	bin := p.bin(now)
	for ; a.bin < bin && a.sum > 0; a.bin++ {
		i := (a.bin + 1) % planBins
		a.sum -= a.bins[i]
		a.bins[i] = 0
	}
	a.bin = max(a.bin, bin)
}

func (a *account) add(tokens int64) {
	a.bins[a.bin%planBins] += tokens
	a.sum += tokens
}

// recentParts is the number of parts of the window that VMs of other data centres may not have
// heard of.
const recentParts = 10

// recent is what the VMs that tell each other at once have admitted lately.
func (a *account) recent() int64 {
	sum := int64(0)
	for i := range int64(recentParts) {
		sum += a.bins[(a.bin-i+planBins*recentParts)%planBins]
	}
	return sum
}

// full is what a plan allows in a whole window, in tokens. A VM that does not know all that was
// used in it takes the plan to have been used at its rate before its start.
func (p *Plans) full(now clock.Instant, l Limit) float64 {
	counted := p.window
	if !p.Whole(now) {
		counted = now.Sub(p.started)
	}
	return l.Rate*counted.Seconds() + l.Burst
}

// Whole reports whether this VM knows what was used in the whole window.
func (p *Plans) Whole(now clock.Instant) bool { return p.learnt || now.Sub(p.started) >= p.window }

// here is what this side of a cut may use of what is allowed: its share, and that of the slack.
func (p *Plans) here(allowed float64) float64 {
	return min(allowed, p.share*(allowed+p.slack.of(allowed, cutSlack)))
}

// allowed is what a plan allows in the window that ends now, in tokens. A window that spans
// the lowering of a plan allows a part of both.
func (p *Plans) allowed(a *account, now clock.Instant) float64 {
	allowed := p.full(now, a.limit)
	if since := max(0, now.Sub(a.loweredAt)); since < p.window && a.former > allowed {
		allowed += (a.former - allowed) * (1 - float64(since)/float64(p.window))
	}
	return allowed
}

// Verdict is the outcome of a decision on a plan, with what decided it.
type Verdict struct {
	Admitted bool
	// Before is what the workspace had used in the window, Allowed what its plan allows here.
	Before  int64
	Allowed float64
	// Used is all that this VM admitted for the workspace, this call counted.
	Used int64
	// Wait is the time after which the same call would be admitted if no other came.
	Wait time.Duration
}

// Admit draws cost from a workspace's plan, or refuses.
func (p *Plans) Admit(now clock.Instant, workspace string, l Limit, cost int64) Verdict {
	if l.Rate <= 0 {
		return Verdict{Admitted: true}
	}
	a := p.account(now, workspace, l)
	v := Verdict{Before: a.sum + p.farUsed(now, workspace), Allowed: p.here(p.allowed(a, now))}
	if float64(v.Before+cost) > v.Allowed {
		v.Wait = p.wait(a, float64(v.Before+cost)-v.Allowed)
		return v
	}
	if p.split < 1 {
		recent := float64(a.recent())
		left := v.Allowed - float64(v.Before) + recent
		if recent+float64(cost) > p.split*(left+p.slack.of(v.Allowed, splitSlack)) {
			v.Wait = p.binTime() * recentParts
			return v
		}
	}
	v.Admitted = true
	a.add(cost)
	a.used += cost
	v.Used = a.used
	return v
}

// wait gives the time until enough has left the window.
func (p *Plans) wait(a *account, excess float64) time.Duration {
	for i := int64(1); i <= planBins; i++ {
		excess -= float64(a.bins[(a.bin+i)%planBins])
		if excess <= 0 {
			return time.Duration(i) * p.binTime()
		}
	}
	return p.window
}

// Return gives back what a call drew that was certainly not run.
func (p *Plans) Return(now clock.Instant, workspace string, cost int64) {
	if a := p.accounts[workspace]; a != nil {
		p.Heard(now, workspace, -cost)
		a.used -= cost
	}
}

// Heard counts what another VM admitted; less than nothing where it gave some back.
func (p *Plans) Heard(now clock.Instant, workspace string, tokens int64) {
	if a := p.accounts[workspace]; a != nil {
		p.advance(a, now)
		a.add(max(tokens, -a.sum))
	}
}

// HeardWindow takes over what another VM knows to have been used in the whole window, where this
// one started too lately to know of it; the first word counts. It leaves the window evenly.
func (p *Plans) HeardWindow(now clock.Instant, tokens map[string]int64) {
	if p.Whole(now) {
		return
	}
	p.learnt = true
	for workspace, n := range tokens {
		a := p.accounts[workspace]
		if a == nil {
			a = &account{bin: p.bin(now)}
			p.accounts[workspace] = a
		}
		p.advance(a, now)
		a.spread(max(0, n-a.sum))
	}
}

// spread adds what was used at some time in the window.
func (a *account) spread(tokens int64) {
	for i := range int64(planParts) {
		part := tokens / (planParts - i)
		a.bins[(a.bin-i+planBins*planParts)%planBins] += part
		a.sum += part
		tokens -= part
	}
}

// HeardFar takes over what the VMs of another data centre admitted in the window, in place of
// what they told before.
func (p *Plans) HeardFar(now clock.Instant, dataCentre string, tokens map[string]int64) {
	if len(tokens) == 0 {
		delete(p.far, dataCentre)
		return
	}
	p.far[dataCentre] = farUse{at: now, tokens: tokens}
}

// farUsed is what other data centres used of a workspace's plan in the window, as they told.
func (p *Plans) farUsed(now clock.Instant, workspace string) int64 {
	sum := 0.0
	for _, f := range p.far {
		left := 1 - float64(now.Sub(f.at)-farHold)/float64(p.window)
		sum += float64(f.tokens[workspace]) * max(0, min(1, left))
	}
	return int64(sum)
}

// Together gives what this VM and those that tell it at once admitted in the window.
func (p *Plans) Together(now clock.Instant) map[string]int64 {
	out := make(map[string]int64, len(p.accounts))
	for name, a := range p.accounts {
		if p.advance(a, now); a.sum > 0 {
			out[name] = a.sum
		}
	}
	return out
}

// own gives what this VM admitted since it started.
func (p *Plans) own(out map[Count]int64) {
	for name, a := range p.accounts {
		out[Count{Tokens, name}] = a.used
	}
}
