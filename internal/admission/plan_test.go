package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	testWindow = 8 * time.Second
	testNotice = 2 * time.Second
)

// longAgo is a start after which a plan's whole window is counted.
func longAgo() clock.Instant { return clock.Instant(0) }

func at(d time.Duration) clock.Instant { return clock.Instant(time.Minute + d) }

// TestNoWindowExceedsThePlan checks the rule's own bound, rate times the window and the burst,
// over every window that ends with an admission, with admissions of other VMs mixed in.
func TestNoWindowExceedsThePlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlans(longAgo(), testWindow, testNotice, Slack{})
		limit := Limit{Rate: float64(rapid.IntRange(100, 5000).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 20000).Draw(t, "burst"))}
		type admitted struct {
			at   clock.Instant
			cost int64
		}
		var log []admitted
		now := at(0)
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			cost := int64(rapid.IntRange(1, 9000).Draw(t, "cost"))
			if p.Admit(now, "w", limit, cost).Admitted {
				log = append(log, admitted{now, cost})
			}
			sum := int64(0)
			for _, a := range log {
				if now.Sub(a.at) < testWindow {
					sum += a.cost
				}
			}
			if bound := limit.Rate*testWindow.Seconds() + limit.Burst; float64(sum) > bound {
				t.Fatalf("%d tokens in a window, the plan allows %.0f", sum, bound)
			}
		}
	})
}

func TestPlanTable(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500}
	for _, tc := range []struct {
		name string
		do   func(p *Plans) bool
		want bool
	}{
		{"within the plan", func(p *Plans) bool { return p.Admit(at(0), "w", limit, 8000).Admitted }, true},
		{"over the plan", func(p *Plans) bool { return p.Admit(at(0), "w", limit, 9000).Admitted }, false},
		{"no limit", func(p *Plans) bool { return p.Admit(at(0), "w", Limit{}, 1<<40).Admitted }, true},
		{"what others admitted counts", func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 1)
			p.Heard(at(0), "w", 8000)
			return p.Admit(at(0), "w", limit, 500).Admitted
		}, false},
		{"what others know of the window counts after a start", func(*Plans) bool {
			p := NewPlans(at(-testWindow/2), testWindow, testNotice, Slack{})
			p.Admit(at(0), "w", limit, 1)
			p.HeardWindow(at(0), map[string]int64{"w": 8000})
			p.HeardWindow(at(0), map[string]int64{"w": 7900}) // another VM knows of less
			return p.Admit(at(0), "w", limit, 1000).Admitted
		}, false},
		{"a VM that learnt of the window gives out all that is left", func(*Plans) bool {
			p := NewPlans(at(-time.Second), testWindow, testNotice, Slack{})
			p.HeardWindow(at(0), map[string]int64{"w": 500})
			return p.Admit(at(0), "w", limit, 7900).Admitted
		}, true},
		{"what was learnt of the window leaves it evenly", func(*Plans) bool {
			p := NewPlans(at(-time.Second), testWindow, testNotice, Slack{})
			for i := range 10 { // each heartbeat tells again
				p.HeardWindow(at(time.Duration(i)*100*time.Millisecond), map[string]int64{"w": 8000})
			}
			return p.Admit(at(testWindow/2), "w", limit, 4000).Admitted
		}, true},
		{"a VM that has seen the whole window knows better", func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 1)
			p.HeardWindow(at(0), map[string]int64{"w": 8000})
			return p.Admit(at(0), "w", limit, 1000).Admitted
		}, true},
		{"what other data centres used counts", func(p *Plans) bool {
			p.HeardFar(at(0), "b", map[string]int64{"w": 5000})
			p.HeardFar(at(0), "c", map[string]int64{"w": 3000})
			return p.Admit(at(0), "w", limit, 1000).Admitted
		}, false},
		{"a newer sum takes the place of an older one", func(p *Plans) bool {
			p.HeardFar(at(0), "b", map[string]int64{"w": 8000})
			p.HeardFar(at(0), "b", map[string]int64{"w": 3000})
			return p.Admit(at(0), "w", limit, 5000).Admitted
		}, true},
		{"an old sum has left the window", func(p *Plans) bool {
			p.HeardFar(at(0), "b", map[string]int64{"w": 8000})
			return p.Admit(at(testWindow+farHold), "w", limit, 8000).Admitted
		}, true},
		{"what is returned is free again", func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 8000)
			p.Return(at(0), "w", 8000)
			return p.Admit(at(0), "w", limit, 8000).Admitted
		}, true},
		{"the window passes", func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 8000)
			return p.Admit(at(testWindow+time.Second), "w", limit, 8000).Admitted
		}, true},
		{"a cut side keeps to its share", func(p *Plans) bool {
			p.SetShare(0.5)
			return p.Admit(at(0), "w", limit, 5000).Admitted
		}, false},
		{"a lower plan does not count before its notice", func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 6000)
			return p.Admit(at(testNotice), "w", Limit{Rate: 100}, 1000).Admitted
		}, true},
		{"a lower plan counts a window later", func(p *Plans) bool {
			p.Admit(at(0), "w", limit, 1)
			p.Admit(at(time.Second), "w", Limit{Rate: 100}, 1)
			return p.Admit(at(time.Second+testNotice+testWindow), "w", Limit{Rate: 100}, 900).Admitted
		}, false},
		{"a higher plan counts at once", func(p *Plans) bool {
			p.Admit(at(0), "w", Limit{Rate: 100}, 700)
			return p.Admit(at(time.Second), "w", limit, 7000).Admitted
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.do(NewPlans(longAgo(), testWindow, testNotice, Slack{})); got != tc.want {
				t.Errorf("admitted %v, want %v", got, tc.want)
			}
		})
	}
}

// TestANewLifeTakesThePlanForUsed shows that a VM that starts anew, and knows nothing of the
// window before, does not give the plan out a second time.
func TestANewLifeTakesThePlanForUsed(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500}
	p := NewPlans(at(0), testWindow, testNotice, Slack{})
	if p.Admit(at(time.Second), "w", limit, 2000).Admitted {
		t.Error("2000 tokens a second after the start, the plan allows 1500")
	}
	if !p.Admit(at(time.Second), "w", limit, 1400).Admitted {
		t.Error("1400 tokens a second after the start were refused")
	}
}

func TestTheWaitIsEnough(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500}
	p := NewPlans(longAgo(), testWindow, testNotice, Slack{})
	p.Admit(at(0), "w", limit, 4000)
	p.Admit(at(3*time.Second), "w", limit, 4000)
	v := p.Admit(at(4*time.Second), "w", limit, 3000)
	if v.Admitted || v.Wait <= 0 {
		t.Fatalf("verdict %+v", v)
	}
	if !p.Admit(at(4*time.Second).Add(v.Wait), "w", limit, 3000).Admitted {
		t.Error("refused after the stated wait")
	}
}

// TestTheRestOfAPlanIsSplit gives one plan to four groups of VMs that hear each other a second
// late, all of which ask for more than it allows, and checks the users' bound: a tenth more.
func TestTheRestOfAPlanIsSplit(t *testing.T) {
	for _, limit := range []Limit{{Rate: 1000, Burst: 1000}, {Rate: 10_000, Burst: 10_000}, {Rate: 150_000, Burst: 150_000}} {
		t.Run(fmt.Sprint(limit.Rate), func(t *testing.T) { testSplit(t, limit, Slack{Over: 0.1, Tokens: 190_000}) })
	}
}

func testSplit(t *testing.T, limit Limit, slack Slack) {
	const groups, lag = 4, 8
	cost := int64(limit.Rate / 200)
	var plans [groups]*Plans
	for i := range plans {
		plans[i] = NewPlans(longAgo(), testWindow, testNotice, slack)
		plans[i].SetSplit(1.0 / groups)
	}
	step := testWindow / planParts
	var admits [groups][]int64 // what each group admitted in each step
	window := func(i, end int) (sum int64) {
		for _, v := range admits[i][max(0, end-planParts):end] {
			sum += v
		}
		return sum
	}
	for n := range 4 * planParts {
		now := at(time.Duration(n) * step)
		for i, p := range plans {
			admitted := int64(0)
			for range 400 { // far more than there is
				if p.Admit(now, "w", limit, cost).Admitted {
					admitted += cost
				}
			}
			admits[i] = append(admits[i], admitted)
			if got, want := p.Together(now)["w"], window(i, n+1); got < want {
				t.Fatalf("step %d: the group tells %d, it admitted %d", n, got, want)
			}
			for j := range plans {
				if late := n - lag; j != i && late >= 0 {
					plans[j].HeardFar(now, fmt.Sprint(i), map[string]int64{"w": window(i, late+1)})
				}
			}
		}
		sum := int64(0)
		for i := range admits {
			sum += window(i, n+1)
		}
		if bound := 1.1*(limit.Rate*testWindow.Seconds()+limit.Burst) + slack.Tokens; float64(sum) > bound {
			t.Fatalf("step %d: %d tokens in a window, the bound is %.0f", n, sum, bound)
		}
	}
}

// TestSlackStaysWithinTheBound cuts the fleet into sides that hear nothing of each other and has
// them start anew again and again, all asking for more than there is, and checks the users' bound.
func TestSlackStaysWithinTheBound(t *testing.T) {
	limit := Limit{Rate: 10_000, Burst: 30_000}
	slack := Slack{Over: 0.1, Tokens: 100_000}
	whole := limit.Rate*testWindow.Seconds() + limit.Burst
	bound := whole*(1+slack.Over) + slack.Tokens
	shares := []float64{0.5, 0.3, 0.2}
	rapid.Check(t, func(t *rapid.T) {
		var sides []*Plans
		begin := func(i int, at clock.Instant) *Plans {
			p := NewPlans(at, testWindow, testNotice, slack)
			p.SetShare(shares[i])
			return p
		}
		for i := range shares {
			sides = append(sides, begin(i, longAgo()))
		}
		step := testWindow / planParts
		restartedAt := -planParts // at most one side loses its count in a window
		var admitted []int64
		for n := range 3 * planParts {
			now := at(time.Duration(n) * step)
			if n-restartedAt >= planParts && rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				restartedAt = n
				i := rapid.IntRange(0, len(sides)-1).Draw(t, "side")
				sides[i] = begin(i, now)
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
			for _, v := range admitted[max(0, n+1-planParts):] {
				used += v
			}
			if float64(used) > bound {
				t.Fatalf("step %d: %d tokens in a window, the bound is %.0f", n, used, bound)
			}
		}
	})
}

// TestACutCostsLittleWhereThereIsSlack shows that a side of a cut may use nearly all of a plan
// that is small against the slack.
func TestACutCostsLittleWhereThereIsSlack(t *testing.T) {
	p := NewPlans(longAgo(), testWindow, testNotice, Slack{Over: 0.1, Tokens: 190_000})
	p.SetShare(0.5)
	if v := p.Admit(at(0), "w", Limit{Rate: 1000, Burst: 2000}, 9000); !v.Admitted {
		t.Errorf("refused: %+v", v)
	}
}
