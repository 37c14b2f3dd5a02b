package limiter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/measure/limiter/simulation"
)

var threeDataCentres = map[string][]string{
	"a": {"a1", "a2"},
	"b": {"b1", "b2"},
	"c": {"c1", "c2"},
}

func document(plan configuration.Plan, weights ...int) configuration.Document {
	doc := configuration.Document{
		DataCentres: map[string]configuration.DataCentre{},
		Plans:       map[string]configuration.Plan{"p": plan},
		Workspaces:  map[string]configuration.Workspace{"w": {Plan: "p"}},
	}
	for i, dc := range []string{"a", "b", "c"} {
		region := "region 1"
		if dc == "c" {
			region = "region 2"
		}
		doc.DataCentres[dc] = configuration.DataCentre{Region: region, ShareWeight: weights[i]}
	}
	return doc
}

func newFleet(seed uint64, doc configuration.Document, faults simulation.Faults) *simulation.Fleet {
	f := simulation.New(simulation.Options{
		Seed:             seed,
		Policy:           limiter.PolicyPooled,
		Document:         doc,
		VMs:              threeDataCentres,
		InterRegionDelay: 20 * time.Millisecond,
		IntraRegionDelay: time.Millisecond,
		LocalDelay:       100 * time.Microsecond,
		Faults:           faults,
	})
	f.Checker("w")
	f.Run(3 * time.Second)
	return f
}

// TestFleetStaysWithinPlan runs the state machines of six VMs with injected faults. The used
// tokens must not exceed the plan in any time window.
func TestFleetStaysWithinPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plans := rapid.Custom(func(t *rapid.T) configuration.Plan {
			return configuration.Plan{
				TokensPerSecond: rapid.Int64Range(1, 60).Draw(t, "rate"),
				BurstTokens:     rapid.Int64Range(1, 120).Draw(t, "burst"),
			}
		})
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 3, 3)
		vms := rapid.SampledFrom([]string{"a1", "a2", "b1", "b2", "c1", "c2"})
		dcs := rapid.SampledFrom([]string{"a", "b", "c"})
		drawMillis := func(low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, "ms")) * time.Millisecond
		}
		faults := simulation.Faults{
			LossPerMille:         rapid.SampledFrom([]int{0, 0, 50, 300}).Draw(t, "loss"),
			DuplicatePerMille:    rapid.SampledFrom([]int{0, 100}).Draw(t, "double"),
			MaxExtraDelay:        drawMillis(0, 400),
			LostResponsePerMille: rapid.SampledFrom([]int{0, 300}).Draw(t, "lost answers"),
			DropWhilePaused:      rapid.Bool().Draw(t, "paused lose"),
		}
		plan := plans.Draw(t, "plan")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), document(plan, weights.Draw(t, "weights")...), faults)
		partitioned := map[string]bool{}
		arrive := func(t *rapid.T) {
			tokens := rapid.Int64Range(1, max(1, plan.BurstTokens)).Draw(t, "tokens")
			f.Submit(simulation.Request{
				Workspace: "w",
				VM:        vms.Draw(t, "vm"),
				Tokens:    tokens,
				Used:      rapid.Int64Range(0, tokens).Draw(t, "used"),
				Duration:  drawMillis(0, 3000),
			})
			f.Run(drawMillis(0, 30))
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive,
			"arrivals": func(t *rapid.T) {
				for range 8 {
					arrive(t)
				}
			},
			"time":      func(t *rapid.T) { f.Run(drawMillis(0, 4000)) },
			"long time": func(*rapid.T) { f.Run(12 * time.Second) },
			"kill":      func(t *rapid.T) { f.Kill(vms.Draw(t, "vm"), drawMillis(500, 8000)) },
			"restart": func(t *rapid.T) {
				vm := vms.Draw(t, "vm")
				f.Kill(vm, time.Hour)
				f.Start(vm, vm[:1])
			},
			"pause": func(t *rapid.T) {
				lag := rapid.SampledFrom([]int{0, 1000, 3000}).Draw(t, "lag")
				length := drawMillis(100, 30000)
				if lag > 0 {
					length += limiter.PauseLimit // a VM dropped from the platform's list does not return earlier
				}
				f.Pause(vms.Draw(t, "vm"), length, time.Duration(lag)*time.Millisecond)
			},
			"stop": func(t *rapid.T) { f.Stop(vms.Draw(t, "vm"), 10*time.Second) },
			"cut": func(t *rapid.T) {
				dc := dcs.Draw(t, "dc")
				partitioned[dc] = !partitioned[dc]
				f.SetPartitioned(dc, partitioned[dc])
			},
			"platform": func(*rapid.T) { f.Platform.Unavailable = !f.Platform.Unavailable },
			"configure": func(t *rapid.T) {
				plan = plans.Draw(t, "plan")
				doc := document(plan, weights.Draw(t, "weights")...)
				if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
					doc.Workspaces = nil
				}
				f.Configure(doc)
				f.Run(5 * time.Second)
			},
			"": func(t *rapid.T) {
				if excess := f.Checker("w").Overspend(); excess > 0 {
					t.Fatalf("%d tokens used in excess of the plan", excess)
				}
			},
		})
	})
}

// TestNoGrantOutlivesItsRequest checks that no grant remains held after its request has ended if
// all messages are delivered.
func TestNoGrantOutlivesItsRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxDelay := time.Duration(rapid.IntRange(0, 300).Draw(t, "late")) * time.Millisecond
		f := newFleet(rapid.Uint64().Draw(t, "seed"), document(configuration.Plan{TokensPerSecond: 30, BurstTokens: 60}, 1, 2, 3), simulation.Faults{MaxExtraDelay: maxDelay, DuplicatePerMille: 100})
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			f.Submit(simulation.Request{
				Workspace: "w",
				VM:        rapid.SampledFrom(f.VMNames()).Draw(t, "vm"),
				Tokens:    rapid.Int64Range(1, 60).Draw(t, "tokens"),
				Duration:  time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond,
			})
			f.Run(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
		}
		f.Run(5 * time.Second)
		if held := f.HeldGrants(); held != 0 {
			t.Fatalf("%d grants still held after their requests ended", held)
		}
	})
}

// drainShares sends one single-token request per millisecond to a VM until 20 in a row are
// rejected. It returns the number of admitted requests.
func drainShares(f *simulation.Fleet, vm string) int {
	admitted, rejected := 0, 0
	for range 600 {
		f.Submit(simulation.Request{Workspace: "w", VM: vm, Tokens: 1, Used: 1, Duration: 10 * time.Millisecond, Done: func(ok bool) {
			if ok {
				admitted++
				rejected = 0
			} else {
				rejected++
			}
		}})
		if f.Run(time.Millisecond); rejected >= 20 {
			break
		}
	}
	f.Run(time.Second)
	return admitted
}

// TestHolderChange drains all shares, replaces or interrupts the holder of a share, and drains
// them again. The share must become available again without any token being granted twice.
func TestHolderChange(t *testing.T) {
	const rate, burst = 30, 600
	plan := configuration.Plan{TokensPerSecond: rate, BurstTokens: burst}
	tests := map[string]func(f *simulation.Fleet, holder string){
		"killed": func(f *simulation.Fleet, holder string) {
			f.Kill(holder, time.Second)
			f.Run(8 * time.Second)
		},
		"restarted": func(f *simulation.Fleet, holder string) {
			f.Kill(holder, time.Hour)
			f.Run(100 * time.Millisecond)
			f.Start(holder, "a")
			f.Run(8 * time.Second)
		},
		"stopped": func(f *simulation.Fleet, holder string) {
			f.Stop(holder, 2*time.Second)
			drainShares(f, holder)
			f.Run(8 * time.Second)
		},
		"paused and replaced": func(f *simulation.Fleet, holder string) {
			f.Pause(holder, 30*time.Second, time.Second)
			f.Run(28 * time.Second)
			drainShares(f, "b1")
			f.Run(30*time.Second - 29*time.Second)
		},
		"paused and replaced, platform unavailable at the end": func(f *simulation.Fleet, holder string) {
			f.Pause(holder, 30*time.Second, time.Second)
			f.Run(28 * time.Second)
			drainShares(f, "b1")
			f.Platform.Unavailable = true
			f.Run(2 * time.Second)
		},
		"paused and not replaced": func(f *simulation.Fleet, holder string) {
			f.Pause(holder, 6*time.Second, 0)
			f.Run(8 * time.Second)
		},
		"paused and not replaced, platform unavailable": func(f *simulation.Fleet, holder string) {
			f.Platform.Unavailable = true
			f.Pause(holder, 6*time.Second, 0)
			f.Run(10 * time.Second)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, document(plan, 1, 1, 1), simulation.Faults{DropWhilePaused: true})
			if n := drainShares(f, "b1"); n < burst {
				t.Fatalf("admitted %d tokens, want the burst of %d", n, burst)
			}
			holder := f.Holder("a", "w")
			change(f, holder)
			drainShares(f, holder)
			for _, vm := range f.VMNames() {
				drainShares(f, vm)
			}
			if excess := f.Checker("w").Overspend(); excess > 0 {
				t.Errorf("%d tokens used in excess of the plan", excess)
			}
			f.Run(time.Minute)
			if n := drainShares(f, "b1"); n < burst {
				t.Errorf("admitted %d tokens after the change, want %d", n, burst)
			}
		})
	}
}

// TestWeightChangeStaysWithinPlan drains the shares while data centres learn about new weights at
// different times and one of them is partitioned.
func TestWeightChangeStaysWithinPlan(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 60, BurstTokens: 600}
	f := newFleet(2, document(plan, 1, 1, 8), simulation.Faults{})
	f.BlockPartitionedConfig = true
	drainShares(f, "a1")
	for i, weights := range [][]int{{8, 1, 1}, {1, 8, 1}, {8, 1, 1}, {1, 1, 8}} {
		f.SetPartitioned("c", i%2 == 0)
		f.Configure(document(plan, weights...))
		for _, vm := range []string{"a1", "b1", "c1", "a1", "b1", "c1"} {
			drainShares(f, vm)
		}
		f.Run(20 * time.Second)
		drainShares(f, "c1")
		drainShares(f, "a1")
	}
	f.SetPartitioned("c", false)
	f.Run(time.Minute)
	if excess := f.Checker("w").Overspend(); excess > 0 {
		t.Errorf("%d tokens used in excess of the plan", excess)
	}
	if n := drainShares(f, "a1"); n < 600 {
		t.Errorf("admitted %d tokens at the end, want 600", n)
	}
}

// TestReaddedWorkspaceStartsEmpty removes and re-adds a workspace whose shares are empty.
func TestReaddedWorkspaceStartsEmpty(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 300}
	f := newFleet(3, document(plan, 1, 1, 1), simulation.Faults{})
	drainShares(f, "a1")
	removed := document(plan, 1, 1, 1)
	removed.Workspaces = nil
	for _, doc := range []configuration.Document{removed, document(plan, 1, 1, 1)} {
		f.Configure(doc)
		f.Run(20 * time.Second)
	}
	if n := drainShares(f, "a1"); n > 60 {
		t.Fatalf("admitted %d tokens after the workspace was re-added, want at most 60", n)
	}
}

// TestConcurrentPartialRequests checks that concurrent requests that each need several shares do
// not cause each other to be rejected. A single bucket would admit one of them, so exactly one
// must be admitted.
func TestConcurrentPartialRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 90}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), document(plan, 1, 1, 1), simulation.Faults{})
		tokens := rapid.Int64Range(46, 90).Draw(t, "tokens")
		admitted := 0
		for _, vm := range []string{"a1", "b1", "c1"}[:rapid.IntRange(2, 3).Draw(t, "requests")] {
			f.Submit(simulation.Request{Workspace: "w", VM: vm, Tokens: tokens, Used: tokens, Duration: time.Second, Done: func(ok bool) {
				if ok {
					admitted++
				}
			}})
			f.Run(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
		}
		f.Run(3 * time.Second)
		if admitted != 1 {
			t.Fatalf("admitted %d requests of %d tokens with a burst of 90, want 1", admitted, tokens)
		}
	})
}
