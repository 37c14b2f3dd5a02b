package origin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"pgregory.net/rapid"

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
// it could not read of may have begun them, and against refusing those that callers do not name.
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
		if o, source := vm.Find(t.Context(), 0, testService, time.Minute); source != FromVersions || o != v1 {
			t.Errorf("%s: origin %v of a stream without a name from %s", when, o, source)
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

// TestStreamsOfUnlistedVersionsNeverContinueElsewhere guards against streams that hold events of two versions, because an engine is back under its
// id and not listed yet when VMs are lost or the store is away. Unless it is away engines have answered by the time that their VM is lost.
func TestStreamsOfUnlistedVersionsNeverContinueElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 5).Draw(t, "vms"), "v1")
		f.storing = true
		running, released := "v1", 1
		calls, beganAt := map[string]int{}, map[string]clock.Instant{} // the VM of each stream and its time
		var ids []string
		look := func(i int) {
			for call, at := range calls {
				if at == i {
					f.vms[i].look(NewKey("w", call), true)
				}
			}
		}
		vmAt := func(t *rapid.T) int {
			var up []int
			for i, vm := range f.vms {
				if vm != nil {
					up = append(up, i)
				}
			}
			return rapid.SampledFrom(up).Draw(t, "vm")
		}
		each := func(do func(i int)) {
			for i, vm := range f.vms {
				if vm != nil {
					do(i)
				}
			}
		}
		actions := map[string]func(*rapid.T){
			"the engine is back": func(*rapid.T) {
				released++
				running = fmt.Sprint("v", released)
			},
			"the engine registers": func(*rapid.T) {
				if !f.away {
					f.listed = []string{running}
				}
			},
			"begin": func(t *rapid.T) {
				i := vmAt(t)
				shown := f.vms[i].listed[0]
				outcome := backend.LifetimeReported
				if shown != running {
					outcome = backend.LifetimeOther
				}
				call := fmt.Sprint("call", len(ids))
				ids, calls[call], beganAt[call] = append(ids, call), i, f.clock.now
				f.began[call] = traffic.StreamOrigin{Service: testService, Version: running}
				f.vms[i].beganOpen(NewKey("w", call), endpointsOf([]string{shown})[0], 10*time.Second, &fakeEvidence{outcome: outcome}, zap.NewNop())
			},
			"the engine answers": func(t *rapid.T) { look(vmAt(t)) },
			"the store goes away or comes back": func(*rapid.T) {
				f.away = !f.away
				f.streams.fail = nil
				if f.away {
					f.streams.fail = errStoreAway
				}
				each(func(i int) { f.vms[i].CheckStore() })
				if f.away {
					return
				}
				f.listed = []string{running} // within the time to register again
				for i, vm := range f.vms {
					if vm == nil {
						f.start(i)
					}
				}
			},
			"wait": func(t *rapid.T) {
				f.clock.now = f.clock.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				each(func(i int) { f.refresh(f.vms[i]) })
			},
			"a VM is lost": func(t *rapid.T) { // starts again once it can read the store
				i, up := vmAt(t), 0
				each(func(int) { up++ })
				if up == 1 {
					return
				}
				if f.away {
					f.vms[i] = nil
					return
				}
				look(i)
				f.vms[i] = nil
				f.start(i)
			},
			"all VMs are lost": func(*rapid.T) {
				each(look)
				if f.record(len(f.vms)); !f.away {
					f.loseAll(time.Second)
					f.startAll()
				}
			},
		}
		for name, action := range actions {
			actions[name] = f.locked(action)
		}
		actions["resume"] = func(t *rapid.T) { // asks other VMs
			if len(ids) == 0 {
				return
			}
			vm, call := f.vms[vmAt(t)], ids[max(0, len(ids)-1-rapid.IntRange(0, 4).Draw(t, "back"))]
			f.locked(func(*rapid.T) { f.refresh(vm) })(t)
			if f.clock.now.Sub(beganAt[call]) < resumeWindow {
				f.resume(t, vm, call)
			}
		}
		t.Repeat(actions)
	})
}
