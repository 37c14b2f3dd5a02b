package placement

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

// orderHarness is a Cell whose endpoints execute its orders and report the effect.
type orderHarness struct {
	*cellHarness
	loads  map[string]endpoint.Load
	orders []OrderAction
}

func newOrderHarness(t *testing.T, prefills, decodes, slots int) *orderHarness {
	t.Helper()
	endpoints := testEndpoints(prefills, decodes, slots)
	h := &orderHarness{loads: map[string]endpoint.Load{}}
	for name, e := range endpoints {
		e.Slots = slots
		endpoints[name] = e
		h.loads[name] = endpoint.Load{Role: string(e.Role)}
	}
	h.cellHarness = newCellHarness(PolicyPredictive, endpoints)
	h.cell.EnableOrders()
	h.reportLoads(t)
	return h
}

func (h *orderHarness) reportLoads(t *testing.T) {
	for name, l := range h.loads {
		h.step(t, LoadInput{Endpoint: name, Load: l})
	}
}

// advance runs ticks for d and executes the orders that result. It calls each after every tick.
func (h *orderHarness) advance(t *testing.T, d time.Duration, each func()) {
	for until := h.now.Add(d); h.now < until; {
		h.now = h.now.Add(TickPeriod)
		for _, a := range slices.Clone(h.cell.Step(h.now, TickInput{})) {
			if a.Decision != nil {
				h.recordDecision(t, a.Decision)
			}
			if a.Order != nil {
				h.execute(t, *a.Order)
			}
		}
		if each != nil {
			each()
		}
		h.checkInvariants(t)
	}
}

func (h *orderHarness) execute(t *testing.T, a OrderAction) {
	h.orders = append(h.orders, a)
	l := h.loads[a.Endpoint]
	switch a.Action {
	case orderLoadAdapter:
		l.Adapters = append(slices.Clone(l.Adapters), a.Target)
	case orderUnloadAdapter:
		l.Adapters = slices.DeleteFunc(slices.Clone(l.Adapters), func(s string) bool { return s == a.Target })
	case orderSetRole:
		if n := h.cell.replicas[a.Endpoint].claimCount(); n != 0 {
			t.Fatalf("%s was ordered to change its role with %d claims", a.Endpoint, n)
		}
		l.Role = a.Target
	}
	h.loads[a.Endpoint] = l
	h.step(t, OrderDoneInput{Endpoint: a.Endpoint})
	h.reportLoads(t)
}

func TestAdaptersAreLoadedOnDemand(t *testing.T) {
	h := newOrderHarness(t, 3, 3, 4)
	for seq := range uint64(8) {
		plain := benchRequest(10 + seq)
		h.pending[plain.ID] = plain
		h.step(t, PlaceInput{Request: plain})
		h.step(t, CancelInput{ID: plain.ID})
		delete(h.pending, plain.ID)
		delete(h.placed, plain.ID)
	}
	urgent, mayWait := benchRequest(1), benchRequest(2)
	urgent.Adapter, mayWait.Adapter = "style", "style"
	mayWait.Class = configuration.MayWait
	h.pending[urgent.ID], h.pending[mayWait.ID] = urgent, mayWait
	h.step(t, PlaceInput{Request: urgent})
	if !h.refused[urgent.ID] {
		t.Fatal("urgent request was not refused although no endpoint has its adapter")
	}
	h.step(t, PlaceInput{Request: mayWait})
	h.advance(t, 5*time.Second, nil)
	if _, placed := h.placed[mayWait.ID]; !placed {
		t.Fatal("request that may wait was not placed after its adapter was loaded")
	}
	loaded := map[configuration.Role]int{}
	for _, a := range h.orders {
		if a.Action != orderLoadAdapter || a.Target != "style" {
			t.Fatalf("unexpected order %+v", a)
		}
		loaded[h.endpoints[a.Endpoint].Role]++
	}
	if loaded[configuration.RolePrefill] != minAdapterCopies || loaded[configuration.RoleDecode] != minAdapterCopies {
		t.Fatalf("adapter loads per role: %v, want %d for each role", loaded, minAdapterCopies)
	}
}

// fillDecodeSlots claims every free decode slot while the prefill endpoints are idle.
func (h *orderHarness) fillDecodeSlots(t *testing.T) {
	for i := 0; h.cell.status().Claims < h.decodeSlotCount(); i++ {
		h.seq++
		r := benchRequest(h.seq)
		for _, e := range h.cell.roles[1].usable {
			if len(e.decode.claims) < e.config.Slots {
				in := RestoreInput{Request: r, Assignment: Assignment{Prefill: "p0", Decode: e.name}, Stage: StageTransferDone}
				h.placed[r.ID] = r
				h.step(t, in)
				break
			}
		}
	}
}

func (h *orderHarness) decodeSlotCount() int {
	n := 0
	for _, e := range h.cell.roles[1].usable {
		n += e.config.Slots
	}
	return n
}

func TestRoleChangesAfterSustainedShortage(t *testing.T) {
	h := newOrderHarness(t, 3, 2, 4)
	full := func() { h.fillDecodeSlots(t) }
	h.advance(t, shortageTime-time.Second, full)
	if len(h.orders) != 0 {
		t.Fatalf("ordered %v before the shortage had lasted for shortageTime", h.orders)
	}
	h.advance(t, utilizationWindow*4, full)
	if len(h.orders) != 1 || h.orders[0].Action != orderSetRole || h.orders[0].Target != string(configuration.RoleDecode) {
		t.Fatalf("got orders %+v, want one that changes an endpoint's role to decode", h.orders)
	}
	h.advance(t, roleCooldown-utilizationWindow*5, full)
	if len(h.orders) != 1 {
		t.Fatalf("another role change was ordered within the cooldown: %+v", h.orders)
	}
}

func TestBriefShortageDoesNotChangeRole(t *testing.T) {
	h := newOrderHarness(t, 3, 2, 4)
	for range 10 {
		h.advance(t, shortageTime/2, func() { h.fillDecodeSlots(t) })
		for id := range h.placed {
			h.step(t, ProgressInput{ID: id, Stage: StageReleased})
			delete(h.placed, id)
		}
		h.advance(t, shortageTime/2, nil)
	}
	if len(h.orders) != 0 {
		t.Fatalf("got orders %+v, want none", h.orders)
	}
}

// fakeStore is a platform store with one object. It can apply a write but lose the response.
type fakeStore struct {
	objectstore.Store
	object           objectstore.Object
	loseNextResponse bool
}

func (s *fakeStore) Get(context.Context, string) (objectstore.Object, error) {
	if s.object.Version == 0 {
		return objectstore.Object{}, fault.New(fault.NotFound, "create the object", "object not found")
	}
	return s.object, nil
}

func (s *fakeStore) Put(_ context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	if s.object.Version != ifVersion {
		return 0, fault.New(fault.Conflict, "read the object again", "object version differs")
	}
	s.object = objectstore.Object{Name: name, Version: ifVersion + 1, Value: value}
	if s.loseNextResponse {
		s.loseNextResponse = false
		return 0, fault.New(fault.Unavailable, "read the object again", "response lost")
	}
	return s.object.Version, nil
}

type fakeClock struct{ now clock.Instant }

func (c *fakeClock) Now() clock.Instant { return c.now }

// For an endpoint that ignores fencing tokens, no order may arrive after an order sent under a
// later claim, although holders change at any time and orders may take up to orderTimeout to
// arrive. For an endpoint that checks them, each new holder must have a token of its own.
func TestOrdersOfTwoHoldersDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st, clk := &fakeStore{}, &fakeClock{now: 1}
		var holders []*orderFence
		for i := range 3 {
			holders = append(holders, &orderFence{store: st, clock: clk, object: "fence/c", self: fmt.Sprintf("v%d", i)})
		}
		// lastArrival is the latest possible arrival of the orders sent under each fencing token.
		lastArrival := map[uint64]clock.Instant{}
		owner := map[uint64]int{}
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "holder")
				checks := rapid.Bool().Draw(t, "checks")
				fence, err := holders[i].acquire(context.Background(), checks)
				if err != nil {
					return
				}
				if holder, known := owner[fence]; known && holder != i {
					t.Fatalf("fencing token %d was issued to two holders", fence)
				}
				owner[fence] = i
				if checks {
					return
				}
				for earlier, at := range lastArrival {
					if owner[earlier] != i && at > clk.now {
						t.Fatalf("order with fencing token %d may still be in flight when one with token %d is sent", earlier, fence)
					}
				}
				lastArrival[fence] = clk.now.Add(orderTimeout)
			},
			"loseAnswer": func(*rapid.T) { st.loseNextResponse = true },
			"time": func(t *rapid.T) {
				clk.now = clk.now.Add(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "millis")) * time.Millisecond)
			},
		})
	})
}
