package schedule

import (
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestAnEngineThatMovesTakesNothing shows that all VMs leave an engine alone that was ordered to
// change its stage, until the table shows the new one or the time for it is over.
func TestAnEngineThatMovesTakesNothing(t *testing.T) {
	told := map[traffic.EndpointID]Outcome{}
	s, c := newTestScheduler(endpoint("x", "a", traffic.Prefill), endpoint("y", "b", traffic.Prefill))
	s.opts.Failed = func(id traffic.EndpointID, o Outcome) { told[id] = o }
	x := traffic.EndpointID{Name: "x"}
	s.Moving(x)
	if told[x] != Moving {
		t.Errorf("the others are told %v", told)
	}
	if claim, err := s.Place(prefillAsk(), nil); err != nil || claim.Endpoint.ID.Name != "y" {
		t.Fatalf("while x moves chose %v, error %v", claim, err)
	}
	s.Update(traffic.Endpoints{Version: 2, List: []traffic.Endpoint{endpoint("x", "a", traffic.Decode), endpoint("y", "b", traffic.Prefill)}}, testServices)
	if claim, err := s.Place(decodeAsk(), nil); err != nil || claim.Endpoint.ID != x {
		t.Fatalf("after the move chose %v, error %v", claim, err)
	}
	s.HeardFailure(x, Moving)
	c.now = c.now.Add(moveTime)
	if claim, err := s.Place(decodeAsk(), nil); err != nil || claim.Endpoint.ID != x {
		t.Fatalf("after the time of a move chose %v, error %v", claim, err)
	}
}

// TestAnEngineThatRefusesPromptsIsLeftAlone shows that it is tried again ever later, and at once
// after it has read one.
func TestAnEngineThatRefusesPromptsIsLeftAlone(t *testing.T) {
	s, c := newTestScheduler(endpoint("x", "a", traffic.Prefill))
	for _, pause := range []time.Duration{minClosed, 2 * minClosed, 4 * minClosed} {
		claim, err := s.Place(prefillAsk(), nil)
		if err != nil {
			t.Fatal(err)
		}
		claim.Full()
		claim.Full() // another call sees the same refusal
		claim.Release()
		c.now = c.now.Add(pause - time.Millisecond)
		if _, err := s.Place(prefillAsk(), nil); err == nil {
			t.Fatalf("tried again before %s", pause)
		}
		c.now = c.now.Add(time.Millisecond)
	}
	claim, err := s.Place(prefillAsk(), nil)
	if err != nil {
		t.Fatal(err)
	}
	claim.WasRead(5000, 100*time.Millisecond)
	claim.Full()
	c.now = c.now.Add(minClosed)
	if _, err := s.Place(prefillAsk(), nil); err != nil {
		t.Error("a refusal after a prompt that was read counts as one in a row")
	}
}
