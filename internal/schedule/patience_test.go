package schedule

import (
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestPromptsDoNotQueueAtEngines: a call waits for an engine that can read its prompt soon; an
// engine with nothing to do is taken however long the prompt is.
func TestPromptsDoNotQueueAtEngines(t *testing.T) {
	s, _ := newTestScheduler(endpoint("x", "a", traffic.Prefill))
	ask := prefillAsk()
	ask.Patience = 250 * time.Millisecond // an engine reads 50 tokens in a millisecond at first
	x := traffic.EndpointID{Name: "x"}
	s.HeardWork(ident.VM{Name: "other"}, 1, x, Work{Calls: 1, Tokens: 5000})
	if _, err := s.Place(ask, nil); err != nil {
		t.Errorf("with one prompt before it: %v", err)
	}
	s.HeardWork(ident.VM{Name: "other"}, 2, x, Work{Calls: 3, Tokens: 15_000})
	if _, err := s.Place(ask, nil); !fault.Is(err, fault.Overloaded) {
		t.Errorf("with four prompts before it: error %v", err)
	}
	idle, _ := newTestScheduler(endpoint("x", "a", traffic.Prefill))
	ask.Tokens = &traffic.Tokens{Prompt: 40_000, MaxOutput: 100}
	if _, err := idle.Place(ask, nil); err != nil {
		t.Errorf("a long prompt at an idle engine: %v", err)
	}
}
