package admission

import (
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Gate guards Plans and Retries for the goroutines of calls.
type Gate struct {
	clock clock.Clock
	// counted is told what this VM has counted since it started. It must not block.
	counted func(c Count, total int64)

	mu sync.Mutex
	// together is as that of Parts.
	together float64
	plans    *Plans
	retries  *Retries
}

// PlanBounds say how plans are counted.
type PlanBounds struct {
	// Window is the time over which they are.
	Window time.Duration
	// Notice is the time after which a lower plan begins to count.
	Notice time.Duration
	Slack  Slack
}

// NewGate makes a Gate for a fleet of which vms VMs are taken to be up until others are heard.
// counted is told what this VM has counted since it started; it must not block and may be nil.
func NewGate(c clock.Clock, b RetryBudget, plans PlanBounds, vms int, counted func(c Count, total int64)) *Gate {
	if counted == nil {
		counted = func(Count, int64) {}
	}
	return &Gate{
		clock: c, counted: counted, together: 1 / float64(max(1, vms)),
		plans: NewPlans(c.Now(), plans.Window, plans.Notice, plans.Slack), retries: NewRetries(c.Now(), b),
	}
}

// SetBudget changes the retry budget.
func (g *Gate) SetBudget(b RetryBudget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.SetBudget(b)
}

// Parts say how much of a fleet a VM hears, and how much of plans is for those that it hears.
type Parts struct {
	// Together is the part of the VMs that tell each other everything at once, this one counted.
	Together float64
	// Heard is the part of the fleet that is heard, this VM counted; see Plans.SetShare.
	Heard float64
	// Split is the part of a plan's rest for those that tell each other at once; see
	// Plans.SetSplit.
	Split float64
}

// Fleet states how much of the fleet this VM hears.
func (g *Gate) Fleet(p Parts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.together = p.Together
	g.plans.SetShare(p.Heard)
	g.plans.SetSplit(p.Split)
}

// Admit draws a call's cost from its workspace's plan.
func (g *Gate) Admit(w *traffic.Workspace, cost int64) Verdict {
	if w == nil {
		return Verdict{Admitted: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.plans.Admit(g.clock.Now(), w.Name, Limit{Rate: w.Rate, Burst: w.Burst}, cost)
	if v.Admitted {
		g.counted(Count{Tokens, w.Name}, v.Used)
	}
	return v
}

// Return gives back what a call drew that was certainly not run.
func (g *Gate) Return(w *traffic.Workspace, cost int64) {
	if w == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plans.Return(g.clock.Now(), w.Name, cost)
}

// Heard takes over what another VM counted since it last told.
func (g *Gate) Heard(c Count, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	switch c.Of {
	case Tokens:
		g.plans.Heard(now, c.Name, n)
	case Calls:
		g.retries.Heard(now, c.Name, int(n), 0)
	case Extra:
		g.retries.Heard(now, c.Name, 0, int(n))
	}
}

// HeardWindow takes over what another VM knows to have been used of plans in the whole window, in
// tokens by workspace; it counts only soon after this VM's start.
func (g *Gate) HeardWindow(tokens map[string]int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plans.HeardWindow(g.clock.Now(), tokens)
}

// Window gives what this VM knows to have been used in the window, and whether that is all.
func (g *Gate) Window() (tokens map[string]int64, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	return g.plans.Together(now), g.plans.Whole(now)
}

// HeardFar takes over what the VMs of another data centre admitted in the window, in tokens by
// workspace.
func (g *Gate) HeardFar(dataCentre string, tokens map[string]int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plans.HeardFar(g.clock.Now(), dataCentre, tokens)
}

// Own gives what this VM counted since it started.
func (g *Gate) Own() map[Count]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[Count]int64{}
	g.plans.own(out)
	g.retries.own(out)
	return out
}

// Called counts a caller's call to a service.
func (g *Gate) Called(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counted(Count{Calls, service}, g.retries.Called(g.clock.Now(), service))
}

// Spend counts an extra send to a service if the budget has room for it and for keep more.
func (g *Gate) Spend(service string, keep float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	total, ok := g.retries.Spend(g.clock.Now(), service, g.together, keep)
	if ok {
		g.counted(Count{Extra, service}, total)
	}
	return ok
}
