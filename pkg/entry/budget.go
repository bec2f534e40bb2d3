package entry

import "sync"

// retryBudget limits retries to a fraction of the requests: each request adds
// ratio retries to the budget and each retry takes one.
type retryBudget struct {
	mu        sync.Mutex
	ratio     float64
	capacity  float64
	available float64
}

func newRetryBudget(ratio, capacity float64) *retryBudget {
	return &retryBudget{ratio: ratio, capacity: capacity, available: capacity}
}

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.capacity, b.available+b.ratio)
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
