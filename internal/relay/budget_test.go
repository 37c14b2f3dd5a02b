package relay

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRetryBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newRetryBudgets()
		calls, retries := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"first try": func(*rapid.T) {
				b.countCall("r")
				calls++
			},
			"retry": func(*rapid.T) {
				if b.spendRetry("r") {
					retries++
				}
			},
			"": func(t *rapid.T) {
				if float64(retries) > retryBurst+retryRatio*float64(calls) {
					t.Fatalf("%d retries for %d calls exceed the budget", retries, calls)
				}
				if calls > 0 && retries == 0 && !retryBudgetsAfterCalls(calls).spendRetry("r") {
					t.Fatal("the first retry was denied")
				}
			},
		})
	})
}

func retryBudgetsAfterCalls(calls int) *retryBudgets {
	b := newRetryBudgets()
	for range calls {
		b.countCall("r")
	}
	return b
}
