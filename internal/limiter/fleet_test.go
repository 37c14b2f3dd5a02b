package limiter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/test/cmd/limitermeasure/fleet"
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
				f.Pause(vms.Draw(t, "vm"), pause(100, 30000), time.Duration(lag)*time.Millisecond)
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
