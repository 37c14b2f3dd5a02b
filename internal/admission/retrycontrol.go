package admission

import (
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/notify"
)

// SetFirstStart states that no retries that count were sent before this start, so that the whole part of the budget may be used at once.
func (c *Controller) SetFirstStart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.firstStart = true
}

// SetFormerStart states what the registry tells of the process that ran on this VM before; see Retries.SetFormerStart.
func (c *Controller) SetFormerStart(f FormerStart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.SetFormerStart(f)
}

// StartMatters reports whether this process started so lately that the next one on this VM has to know of it.
func (c *Controller) StartMatters() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Sub(c.retries.startedAt) < c.retries.budget.startMemory()
}

// CountCall counts a caller's call to a service.
func (c *Controller) CountCall(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.CountCall(c.clock.Now(), service)
}

// RetryLeft reports whether the budget has capacity for a retry of a call to a service now.
func (c *Controller) RetryLeft(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.retries.Remaining(now, service, c.slackShare) >= 1 {
		return true
	}
	c.retries.Want(now, service)
	c.signalNeed(now, service)
	return false
}

// ReturnRetry gives back a retry that was counted at spentAt and not sent.
func (c *Controller) ReturnRetry(service string, spentAt clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.Return(c.clock.Now(), spentAt, service)
}

// SpendRetry counts a retry of a call to a service if the budget has capacity for it and for
// reserve more.
func (c *Controller) SpendRetry(service string, reserve float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	ok := c.retries.Spend(now, service, c.slackShare, reserve)
	c.signalNeed(now, service)
	return ok
}

func (c *Controller) signalNeed(now clock.Instant, service string) {
	if c.retries.Need(now, service, c.slackShare) > 0 {
		notify.Signal(c.retriesShort)
	}
}

// MayBorrow reports whether other VMs may grant retries of calls to a service soon.
func (c *Controller) MayBorrow(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries.MayBorrow(c.clock.Now(), service, c.slackShare)
}

// RecordVainWait records that a call has waited for such retries in vain.
func (c *Controller) RecordVainWait(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.RecordVainWait(c.clock.Now(), service)
}

// RetriesShort returns a channel that signals that TakeRetryNeeds has something to ask for.
func (c *Controller) RetriesShort() <-chan struct{} { return c.retriesShort }

// TakeRetryNeeds returns the retries to ask other VMs for now.
func (c *Controller) TakeRetryNeeds() []RetryNeed {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries.TakeNeeds(c.clock.Now(), c.slackShare)
}

// GrantRetries gives another VM up to amount retries of this VM's part.
func (c *Controller) GrantRetries(service string, amount float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries.Grant(c.clock.Now(), service, c.slackShare, amount)
}

// AddRetryGrant adds what another VM granted on a request sent at sentAt.
func (c *Controller) AddRetryGrant(service string, amount float64, sentAt clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries.AddGrant(c.clock.Now(), sentAt, service, amount)
}

// RetryState returns what is left of the retry budget of a service at this VM.
func (c *Controller) RetryState(service string) RetryState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries.State(c.clock.Now(), service, c.slackShare)
}

// GrantTotals returns what was given to and taken from other VMs.
func (c *Controller) GrantTotals() GrantTotals {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retries.totals
}

// HoldPrefill holds a retry for a prefill of a service that is about to be sent. It returns false if the prefill must not be sent, as
// prefills were counted as retries lately and the budget has no capacity for another one.
func (c *Controller) HoldPrefill(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	ok := c.retries.HoldPrefill(now, service, c.slackShare)
	c.signalNeed(now, service)
	return ok
}

// SettlePrefill ends the hold of a prefill, which counts as a retry if counts is set.
func (c *Controller) SettlePrefill(service string, counts bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.retries.SettlePrefill(now, service, counts)
	c.signalNeed(now, service)
}
