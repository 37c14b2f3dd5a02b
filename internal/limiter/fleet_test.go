package limiter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/measure/limiter/fleet"
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
		region := "near"
		if dc == "c" {
			region = "far"
		}
		doc.DataCentres[dc] = configuration.DataCentre{Region: region, ShareWeight: weights[i]}
	}
	return doc
}

func newFleet(seed uint64, doc configuration.Document, faults fleet.Faults) *fleet.Fleet {
	f := fleet.New(fleet.Options{
		Seed:     seed,
		Policy:   limiter.PolicyPooled,
		Document: doc,
		VMs:      threeDataCentres,
		Far:      20 * time.Millisecond,
		Near:     time.Millisecond,
		Local:    100 * time.Microsecond,
		Faults:   faults,
	})
	f.Judge("w")
	f.Run(3 * time.Second)
	return f
}

// TestFleetNeverOverspends drives machines of six VMs through faults; in no window may the
// used tokens be above the plan.
func TestFleetNeverOverspends(t *testing.T) {
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
		pause := func(low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, "ms")) * time.Millisecond
		}
		faults := fleet.Faults{
			Loss:        rapid.SampledFrom([]int{0, 0, 50, 300}).Draw(t, "loss"),
			Double:      rapid.SampledFrom([]int{0, 100}).Draw(t, "double"),
			Late:        pause(0, 400),
			LostAnswers: rapid.SampledFrom([]int{0, 300}).Draw(t, "lost answers"),
			PausedLose:  rapid.Bool().Draw(t, "paused lose"),
		}
		plan := plans.Draw(t, "plan")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), document(plan, weights.Draw(t, "weights")...), faults)
		cut := map[string]bool{}
		arrive := func(t *rapid.T) {
			tokens := rapid.Int64Range(1, max(1, plan.BurstTokens)).Draw(t, "tokens")
			f.Arrive(fleet.Request{
				Workspace: "w",
				VM:        vms.Draw(t, "vm"),
				Tokens:    tokens,
				Used:      rapid.Int64Range(0, tokens).Draw(t, "used"),
				Length:    pause(0, 3000),
			})
			f.Run(pause(0, 30))
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive,
			"arrivals": func(t *rapid.T) {
				for range 8 {
					arrive(t)
				}
			},
			"time":      func(t *rapid.T) { f.Run(pause(0, 4000)) },
			"long time": func(*rapid.T) { f.Run(12 * time.Second) },
			"kill":      func(t *rapid.T) { f.Kill(vms.Draw(t, "vm"), pause(500, 8000)) },
			"restart": func(t *rapid.T) {
				vm := vms.Draw(t, "vm")
				f.Kill(vm, time.Hour)
				f.Start(vm, vm[:1])
			},
			"pause": func(t *rapid.T) {
				lag := rapid.SampledFrom([]int{0, 1000, 3000}).Draw(t, "lag")
				length := pause(100, 30000)
				if lag > 0 {
					length += limiter.PauseLimit // what the list drops does not come back sooner
				}
				f.Pause(vms.Draw(t, "vm"), length, time.Duration(lag)*time.Millisecond)
			},
			"stop": func(t *rapid.T) { f.Stop(vms.Draw(t, "vm"), 10*time.Second) },
			"cut": func(t *rapid.T) {
				dc := dcs.Draw(t, "dc")
				cut[dc] = !cut[dc]
				f.Cut(dc, cut[dc])
			},
			"platform": func(*rapid.T) { f.Platform.Away = !f.Platform.Away },
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
				if over := f.Judge("w").Overspend(); over > 0 {
					t.Fatalf("%d tokens over the plan", over)
				}
			},
		})
	})
}

// TestNothingLeaks: when messages come through, no part stays held after its request ended.
func TestNothingLeaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		late := time.Duration(rapid.IntRange(0, 300).Draw(t, "late")) * time.Millisecond
		f := newFleet(rapid.Uint64().Draw(t, "seed"), document(configuration.Plan{TokensPerSecond: 30, BurstTokens: 60}, 1, 2, 3), fleet.Faults{Late: late, Double: 100})
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			f.Arrive(fleet.Request{
				Workspace: "w",
				VM:        rapid.SampledFrom(f.Names()).Draw(t, "vm"),
				Tokens:    rapid.Int64Range(1, 60).Draw(t, "tokens"),
				Length:    time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond,
			})
			f.Run(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
		}
		f.Run(5 * time.Second)
		if held := f.Held(); held != 0 {
			t.Fatalf("%d parts are held for requests that ended", held)
		}
	})
}

// drain sends requests of one token to a VM until 20 in a row are refused, a request each
// millisecond, and gives the number admitted.
func drain(f *fleet.Fleet, vm string) int {
	admitted, refused := 0, 0
	for range 600 {
		f.Arrive(fleet.Request{Workspace: "w", VM: vm, Tokens: 1, Used: 1, Length: 10 * time.Millisecond, Done: func(ok bool) {
			if ok {
				admitted++
				refused = 0
			} else {
				refused++
			}
		}})
		if f.Run(time.Millisecond); refused >= 20 {
			break
		}
	}
	f.Run(time.Second)
	return admitted
}

// TestLosingAHolder empties all shares, changes the holder of a share in some way, and
// empties them again: the share comes back, and no token of the plan twice.
func TestLosingAHolder(t *testing.T) {
	const rate, burst = 30, 600
	plan := configuration.Plan{TokensPerSecond: rate, BurstTokens: burst}
	tests := map[string]func(f *fleet.Fleet, holder string){
		"killed": func(f *fleet.Fleet, holder string) {
			f.Kill(holder, time.Second)
			f.Run(8 * time.Second)
		},
		"restarted": func(f *fleet.Fleet, holder string) {
			f.Kill(holder, time.Hour)
			f.Run(100 * time.Millisecond)
			f.Start(holder, "a")
			f.Run(8 * time.Second)
		},
		"stopped": func(f *fleet.Fleet, holder string) {
			f.Stop(holder, 2*time.Second)
			drain(f, holder)
			f.Run(8 * time.Second)
		},
		"paused and replaced": func(f *fleet.Fleet, holder string) {
			f.Pause(holder, 30*time.Second, time.Second)
			f.Run(28 * time.Second)
			drain(f, "b1")
			f.Run(30*time.Second - 29*time.Second)
		},
		"paused and replaced, platform away at the end": func(f *fleet.Fleet, holder string) {
			f.Pause(holder, 30*time.Second, time.Second)
			f.Run(28 * time.Second)
			drain(f, "b1")
			f.Platform.Away = true
			f.Run(2 * time.Second)
		},
		"paused and not replaced": func(f *fleet.Fleet, holder string) {
			f.Pause(holder, 6*time.Second, 0)
			f.Run(8 * time.Second)
		},
		"paused and not replaced, platform away": func(f *fleet.Fleet, holder string) {
			f.Platform.Away = true
			f.Pause(holder, 6*time.Second, 0)
			f.Run(10 * time.Second)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, document(plan, 1, 1, 1), fleet.Faults{PausedLose: true})
			if n := drain(f, "b1"); n < burst {
				t.Fatalf("%d tokens admitted of a burst of %d", n, burst)
			}
			holder := f.Holder("a", "w")
			change(f, holder)
			drain(f, holder)
			for _, vm := range f.Names() {
				drain(f, vm)
			}
			if over := f.Judge("w").Overspend(); over > 0 {
				t.Errorf("%d tokens over the plan", over)
			}
			f.Run(time.Minute)
			if n := drain(f, "b1"); n < burst {
				t.Errorf("after the change only %d tokens of %d came back", n, burst)
			}
		})
	}
}

// TestChangingWeightsNeverAddsUpToMore empties the shares while data centres learn of new
// weights at different times, one of them cut off.
func TestChangingWeightsNeverAddsUpToMore(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 60, BurstTokens: 600}
	f := newFleet(2, document(plan, 1, 1, 8), fleet.Faults{})
	f.CutConfiguration = true
	drain(f, "a1")
	for i, weights := range [][]int{{8, 1, 1}, {1, 8, 1}, {8, 1, 1}, {1, 1, 8}} {
		f.Cut("c", i%2 == 0)
		f.Configure(document(plan, weights...))
		for _, vm := range []string{"a1", "b1", "c1", "a1", "b1", "c1"} {
			drain(f, vm)
		}
		f.Run(20 * time.Second)
		drain(f, "c1")
		drain(f, "a1")
	}
	f.Cut("c", false)
	f.Run(time.Minute)
	if over := f.Judge("w").Overspend(); over > 0 {
		t.Errorf("%d tokens over the plan", over)
	}
	if n := drain(f, "a1"); n < 600 {
		t.Errorf("only %d tokens of 600 are there in the end", n)
	}
}

// TestRemovingAWorkspaceGainsNothing removes and adds a workspace whose shares are empty.
func TestRemovingAWorkspaceGainsNothing(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 300}
	f := newFleet(3, document(plan, 1, 1, 1), fleet.Faults{})
	drain(f, "a1")
	gone := document(plan, 1, 1, 1)
	gone.Workspaces = nil
	for _, doc := range []configuration.Document{gone, document(plan, 1, 1, 1)} {
		f.Configure(doc)
		f.Run(20 * time.Second)
	}
	if n := drain(f, "a1"); n > 60 {
		t.Fatalf("%d tokens admitted after the workspace came back", n)
	}
}

// TestTwoGatherersDoNotRefuseEachOther: two requests that each need parts of several shares
// arrive at once; one bucket would admit one of them, so one must be admitted.
func TestTwoGatherersDoNotRefuseEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 90}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), document(plan, 1, 1, 1), fleet.Faults{})
		tokens := rapid.Int64Range(46, 90).Draw(t, "tokens")
		admitted := 0
		for _, vm := range []string{"a1", "b1", "c1"}[:rapid.IntRange(2, 3).Draw(t, "requests")] {
			f.Arrive(fleet.Request{Workspace: "w", VM: vm, Tokens: tokens, Used: tokens, Length: time.Second, Done: func(ok bool) {
				if ok {
					admitted++
				}
			}})
			f.Run(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
		}
		f.Run(3 * time.Second)
		if admitted != 1 {
			t.Fatalf("%d requests of %d tokens admitted of a burst of 90", admitted, tokens)
		}
	})
}
