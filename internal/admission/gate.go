package admission

import (
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Gate makes Plans and Retries safe for concurrent use.
type Gate struct {
	clock clock.Clock
	// onCount is called with the new total of a counter of this VM. It must not block.
	onCount func(c Count, total int64)

	mu sync.Mutex
	// directShare is the last Parts.Together.
	directShare float64
	plans       *Plans
	retries     *Retries
}

// PlanBounds configure the accounting of plans.
type PlanBounds struct {
	// Window is the time over which usage is counted.
	Window time.Duration
	// Notice is the time after which a lowered plan takes effect.
	Notice time.Duration
	Slack  Slack
}

// NewGate returns a Gate for a fleet that is assumed to have vms VMs until SetFleetShares is
// called. onCount is called with the new total of a counter of this VM; it must not block and
// may be nil.
func NewGate(c clock.Clock, b RetryBudget, plans PlanBounds, vms int, onCount func(c Count, total int64)) *Gate {
	if onCount == nil {
		onCount = func(Count, int64) {}
	}
	return &Gate{
		clock: c, onCount: onCount, directShare: 1 / float64(max(1, vms)),
		plans: NewPlans(c.Now(), plans.Window, plans.Notice, plans.Slack), retries: NewRetries(c.Now(), b),
	}
}

// SetBudget changes the retry budget.
func (g *Gate) SetBudget(b RetryBudget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.SetBudget(b)
}

// Parts describe which share of the fleet a VM can reach, and which share of plans is available
// to the VMs that it can reach.
type Parts struct {
	// Together is the share of the fleet's VMs that are this VM or a direct peer of it. Direct
	// peers exchange every update immediately.
	Together float64
	// Heard is the reachable share of the fleet, including this VM; see Plans.SetLiveShare.
	Heard float64
	// Split is the share of a plan's remainder that is available to this VM and its direct peers;
	// see Plans.SetRemainderShare.
	Split float64
}

// Fleet updates the shares after a change of the reachable VMs.
func (g *Gate) Fleet(p Parts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directShare = p.Together
	g.plans.SetShare(p.Heard)
	g.plans.SetSplit(p.Split)
}

// Admit charges a call's cost to its workspace's plan.
func (g *Gate) Admit(w *traffic.Workspace, cost int64) Verdict {
	if w == nil {
		return Verdict{Admitted: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.plans.Admit(g.clock.Now(), w.Name, Limit{Rate: w.Rate, Burst: w.Burst}, cost)
	if v.Admitted {
		g.onCount(Count{Tokens, w.Name}, v.Used)
	}
	return v
}

// Return refunds the cost of a call that was certainly not run.
func (g *Gate) Return(w *traffic.Workspace, cost int64) {
	if w == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plans.Return(g.clock.Now(), w.Name, cost)
}

// Heard adds what another VM counted since its last report.
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

// HeardWindow adds the usage of the whole window as known to another VM, in tokens by workspace.
// It has an effect only soon after this VM's start.
func (g *Gate) HeardWindow(tokens map[string]int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plans.HeardWindow(g.clock.Now(), tokens)
}

// Window returns the usage in the window by this VM and its direct peers, in tokens by workspace.
// complete reports whether this VM knows the usage of the whole window.
func (g *Gate) Window() (tokens map[string]int64, complete bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	return g.plans.Together(now), g.plans.Whole(now)
}

// HeardFar sets what the VMs of another data centre admitted in the window, in tokens by
// workspace.
func (g *Gate) HeardFar(dataCentre string, tokens map[string]int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plans.HeardFar(g.clock.Now(), dataCentre, tokens)
}

// Own returns the counters of this VM since its start.
func (g *Gate) Own() map[Count]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[Count]int64{}
	g.plans.ownTotals(out)
	g.retries.ownTotals(out)
	return out
}

// Called counts a caller's call to a service.
func (g *Gate) Called(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onCount(Count{Calls, service}, g.retries.Called(g.clock.Now(), service))
}

// Spend counts a retry to a service if the budget has capacity for it and for reserve more.
func (g *Gate) Spend(service string, reserve float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	total, ok := g.retries.Spend(g.clock.Now(), service, g.directShare, reserve)
	if ok {
		g.onCount(Count{Extra, service}, total)
	}
	return ok
}
