package relay

import "sync"

const (
	// retryRatio is the long-run share of a model's calls that may be retried.
	retryRatio = 0.1
	// retryBurst is the maximum number of retries that a model accumulates. It covers two full
	// decode batches, so all calls of one or two failed endpoints can be retried immediately.
	retryBurst = 40.0
)

// retryBudgets keeps one retry budget per model, which bounds retries to a share of the traffic
// when many endpoints fail at once.
type retryBudgets struct {
	mu      sync.Mutex
	balance map[string]float64
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{balance: map[string]float64{}} }

// countCall adds the retry allowance of one call to name's budget.
func (b *retryBudgets) countCall(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance, exists := b.balance[name]
	if !exists {
		balance = retryBurst
	}
	b.balance[name] = min(balance+retryRatio, retryBurst)
}

// spendRetry consumes one retry. It returns false if the budget is exhausted.
func (b *retryBudgets) spendRetry(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance[name] < 1 {
		return false
	}
	b.balance[name]--
	return true
}
