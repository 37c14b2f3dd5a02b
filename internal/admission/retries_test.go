package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// TestFleetKeepsRetryBudget checks the budget over several VMs that exchange no messages. The retries
// in any window stay within the slack plus the ratio times a number of calls: the largest of those in
// that window, in the previous one, and in the one that began half a window earlier. Earlier windows
// count because retries follow their calls.
func TestFleetKeepsRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		fleet := make([]*Retries, vms)
		for i := range fleet {
			fleet[i] = NewRetries(at(0), budget)
		}
		var calls, retries []clock.Instant
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
				r.CountCall(now, "s")
				calls = append(calls, now)
			} else if r.Spend(now, "s", 1/float64(vms), 0) {
				retries = append(retries, now)
			}
			w := budget.Window
			maxCalls := max(within(calls, now.Add(-w), now), within(calls, now.Add(-2*w), now.Add(-w)), within(calls, now.Add(-3*w/2), now.Add(-w/2)))
			if n := within(retries, now.Add(-w), now); float64(n) > budget.Ratio*float64(maxCalls)+budget.Slack {
				t.Fatalf("%d retries for %d calls", n, maxCalls)
			}
		}
	})
}

func TestReserveIsNotSpent(t *testing.T) {
	r := NewRetries(at(-60*time.Second), RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 10})
	spent := 0
	for {
		if !r.Spend(at(0), "s", 1, 3) {
			break
		}
		spent++
	}
	if spent != 4 {
		t.Errorf("%d retries were allowed; want 4, as 3 of the 7 usable ones are reserved", spent)
	}
	if !r.Spend(at(0), "s", 1, 0) {
		t.Error("the reserved retries were rejected without a reserve")
	}
}

// TestVMsShareBudget checks that one VM may use the parts of all others once they have granted them, that these
// account for it, and that VMs that restart and lose their counts stay within the slack.
func TestVMsShareBudget(t *testing.T) {
	budget := RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}
	const vms = 4
	fleet := make([]*Retries, vms)
	for i := range fleet {
		fleet[i] = NewRetries(at(-60*time.Second), budget)
	}
	spend := func(i int, now clock.Instant) int {
		for j := range fleet {
			if j != i {
				fleet[i].AddGrant(now, now, "s", fleet[j].Grant(now, "s", 1.0/vms, budget.Slack))
			}
		}
		n := 0
		for fleet[i].Spend(now, "s", 1.0/vms, 0) {
			n++
		}
		return n
	}
	if got, want := spend(0, at(0)), int(usableSlack*budget.Slack); got != want {
		t.Errorf("one VM sent %d retries, want %d", got, want)
	}
	if got := spend(1, at(0)); got != 0 {
		t.Errorf("another VM sent %d retries, want none", got)
	}
	for i := range fleet {
		fleet[i] = NewRetries(at(time.Second), budget) // all VMs restart
	}
	afterRestart := 0
	for now := at(time.Second); now < at(budget.Window); now = now.Add(time.Second / 4) {
		afterRestart += spend(int(now/clock.Instant(time.Second/4))%vms, now)
	}
	if limit := int(budget.Slack * (1 - usableSlack)); afterRestart > limit {
		t.Errorf("the VMs sent %d retries after their restart, want at most %d", afterRestart, limit)
	}
}

func TestReturnedRetryIsNotCountedTwice(t *testing.T) {
	budget := RetryBudget{Window: 10 * time.Second, Slack: 5}
	now := clock.Instant(time.Minute)
	r := NewRetries(0, budget)
	spend := func(at clock.Instant) bool { return r.Spend(at, "s", 1, 0) }
	for range 3 { // 0.7 of the slack
		spend(now)
	}
	r.Return(now, now, "s")
	if !spend(now) {
		t.Error("a retry was not allowed after one was returned")
	}
	if spend(now) {
		t.Error("a returned retry was given out twice")
	}
	r.Return(now, now, "s")
	if spend(now.Add(time.Second)) {
		t.Error("a returned retry takes the place of one that is sent in another part of the window")
	}
}

// TestRetryReturnedAfterItsWindowIsNotSentAgain guards against a budget that is exceeded by a retry that is given back when it no longer
// counts.
func TestRetryReturnedAfterItsWindowIsNotSentAgain(t *testing.T) {
	budget := RetryBudget{Window: 10 * time.Second, Slack: 5}
	now := clock.Instant(time.Minute)
	r := NewRetries(0, budget)
	spend := func(at clock.Instant) bool { return r.Spend(at, "s", 1, 0) }
	spend(now)
	later := now.Add(budget.Window + time.Second)
	r.Return(later, now, "s")
	sent := 0
	for spend(later) {
		sent++
	}
	if sent > 3 { // 0.7 of the slack
		t.Errorf("%d retries in a window, want at most 3", sent)
	}
}
