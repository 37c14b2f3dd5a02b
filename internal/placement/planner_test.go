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

// orderedCell is a Cell whose endpoints carry out its orders and report the effect.
type orderedCell struct {
	*cellModel
	loads  map[string]endpoint.Load
	orders []OrderAction
}

func newOrderedCell(t *testing.T, prefills, decodes, slots int) *orderedCell {
	t.Helper()
	endpoints := testEndpoints(prefills, decodes, slots)
	o := &orderedCell{loads: map[string]endpoint.Load{}}
	for name, e := range endpoints {
		e.Slots = slots
		endpoints[name] = e
		o.loads[name] = endpoint.Load{Role: string(e.Role)}
	}
	o.cellModel = newCellModel(PolicyPredictive, endpoints)
	o.cell.AllowOrders()
	o.report(t)
	return o
}

func (o *orderedCell) report(t *testing.T) {
	for name, l := range o.loads {
		o.step(t, LoadInput{Endpoint: name, Load: l})
	}
}

// pass lets time pass with a tick and collects orders; reports come each 100 ms.
func (o *orderedCell) pass(t *testing.T, d time.Duration, each func()) {
	for until := o.now.Add(d); o.now < until; {
		o.now = o.now.Add(TickPeriod)
		for _, a := range slices.Clone(o.cell.Step(o.now, TickInput{})) {
			if a.Decision != nil {
				o.decided(t, a.Decision)
			}
			if a.Order != nil {
				o.obey(t, *a.Order)
			}
		}
		if each != nil {
			each()
		}
		o.check(t)
	}
}

func (o *orderedCell) obey(t *testing.T, a OrderAction) {
	o.orders = append(o.orders, a)
	l := o.loads[a.Endpoint]
	switch a.Name {
	case orderLoadAdapter:
		l.Adapters = append(slices.Clone(l.Adapters), a.Target)
	case orderUnloadAdapter:
		l.Adapters = slices.DeleteFunc(slices.Clone(l.Adapters), func(s string) bool { return s == a.Target })
	case orderSetRole:
		if n := o.cell.byName[a.Endpoint].claims(); n != 0 {
			t.Fatalf("%s was ordered to change its role with %d claims", a.Endpoint, n)
		}
		l.Role = a.Target
	}
	o.loads[a.Endpoint] = l
	o.step(t, OrderDoneInput{Endpoint: a.Endpoint})
	o.report(t)
}

func TestAdaptersAreLoadedWhereDemandIs(t *testing.T) {
	o := newOrderedCell(t, 3, 3, 4)
	for seq := range uint64(8) {
		plain := benchRequest(10 + seq)
		o.open[plain.ID] = plain
		o.step(t, PlaceInput{Request: plain})
		o.step(t, CancelInput{ID: plain.ID})
		delete(o.open, plain.ID)
		delete(o.placed, plain.ID)
	}
	urgent, patient := benchRequest(1), benchRequest(2)
	urgent.Adapter, patient.Adapter = "style", "style"
	patient.Class = configuration.MayWait
	o.open[urgent.ID], o.open[patient.ID] = urgent, patient
	o.step(t, PlaceInput{Request: urgent})
	if !o.refused[urgent.ID] {
		t.Fatal("urgent work was not refused although no endpoint has its adapter")
	}
	o.step(t, PlaceInput{Request: patient})
	o.pass(t, 5*time.Second, nil)
	if _, placed := o.placed[patient.ID]; !placed {
		t.Fatal("work that may wait was not placed once its adapter was loaded")
	}
	loaded := map[configuration.Role]int{}
	for _, a := range o.orders {
		if a.Name != orderLoadAdapter || a.Target != "style" {
			t.Fatalf("unexpected order %+v", a)
		}
		loaded[o.endpoints[a.Endpoint].Role]++
	}
	if loaded[configuration.RolePrefill] != minAdapterCopies || loaded[configuration.RoleDecode] != minAdapterCopies {
		t.Fatalf("loaded %v, want %d of each role", loaded, minAdapterCopies)
	}
}

// fill keeps every decode slot claimed while prefill endpoints are idle.
func (o *orderedCell) fill(t *testing.T) {
	for i := 0; o.cell.status().Claims < o.slots(); i++ {
		o.seq++
		r := benchRequest(o.seq)
		for _, e := range o.cell.roles[1].usable {
			if len(e.decode.claims) < e.conf.Slots {
				in := RestoreInput{Request: r, Assignment: Assignment{Prefill: "p0", Decode: e.name}, Stage: StageTransferDone}
				o.placed[r.ID] = r
				o.step(t, in)
				break
			}
		}
	}
}

func (o *orderedCell) slots() int {
	n := 0
	for _, e := range o.cell.roles[1].usable {
		n += e.conf.Slots
	}
	return n
}

func TestRoleChangesOnceAShortageHasLasted(t *testing.T) {
	o := newOrderedCell(t, 3, 2, 4)
	full := func() { o.fill(t) }
	o.pass(t, pressureTime-time.Second, full)
	if len(o.orders) != 0 {
		t.Fatalf("ordered %v before the shortage had lasted", o.orders)
	}
	o.pass(t, useTime*4, full)
	if len(o.orders) != 1 || o.orders[0].Name != orderSetRole || o.orders[0].Target != string(configuration.RoleDecode) {
		t.Fatalf("got %+v, want one endpoint to become decode", o.orders)
	}
	o.pass(t, roleCooldown-useTime*5, full)
	if len(o.orders) != 1 {
		t.Fatalf("changed again within the cooldown: %+v", o.orders)
	}
}

func TestBriefShortagesChangeNoRole(t *testing.T) {
	o := newOrderedCell(t, 3, 2, 4)
	for range 10 {
		o.pass(t, pressureTime/2, func() { o.fill(t) })
		for id := range o.placed {
			o.step(t, ProgressInput{ID: id, Stage: StageReleased})
			delete(o.placed, id)
		}
		o.pass(t, pressureTime/2, nil)
	}
	if len(o.orders) != 0 {
		t.Fatalf("got %+v, want none", o.orders)
	}
}

// store is a platform with one object. The answer of a write may be lost.
type store struct {
	objectstore.Store
	object   objectstore.Object
	loseNext bool
}

func (s *store) Get(context.Context, string) (objectstore.Object, error) {
	if s.object.Version == 0 {
		return objectstore.Object{}, fault.New(fault.NotFound, "write it", "no such object")
	}
	return s.object, nil
}

func (s *store) Put(_ context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	if s.object.Version != ifVersion {
		return 0, fault.New(fault.Conflict, "read it again", "version differs")
	}
	s.object = objectstore.Object{Name: name, Version: ifVersion + 1, Value: value}
	if s.loseNext {
		s.loseNext = false
		return 0, fault.New(fault.Unavailable, "read it again", "answer lost")
	}
	return s.object.Version, nil
}

type fakeClock struct{ now clock.Instant }

func (c *fakeClock) Now() clock.Instant { return c.now }

// At an endpoint that ignores fencing numbers no order arrives after one of a later claim,
// although holders change at any time and orders take up to orderLimit to arrive. At one that
// checks them, a later claim always has a higher number.
func TestOrdersOfTwoHoldersNeverCross(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st, time0 := &store{}, &fakeClock{now: 1}
		var holders []*fencer
		for i := range 3 {
			holders = append(holders, &fencer{store: st, clock: time0, object: "fence/c", self: fmt.Sprintf("v%d", i)})
		}
		// arrives is the latest arrival of the orders given under each number.
		arrives := map[uint64]clock.Instant{}
		owner := map[uint64]int{}
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "holder")
				checks := rapid.Bool().Draw(t, "checks")
				fence, err := holders[i].hold(context.Background(), checks)
				if err != nil {
					return
				}
				if by, known := owner[fence]; known && by != i {
					t.Fatalf("number %d was given to two holders", fence)
				}
				owner[fence] = i
				if checks {
					return
				}
				for earlier, at := range arrives {
					if owner[earlier] != i && at > time0.now {
						t.Fatalf("an order under %d may still arrive when one under %d is given", earlier, fence)
					}
				}
				arrives[fence] = time0.now.Add(orderLimit)
			},
			"loseAnswer": func(*rapid.T) { st.loseNext = true },
			"time": func(t *rapid.T) {
				time0.now = time0.now.Add(time.Duration(rapid.IntRange(1, 15_000).Draw(t, "millis")) * time.Millisecond)
			},
		})
	})
}
