package schedule

import (
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestEngineThatChangesStageIsNotUsed checks that an engine that was ordered to change its stage is
// not used on any VM until the endpoint table shows the new stage or the time for the change is
// over.
func TestEngineThatChangesStageIsNotUsed(t *testing.T) {
	reported := map[traffic.EndpointID]Outcome{}
	s, c := newTestScheduler(newEngine("x", "a", traffic.Prefill), newEngine("y", "b", traffic.Prefill))
	s.opts.OnFailure = func(id traffic.EndpointID, _ string, o Outcome) { reported[id] = o }
	x := traffic.EndpointID{Name: "x"}
	s.MarkChangingStage(newEngine("x", "a", traffic.Prefill))
	if reported[x] != ChangingStage {
		t.Errorf("outcomes reported to other VMs: %v", reported)
	}
	if claim, err := s.Place(prefillRequest(), nil); err != nil || claim.Endpoint.ID.Name != "y" {
		t.Fatalf("during the stage change: chose %v, error %v", claim, err)
	}
	s.UpdateEndpoints(traffic.Endpoints{Version: 2, List: []traffic.Endpoint{newEngine("x", "a", traffic.Decode), newEngine("y", "b", traffic.Prefill)}}, testServices)
	if claim, err := s.Place(decodeRequest(), nil); err != nil || claim.Endpoint.ID != x {
		t.Fatalf("after the stage change: chose %v, error %v", claim, err)
	}
	s.RecordPeerOutcome(x, ChangingStage)
	c.now = c.now.Add(stageChangeTime)
	if claim, err := s.Place(decodeRequest(), nil); err != nil || claim.Endpoint.ID != x {
		t.Fatalf("after the time for a stage change: chose %v, error %v", claim, err)
	}
}

// TestEngineThatRefusesPromptsIsClosed checks that an engine that refuses prompts is closed for a
// time that doubles with each consecutive refusal and starts over after a successful prefill.
func TestEngineThatRefusesPromptsIsClosed(t *testing.T) {
	s, c := newTestScheduler(newEngine("x", "a", traffic.Prefill))
	for _, closeTime := range []time.Duration{minCloseTime, 2 * minCloseTime, 4 * minCloseTime} {
		claim, err := s.Place(prefillRequest(), nil)
		if err != nil {
			t.Fatal(err)
		}
		claim.RecordRefusal()
		claim.RecordRefusal() // the same refusal, observed by another call
		claim.Release()
		c.now = c.now.Add(closeTime - time.Millisecond)
		if _, err := s.Place(prefillRequest(), nil); err == nil {
			t.Fatalf("used again before %s", closeTime)
		}
		c.now = c.now.Add(time.Millisecond)
	}
	claim, err := s.Place(prefillRequest(), nil)
	if err != nil {
		t.Fatal(err)
	}
	claim.RecordPrefill(5000, 100*time.Millisecond)
	claim.RecordRefusal()
	c.now = c.now.Add(minCloseTime)
	if _, err := s.Place(prefillRequest(), nil); err != nil {
		t.Error("a refusal after a successful prefill counts as a consecutive one")
	}
}

// TestEjectedEndpointsAreTriedByOneCall plays the partition of a data centre whose service has endpoints in
// other data centres only: one call at a time tries an ejected endpoint, the others are refused at once
// instead of waiting for a connection until their deadlines.
func TestEjectedEndpointsAreTriedByOneCall(t *testing.T) {
	s, _ := newTestScheduler(newPlainEndpoint("x", "b"), newPlainEndpoint("y", "c"))
	request := plainRequest()
	for range 2 {
		claim, err := s.Place(request, nil)
		if err != nil {
			t.Fatal(err)
		}
		claim.RecordOutcome(Dead)
		claim.Release()
	}
	var tries []*Claim
	refused := 0
	for range 10 {
		claim, err := s.Place(request, nil)
		if err != nil {
			refused++
			continue
		}
		tries = append(tries, claim)
	}
	if len(tries) != 2 || refused != 8 {
		t.Fatalf("%d calls try an ejected endpoint, %d are refused, want 2 and 8", len(tries), refused)
	}
	tries[0].RecordOutcome(Succeeded)
	tries[0].Release()
	if claim, err := s.Place(request, nil); err != nil || claim.Endpoint.ID != tries[0].Endpoint.ID {
		t.Errorf("after the endpoint answered: chose %v, error %v", claim, err)
	}
}

// TestReleaseAfterEntryWasLost checks the work at an endpoint whose entry was lost for a while during a call.
func TestReleaseAfterEntryWasLost(t *testing.T) {
	s, _ := newTestScheduler(newEngine("x", "a", traffic.Decode))
	claim, err := s.Place(decodeRequest(), nil)
	if err != nil {
		t.Fatal(err)
	}
	s.UpdateEndpoints(traffic.Endpoints{Version: 2}, testServices)
	s.UpdateEndpoints(traffic.Endpoints{Version: 3, List: []traffic.Endpoint{newEngine("x", "a", traffic.Decode)}}, testServices)
	x := traffic.EndpointID{Name: "x"}
	if _, work := s.OwnWork(); work["a"][x].Calls != 1 {
		t.Errorf("during the call the own work is %+v", work)
	}
	claim.Release()
	if own := s.table.states[x].own; own != (Work{}) {
		t.Errorf("after the call the own work is %+v", own)
	}
}
