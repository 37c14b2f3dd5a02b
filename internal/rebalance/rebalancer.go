package rebalance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Lease is the stored lease on changing engine stages. Only its holder may send orders.
type Lease struct {
	// Holder is the VM that acquired the lease last, empty if none did.
	Holder string
	// Fence is the fencing token of the last acquisition.
	Fence uint64
	// Version is the store's version for the conditional write; 0 if there is no lease yet.
	Version uint64
}

// LeaseStore persists the lease.
type LeaseStore interface {
	ReadLease(ctx context.Context) (Lease, error)
	// AcquireLease writes next if the stored lease still has next.Version.
	AcquireLease(ctx context.Context, next Lease) error
}

// StageOrderer sends orders to engines.
type StageOrderer interface {
	// OrderStage orders an engine to change its stage.
	OrderStage(ctx context.Context, e traffic.Endpoint, to traffic.Stage, holder string, fence uint64) error
}

// EnginePools reports the utilization of engines and selects engines to move.
type EnginePools interface {
	// Utilization returns the current utilization of each service that has engines in both stages.
	Utilization() map[string]Utilization
	// LeastLoaded returns the engine that is best moved out of a stage. Engines in except are
	// skipped.
	LeastLoaded(service string, stage traffic.Stage, except []traffic.EndpointID) (traffic.Endpoint, bool)
	// MarkChangingStage marks an engine that was sent an order and did not reject it.
	MarkChangingStage(id traffic.EndpointID)
}

// Rebalancer periodically samples the utilization of engines and orders some to change their stage.
type Rebalancer struct {
	Self    string
	Clock   clock.Clock
	Store   LeaseStore
	Engines StageOrderer
	Pools   EnginePools
	// IsLeader reports whether this VM is the one among the reachable VMs that sends orders.
	IsLeader func() bool
	// LeaseDuration is how long a lease is valid. A VM acquires the lease of another VM no earlier
	// than LeaseDuration and leaseMargin after it first saw it.
	LeaseDuration time.Duration
	Log           *zap.Logger

	planner     *Planner
	lastLease   Lease
	lastLeaseAt clock.Instant
}

const (
	samplePeriod = 200 * time.Millisecond
	// orderTimeout bounds a move from reading the lease to sending the orders. The duration of the
	// lease acquisition is checked against it as well, so that a VM that was paused meanwhile sends
	// no orders.
	orderTimeout = 700 * time.Millisecond
	// leaseMargin is added to LeaseDuration before the lease of another VM is acquired.
	leaseMargin = 1500 * time.Millisecond
	// retryDelay is the delay after a move that failed.
	retryDelay = 2 * time.Second
)

// Run samples the utilization and sends orders until ctx is done.
func (r *Rebalancer) Run(ctx context.Context) {
	r.planner = NewPlanner()
	t := time.NewTicker(samplePeriod)
	defer t.Stop()
	var retryAt clock.Instant
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for service, sample := range r.Pools.Utilization() {
			r.planner.AddSample(service, sample)
		}
		now := r.Clock.Now()
		m, due := r.planner.NextMove(now)
		if !due || !r.IsLeader() || now.Before(retryAt) {
			continue
		}
		if err := r.move(ctx, m); err != nil {
			r.Log.Warn("engine not moved", zap.String("service", m.Service), zap.Stringer("to", m.To), zap.Error(err))
			retryAt = r.Clock.Now().Add(retryDelay)
		}
	}
}

// move acquires the lease and sends the orders of a move.
func (r *Rebalancer) move(ctx context.Context, m Move) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	lease, err := r.Store.ReadLease(ctx)
	if err != nil {
		return err
	}
	if !r.leaseAvailable(lease) {
		return fault.New(fault.Conflict, "wait until the other VM's lease expires", "another VM holds the rebalancing lease")
	}
	startedAt := r.Clock.Now()
	next := Lease{Holder: r.Self, Fence: lease.Fence + 1, Version: lease.Version}
	if err := r.Store.AcquireLease(ctx, next); err != nil {
		return err
	}
	if took := r.Clock.Now().Sub(startedAt); took > orderTimeout {
		return fault.New(fault.Timeout, "no action needed: the move is retried", "acquiring the rebalancing lease timed out")
	}
	r.planner.StartCooldown(r.Clock.Now(), m.Service)
	r.sendOrders(ctx, m, next.Fence)
	return nil
}

// sendOrders sends the orders of a move.
func (r *Rebalancer) sendOrders(ctx context.Context, m Move, fence uint64) {
	var ordered []traffic.EndpointID
	for range m.Count {
		e, ok := r.Pools.LeastLoaded(m.Service, m.From, ordered)
		if !ok || ctx.Err() != nil {
			return
		}
		ordered = append(ordered, e.ID)
		err := r.Engines.OrderStage(ctx, e, m.To, r.Self, fence)
		r.Log.Info("stage ordered", zap.String("service", m.Service), zap.String("endpoint", e.ID.Name), zap.Stringer("from", m.From),
			zap.Stringer("to", m.To), zap.Uint64("fence", fence), zap.Error(err))
		// Unless the engine rejected the order, it is assumed to change its stage: it may execute the
		// order although its response was lost. The endpoint table then shows the new stage.
		if !fault.Is(err, fault.Conflict) {
			r.Pools.MarkChangingStage(e.ID)
		}
	}
}

// leaseAvailable reports whether this VM may acquire the lease: it is the last holder, or the
// stored lease of another VM has not changed for LeaseDuration and leaseMargin.
func (r *Rebalancer) leaseAvailable(l Lease) bool {
	now := r.Clock.Now()
	if l.Version == 0 || l.Holder == r.Self {
		return true
	}
	if l != r.lastLease {
		r.lastLease, r.lastLeaseAt = l, now
	}
	return now.Sub(r.lastLeaseAt) >= r.LeaseDuration+leaseMargin
}
