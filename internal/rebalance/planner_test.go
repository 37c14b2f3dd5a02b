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

func planMove(sample Utilization) (Move, bool) {
	p := NewPlanner()
	for range minSamplesToPrefill {
		p.AddSample("s", sample)
	}
	return p.NextMove(clock.Instant(time.Minute))
}

func TestPlannerMoves(t *testing.T) {
	for _, tc := range []struct {
		name   string
		sample Utilization
		to     traffic.Stage
		due    bool
	}{
		{"idle pools are unchanged", Utilization{Prefill: 5, Decode: 7}, 0, false},
		{"spare prefill engine moves to decode", Utilization{Prefill: 5, Decode: 7, Prefilling: 1, MemoryUse: 0.6}, traffic.Decode, true},
		{"busy prefill keeps its engines", Utilization{Prefill: 5, Decode: 7, Prefilling: 9, MemoryUse: 0.6}, 0, false},
		{"prefill keeps its minimum share", Utilization{Prefill: 4, Decode: 8, Prefilling: 0, MemoryUse: 0.9}, 0, false},
		{"overloaded prefill gets an engine from decode", Utilization{Prefill: 3, Decode: 9, Prefilling: 9, MemoryUse: 0.3}, traffic.Prefill, true},
		{"full decode keeps its engines", Utilization{Prefill: 3, Decode: 9, Prefilling: 9, MemoryUse: 0.9}, 0, false},
		{"decode keeps its minimum share", Utilization{Prefill: 7, Decode: 5, Prefilling: 30, MemoryUse: 0.1}, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, due := planMove(tc.sample)
			if due != tc.due || due && m.To != tc.to {
				t.Errorf("NextMove() = %+v, %v; want stage %s, %v", m, due, tc.to, tc.due)
			}
		})
	}
}

func TestLargePoolMovesSeveralEnginesAtOnce(t *testing.T) {
	if m, due := planMove(Utilization{Prefill: 12, Decode: 6, Prefilling: 1, MemoryUse: 0.9}); !due || m.Count != 18/largeMoveDivisor {
		t.Errorf("ratio of prefill to decode engines far off: NextMove() = %+v, %v", m, due)
	}
	if m, due := planMove(Utilization{Prefill: 40, Decode: 50, Prefilling: 40, MemoryUse: 0.5}); !due || m.Count != 90/moveDivisor {
		t.Errorf("ratio of prefill to decode engines slightly off: NextMove() = %+v, %v", m, due)
	}
	if m, due := planMove(Utilization{Prefill: 29, Decode: 61, Prefilling: 2, MemoryUse: 0.6}); !due || m.Count != 2 {
		t.Errorf("prefill close to its minimum share: NextMove() = %+v, %v", m, due)
	}
	c := &fakeCluster{clock: &manualClock{now: clock.Instant(time.Hour)}}
	if err := c.newRebalancer("a").move(t.Context(), Move{Service: "s", Count: 3}); err != nil || len(c.orders) != 3 || c.lease.Fence != 1 {
		t.Errorf("orders %+v, lease %+v, error %v", c.orders, c.lease, err)
	}
}

// TestPromptBurstAfterRestartMovesNoEngine checks that the burst of prompts that follows a restart
// does not move an engine from decode to prefill.
func TestPromptBurstAfterRestartMovesNoEngine(t *testing.T) {
	p := NewPlanner()
	for range minSamplesToPrefill - 1 {
		p.AddSample("s", Utilization{Prefill: 3, Decode: 9, Prefilling: 9, MemoryUse: 0.3})
		if m, due := p.NextMove(clock.Instant(time.Minute)); due {
			t.Fatalf("unexpected move %+v", m)
		}
	}
}

// TestLostPrefillEnginesAreReplaced removes two of three prefill engines under load. The prompts then
// queue at the last one, and decode memory is used so much that the ratio of the loads moves no engine.
func TestLostPrefillEnginesAreReplaced(t *testing.T) {
	p := NewPlanner()
	now := clock.Instant(time.Minute)
	for range minSamplesToPrefill {
		p.AddSample("s", Utilization{Prefill: 3, Decode: 6, Prefilling: 3, MemoryUse: 0.36})
	}
	if m, due := p.NextMove(now); due {
		t.Fatalf("unexpected move %+v before the loss", m)
	}
	samples := 0
	for due := false; !due && samples < 2*minSamples; samples++ {
		p.AddSample("s", Utilization{Prefill: 1, Decode: 6, Prefilling: 3, MemoryUse: 0.36})
		var m Move
		if m, due = p.NextMove(now); due && m.To != traffic.Prefill {
			t.Fatalf("move %+v, want one to prefill", m)
		}
	}
	if samples != minSamples {
		t.Errorf("move after %d samples, want %d", samples, minSamples)
	}
}

// TestNewLeaderWaitsForTheLeaseBeforeAMoveIsDue checks that a VM that has been the leader for a while
// can move engines at once, although the previous leader has not given back its lease.
func TestNewLeaderWaitsForTheLeaseBeforeAMoveIsDue(t *testing.T) {
	c := &fakeCluster{clock: &manualClock{now: clock.Instant(time.Hour)}}
	a, b := c.newRebalancer("a"), c.newRebalancer("b")
	b.IsLeader = func() bool { return true }
	m := Move{Service: "s", From: traffic.Decode, To: traffic.Prefill, Count: 1}
	if err := a.move(t.Context(), m); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		c.clock.now = c.clock.now.Add(samplePeriod)
		if b.leads(c.clock.now) {
			b.observeLease(t.Context(), c.clock.now)
		}
	}
	if err := b.move(t.Context(), m); err != nil {
		t.Errorf("the lease of the former leader has expired, but %v", err)
	}
}

func TestNoMoveDuringCooldown(t *testing.T) {
	p := NewPlanner()
	sample := Utilization{Prefill: 6, Decode: 6, MemoryUse: 0.7}
	now := clock.Instant(time.Minute)
	for range 2 * minSamples {
		p.AddSample("s", sample)
	}
	if _, due := p.NextMove(now); !due {
		t.Fatal("no move is due before the first one")
	}
	p.StartCooldown(now, "s")
	for range 2 * minSamples {
		p.AddSample("s", sample)
	}
	if _, due := p.NextMove(now.Add(moveCooldown - time.Millisecond)); due {
		t.Error("a move is due during the cooldown")
	}
	if _, due := p.NextMove(now.Add(moveCooldown)); !due {
		t.Error("no move is due after the cooldown")
	}
}

// fakeCluster implements a store with one lease, and engines that accept any order and of which one
// can always be moved.
type fakeCluster struct {
	lease Lease
	// era is the store's era.
	era    uint64
	orders []order
	moving []traffic.EndpointID
	// leaseDelay is how long AcquireLease takes.
	leaseDelay time.Duration
	clock      *manualClock
	// loseResponse makes AcquireLease write the lease but return an error, as if the response of the
	// store had been lost.
	loseResponse bool
}

type order struct {
	holder string
	fence  uint64
	at     clock.Instant
}

type manualClock struct{ now clock.Instant }

func (m *manualClock) Now() clock.Instant { return m.now }

func (c *fakeCluster) ReadLease(context.Context) (Lease, error) {
	l := c.lease
	l.Era = c.era
	return l, nil
}

func (c *fakeCluster) AcquireLease(_ context.Context, next Lease) error {
	if next.Version != c.lease.Version || next.Era != c.era {
		return errNotAcquired
	}
	next.Version++
	c.lease = next
	c.clock.now = c.clock.now.Add(c.leaseDelay)
	if c.loseResponse {
		return errNotAcquired
	}
	return nil
}

type testError string

func (e testError) Error() string { return string(e) }

const errNotAcquired = testError("lease not acquired")

func (c *fakeCluster) OrderStage(_ context.Context, _ traffic.Endpoint, _ traffic.Stage, holder string, fence uint64) error {
	c.orders = append(c.orders, order{holder, fence, c.clock.now})
	return nil
}

func (c *fakeCluster) Utilization() map[string]Utilization { return nil }

func (c *fakeCluster) LeastLoaded(_ string, _ traffic.Stage, except []traffic.EndpointID) (traffic.Endpoint, bool) {
	return traffic.Endpoint{ID: traffic.EndpointID{Name: fmt.Sprint(len(except))}}, true
}

func (c *fakeCluster) MarkChangingStage(e traffic.Endpoint) { c.moving = append(c.moving, e.ID) }

func (c *fakeCluster) newRebalancer(name string) *Rebalancer {
	r := &Rebalancer{Self: name, Clock: c.clock, Store: c, Engines: c, Pools: c, LeaseDuration: 3 * time.Second, Log: zap.NewNop(), planner: NewPlanner()}
	r.eraKnownAt = c.clock.now.Add(-time.Minute)
	return r
}

// TestOnlyOneHolderAtATime checks that a second VM waits for the lease of the first to expire, and
// that fencing tokens increase.
func TestOnlyOneHolderAtATime(t *testing.T) {
	c := &fakeCluster{clock: &manualClock{now: clock.Instant(time.Hour)}}
	a, b := c.newRebalancer("a"), c.newRebalancer("b")
	m := Move{Service: "s", From: traffic.Prefill, To: traffic.Decode, Count: 1}
	if err := a.move(t.Context(), m); err != nil {
		t.Fatal(err)
	}
	if len(c.moving) != 1 {
		t.Errorf("engines marked as changing their stage: %v, want one", c.moving)
	}
	for b.move(t.Context(), m) != nil {
		c.clock.now = c.clock.now.Add(100 * time.Millisecond)
	}
	if err := a.move(t.Context(), m); err == nil {
		t.Error("the first VM sent an order during the lease of the second")
	}
	if len(c.orders) != 2 || c.orders[1].at.Sub(c.orders[0].at) < 3*time.Second || c.orders[1].fence <= c.orders[0].fence {
		t.Errorf("orders %+v", c.orders)
	}
}

// TestNoOrderAfterPauseDuringAcquisition checks that a VM that was paused while it acquired the
// lease sends no orders.
func TestNoOrderAfterPauseDuringAcquisition(t *testing.T) {
	c := &fakeCluster{clock: &manualClock{now: clock.Instant(time.Hour)}, leaseDelay: 5 * time.Second}
	if err := c.newRebalancer("a").move(t.Context(), Move{Service: "s", Count: 1}); err == nil || len(c.orders) != 0 {
		t.Errorf("error %v, orders %+v", err, c.orders)
	}
}

// TestNoOrderWithoutLeaseConfirmation checks that a VM sends no orders if the response to its lease
// write was lost.
func TestNoOrderWithoutLeaseConfirmation(t *testing.T) {
	c := &fakeCluster{clock: &manualClock{now: clock.Instant(time.Hour)}, loseResponse: true}
	if err := c.newRebalancer("a").move(t.Context(), Move{Service: "s", Count: 1}); err == nil || len(c.orders) != 0 {
		t.Errorf("error %v, orders %+v", err, c.orders)
	}
}
