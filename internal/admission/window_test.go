package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// windowOf returns a WindowState with one workspace, whose usage is given by age in buckets.
func windowOf(byAge map[int]int64) WindowState {
	tokens := make([]int64, accountBuckets)
	for age, n := range byAge {
		tokens[age] = n
	}
	return WindowState{Buckets: map[string][]int64{"w": tokens}}
}

func TestAdoptWindow(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500} // 8500 tokens in a window
	bucket := testWindow / windowBuckets
	for _, tc := range []struct {
		name      string
		startedAt clock.Instant
		run       func(p *Plans) bool
		want      bool
	}{
		{"adopted usage counts", at(-testWindow / 2), func(p *Plans) bool {
			p.AdoptWindow(at(0), windowOf(map[int]int64{5: 8000}))
			return p.Admit(at(0), "w", limit, 1000).Admitted
		}, false},
		{"a second VM reports less", at(-testWindow / 2), func(p *Plans) bool {
			p.AdoptWindow(at(0), windowOf(map[int]int64{5: 8000}))
			p.AdoptWindow(at(0), windowOf(map[int]int64{5: 7900}))
			return p.Admit(at(0), "w", limit, 1000).Admitted
		}, false},
		{"usage known to both VMs counts once", at(-time.Second), func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 500)
			p.AdoptWindow(at(0), windowOf(map[int]int64{0: 500, 5: 7000}))
			return p.Admit(at(0), "w", limit, 1000).Admitted
		}, true},
		{"all that remains is admitted", at(-time.Second), func(p *Plans) bool {
			p.AdoptWindow(at(0), windowOf(map[int]int64{5: 500}))
			return p.Admit(at(0), "w", limit, 7900).Admitted
		}, true},
		{"recent usage stays for nearly a window", at(-time.Second), func(p *Plans) bool {
			p.AdoptWindow(at(0), windowOf(map[int]int64{0: 8000}))
			return p.Admit(at(testWindow-bucket), "w", limit, 1000).Admitted
		}, false},
		{"old usage leaves first", at(-time.Second), func(p *Plans) bool {
			p.AdoptWindow(at(0), windowOf(map[int]int64{windowBuckets - 2: 8000}))
			return p.Admit(at(4*bucket), "w", limit, 8000).Admitted
		}, true},
		{"VM that has counted a whole window adopts nothing", oldStart(), func(p *Plans) bool {
			p.AdoptWindow(at(0), windowOf(map[int]int64{0: 8000}))
			return p.Admit(at(0), "w", limit, 1000).Admitted
		}, true},
		{"usage of other data centres counts", at(-time.Second), func(p *Plans) bool {
			report := DataCentreReport{Age: time.Second, Tokens: map[string]int64{"w": 8000}}
			p.AdoptWindow(at(0), WindowState{DataCentres: map[string]DataCentreReport{"b": report}})
			return p.Admit(at(0), "w", limit, 1000).Admitted
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPlans(tc.startedAt, testWindow, testLoweringDelay, Slack{})
			if got := tc.run(p); got != tc.want {
				t.Errorf("admitted = %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRestartedVMKeepsToThePlan has two VMs that tell each other at once what they admit. One
// restarts, also while the plan is used up by a burst, and adopts the window of the other. No
// window may exceed the plan.
func TestRestartedVMKeepsToThePlan(t *testing.T) {
	limit := Limit{Rate: 10_000, Burst: 30_000}
	plan := limit.Rate*testWindow.Seconds() + limit.Burst
	rapid.Check(t, func(t *rapid.T) {
		vms := []*Plans{
			NewPlans(oldStart(), testWindow, testLoweringDelay, Slack{}),
			NewPlans(oldStart(), testWindow, testLoweringDelay, Slack{}),
		}
		var admitted []int64
		step := testWindow / windowBuckets
		for n := range 3 * windowBuckets {
			now := at(time.Duration(n) * step)
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				vms[1] = NewPlans(now, testWindow, testLoweringDelay, Slack{})
				state, _ := vms[0].WindowState(now)
				vms[1].AdoptWindow(now, state)
			}
			sum := int64(0)
			for range rapid.SampledFrom([]int{0, 0, 0, 2, 60}).Draw(t, "calls") {
				i := rapid.IntRange(0, 1).Draw(t, "vm")
				if vms[i].Admit(now, "w", limit, 1000).Admitted {
					vms[1-i].account(now, "w", limit)
					vms[1-i].AddFromPeer(now, "w", 1000)
					sum += 1000
				}
			}
			admitted = append(admitted, sum)
			used := int64(0)
			for _, v := range admitted[max(0, n+1-windowBuckets):] {
				used += v
			}
			if float64(used) > plan {
				t.Fatalf("step %d: %d tokens admitted in a window, the plan allows %.0f", n, used, plan)
			}
		}
	})
}

// TestMergedUsageIsNeitherForgottenNorCountedTwice checks that each period up to a start holds the larger of two told amounts.
func TestMergedUsageIsNeitherForgottenNorCountedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usage := rapid.SliceOfN(rapid.Int64Range(0, 1000), accountBuckets, accountBuckets)
		told := [][]int64{usage.Draw(t, "first"), usage.Draw(t, "second")}
		p := NewPlans(at(0), testWindow, testLoweringDelay, Slack{})
		for _, tokens := range told {
			tokens[0] = 0 // the bucket of the start
			p.AdoptWindow(at(0), WindowState{Buckets: map[string][]int64{"w": tokens}})
		}
		var merged, first, second int64
		for age, n := range p.usage(at(0), "w").byAge() {
			merged, first, second = merged+n, first+told[0][age], second+told[1][age]
			if merged != max(first, second) {
				t.Fatalf("%d tokens in the last %d buckets, told %d and %d", merged, age+1, first, second)
			}
		}
		if p.accounts["w"].sum != merged {
			t.Fatalf("sum %d, the buckets hold %d", p.accounts["w"].sum, merged)
		}
	})
}
