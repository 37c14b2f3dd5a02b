// Package limiter enforces the rate and burst of each workspace's plan across all VMs.
//
// Each plan is divided into one share per data centre. A share is an exact token bucket that is
// owned by a single VM of that data centre, the share's holder. A request is admitted by taking
// its tokens from one or more shares, local data centre first. Because the shares always sum to
// at most the plan, admissions on all VMs combined can never exceed it.
package limiter

import "context"

// Reservation represents the tokens reserved for one admitted request.
type Reservation interface {
	// Settle refunds the reserved tokens that were not used. It is idempotent and never blocks.
	Settle(used int64)
}

// Limiter admits or rejects requests.
type Limiter interface {
	// Reserve takes tokens from the workspace's plan. It fails with PlanExceeded and the time after
	// which to retry, or with Unavailable if no share holder replied.
	Reserve(ctx context.Context, workspace string, tokens int64) (Reservation, error)
}
