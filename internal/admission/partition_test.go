package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	testStep = testWindow / windowBuckets
	// testUnnoticed is how long a partition is not noticed, in steps.
	testUnnoticed = 10
)

// side is the VMs of one side of a partition, which know each other's usage at once.
type side struct {
	*Plans
	share float64
	// admitted is what the side admitted in each step.
	admitted []int64
}

func newSides(slack Slack, shares ...float64) []*side {
	var out []*side
	for _, share := range shares {
		out = append(out, &side{Plans: NewPlans(oldStart(), testWindow, testLoweringDelay, slack), share: share})
	}
	return out
}

// step has a side ask for a number of calls of 1000 tokens each, and returns how many it rejected.
func (s *side) step(now clock.Instant, limit Limit, calls int) (rejected int) {
	sum := int64(0)
	for range calls {
		if s.Admit(now, "w", limit, 1000).Admitted {
			sum += 1000
		} else {
			rejected++
		}
	}
	s.admitted = append(s.admitted, sum)
	return rejected
}

// report adds what other sides admitted since the step from.
func (s *side) report(now clock.Instant, others []*side, from int) {
	for _, o := range others {
		if o == s {
			continue
		}
		for _, n := range o.admitted[from:] {
			s.AddFromPeer(now, "w", n)
		}
	}
}

func usedInWindow(sides []*side) (sum int64) {
	for _, s := range sides {
		for _, n := range s.admitted[max(0, len(s.admitted)-windowBuckets):] {
			sum += n
		}
	}
	return sum
}

// TestCutOffSideServesItsCalls has a workspace use 60 % of its plan on VMs of four data centres, of which
// one is cut off. What all of them used before the partition must not count against the share of one.
func TestCutOffSideServesItsCalls(t *testing.T) {
	limit := Limit{Rate: 40_000, Burst: 80_000}
	sides := newSides(Slack{PlanFraction: 0.1, Tokens: 10_000}, 0.25, 0.75)
	const total = 4 // calls in each step, a fourth of them on the first side
	rejected := 0
	for n := range 4 * windowBuckets {
		now := at(time.Duration(n) * testStep)
		partitioned := n >= 2*windowBuckets
		if n == 2*windowBuckets+testUnnoticed {
			for _, s := range sides {
				s.SetLiveShare(now, s.share, testUnnoticed*testStep)
			}
		}
		rejected += sides[0].step(now, limit, total/4) + sides[1].step(now, limit, total-total/4)
		if !partitioned {
			sides[0].report(now, sides, n)
			sides[1].report(now, sides, n)
		}
	}
	if rejected > 0 {
		t.Errorf("%d calls rejected; the workspace uses 60 %% of its plan", rejected)
	}
}

// TestPartitionOfABusyFleetStaysWithinSlack cuts a fleet of up to three sides, which learn of it late, and
// heals it, while a workspace asks for up to three times its plan. The total may exceed the plan by the
// slack, and by what the sides admit before they notice.
func TestPartitionOfABusyFleetStaysWithinSlack(t *testing.T) {
	limit := Limit{Rate: 16_000, Burst: 32_000}
	slack := Slack{PlanFraction: 0.1, Tokens: 100_000}
	plan := limit.Rate*testWindow.Seconds() + limit.Burst
	bound := plan*(1+slack.PlanFraction) + slack.Tokens
	rapid.Check(t, func(t *rapid.T) {
		sides := newSides(slack, rapid.SampledFrom([][]float64{{0.25, 0.75}, {0.5, 0.5}, {0.5, 0.3, 0.2}}).Draw(t, "shares")...)
		cut := rapid.IntRange(1, 2*windowBuckets).Draw(t, "cut")
		heal := cut + rapid.IntRange(1, 3*windowBuckets).Draw(t, "heal")
		for n := range heal + windowBuckets {
			now := at(time.Duration(n) * testStep)
			for _, s := range sides {
				switch n {
				case cut + testUnnoticed:
					if n < heal {
						s.SetLiveShare(now, s.share, testUnnoticed*testStep)
					}
				case heal:
					s.SetLiveShare(now, 1, testUnnoticed*testStep)
					s.report(now, sides, cut)
				}
			}
			for _, s := range sides {
				s.step(now, limit, rapid.IntRange(0, 4).Draw(t, "calls"))
			}
			if n < cut || n >= heal {
				for _, s := range sides {
					s.report(now, sides, n)
				}
			}
			if used := usedInWindow(sides); float64(used) > bound {
				t.Fatalf("step %d: %d tokens admitted in a window, the bound is %.0f", n, used, bound)
			}
		}
	})
}
