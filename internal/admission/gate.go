package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Gate guards Plans and Retries for the goroutines of calls.
type Gate struct {
	clock clock.Clock
	// admitted is told what this VM has admitted for a workspace since it started. It must not block.
	admitted func(workspace string, tokens int64)
	// vms is the number of VMs that share the slack of the retry budget.
	vms atomic.Int32

	mu      sync.Mutex
	plans   *Plans
	retries *Retries
}

// PlanBounds say how plans are counted.
type PlanBounds struct {
	// Window is the time over which they are.
	Window time.Duration
	// Notice is the time after which a lower plan begins to count.
	Notice time.Duration
	Slack  Slack
}

// NewGate makes a Gate for a fleet of which vms VMs are taken to be up. admitted is told what
// this VM has admitted for a workspace since it started; it must not block and may be nil.
func NewGate(c clock.Clock, b RetryBudget, plans PlanBounds, vms int, admitted func(workspace string, tokens int64)) *Gate {
	if admitted == nil {
		admitted = func(string, int64) {}
	}
	g := &Gate{clock: c, admitted: admitted, plans: NewPlans(c.Now(), plans.Window, plans.Notice, plans.Slack), retries: NewRetries(b)}
	g.vms.Store(int32(vms))
	return g
}

// SetBudget changes the retry budget.
func (g *Gate) SetBudget(b RetryBudget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.SetBudget(b)
}

// Fleet states how many VMs there are, which part of the fleet this one hears, itself counted,
// and which part of a plan's rest the VMs that tell each other at once may use; see
// Plans.SetSplit.
func (g *Gate) Fleet(vms int, share, split float64) {
	g.vms.Store(int32(max(1, vms)))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plans.SetShare(share)
	g.plans.SetSplit(split)
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
		g.admitted(w.Name, v.Used)
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

// Heard draws what another VM admitted.
func (g *Gate) Heard(workspace string, tokens int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plans.Heard(g.clock.Now(), workspace, tokens)
}

// HeardFar takes over what the VMs of another data centre admitted in the window, in tokens by
// workspace.
func (g *Gate) HeardFar(dataCentre string, tokens map[string]int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plans.HeardFar(g.clock.Now(), dataCentre, tokens)
}

// Together gives what this VM and those that tell it at once admitted in the window, in tokens
// by workspace.
func (g *Gate) Together() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plans.Together(g.clock.Now())
}

// Used gives what this VM admitted for each workspace since it started, in tokens.
func (g *Gate) Used() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.plans.Used()
}

// Called counts a caller's call to a service.
func (g *Gate) Called(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries.Called(g.clock.Now(), service)
}

// Spend counts an extra send to a service if the budget has room for it and for keep more.
func (g *Gate) Spend(service string, keep float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retries.Spend(g.clock.Now(), service, int(g.vms.Load()), keep)
}
