package statesync

import (
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/origin"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// lateEvidence is evidence that is there after it has been sought a number of times.
type lateEvidence struct{ left atomic.Int64 }

func (e *lateEvidence) Look() backend.LifetimeOutcome {
	if e.left.Load() > 0 {
		return backend.LifetimeOpen
	}
	return backend.LifetimeReported
}

func (e *lateEvidence) Seek() { e.left.Add(-1) }

// TestUnsettledStreamOfAnotherVMIsAwaited guards against streams that go on at the only version that a VM knows, or are refused at once,
// while the VM at which they began waits for evidence of their version.
func TestUnsettledStreamOfAnotherVMIsAwaited(t *testing.T) {
	var nodes [2]*node
	members, listeners := listenAsTwo(t)
	o := traffic.StreamOrigin{Service: "s", Version: "v1"}
	engine := traffic.Endpoint{ID: traffic.EndpointID{Name: "e", StartedAt: 1}, Service: o.Service, SoftwareVersion: o.Version}
	nodes[0] = startNodeWith(t, members[0], listeners[0], nil, newQuarantine())
	first := nodes[0].opts.Origins.(*origin.Controller)
	nodes[1] = startNodeWith(t, members[1], listeners[1], members[:1], newQuarantine())
	second := nodes[1].opts.Origins.(*origin.Controller)
	soon, never := &lateEvidence{}, &lateEvidence{}
	soon.left.Store(2)
	never.left.Store(1 << 30)
	first.BeganOpen(1, engine, time.Minute, soon, zap.NewNop())
	first.BeganOpen(2, engine, time.Minute, never, zap.NewNop())
	known := false
	for !known { // an answer may be late beside load
		var got traffic.StreamOrigin
		if got, known = nodes[1].AskOrigin(t.Context(), 1); known && got != o {
			t.Errorf("origin %v of a stream whose evidence comes soon", got)
		}
	}
	second.Merge(origin.State{Complete: true}, "test")
	second.SetEndpoints([]traffic.Endpoint{engine})
	for source := origin.FromVersions; source != origin.Unknown; {
		if got, ok := nodes[1].AskOrigin(t.Context(), 2); ok {
			t.Fatalf("origin %v of a stream without evidence", got)
		}
		_, source = second.Find(t.Context(), 2, o.Service, 10*time.Second)
	}
	if got, source := second.Find(t.Context(), 3, o.Service, 10*time.Second); source != origin.FromVersions {
		t.Errorf("another stream goes on at %v by %s", got, source)
	}
}
