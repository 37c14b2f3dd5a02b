package admission

import (
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/overload"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Controller makes Plans and Retries safe for concurrent use.
type Controller struct {
	clock clock.Clock
	// onCount is called with the new total of a counter of this VM. It must not block.
	onCount func(key CounterKey, total int64)

	overload *overload.Controller

	mu sync.Mutex
	// directShare is the last FleetShares.DirectShare. Before SetFleetShares is called, it is an
	// estimate based on the assumed number of VMs.
	directShare float64
	// slackShare is the last FleetShares.SlackShare.
	slackShare float64
	plans      *Plans
	retries    *Retries

	// retriesShort signals that retries are to be asked for; see Retries.Need. It has capacity one.
	retriesShort chan struct{}
}

// PlanOptions configure the accounting of plans.
type PlanOptions struct {
	// Window is the time over which usage is counted.
	Window time.Duration
	// LoweringDelay is the time after which a lowered plan takes effect.
	LoweringDelay time.Duration
	Slack         Slack
}

// NewController returns a Controller for a fleet that is assumed to have vms VMs until
// SetFleetShares is called. onCount is called with the new total of a counter of this VM; it must
// not block and may be nil.
func NewController(c clock.Clock, b RetryBudget, plans PlanOptions, vms int, onCount func(key CounterKey, total int64)) *Controller {
	if onCount == nil {
		onCount = func(CounterKey, int64) {}
	}
	directShare, slackShare := 1/float64(max(1, vms)), 0.0
	if vms <= 1 {
		slackShare = 1 // there are no others to be found
	}
	return &Controller{
		clock: c, onCount: onCount, directShare: directShare, slackShare: slackShare, retriesShort: make(chan struct{}, 1),
		overload: overload.NewController(c, directShare, func(class string, total int64) { onCount(CounterKey{RankedCalls, class}, total) }),
		plans:    NewPlans(c.Now(), plans.Window, plans.LoweringDelay, plans.Slack), retries: NewRetries(c.Now(), b),
	}
}

// SetBudget changes the retry budget.
func (c *Controller) SetBudget(b RetryBudget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.SetBudget(b)
}

// FleetShares describe which share of the fleet a VM can reach, and which share of plans is
// available to the VMs that it can reach.
type FleetShares struct {
	// DirectShare is the share of the fleet's VMs that are this VM or a direct peer of it. Direct
	// peers exchange every update immediately.
	DirectShare float64
	// SlackShare is this VM's share of the VMs that may be serving or may have served in the last window of the retry budget. It is 0 as
	// long as they are not known.
	SlackShare float64
	// LiveShare is the reachable share of the fleet, including this VM, and UnnoticedFor the time for
	// which a VM may be unreachable before it counts as such; see Plans.SetLiveShare.
	LiveShare    float64
	UnnoticedFor time.Duration
	// RemainderShare is the share of a plan's remainder that this VM and its direct peers may use; see
	// Plans.SetRemainderShare.
	RemainderShare float64
}

// SetFleetShares updates the shares after a change of the reachable VMs.
func (c *Controller) SetFleetShares(p FleetShares) {
	c.overload.SetDirectShare(p.DirectShare)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directShare, c.slackShare = p.DirectShare, p.SlackShare
	c.plans.SetLiveShare(c.clock.Now(), p.LiveShare, p.UnnoticedFor)
	c.plans.SetRemainderShare(p.RemainderShare)
}

// SetWorkspaces receives the workspaces of a configuration that comes into force, so that a lowered
// plan takes effect gradually for workspaces without calls here as well.
func (c *Controller) SetWorkspaces(all map[string]*traffic.Workspace) {
	weights := make(map[string]float64, len(all))
	for _, w := range all {
		weights[w.Name] = w.Rate
	}
	c.overload.SetWeights(weights)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, w := range all {
		c.plans.SetLimit(now, w.Name, planLimit(w))
	}
}

func planLimit(w *traffic.Workspace) Limit { return Limit{Rate: w.Rate, Burst: w.Burst} }

// Overload returns what decides which calls are served while capacity is short.
func (c *Controller) Overload() *overload.Controller { return c.overload }

// Admit charges a call's cost to its workspace's plan.
func (c *Controller) Admit(w *traffic.Workspace, cost int64) Decision {
	if w == nil {
		return Decision{Admitted: true}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.plans.Admit(c.clock.Now(), w.Name, planLimit(w), cost)
	if d.Admitted {
		c.onCount(CounterKey{AdmittedTokens, w.Name}, d.OwnTotal)
	}
	return d
}

// Preview returns the decision of Admit and charges nothing.
func (c *Controller) Preview(w *traffic.Workspace, cost int64) Decision {
	if w == nil {
		return Decision{Admitted: true}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans.Preview(c.clock.Now(), w.Name, planLimit(w), cost)
}

// Refund refunds the cost of a call that was certainly not run.
func (c *Controller) Refund(w *traffic.Workspace, cost int64) {
	if w == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans.Refund(c.clock.Now(), w.Name, cost)
}

// AddFromPeer adds what another VM counted since its last report. Calls and retries, which only VMs of former builds count,
// do not matter: each VM keeps to its own part of the retry budget.
func (c *Controller) AddFromPeer(key CounterKey, n int64) {
	if key.Kind == RankedCalls {
		c.overload.AddFromPeer(key.Name, n)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if key.Kind == AdmittedTokens {
		c.plans.AddFromPeer(c.clock.Now(), key.Name, n)
	}
}

// WindowState returns what this VM knows of the usage in the plan window. ok is false if it started
// too late to know all of it.
func (c *Controller) WindowState() (state WindowState, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans.WindowState(c.clock.Now())
}

// AdoptWindow adds the usage in the plan window that another VM knows of. It has an effect only
// soon after this VM's start.
func (c *Controller) AdoptWindow(state WindowState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans.AdoptWindow(c.clock.Now(), state)
}

// NeedsWindow reports whether a VM that lived through the plan window, if there is one, should still be asked for
// it.
func (c *Controller) NeedsWindow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans.NeedsWindow(c.clock.Now())
}

// KnowsRecords reports whether this VM knows the usage before its start from records, and another VM that started has
// told it what it knows.
func (c *Controller) KnowsRecords() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans.restarted && c.plans.toldOfRestart
}

// needsRecords reports whether this VM knows neither the window nor the records.
func (c *Controller) needsRecords() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans.NeedsWindow(c.clock.Now()) && !c.plans.restarted
}

// Record returns the usage that is to be recorded outside of the VMs, and a function to call when it has been. ok
// is false if nothing is due.
func (c *Controller) Record() (r UsageRecord, done func(), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if !c.plans.RecordDue(now) {
		return UsageRecord{}, nil, false
	}
	r, mark := c.plans.Record(now)
	return r, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		mark()
	}, true
}

// AdoptRecords adds the usage that was recorded before all VMs ended. group is the group of this VM.
func (c *Controller) AdoptRecords(group string, records []UsageRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans.AdoptRecords(c.clock.Now(), group, records)
}

// WindowUsage returns the usage in the window by this VM and its direct peers, in tokens by
// workspace.
func (c *Controller) WindowUsage() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans.WindowUsage(c.clock.Now())
}

// SetDataCentreUsage sets what the VMs of another data centre admitted in the window, in tokens by
// workspace.
func (c *Controller) SetDataCentreUsage(dataCentre string, tokens map[string]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans.SetDataCentreUsage(c.clock.Now(), dataCentre, tokens)
}

// OwnTotals returns the counters of this VM since its start.
func (c *Controller) OwnTotals() map[CounterKey]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[CounterKey]int64{}
	c.plans.ownTotals(out)
	c.retries.ownTotals(c.clock.Now(), c.slackShare, out)
	c.overload.Totals(func(class string, total int64) { out[CounterKey{RankedCalls, class}] = total })
	return out
}
