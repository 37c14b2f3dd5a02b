package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// lateUsage is usage of which another VM has not heard yet.
type lateUsage struct {
	at     time.Duration
	tokens int64
}

// TestPlansHoldHoweverLateNewsIs guards against VMs that each use what all of them have left of a plan. It counts as the users do: in any window
// (rate x window + burst) x 1.1 + 190,000 tokens. The workspace asks for 7.5 times its rate from 10 s on, evenly at all VMs.
func TestPlansHoldHoweverLateNewsIs(t *testing.T) {
	for _, tc := range []struct {
		name string
		vms  int
		plan Limit
	}{
		{"6 VMs", 6, Limit{Rate: 30_000, Burst: 34_000}},
		{"24 VMs, a large plan", 24, Limit{Rate: 165_000, Burst: 160_000}},
	} {
		for _, delay := range newsDelays {
			t.Run(tc.name+", "+delay.String(), func(t *testing.T) {
				slack := Slack{PlanFraction: 0.1, Tokens: 190_000}
				used, at := worstPlanWindow(tc.vms, tc.plan, slack, delay)
				plan := tc.plan.Rate*testWindow.Seconds() + tc.plan.Burst
				allowed := plan*(1+slack.PlanFraction) + slack.Tokens
				t.Logf("%.2f of what is allowed, in the window until %v", float64(used)/allowed, at)
				if float64(used) > allowed {
					t.Errorf("%d tokens were admitted in the window until %v, %.0f are allowed", used, at, allowed)
				}
			})
		}
	}
}

// worstPlanWindow plays VMs that hear of each other's usage after a delay and returns the largest usage in a window.
func worstPlanWindow(vms int, plan Limit, slack Slack, delay time.Duration) (worst int64, until time.Duration) {
	const cost = 5000
	rng := rand.New(rand.NewPCG(1, 3))
	fleet := make([]*Plans, vms)
	for i := range fleet {
		fleet[i] = NewPlans(oldStart(), testWindow, testLoweringDelay, slack)
	}
	var admitted []lateUsage
	news := map[time.Duration][]func(){}
	for now := time.Duration(0); now < 40*time.Second; now += modelStep {
		for _, m := range news[now] {
			m()
		}
		delete(news, now)
		calls := plan.Rate / cost * modelStep.Seconds()
		if now >= 10*time.Second {
			calls *= 7.5
		}
		for ; calls > 0; calls-- {
			i := rng.IntN(vms)
			if rng.Float64() >= calls || !fleet[i].Admit(at(now), "w", plan, cost).Admitted {
				continue
			}
			admitted = append(admitted, lateUsage{now, cost})
			due := now + max(modelStep, delay.Truncate(modelStep))
			news[due] = append(news[due], func() {
				for j, p := range fleet {
					if j != i {
						p.AddFromPeer(at(due), "w", cost)
					}
				}
			})
		}
	}
	first, sum := 0, int64(0)
	for _, u := range admitted {
		for sum += u.tokens; admitted[first].at <= u.at-testWindow; first++ {
			sum -= admitted[first].tokens
		}
		if sum > worst {
			worst, until = sum, u.at
		}
	}
	return worst, until
}
