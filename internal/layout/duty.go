package layout

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

// Store persists the lease.
type Store interface {
	ReadLease(ctx context.Context) (Lease, error)
	// TakeLease writes next if the stored lease still has next.Version.
	TakeLease(ctx context.Context, next Lease) error
}

// Engines sends orders to engines.
type Engines interface {
	// OrderStage orders an engine to change its stage.
	OrderStage(ctx context.Context, e traffic.Endpoint, to traffic.Stage, holder string, fence uint64) error
}

// Pools reports the utilization of engines and selects engines to move.
type Pools interface {
	Pools() map[string]Pool
	// Idlest returns the engine that is best moved out of a stage. Engines in except are skipped.
	Idlest(service string, stage traffic.Stage, except []traffic.EndpointID) (traffic.Endpoint, bool)
	// Moving marks an engine that was sent an order and did not reject it.
	Moving(id traffic.EndpointID)
}

// Duty periodically samples the pools and orders engines to change their stage.
type Duty struct {
	Self    string
	Clock   clock.Clock
	Store   Store
	Engines Engines
	Pools   Pools
	// First reports whether this VM is the one among the reachable VMs that sends orders.
	First func() bool
	// LeaseTime is how long after the last order of another VM no order may be sent.
	LeaseTime time.Duration
	Log       *zap.Logger

	planner     *Planner
	lastLease   Lease
	lastLeaseAt clock.Instant
}

const (
	samplePeriod = 200 * time.Millisecond
	// orderTimeout bounds a move from reading the lease to sending the orders. A VM that was
	// paused in between sends none.
	orderTimeout = 700 * time.Millisecond
	// leaseMargin is added to the lease time of another holder.
	leaseMargin = 1500 * time.Millisecond
	// retryDelay is the delay after a move that failed.
	retryDelay = 2 * time.Second
)

// Run samples the pools and sends orders until ctx is done.
func (d *Duty) Run(ctx context.Context) {
	d.planner = NewPlanner()
	t := time.NewTicker(samplePeriod)
	defer t.Stop()
	var retryAt clock.Instant
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for service, pool := range d.Pools.Pools() {
			d.planner.Sample(service, pool)
		}
		now := d.Clock.Now()
		m, due := d.planner.Next(now)
		if !due || !d.First() || now.Before(retryAt) {
			continue
		}
		if err := d.move(ctx, m); err != nil {
			d.Log.Warn("engine not moved", zap.String("service", m.Service), zap.Stringer("to", m.To), zap.Error(err))
			retryAt = d.Clock.Now().Add(retryDelay)
		}
	}
}

// move acquires the lease and sends the orders of a move.
func (d *Duty) move(ctx context.Context, m Move) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	lease, err := d.Store.ReadLease(ctx)
	if err != nil {
		return err
	}
	if !d.leaseAvailable(lease) {
		return fault.New(fault.Conflict, "wait until the other VM's lease expires", "another VM holds the rebalancing lease")
	}
	startedAt := d.Clock.Now()
	next := Lease{Holder: d.Self, Fence: lease.Fence + 1, Version: lease.Version}
	if err := d.Store.TakeLease(ctx, next); err != nil {
		return err
	}
	if took := d.Clock.Now().Sub(startedAt); took > orderTimeout {
		return fault.New(fault.Timeout, "none; retried automatically", "acquiring the rebalancing lease timed out")
	}
	d.planner.Settle(d.Clock.Now(), m.Service)
	d.sendOrders(ctx, m, next.Fence)
	return nil
}

// sendOrders sends the orders of a move. An engine may execute an order without answering it;
// the endpoint table then shows the new stage.
func (d *Duty) sendOrders(ctx context.Context, m Move, fence uint64) {
	var ordered []traffic.EndpointID
	for range m.Count {
		e, ok := d.Pools.Idlest(m.Service, m.From, ordered)
		if !ok || ctx.Err() != nil {
			return
		}
		ordered = append(ordered, e.ID)
		err := d.Engines.OrderStage(ctx, e, m.To, d.Self, fence)
		d.Log.Info("stage ordered", zap.String("service", m.Service), zap.String("endpoint", e.ID.Name), zap.Stringer("from", m.From),
			zap.Stringer("to", m.To), zap.Uint64("fence", fence), zap.Error(err))
		if !fault.Is(err, fault.Conflict) {
			d.Pools.Moving(e.ID)
		}
	}
}

// leaseAvailable reports whether this VM may acquire the lease: it is the last holder, or the
// stored lease of another VM has not changed for the lease time and the margin.
func (d *Duty) leaseAvailable(l Lease) bool {
	now := d.Clock.Now()
	if l.Version == 0 || l.Holder == d.Self {
		return true
	}
	if l != d.lastLease {
		d.lastLease, d.lastLeaseAt = l, now
	}
	return now.Sub(d.lastLeaseAt) >= d.LeaseTime+leaseMargin
}
