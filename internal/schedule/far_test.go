package schedule

import (
	"testing"

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
