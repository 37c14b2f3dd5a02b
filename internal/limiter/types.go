// Package limiter keeps every workspace within its plan's rate and burst over all VMs.
//
// A plan's rate and burst are cut into one share for each data centre. Each share is one exact
// bucket, held by one VM of that data centre. A request is admitted by taking its tokens from
// any shares together, nearest first, so the sum over all VMs can never exceed the plan.
package limiter

import "context"

// Reservation is what one admitted request holds.
type Reservation interface {
	// Settle gives back what was reserved over used. It is idempotent and never blocks.
	Settle(used int64)
}

// Limiter admits requests.
type Limiter interface {
	// Reserve takes tokens of a workspace or fails as OverPlan with the time to wait, or as
	// Unavailable when no share answered.
	Reserve(ctx context.Context, workspace string, tokens int64) (Reservation, error)
}
