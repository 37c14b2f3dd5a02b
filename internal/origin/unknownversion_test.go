package origin

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestStreamOfUnknownVersionDoesNotContinueAfterItsVM guards against streams that go on at the only version that is listed, as the VM that
// knew that they began at a later lifetime of their engine is lost, or all VMs are.
func TestStreamOfUnknownVersionDoesNotContinueAfterItsVM(t *testing.T) {
	newVM := func(o Options) *Controller {
		o.Clock, o.Log, o.Metrics, o.FirstStart = clock.NewMonotonic(), zap.NewNop(), metrics.NewSet(), true
		o.Evidence = func(traffic.Endpoint, time.Time) backend.LifetimeEvidence {
			return &fakeEvidence{outcome: backend.LifetimeReported} // of the former entry, which is still listed
		}
		c := NewController(o)
		c.SetEndpoints(endpointsOf([]string{"v1"}))
		return c
	}
	for _, outcome := range []backend.LifetimeOutcome{backend.LifetimeOther, backend.LifetimeGone} {
		k, told := NewKey("w", "call"), newVM(Options{})
		began := newVM(Options{Share: told.AddRecords})
		began.beganOpen(k, endpointsOf([]string{"v1"})[0], time.Minute, &fakeEvidence{outcome: outcome}, zap.NewNop())
		if len(began.openStreams()) != 0 {
			t.Errorf("%s: a record that awaits evidence is stored beside one version", outcome)
		}
		began.look(k, true)
		if o, source := told.Find(t.Context(), k, testService, 100*time.Millisecond); source != Unknown {
			t.Errorf("%s: the stream goes on at %v by %s", outcome, o, source)
		}
		if !told.Await(t.Context(), k) {
			t.Errorf("%s: a VM that was told does not say that the version is not known", outcome)
		}
		if list := told.openStreams(); len(list) != 1 || !isUnknowable(list[0].Origin) {
			t.Errorf("%s: a VM that was told reports %v to the recorder", outcome, list)
		}
		started := newVM(Options{})
		started.Merge(told.State(), "vm")
		if o, source := started.Find(t.Context(), k, testService, 100*time.Millisecond); source != Unknown {
			t.Errorf("%s: the stream goes on at %v by %s at a VM that has started since", outcome, o, source)
		}
		stored, later := began.openStreams(), newVM(Options{})
		if later.addStored(stored); len(stored) != 1 {
			t.Errorf("%s: %d records to be stored", outcome, len(stored))
		}
		if o, source := later.Find(t.Context(), k, testService, 100*time.Millisecond); source != Unknown {
			t.Errorf("%s: the stream goes on at %v by %s after the loss of all VMs", outcome, o, source)
		}
		var r recorder
		r.replace(clock.Instant(time.Hour), ident.VM{Name: "vm-0"}, newSnapshot(1, stored))
		if list, _ := r.union(clock.Instant(time.Hour), later.neededAt(later.opts.Clock.Now())); len(list) != 1 {
			t.Errorf("%s: the recorder stores %d records", outcome, len(list))
		}
	}
}
