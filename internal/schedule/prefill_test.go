package schedule

import (
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestPromptsDoNotQueueAtEngines checks that a prompt is not placed at an engine that would finish
// its prefill too late, and that an idle engine is used regardless of the prompt's length.
func TestPromptsDoNotQueueAtEngines(t *testing.T) {
	s, _ := newTestScheduler(newEngine("x", "a", traffic.Prefill))
	request := prefillRequest()
	request.MaxPrefillTime = 250 * time.Millisecond // initialPrefillRate is 50 tokens/ms
	x := traffic.EndpointID{Name: "x"}
	s.UpdateWork(ident.VM{Name: "other"}, 1, x, Work{Calls: 1, Tokens: 5000})
	if _, err := s.Place(request, nil); err != nil {
		t.Errorf("with one prompt queued: %v", err)
	}
	s.UpdateWork(ident.VM{Name: "other"}, 2, x, Work{Calls: 3, Tokens: 15_000})
	if _, err := s.Place(request, nil); !fault.Is(err, fault.Overloaded) {
		t.Errorf("with four prompts queued: error %v", err)
	}
	idle, _ := newTestScheduler(newEngine("x", "a", traffic.Prefill))
	request.Tokens = &traffic.Tokens{Prompt: 40_000, MaxOutput: 100}
	if _, err := idle.Place(request, nil); err != nil {
		t.Errorf("long prompt at an idle engine: %v", err)
	}
}
