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
			fleet[i] = NewRetries(at(0), budget)
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
			} else if _, ok := r.Spend(now, "s", 1/float64(vms), 0); ok {
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
	r := NewRetries(at(-60*time.Second), RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 10})
	spent := 0
	for {
		if _, ok := r.Spend(at(0), "s", 1, 3); !ok {
			break
		}
		spent++
	}
	if spent != 4 {
		t.Errorf("%d sends, 3 of the 7 given out are to be kept", spent)
	}
	if _, ok := r.Spend(at(0), "s", 1, 0); !ok {
		t.Error("what was kept cannot be spent")
	}
}

// TestVMsThatTellEachOtherPoolTheBudget: one VM may use what the others leave, they know of it,
// and one that starts anew, having forgotten all, keeps within the bound.
func TestVMsThatTellEachOtherPoolTheBudget(t *testing.T) {
	budget := RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}
	const vms = 4
	fleet := make([]*Retries, vms)
	for i := range fleet {
		fleet[i] = NewRetries(at(-60*time.Second), budget)
	}
	spend := func(i int, now clock.Instant) int {
		n := 0
		for ; ; n++ {
			if _, ok := fleet[i].Spend(now, "s", 1, 0); !ok {
				return n
			}
			for j := range fleet {
				if j != i {
					fleet[j].Heard(now, "s", 0, 1)
				}
			}
		}
	}
	if got, most := spend(0, at(0)), int(slackUsed*budget.Slack); got != most {
		t.Errorf("one VM spends %d, the four may %d", got, most)
	}
	if got := spend(1, at(0)); got != 0 {
		t.Errorf("another VM spends %d more", got)
	}
	for i := range fleet {
		fleet[i] = NewRetries(at(time.Second), budget) // all start anew
	}
	again := 0
	for now := at(time.Second); now < at(budget.Window); now = now.Add(time.Second / 4) {
		again += spend(int(now/clock.Instant(time.Second/4))%vms, now)
	}
	if most := int(budget.Slack * (1 - slackUsed)); again > most {
		t.Errorf("after a new start of all they spend %d more, %d are left of the slack", again, most)
	}
}
