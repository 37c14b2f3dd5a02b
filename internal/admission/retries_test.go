package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// TestTheFleetKeepsTheBudget checks the rule over several VMs that do not talk to each other:
// in any window no more extra sends than the ratio of the calls in it or in the one half a
// window before, and the slack.
func TestTheFleetKeepsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		fleet := make([]*Retries, vms)
		for i := range fleet {
			fleet[i] = NewRetries(budget)
		}
		var calls, extra []clock.Instant
		now := at(0)
		within := func(list []clock.Instant, from, to clock.Instant) (n int) {
			for _, i := range list {
				if i > from && i <= to {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			r := fleet[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			if rapid.Bool().Draw(t, "call") {
				r.Called(now, "s")
				calls = append(calls, now)
			} else if r.Spend(now, "s", vms, 0) {
				extra = append(extra, now)
			}
			w := budget.Window
			most := max(within(calls, now.Add(-w), now), within(calls, now.Add(-2*w), now.Add(-w)), within(calls, now.Add(-3*w/2), now.Add(-w/2)))
			if n := within(extra, now.Add(-w), now); float64(n) > budget.Ratio*float64(most)+budget.Slack {
				t.Fatalf("%d extra sends for %d calls", n, most)
			}
		}
	})
}

func TestKeepIsLeftToOthers(t *testing.T) {
	r := NewRetries(RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 10})
	spent := 0
	for r.Spend(at(0), "s", 1, 3) {
		spent++
	}
	if spent != 4 {
		t.Errorf("%d sends, 3 of the 7 given out are to be kept", spent)
	}
	if !r.Spend(at(0), "s", 1, 0) {
		t.Error("what was kept cannot be spent")
	}
}
