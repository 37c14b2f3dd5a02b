package rebalance

import (
	"context"
	"sync"
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
	// Era is the era of the store in which the lease was read. It rises when the store is restored
	// from a backup, which may lose the last acquisitions.
	Era uint64
}

// LeaseStore persists the lease.
type LeaseStore interface {
	ReadLease(ctx context.Context) (Lease, error)
	// AcquireLease writes next if the stored lease still has next.Version. It fails if the store is in
	// another era than next.Era.
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
	MarkChangingStage(e traffic.Endpoint)
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
	// leaderSince is when this VM became the leader, 0 if it is not. observed is set once it has read
	// the lease as the leader.
	leaderSince clock.Instant
	observed    bool

	mu sync.Mutex
	// era is the last known era of the store, eraKnownAt when it was first known.
	era        uint64
	eraKnownAt clock.Instant
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
	// observeDelay is how long a VM is the leader before it reads the lease for the first time.
	observeDelay = 2 * time.Second
	// fencesPerEra is the number of fencing tokens of an era of the store. As the tokens of an era are
	// above those of all earlier ones, none is used again if a restored store has lost the last one.
	fencesPerEra = 1 << 24
)

// SetStoreEra records the era of the store. In a new era the lease counts as lost.
func (r *Rebalancer) SetStoreEra(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.eraKnownAt != 0 && era <= r.era {
		return
	}
	r.era, r.eraKnownAt = era, r.Clock.Now()
	r.Log.Info("rebalancing lease lost with the store's previous era", zap.Uint64("era", era),
		zap.Duration("acquired_after", r.LeaseDuration+leaseMargin))
}

// storeEra returns the last known era of the store and for how long it has been known.
func (r *Rebalancer) storeEra() (era uint64, known time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era, r.Clock.Now().Sub(r.eraKnownAt)
}

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
		if !r.leads(now) {
			continue
		}
		r.observeLease(ctx, now)
		m, due := r.planner.NextMove(now)
		if !due || now.Before(retryAt) {
			continue
		}
		if err := r.move(ctx, m); err != nil {
			r.Log.Warn("engine not moved", zap.String("service", m.Service), zap.Stringer("to", m.To), zap.Error(err))
			retryAt = r.retryAt(r.Clock.Now())
		}
	}
}

// retryAt returns when to retry a move that failed now: after retryDelay, or earlier if the lease of
// another VM has expired by then.
func (r *Rebalancer) retryAt(now clock.Instant) clock.Instant {
	retry := now.Add(retryDelay)
	if expiry := r.lastLeaseAt.Add(r.LeaseDuration + leaseMargin); now.Before(expiry) {
		retry = min(retry, expiry)
	}
	return retry
}

// leads reports whether this VM is the leader, and records since when.
func (r *Rebalancer) leads(now clock.Instant) bool {
	switch {
	case !r.IsLeader():
		r.leaderSince, r.observed = 0, false
	case r.leaderSince == 0:
		r.leaderSince = now
	}
	return r.leaderSince != 0
}

// observeLease reads the lease once observeDelay after this VM became the leader. Otherwise the wait for
// the lease of the previous leader to expire would begin only when a move is due.
func (r *Rebalancer) observeLease(ctx context.Context, now clock.Instant) {
	if r.observed || now.Sub(r.leaderSince) < observeDelay {
		return
	}
	r.observed = true
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	lease, err := r.Store.ReadLease(ctx)
	if err != nil {
		r.Log.Warn("could not read the rebalancing lease; it is read when a move is due", zap.Error(err))
		return
	}
	available := r.leaseAvailable(lease)
	r.Log.Info("rebalancing lease read", zap.String("holder", lease.Holder), zap.Uint64("fence", lease.Fence), zap.Bool("available", available))
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
	next := Lease{Holder: r.Self, Fence: max(lease.Fence, lease.Era*fencesPerEra) + 1, Version: lease.Version, Era: lease.Era}
	if err := r.Store.AcquireLease(ctx, next); err != nil {
		return err
	}
	if took := r.Clock.Now().Sub(startedAt); took > orderTimeout {
		return fault.New(fault.Timeout, "no action needed: the move is retried", "acquiring the rebalancing lease timed out")
	}
	r.planner.StartCooldown(r.Clock.Now(), m.Service)
	r.sendOrders(ctx, m, next)
	return nil
}

// sendOrders sends the orders of a move while the lease is held.
func (r *Rebalancer) sendOrders(ctx context.Context, m Move, lease Lease) {
	var ordered []traffic.EndpointID
	for range m.Count {
		e, ok := r.Pools.LeastLoaded(m.Service, m.From, ordered)
		if era, _ := r.storeEra(); !ok || ctx.Err() != nil || era != lease.Era {
			return
		}
		ordered = append(ordered, e.ID)
		err := r.Engines.OrderStage(ctx, e, m.To, r.Self, lease.Fence)
		r.Log.Info("stage ordered", zap.String("service", m.Service), zap.String("endpoint", e.ID.Name), zap.Stringer("from", m.From),
			zap.Stringer("to", m.To), zap.Uint64("fence", lease.Fence), zap.Error(err))
		// Unless the engine rejected the order, it is assumed to change its stage: it may execute the
		// order although its response was lost. The endpoint table then shows the new stage.
		if !fault.Is(err, fault.Conflict) {
			r.Pools.MarkChangingStage(e)
		}
	}
}

// leaseAvailable reports whether this VM may acquire the lease: it is the last holder, or the
// stored lease of another VM has not changed for LeaseDuration and leaseMargin. For that long after
// the store was restored, another VM may still rely on an acquisition that the store has lost.
func (r *Rebalancer) leaseAvailable(l Lease) bool {
	r.SetStoreEra(l.Era)
	now := r.Clock.Now()
	if era, known := r.storeEra(); era != l.Era || known < r.LeaseDuration+leaseMargin {
		return false
	}
	if l.Version == 0 || l.Holder == r.Self {
		return true
	}
	if l != r.lastLease {
		r.lastLease, r.lastLeaseAt = l, now
	}
	return now.Sub(r.lastLeaseAt) >= r.LeaseDuration+leaseMargin
}
