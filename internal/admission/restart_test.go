package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// restartAll returns the Plans of a fleet whose VMs all ended, and started again, at now.
func restartAll(t *rapid.T, now clock.Instant, before *Plans, slack Slack) *Plans {
	return NewPlans(now, testWindow, testLoweringDelay, slack)
}

// TestPlanHoldsWhenAllVMsEnd plays a workspace that asks for a multiple of its plan while all VMs end and start
// again, several times. No window may hold more than the plan, and the part of the slack that is left for it.
func TestPlanHoldsWhenAllVMsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1000, 50_000).Draw(t, "rate"))
		limit := Limit{Rate: rate, Burst: rate * rapid.Float64Range(0, 2).Draw(t, "burst")}
		slack := Slack{PlanFraction: 0.1, Tokens: rate * rapid.Float64Range(0.5, 4).Draw(t, "slack")}
		p := NewPlans(oldStart(), testWindow, testLoweringDelay, slack)
		type admitted struct {
			at   clock.Instant
			cost int64
		}
		var admissions []admitted
		now := at(0)
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 60).Draw(t, "end") == 0 {
				now = now.Add(time.Duration(rapid.IntRange(300, 1500).Draw(t, "down")) * time.Millisecond)
				p = restartAll(t, now, p, slack)
			}
			cost := int64(rate * rapid.Float64Range(0.01, 0.4).Draw(t, "cost"))
			if p.Admit(now, "w", limit, cost).Admitted {
				admissions = append(admissions, admitted{now, cost})
			}
			sum := int64(0)
			for _, a := range admissions {
				if now.Sub(a.at) < testWindow {
					sum += a.cost
				}
			}
			plan := limit.Rate*testWindow.Seconds() + limit.Burst
			if bound := plan*(1+slack.PlanFraction) + slack.Tokens; float64(sum) > bound {
				t.Fatalf("%d tokens admitted in a window, %.0f are allowed", sum, bound)
			}
		}
	})
}
