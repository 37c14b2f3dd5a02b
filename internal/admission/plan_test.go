package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	testWindow        = 8 * time.Second
	testLoweringDelay = 2 * time.Second
)

// oldStart is a start time so early that the usage of the whole window is known.
func oldStart() clock.Instant { return clock.Instant(0) }

func at(d time.Duration) clock.Instant { return clock.Instant(time.Minute + d) }

// TestNoWindowExceedsThePlan checks the bound, rate times window plus burst, for every window that
// ends with an admission.
func TestNoWindowExceedsThePlan(t *testing.T) {
	t.Run("a large call leaves the window just before a small one", func(t *testing.T) {
		checkPlan(t, Limit{Rate: 100, Burst: 2853}, largeCallLeavesWindow)
	})
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: float64(rapid.IntRange(100, 5000).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 20000).Draw(t, "burst"))}
		var calls []pausedCall
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			pause := rapid.IntRange(0, 700).Draw(t, "pause")
			calls = append(calls, pausedCall{pause, rapid.IntRange(1, 9000).Draw(t, "cost")})
		}
		checkPlan(t, limit, calls)
	})
}

// pausedCall is a call of so many tokens, some milliseconds after the one before.
type pausedCall struct{ pauseMillis, cost int }

var largeCallLeavesWindow = []pausedCall{
	{0, 1},
	{0, 1},
	{0, 1},
	{3, 1},
	{43, 3581},
	{21, 1},
	{328, 1},
	{3, 1},
	{6, 1},
	{0, 1},
	{113, 1},
	{14, 1},
	{1, 1},
	{1, 1},
	{306, 1},
	{0, 1},
	{8, 1},
	{208, 1},
	{487, 1},
	{4, 1},
	{9, 1},
	{90, 1},
	{25, 1},
	{1, 1},
	{9, 1},
	{7, 1},
	{8, 1},
	{1, 1},
	{7, 1},
	{129, 1},
	{127, 1},
	{99, 1},
	{15, 1},
	{8, 1},
	{700, 1},
	{281, 1},
	{514, 1},
	{86, 1},
	{436, 1},
	{129, 1},
	{453, 1},
	{2, 1},
	{0, 1},
	{59, 1},
	{284, 1},
	{12, 1},
	{1, 1},
	{3, 1},
	{6, 1},
	{374, 1},
	{107, 1},
	{189, 1},
	{121, 1},
	{201, 1},
	{1, 1},
	{692, 1},
	{29, 1},
	{1, 1},
	{1, 1},
	{700, 1},
	{537, 17},
}

// checkPlan admits calls and checks that no window ends beyond what the limit allows.
func checkPlan(t interface{ Fatalf(string, ...any) }, limit Limit, calls []pausedCall) {
	p := NewPlans(oldStart(), testWindow, testLoweringDelay, Slack{})
	var used usageLog
	now := at(0)
	for _, c := range calls {
		now = now.Add(time.Duration(c.pauseMillis) * time.Millisecond)
		if p.Admit(now, "w", limit, int64(c.cost)).Admitted {
			used.add(now, int64(c.cost))
		}
		if sum, bound := used.inWindow(now), limit.Rate*testWindow.Seconds()+limit.Burst; float64(sum) > bound {
			t.Fatalf("%d tokens admitted in a window, the plan allows %.0f", sum, bound)
		}
	}
}

// usageLog holds what was admitted, by time.
type usageLog []struct {
	at   clock.Instant
	cost int64
}

func (l *usageLog) add(at clock.Instant, cost int64) {
	*l = append(*l, struct {
		at   clock.Instant
		cost int64
	}{at, cost})
}

// inWindow returns the sum of what was admitted in the window that ends now.
func (l *usageLog) inWindow(now clock.Instant) (sum int64) {
	for _, u := range *l {
		if now.Sub(u.at) < testWindow {
			sum += u.cost
		}
	}
	return sum
}

// TestPlansWithoutWindow checks that a site that states no window gets the shortest one.
func TestPlansWithoutWindow(t *testing.T) {
	p := NewPlans(oldStart(), 0, 0, Slack{})
	limit := Limit{Rate: 1000, Burst: 500}
	if !p.Admit(at(0), "w", limit, 1500).Admitted || p.Admit(at(0), "w", limit, 1).Admitted {
		t.Error("the plan does not hold for a window of one second")
	}
}

func TestPlansAdmit(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500}
	for _, tc := range []struct {
		name string
		run  func(p *Plans) bool
		want bool
	}{
		{"within the plan", func(p *Plans) bool { return p.Admit(at(0), "w", limit, 8000).Admitted }, true},
		{"over the plan", func(p *Plans) bool { return p.Admit(at(0), "w", limit, 9000).Admitted }, false},
		{"no limit", func(p *Plans) bool { return p.Admit(at(0), "w", Limit{}, 1<<40).Admitted }, true},
		{"usage by other VMs before this VM's first call counts", func(p *Plans) bool {
			p.AddFromPeer(at(0), "w", 8000)
			return p.Admit(at(0), "w", limit, 1000).Admitted
		}, false},
		{"usage by other VMs counts", func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 1)
			p.AddFromPeer(at(0), "w", 8000)
			return p.Admit(at(0), "w", limit, 500).Admitted
		}, false},
		{"usage by other data centres counts", func(p *Plans) bool {
			p.SetDataCentreUsage(at(0), "b", map[string]int64{"w": 5000})
			p.SetDataCentreUsage(at(0), "c", map[string]int64{"w": 3000})
			return p.Admit(at(0), "w", limit, 1000).Admitted
		}, false},
		{"newer data centre report replaces the older one", func(p *Plans) bool {
			p.SetDataCentreUsage(at(0), "b", map[string]int64{"w": 8000})
			p.SetDataCentreUsage(at(0), "b", map[string]int64{"w": 3000})
			return p.Admit(at(0), "w", limit, 5000).Admitted
		}, true},
		{"old data centre report has left the window", func(p *Plans) bool {
			p.SetDataCentreUsage(at(0), "b", map[string]int64{"w": 8000})
			return p.Admit(at(testWindow+reportHold), "w", limit, 8000).Admitted
		}, true},
		{"refund is available again", func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 8000)
			p.Refund(at(0), "w", 8000)
			return p.Admit(at(0), "w", limit, 8000).Admitted
		}, true},
		{"usage leaves the window", func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 8000)
			return p.Admit(at(testWindow+time.Second), "w", limit, 8000).Admitted
		}, true},
		{"partition side keeps to its share", func(p *Plans) bool {
			p.SetLiveShare(at(0), 0.5, 0)
			return p.Admit(at(0), "w", limit, 5000).Admitted
		}, false},
		{"lowered plan has no effect before its delay", func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 6000)
			return p.Admit(at(testLoweringDelay), "w", Limit{Rate: 100}, 1000).Admitted
		}, true},
		{"lowered plan has full effect one window after its delay", func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 1)
			p.Admit(at(time.Second), "w", Limit{Rate: 100}, 1)
			return p.Admit(at(time.Second+testLoweringDelay+testWindow), "w", Limit{Rate: 100}, 900).Admitted
		}, false},
		{"plan lowered before the workspace's first call has no effect before the delay", func(p *Plans) bool {
			p.SetLimit(at(0), "w", limit)
			p.SetLimit(at(time.Second), "w", Limit{Rate: 100})
			return p.Admit(at(time.Second+testLoweringDelay), "w", Limit{Rate: 100}, 7000).Admitted
		}, true},
		{"raised plan has an immediate effect", func(p *Plans) bool {
			p.Admit(at(0), "w", Limit{Rate: 100}, 700)
			return p.Admit(at(time.Second), "w", limit, 7000).Admitted
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.run(NewPlans(oldStart(), testWindow, testLoweringDelay, Slack{})); got != tc.want {
				t.Errorf("admitted %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRestartedVMAssumesPlanWasUsed checks that a restarted VM, which does not know the usage
// before its start, does not admit the same tokens a second time. Only as much of the burst is admitted as a part
// of the slack covers, because it may have been used before.
func TestRestartedVMAssumesPlanWasUsed(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500}
	for _, tc := range []struct {
		slack   float64
		allowed int64
	}{{0, 1000}, {1000, 1200}, {10_000, 1500}} {
		p := NewPlans(at(0), testWindow, testLoweringDelay, Slack{Tokens: tc.slack})
		if p.Admit(at(time.Second), "w", limit, tc.allowed+100).Admitted {
			t.Errorf("slack %v: %d tokens were admitted 1 s after the start, want at most %d", tc.slack, tc.allowed+100, tc.allowed)
		}
		if !p.Admit(at(time.Second), "w", limit, tc.allowed-100).Admitted {
			t.Errorf("slack %v: %d tokens were rejected 1 s after the start; %d are allowed", tc.slack, tc.allowed-100, tc.allowed)
		}
	}
}

func TestCallIsAdmittedAfterRetryAfter(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500}
	p := NewPlans(oldStart(), testWindow, testLoweringDelay, Slack{})
	p.Admit(at(0), "w", limit, 4000)
	p.Admit(at(3*time.Second), "w", limit, 4000)
	d := p.Admit(at(4*time.Second), "w", limit, 3000)
	if d.Admitted || d.RetryAfter <= 0 {
		t.Fatalf("Admit() = %+v, want a rejection with RetryAfter", d)
	}
	if !p.Admit(at(4*time.Second).Add(d.RetryAfter), "w", limit, 3000).Admitted {
		t.Error("rejected after RetryAfter")
	}
}

// TestPlanIsSplitBetweenDataCentres has four groups of VMs use one plan while each group learns of
// the others' usage one second late and requests more than the plan allows. The total may exceed
// the plan by the slack only: a tenth of the plan plus slack.Tokens.
func TestPlanIsSplitBetweenDataCentres(t *testing.T) {
	for _, limit := range []Limit{{Rate: 1000, Burst: 1000}, {Rate: 10_000, Burst: 10_000}, {Rate: 150_000, Burst: 150_000}} {
		t.Run(fmt.Sprint(limit.Rate), func(t *testing.T) { testPlanSplit(t, limit, Slack{PlanFraction: 0.1, Tokens: 190_000}) })
	}
}

func testPlanSplit(t *testing.T, limit Limit, slack Slack) {
	const groups, lag = 4, 8
	cost := int64(limit.Rate / 200)
	var plans [groups]*Plans
	for i := range plans {
		plans[i] = NewPlans(oldStart(), testWindow, testLoweringDelay, slack)
		plans[i].SetRemainderShare(1.0 / groups)
	}
	step := testWindow / windowBuckets
	var admits [groups][]int64 // what each group admitted in each step
	window := func(i, end int) (sum int64) {
		for _, v := range admits[i][max(0, end-windowBuckets):end] {
			sum += v
		}
		return sum
	}
	for n := range 4 * windowBuckets {
		now := at(time.Duration(n) * step)
		for i, p := range plans {
			admitted := int64(0)
			for range 400 { // far more than the plan allows
				if p.Admit(now, "w", limit, cost).Admitted {
					admitted += cost
				}
			}
			admits[i] = append(admits[i], admitted)
			if got, want := p.WindowUsage(now)["w"], window(i, n+1); got < want {
				t.Fatalf("step %d: the group reports %d tokens, it admitted %d", n, got, want)
			}
			for j := range plans {
				if reported := n - lag; j != i && reported >= 0 {
					plans[j].SetDataCentreUsage(now, fmt.Sprint(i), map[string]int64{"w": window(i, reported+1)})
				}
			}
		}
		sum := int64(0)
		for i := range admits {
			sum += window(i, n+1)
		}
		if bound := 1.1*(limit.Rate*testWindow.Seconds()+limit.Burst) + slack.Tokens; float64(sum) > bound {
			t.Fatalf("step %d: %d tokens admitted in a window, the bound is %.0f", n, sum, bound)
		}
	}
}

// TestPartitionAndRestartsStayWithinSlack partitions the fleet into sides that cannot reach each
// other, restarts them repeatedly, and has all of them request more than the plan allows. The total
// may exceed the plan by the slack only.
func TestPartitionAndRestartsStayWithinSlack(t *testing.T) {
	limit := Limit{Rate: 10_000, Burst: 30_000}
	slack := Slack{PlanFraction: 0.1, Tokens: 100_000}
	plan := limit.Rate*testWindow.Seconds() + limit.Burst
	bound := plan*(1+slack.PlanFraction) + slack.Tokens
	shares := []float64{0.5, 0.3, 0.2}
	rapid.Check(t, func(t *rapid.T) {
		var sides []*Plans
		start := func(i int, at clock.Instant) *Plans {
			p := NewPlans(at, testWindow, testLoweringDelay, slack)
			p.SetLiveShare(at, shares[i], 0)
			return p
		}
		for i := range shares {
			sides = append(sides, start(i, oldStart()))
		}
		step := testWindow / windowBuckets
		restartedAt := -windowBuckets // at most one side restarts, and so loses its counts, in a window
		var admitted []int64
		for n := range 3 * windowBuckets {
			now := at(time.Duration(n) * step)
			if n-restartedAt >= windowBuckets && rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				restartedAt = n
				i := rapid.IntRange(0, len(sides)-1).Draw(t, "side")
				sides[i] = start(i, now)
			}
			sum := int64(0)
			for _, p := range sides {
				for range rapid.IntRange(0, 30).Draw(t, "calls") {
					if p.Admit(now, "w", limit, 1000).Admitted {
						sum += 1000
					}
				}
			}
			admitted = append(admitted, sum)
			used := int64(0)
			for _, v := range admitted[max(0, n+1-windowBuckets):] {
				used += v
			}
			if float64(used) > bound {
				t.Fatalf("step %d: %d tokens admitted in a window, the bound is %.0f", n, used, bound)
			}
		}
	})
}

// TestPartitionSideUsesSmallPlanAlmostFully checks that one side of a partition may use nearly all
// of a plan that is small compared to the slack.
func TestPartitionSideUsesSmallPlanAlmostFully(t *testing.T) {
	p := NewPlans(oldStart(), testWindow, testLoweringDelay, Slack{PlanFraction: 0.1, Tokens: 190_000})
	p.SetLiveShare(at(0), 0.5, 0)
	if d := p.Admit(at(0), "w", Limit{Rate: 1000, Burst: 2000}, 9000); !d.Admitted {
		t.Errorf("rejected: %+v", d)
	}
}
