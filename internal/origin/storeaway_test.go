package origin

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// awayVM is a VM of a service with one version, and what it tells others.
type awayVM struct {
	*Controller
	clock *manualClock
	away  bool
	told  []Record
}

func newAwayVM() *awayVM {
	vm := &awayVM{clock: &manualClock{clock.Instant(time.Hour)}}
	vm.Controller = NewController(Options{
		Clock: vm.clock, Log: zap.NewNop(), Metrics: metrics.NewSet(), FirstStart: true, StoreAway: func() bool { return vm.away },
		Share:  func(list []Record) { vm.told = append(vm.told, list...) },
		Reread: func(context.Context) bool { return !vm.away },
	})
	vm.SetEndpoints(endpointsOf([]string{"v1"}))
	return vm
}

// TestOnlyVersionDoesNotDecideWhileTheStoreIsAway guards against streams that go on at the only version that a VM has read, although one that
// it could not read of may have begun them.
func TestOnlyVersionDoesNotDecideWhileTheStoreIsAway(t *testing.T) {
	vm, k, recorded := newAwayVM(), NewKey("w", "call"), NewKey("w", "recorded")
	v1 := traffic.StreamOrigin{Service: testService, Version: "v1"}
	check := func(when string, want Source) {
		t.Helper()
		if o, source := vm.Find(t.Context(), k, testService, time.Minute); source != want {
			t.Errorf("%s: origin %v from %s, want it from %s", when, o, source, want)
		}
		if o, source := vm.Find(t.Context(), recorded, testService, time.Minute); source != FromRecord || o != v1 {
			t.Errorf("%s: origin %v of a record from %s", when, o, source)
		}
	}
	vm.AddRecords([]Record{{Key: recorded, Origin: v1, Left: time.Minute}})
	check("before", FromVersions)
	vm.away = true
	check("while the store is away", Unknown)
	vm.clock.now = vm.clock.now.Add(10 * time.Second)
	vm.CheckStore()
	vm.away = false
	check("once it is back", Unknown)
	vm.clock.now = vm.clock.now.Add(reregisterTime + time.Millisecond)
	check("once endpoints have had the time to register again", FromVersions)
}

// TestRecordsAreToldWhileTheStoreIsAway guards against refusing the streams of a VM that is lost while the store is away.
func TestRecordsAreToldWhileTheStoreIsAway(t *testing.T) {
	vm := newAwayVM()
	v1 := traffic.StreamOrigin{Service: testService, Version: "v1"}
	open := func(call string, outcome backend.LifetimeOutcome) {
		k := NewKey("w", call)
		vm.beganOpen(k, endpointsOf([]string{"v1"})[0], time.Minute, &fakeEvidence{outcome: outcome}, zap.NewNop())
		vm.look(k, true)
	}
	vm.Began(NewKey("w", "before"), v1, time.Minute)
	open("open before", backend.LifetimeOpen)
	vm.AddRecords([]Record{{Key: NewKey("w", "of another VM"), Origin: v1, Left: time.Minute}})
	vm.CheckStore()
	if len(vm.told) != 0 {
		t.Errorf("told %v while the store is there", vm.told)
	}
	vm.away = true
	vm.CheckStore()
	vm.CheckStore()
	vm.Began(NewKey("w", "while away"), v1, time.Minute)
	open("settled while away", backend.LifetimeReported)
	open("open while away", backend.LifetimeOpen)
	vm.away = false
	vm.CheckStore()
	vm.Began(NewKey("w", "after"), v1, time.Minute)
	want := []Key{NewKey("w", "before"), NewKey("w", "while away"), NewKey("w", "settled while away")}
	for i, rec := range vm.told {
		if i >= len(want) || rec.Key != want[i] || rec.Origin != v1 {
			t.Errorf("record %d told: %v", i, rec)
		}
	}
	if len(vm.told) != len(want) {
		t.Errorf("%d records told, want %d", len(vm.told), len(want))
	}
}
