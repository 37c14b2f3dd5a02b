package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestFarEnginesGrowWithNearOnes shows that a burst which fills the engines of this data centre is
// taken to fill those of another one that has not told since, and that its next word counts.
func TestFarEnginesGrowWithNearOnes(t *testing.T) {
	s, _ := newTestScheduler(endpoint("near", "a", traffic.Decode), endpoint("far", "b", traffic.Decode))
	s.SetFarLate(true)
	far := map[traffic.EndpointID]Work{{Name: "far"}: {Calls: 1, Tokens: 5000}}
	s.HeardDataCentre("b", 1, far)
	s.HeardWork(ident.VM{Name: "other"}, 1, traffic.EndpointID{Name: "near"}, Work{Calls: 9, Tokens: testMemory - 100})
	if c, err := s.Place(decodeAsk(), nil); err == nil {
		t.Errorf("chose %s, which is likely to be full as well", c.Endpoint.ID.Name)
	}
	s.HeardDataCentre("b", 2, far)
	if c, err := s.Place(decodeAsk(), nil); err != nil || c.Endpoint.ID.Name != "far" {
		t.Errorf("after b told that it has room: chose %v, error %v", c, err)
	}
	s.ForgetDataCentre("b")
	if w := s.table.states[traffic.EndpointID{Name: "far"}].others.sum; w != (Work{}) {
		t.Errorf("a data centre that is forgotten holds %v", w)
	}
}

// TestFarEnginesAreTakenToReadSlowly: VMs of several data centres may choose the same engine in
// one moment, so that one which has work already is left to those that know of all of it.
func TestFarEnginesAreTakenToReadSlowly(t *testing.T) {
	s, _ := newTestScheduler(endpoint("far", "b", traffic.Prefill))
	s.SetFarLate(true)
	ask := prefillAsk()
	ask.Patience = 400 * time.Millisecond
	first, err := s.Place(ask, nil)
	if err != nil {
		t.Fatal(err)
	}
	if near := 100 * time.Millisecond; first.Expected <= near {
		t.Errorf("expected %s, as if nobody else chose it", first.Expected)
	}
	if c, err := s.Place(ask, nil); err == nil {
		t.Errorf("a second prompt went there, expected %s", c.Expected)
	}
}

// TestFarEnginesAreDrawn: VMs that know the same of far engines do not all choose the same one.
func TestFarEnginesAreDrawn(t *testing.T) {
	var list []traffic.Endpoint
	for i := range 20 {
		list = append(list, endpoint(fmt.Sprint("far", i), "b", traffic.Decode))
	}
	chosen := map[string]int{}
	for seed := range uint64(200) {
		c := &manual{now: clock.Instant(time.Hour)}
		s := New(Options{Clock: c, DataCentre: "a", Seed: seed})
		s.Update(traffic.Endpoints{Version: 1, List: list}, testServices)
		s.SetFarLate(true)
		s.HeardDataCentre("b", 1, map[traffic.EndpointID]Work{{Name: "far0"}: {Calls: 8, Tokens: 40_000}, {Name: "far1"}: {Calls: 1, Tokens: 3000}})
		claim, err := s.Place(decodeAsk(), nil)
		if err != nil {
			t.Fatal(err)
		}
		chosen[claim.Endpoint.ID.Name]++
	}
	for name, n := range chosen {
		if n > 30 {
			t.Errorf("%d of 200 VMs chose %s", n, name)
		}
	}
	if chosen["far0"] > 0 || chosen["far1"] == 0 {
		t.Errorf("chosen: %v", chosen)
	}
}
