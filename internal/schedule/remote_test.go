package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestRemoteLoadIsEstimatedFromLocalLoad checks that a burst that fills the local engines is
// assumed to fill those of another data centre too, until that data centre reports again.
func TestRemoteLoadIsEstimatedFromLocalLoad(t *testing.T) {
	s, _ := newTestScheduler(newEngine("local", "a", traffic.Decode), newEngine("remote", "b", traffic.Decode))
	s.SetRemoteReportsDelayed(true)
	report := map[traffic.EndpointID]Work{{Name: "remote"}: {Calls: 1, Tokens: 5000}}
	s.ReplaceDataCentreWork("b", 1, report)
	s.UpdateWork(ident.VM{Name: "other"}, 1, traffic.EndpointID{Name: "local"}, Work{Calls: 9, Tokens: testCapacity - 100})
	if c, err := s.Place(decodeRequest(), nil); err == nil {
		t.Errorf("chose %s, which is probably full as well", c.Endpoint.ID.Name)
	}
	s.ReplaceDataCentreWork("b", 2, report)
	if c, err := s.Place(decodeRequest(), nil); err != nil || c.Endpoint.ID.Name != "remote" {
		t.Errorf("after data centre b reported free capacity: chose %v, error %v", c, err)
	}
	s.ForgetDataCentre("b")
	if w := s.table.states[traffic.EndpointID{Name: "remote"}].peers.total; w != (Work{}) {
		t.Errorf("work left after ForgetDataCentre: %v", w)
	}
}

// TestRemotePrefillIsExpectedToBeSlower checks the longer expected prefill time of remote engines.
// VMs of several data centres may choose the same engine at the same moment, so an engine that
// already has work is used only by VMs of its own data centre, which know all of its work.
func TestRemotePrefillIsExpectedToBeSlower(t *testing.T) {
	s, _ := newTestScheduler(newEngine("remote", "b", traffic.Prefill))
	s.SetRemoteReportsDelayed(true)
	request := prefillRequest()
	request.MaxPrefillTime = 400 * time.Millisecond
	first, err := s.Place(request, nil)
	if err != nil {
		t.Fatal(err)
	}
	if local := 100 * time.Millisecond; first.ExpectedPrefill <= local {
		t.Errorf("expected prefill time %s, as for a local engine", first.ExpectedPrefill)
	}
	if c, err := s.Place(request, nil); err == nil {
		t.Errorf("a second prompt was placed there, expected prefill time %s", c.ExpectedPrefill)
	}
}

// TestRemoteEnginesAreChosenAtRandom checks that VMs with the same information about remote engines
// do not all choose the same one.
func TestRemoteEnginesAreChosenAtRandom(t *testing.T) {
	var list []traffic.Endpoint
	for i := range 20 {
		list = append(list, newEngine(fmt.Sprint("remote", i), "b", traffic.Decode))
	}
	chosen := map[string]int{}
	for seed := range uint64(200) {
		c := &manualClock{now: clock.Instant(time.Hour)}
		s := New(Options{Clock: c, DataCentre: "a", Seed: seed})
		s.UpdateEndpoints(traffic.Endpoints{Version: 1, List: list}, testServices)
		s.SetRemoteReportsDelayed(true)
		s.ReplaceDataCentreWork("b", 1, map[traffic.EndpointID]Work{{Name: "remote0"}: {Calls: 8, Tokens: 40_000}, {Name: "remote1"}: {Calls: 1, Tokens: 3000}})
		claim, err := s.Place(decodeRequest(), nil)
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
	if chosen["remote0"] > 0 || chosen["remote1"] == 0 {
		t.Errorf("choices by engine: %v; want none of remote0 and some of remote1", chosen)
	}
}
