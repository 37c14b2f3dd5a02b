package layout

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

func planned(pool Pool) (Move, bool) {
	p := NewPlanner()
	for range minBackSamples {
		p.Sample("s", pool)
	}
	return p.Next(clock.Instant(time.Minute))
}

func TestMoves(t *testing.T) {
	for _, tc := range []struct {
		name string
		pool Pool
		to   traffic.Stage
		due  bool
	}{
		{"idle pools stay", Pool{Prefill: 5, Decode: 7}, 0, false},
		{"spare prefill goes to decode", Pool{Prefill: 5, Decode: 7, Reading: 1, Memory: 0.6}, traffic.Decode, true},
		{"busy prefill stays", Pool{Prefill: 5, Decode: 7, Reading: 9, Memory: 0.6}, 0, false},
		{"prefill keeps its floor", Pool{Prefill: 4, Decode: 8, Reading: 0, Memory: 0.9}, 0, false},
		{"crowded prefill gets one back", Pool{Prefill: 3, Decode: 9, Reading: 9, Memory: 0.3}, traffic.Prefill, true},
		{"full decode gives none back", Pool{Prefill: 3, Decode: 9, Reading: 9, Memory: 0.9}, 0, false},
		{"decode keeps its floor", Pool{Prefill: 7, Decode: 5, Reading: 30, Memory: 0.1}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, due := planned(tc.pool)
			if due != tc.due || due && m.To != tc.to {
				t.Errorf("move %+v due %v, want %s due %v", m, due, tc.to, tc.due)
			}
		})
	}
}

func TestALargePoolMovesSeveralAtOnce(t *testing.T) {
	if m, due := planned(Pool{Prefill: 12, Decode: 6, Reading: 1, Memory: 0.9}); !due || m.Count != 18/enginesABigMove {
		t.Errorf("far out of proportion: move %+v due %v", m, due)
	}
	if m, due := planned(Pool{Prefill: 40, Decode: 50, Reading: 40, Memory: 0.5}); !due || m.Count != 90/enginesAMove {
		t.Errorf("move %+v due %v", m, due)
	}
	if m, due := planned(Pool{Prefill: 29, Decode: 61, Reading: 2, Memory: 0.6}); !due || m.Count != 2 {
		t.Errorf("near its floor: move %+v due %v", m, due)
	}
	w := &world{clock: &manual{now: clock.Instant(time.Hour)}}
	if err := w.duty("a").move(t.Context(), Move{Service: "s", Count: 3}); err != nil || len(w.orders) != 3 || w.lease.Fence != 1 {
		t.Errorf("orders %+v, lease %+v, error %v", w.orders, w.lease, err)
	}
}

// TestDecodeGivesNothingAwaySoon shows that a rush of prompts after a restart moves no engine.
func TestDecodeGivesNothingAwaySoon(t *testing.T) {
	p := NewPlanner()
	for range minBackSamples - 1 {
		p.Sample("s", Pool{Prefill: 3, Decode: 9, Reading: 9, Memory: 0.3})
		if m, due := p.Next(clock.Instant(time.Minute)); due {
			t.Fatalf("move %+v", m)
		}
	}
}

func TestNoMoveBeforeTheLastHasSettled(t *testing.T) {
	p := NewPlanner()
	pool := Pool{Prefill: 6, Decode: 6, Memory: 0.7}
	now := clock.Instant(time.Minute)
	for range 2 * minSamples {
		p.Sample("s", pool)
	}
	if _, due := p.Next(now); !due {
		t.Fatal("no move is due")
	}
	p.Settle(now, "s")
	for range 2 * minSamples {
		p.Sample("s", pool)
	}
	if _, due := p.Next(now.Add(settleTime - time.Millisecond)); due {
		t.Error("a move is due before the last one has settled")
	}
	if _, due := p.Next(now.Add(settleTime)); !due {
		t.Error("no move is due after the last one has settled")
	}
}

// world is a store with one lease, engines that take any order, and pools out of proportion.
type world struct {
	lease  Lease
	orders []order
	moving []traffic.EndpointID
	slow   time.Duration
	clock  *manual
	lost   bool
}

type order struct {
	holder string
	fence  uint64
	at     clock.Instant
}

type manual struct{ now clock.Instant }

func (m *manual) Now() clock.Instant { return m.now }

func (w *world) ReadLease(context.Context) (Lease, error) { return w.lease, nil }

func (w *world) TakeLease(_ context.Context, next Lease) error {
	if next.Version != w.lease.Version {
		return errTest
	}
	next.Version++
	w.lease = next
	w.clock.now = w.clock.now.Add(w.slow)
	if w.lost {
		return errTest
	}
	return nil
}

type testError string

func (e testError) Error() string { return string(e) }

const errTest = testError("conflict")

func (w *world) OrderStage(_ context.Context, _ traffic.Endpoint, _ traffic.Stage, holder string, fence uint64) error {
	w.orders = append(w.orders, order{holder, fence, w.clock.now})
	return nil
}

func (w *world) Pools() map[string]Pool { return nil }

func (w *world) Idlest(_ string, _ traffic.Stage, except []traffic.EndpointID) (traffic.Endpoint, bool) {
	return traffic.Endpoint{ID: traffic.EndpointID{Name: fmt.Sprint(len(except))}}, true
}

func (w *world) Moving(id traffic.EndpointID) { w.moving = append(w.moving, id) }

func (w *world) duty(name string) *Duty {
	return &Duty{Self: name, Clock: w.clock, Store: w, Engines: w, Pools: w, LeaseTime: 3 * time.Second, Log: zap.NewNop(), planner: NewPlanner()}
}

// TestOneHolderAtATime shows that a second VM waits for the lease of the first, and that fences
// only grow.
func TestOneHolderAtATime(t *testing.T) {
	w := &world{clock: &manual{now: clock.Instant(time.Hour)}}
	a, b := w.duty("a"), w.duty("b")
	m := Move{Service: "s", From: traffic.Prefill, To: traffic.Decode, Count: 1}
	if err := a.move(t.Context(), m); err != nil {
		t.Fatal(err)
	}
	if len(w.moving) != 1 {
		t.Errorf("moving: %v", w.moving)
	}
	for b.move(t.Context(), m) != nil {
		w.clock.now = w.clock.now.Add(100 * time.Millisecond)
	}
	if err := a.move(t.Context(), m); err == nil {
		t.Error("the first VM gave an order during the lease of the second")
	}
	if len(w.orders) != 2 || w.orders[1].at.Sub(w.orders[0].at) < 3*time.Second || w.orders[1].fence <= w.orders[0].fence {
		t.Errorf("orders %+v", w.orders)
	}
}

// TestNoOrderAfterAPause shows that a VM that stood still while it took the lease gives none.
func TestNoOrderAfterAPause(t *testing.T) {
	w := &world{clock: &manual{now: clock.Instant(time.Hour)}, slow: 5 * time.Second}
	if err := w.duty("a").move(t.Context(), Move{Service: "s", Count: 1}); err == nil || len(w.orders) != 0 {
		t.Errorf("error %v, orders %+v", err, w.orders)
	}
}

// TestNoOrderWithoutTheLeasesAnswer shows that a write whose answer is lost gives no right.
func TestNoOrderWithoutTheLeasesAnswer(t *testing.T) {
	w := &world{clock: &manual{now: clock.Instant(time.Hour)}, lost: true}
	if err := w.duty("a").move(t.Context(), Move{Service: "s", Count: 1}); err == nil || len(w.orders) != 0 {
		t.Errorf("error %v, orders %+v", err, w.orders)
	}
}
