package relay

import "sync"

const (
	// retryShare is the part of a route's calls that may be retried in the long run.
	retryShare = 0.1
	// retryReserve is the most retries that a route saves up: two full decode batches, so that
	// the loss of an endpoint or two is made good at once.
	retryReserve = 40.0
)

// retryBudgets keeps one budget for each route or model, so that retries stay a bounded share
// of the traffic when many endpoints fail at once.
type retryBudgets struct {
	mu   sync.Mutex
	left map[string]float64
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{left: map[string]float64{}} }

// earn counts a first try at name.
func (b *retryBudgets) earn(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, known := b.left[name]
	if !known {
		left = retryReserve
	}
	b.left[name] = min(left+retryShare, retryReserve)
}

// spend takes one retry, or reports that none is left.
func (b *retryBudgets) spend(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left[name] < 1 {
		return false
	}
	b.left[name]--
	return true
}
