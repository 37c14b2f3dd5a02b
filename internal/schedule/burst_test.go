package schedule

import (
	"math/rand/v2"
	"testing"

	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestBurstFillsNoEngineBeyondItsMemory plays a burst: calls are placed on four engines until all are
// full, and then all of them decode to the end of their expected output, in step. An engine whose
// memory runs out preempts a call, whose caller sees a pause while the prompt is prefilled again.
func TestBurstFillsNoEngineBeyondItsMemory(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var engines []traffic.Endpoint
	for _, name := range []string{"a", "b", "c", "d"} {
		engines = append(engines, newEngine(name, "a", traffic.Decode))
	}
	s, _ := newTestScheduler(engines...)
	used := map[traffic.EndpointID]int64{}
	placed := 0
	for {
		tokens := traffic.Tokens{Prompt: 500 + random.Int64N(4000), MaxOutput: 400, ExpectedOutput: 50 + random.Int64N(300)}
		c, err := s.Place(&Request{Service: testService, Stage: traffic.Decode, Tokens: &tokens}, nil)
		if err != nil {
			break
		}
		placed++
		used[c.Endpoint.ID] += tokens.Prompt + tokens.ExpectedOutput
	}
	if placed < len(engines)*4 {
		t.Fatalf("%d calls placed, want at least %d", placed, len(engines)*4)
	}
	for id, n := range used {
		if n > testCapacity {
			t.Errorf("the calls on %s grow to %d tokens, it has memory for %d", id.Name, n, int64(testCapacity))
		}
	}
}
