package rebalance

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

func planMove(pool Pool) (Move, bool) {
	p := NewPlanner()
	for range minSamplesToPrefill {
		p.AddSample("s", pool)
	}
	return p.NextMove(clock.Instant(time.Minute))
}

func TestPlannerMoves(t *testing.T) {
	for _, tc := range []struct {
		name string
		pool Pool
		to   traffic.Stage
		due  bool
	}{
		{"idle pools are unchanged", Pool{Prefill: 5, Decode: 7}, 0, false},
		{"spare prefill engine moves to decode", Pool{Prefill: 5, Decode: 7, Prefilling: 1, MemoryUse: 0.6}, traffic.Decode, true},
		{"busy prefill keeps its engines", Pool{Prefill: 5, Decode: 7, Prefilling: 9, MemoryUse: 0.6}, 0, false},
		{"prefill keeps its minimum share", Pool{Prefill: 4, Decode: 8, Prefilling: 0, MemoryUse: 0.9}, 0, false},
		{"overloaded prefill gets an engine from decode", Pool{Prefill: 3, Decode: 9, Prefilling: 9, MemoryUse: 0.3}, traffic.Prefill, true},
		{"full decode keeps its engines", Pool{Prefill: 3, Decode: 9, Prefilling: 9, MemoryUse: 0.9}, 0, false},
		{"decode keeps its minimum share", Pool{Prefill: 7, Decode: 5, Prefilling: 30, MemoryUse: 0.1}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, due := planMove(tc.pool)
			if due != tc.due || due && m.To != tc.to {
				t.Errorf("Next() = %+v, %v; want stage %s, %v", m, due, tc.to, tc.due)
			}
		})
	}
}

func TestLargePoolMovesSeveralEnginesAtOnce(t *testing.T) {
	if m, due := planMove(Pool{Prefill: 12, Decode: 6, Prefilling: 1, MemoryUse: 0.9}); !due || m.Count != 18/enginesPerLargeMove {
		t.Errorf("layout far out of proportion: Next() = %+v, %v", m, due)
	}
	if m, due := planMove(Pool{Prefill: 40, Decode: 50, Prefilling: 40, MemoryUse: 0.5}); !due || m.Count != 90/enginesPerMove {
		t.Errorf("layout slightly out of proportion: Next() = %+v, %v", m, due)
	}
	if m, due := planMove(Pool{Prefill: 29, Decode: 61, Prefilling: 2, MemoryUse: 0.6}); !due || m.Count != 2 {
		t.Errorf("prefill close to its minimum share: Next() = %+v, %v", m, due)
	}
	w := &fakeCluster{clock: &manualClock{now: clock.Instant(time.Hour)}}
	if err := w.newRebalancer("a").move(t.Context(), Move{Service: "s", Count: 3}); err != nil || len(w.orders) != 3 || w.lease.Fence != 1 {
		t.Errorf("orders %+v, lease %+v, error %v", w.orders, w.lease, err)
	}
}

// TestPromptBurstAfterRestartMovesNoEngine checks that the burst of prompts that follows a restart
// does not move an engine from decode to prefill.
func TestPromptBurstAfterRestartMovesNoEngine(t *testing.T) {
	p := NewPlanner()
	for range minSamplesToPrefill - 1 {
		p.AddSample("s", Pool{Prefill: 3, Decode: 9, Prefilling: 9, MemoryUse: 0.3})
		if m, due := p.NextMove(clock.Instant(time.Minute)); due {
			t.Fatalf("unexpected move %+v", m)
		}
	}
}

func TestNoMoveDuringCooldown(t *testing.T) {
	p := NewPlanner()
	pool := Pool{Prefill: 6, Decode: 6, MemoryUse: 0.7}
	now := clock.Instant(time.Minute)
	for range 2 * minSamples {
		p.AddSample("s", pool)
	}
	if _, due := p.NextMove(now); !due {
		t.Fatal("no move is due before the first one")
	}
	p.StartCooldown(now, "s")
	for range 2 * minSamples {
		p.AddSample("s", pool)
	}
	if _, due := p.NextMove(now.Add(moveCooldown - time.Millisecond)); due {
		t.Error("a move is due during the cooldown")
	}
	if _, due := p.NextMove(now.Add(moveCooldown)); !due {
		t.Error("no move is due after the cooldown")
	}
}

// fakeCluster implements a store with one lease, engines that accept any order, and pools that
// always have an engine to move.
type fakeCluster struct {
	lease  Lease
	orders []order
	moving []traffic.EndpointID
	// leaseDelay is how long TakeLease takes.
	leaseDelay time.Duration
	clock      *manualClock
	// loseAnswer makes TakeLease return an error after it has written the lease.
	loseAnswer bool
}

type order struct {
	holder string
	fence  uint64
	at     clock.Instant
}

type manualClock struct{ now clock.Instant }

func (m *manualClock) Now() clock.Instant { return m.now }

func (w *fakeCluster) ReadLease(context.Context) (Lease, error) { return w.lease, nil }

func (w *fakeCluster) AcquireLease(_ context.Context, next Lease) error {
	if next.Version != w.lease.Version {
		return errConflict
	}
	next.Version++
	w.lease = next
	w.clock.now = w.clock.now.Add(w.leaseDelay)
	if w.loseAnswer {
		return errConflict
	}
	return nil
}

type testError string

func (e testError) Error() string { return string(e) }

const errConflict = testError("conflict")

func (w *fakeCluster) OrderStage(_ context.Context, _ traffic.Endpoint, _ traffic.Stage, holder string, fence uint64) error {
	w.orders = append(w.orders, order{holder, fence, w.clock.now})
	return nil
}

func (w *fakeCluster) Pools() map[string]Pool { return nil }

func (w *fakeCluster) LeastLoaded(_ string, _ traffic.Stage, except []traffic.EndpointID) (traffic.Endpoint, bool) {
	return traffic.Endpoint{ID: traffic.EndpointID{Name: fmt.Sprint(len(except))}}, true
}

func (w *fakeCluster) MarkChangingStage(id traffic.EndpointID) { w.moving = append(w.moving, id) }

func (w *fakeCluster) newRebalancer(name string) *Rebalancer {
	return &Rebalancer{Self: name, Clock: w.clock, Store: w, Engines: w, Pools: w, LeaseDuration: 3 * time.Second, Log: zap.NewNop(), planner: NewPlanner()}
}

// TestOnlyOneHolderAtATime checks that a second VM waits for the lease of the first to expire, and
// that fencing tokens increase.
func TestOnlyOneHolderAtATime(t *testing.T) {
	w := &fakeCluster{clock: &manualClock{now: clock.Instant(time.Hour)}}
	a, b := w.newRebalancer("a"), w.newRebalancer("b")
	m := Move{Service: "s", From: traffic.Prefill, To: traffic.Decode, Count: 1}
	if err := a.move(t.Context(), m); err != nil {
		t.Fatal(err)
	}
	if len(w.moving) != 1 {
		t.Errorf("engines marked as moving: %v, want one", w.moving)
	}
	for b.move(t.Context(), m) != nil {
		w.clock.now = w.clock.now.Add(100 * time.Millisecond)
	}
	if err := a.move(t.Context(), m); err == nil {
		t.Error("the first VM sent an order during the lease of the second")
	}
	if len(w.orders) != 2 || w.orders[1].at.Sub(w.orders[0].at) < 3*time.Second || w.orders[1].fence <= w.orders[0].fence {
		t.Errorf("orders %+v", w.orders)
	}
}

// TestNoOrderAfterPauseDuringAcquisition checks that a VM that was paused while it acquired the
// lease sends no orders.
func TestNoOrderAfterPauseDuringAcquisition(t *testing.T) {
	w := &fakeCluster{clock: &manualClock{now: clock.Instant(time.Hour)}, leaseDelay: 5 * time.Second}
	if err := w.newRebalancer("a").move(t.Context(), Move{Service: "s", Count: 1}); err == nil || len(w.orders) != 0 {
		t.Errorf("error %v, orders %+v", err, w.orders)
	}
}

// TestNoOrderWithoutLeaseConfirmation checks that a VM sends no orders if the answer to its lease
// write was lost.
func TestNoOrderWithoutLeaseConfirmation(t *testing.T) {
	w := &fakeCluster{clock: &manualClock{now: clock.Instant(time.Hour)}, loseAnswer: true}
	if err := w.newRebalancer("a").move(t.Context(), Move{Service: "s", Count: 1}); err == nil || len(w.orders) != 0 {
		t.Errorf("error %v, orders %+v", err, w.orders)
	}
}
