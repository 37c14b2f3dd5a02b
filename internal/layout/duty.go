package layout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Lease is the right to give orders, as the store holds it.
type Lease struct {
	// Holder is the VM that took it last, empty if none did.
	Holder string
	// Fence is the fencing token of the last taking.
	Fence uint64
	// Version is the store's, for the conditional write; 0 if there is no lease yet.
	Version uint64
}

// Store keeps the lease.
type Store interface {
	ReadLease(ctx context.Context) (Lease, error)
	// TakeLease writes next if the store still holds a lease of that version.
	TakeLease(ctx context.Context, next Lease) error
}

// Engines takes orders.
type Engines interface {
	// OrderStage has an engine change its stage.
	OrderStage(ctx context.Context, e traffic.Endpoint, to traffic.Stage, holder string, fence uint64) error
}

// Pools shows how engines are used.
type Pools interface {
	Pools() map[string]Pool
	// Idlest gives the engine of a stage that is best taken away, of those not in except.
	Idlest(service string, stage traffic.Stage, except []traffic.EndpointID) (traffic.Endpoint, bool)
	// Moving is told of an engine that was sent an order and did not refuse it.
	Moving(id traffic.EndpointID)
}

// Duty is the goroutine that gives orders.
type Duty struct {
	Self    string
	Clock   clock.Clock
	Store   Store
	Engines Engines
	Pools   Pools
	// First reports whether this VM is the one that gives orders, of those that hear each other.
	First func() bool
	// LeaseTime is how long after the last order of another VM none may be given.
	LeaseTime time.Duration
	Log       *zap.Logger

	planner *Planner
	seen    Lease
	seenAt  clock.Instant
}

const (
	samplePeriod = 200 * time.Millisecond
	// orderTime bounds an order, from the taking of the lease to its sending: a VM that was
	// paused in between gives none.
	orderTime = 700 * time.Millisecond
	// leaseMargin is added to the time that another holder is given.
	leaseMargin = 1500 * time.Millisecond
	// retryTime is the pause after a step that failed.
	retryTime = 2 * time.Second
)

// Run gives orders until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	d.planner = NewPlanner()
	t := time.NewTicker(samplePeriod)
	defer t.Stop()
	var pausedUntil clock.Instant
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
		if !due || !d.First() || now.Before(pausedUntil) {
			continue
		}
		if err := d.move(ctx, m); err != nil {
			d.Log.Warn("engine not moved", zap.String("service", m.Service), zap.Stringer("to", m.To), zap.Error(err))
			pausedUntil = d.Clock.Now().Add(retryTime)
		}
	}
}

// move takes the lease and gives the order.
func (d *Duty) move(ctx context.Context, m Move) error {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	lease, err := d.Store.ReadLease(ctx)
	if err != nil {
		return err
	}
	if !d.free(lease) {
		return fault.New(fault.Conflict, "wait until the other VM's lease is over", "another vm gave the last order")
	}
	begun := d.Clock.Now()
	next := Lease{Holder: d.Self, Fence: lease.Fence + 1, Version: lease.Version}
	if err := d.Store.TakeLease(ctx, next); err != nil {
		return err
	}
	if took := d.Clock.Now().Sub(begun); took > orderTime {
		return fault.New(fault.Timeout, "none; the next sample decides anew", "the lease took too long")
	}
	d.planner.Settle(d.Clock.Now(), m.Service)
	d.order(ctx, m, next.Fence)
	return nil
}

// order gives the orders of a move. One that is not answered may still be carried out; the
// table of endpoints shows it.
func (d *Duty) order(ctx context.Context, m Move, fence uint64) {
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

// free reports whether an order may be given: this VM gave the last one, or the store's lease
// of another has not changed for long enough.
func (d *Duty) free(l Lease) bool {
	now := d.Clock.Now()
	if l.Version == 0 || l.Holder == d.Self {
		return true
	}
	if l != d.seen {
		d.seen, d.seenAt = l, now
	}
	return now.Sub(d.seenAt) >= d.LeaseTime+leaseMargin
}
