package dispatch_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// fillOthers makes all engines but the ones that run a stream full.
func fillOthers(s *schedule.Scheduler, _ *dispatch.Dispatcher) {
	_, held := s.OwnWork()
	for _, e := range testEndpoints().List {
		if _, ok := held[e.DataCentre][e.ID]; !ok {
			s.UpdateWork(ident.VM{Name: "other"}, 1, e.ID, schedule.Work{Calls: 100, Tokens: 50_000})
		}
	}
}

// oneDecodeEngine returns a fleet with one decode engine.
func oneDecodeEngine() traffic.Endpoints {
	out := testEndpoints()
	out.List = slices.DeleteFunc(out.List, func(e traffic.Endpoint) bool { return e.ID.Name == "decode2" || e.ID.Name == "decode3" })
	return out
}

// oneOfEachVersion returns a fleet whose endpoints all have different software versions.
func oneOfEachVersion() traffic.Endpoints {
	out := testEndpoints()
	for i := range out.List {
		out.List[i].SoftwareVersion = out.List[i].ID.Name
	}
	return out
}

// TestSilentEngineFinishesStreamThatNoOtherMayContinue guards against streams that are cut off because their engine is
// silent, although no other engine may continue them.
func TestSilentEngineFinishesStreamThatNoOtherMayContinue(t *testing.T) {
	const silence = 2 * time.Second // longer than the stall limit of 1.5 s
	for name, prepare := range map[string]func(*cutFleet){
		"retry budget used up":      func(f *cutFleet) { f.budget = admission.RetryBudget{Window: 10 * time.Second} },
		"one engine":                func(f *cutFleet) { f.endpoints = oneDecodeEngine() },
		"one engine of its version": func(f *cutFleet) { f.endpoints = oneOfEachVersion() },
		"others are full":           func(f *cutFleet) { f.change = fillOthers },
	} {
		t.Run(name, func(t *testing.T) {
			f := newCutFleet(silence)
			prepare(f)
			out, err := f.serve(t, resumablePath, func(context.Context) (*backend.Response, error) { return rejected(), nil })
			if err != nil || out.body.String() != events(1, 3) {
				t.Errorf("body %q, error %v", out.body.String(), err)
			}
		})
	}
}
