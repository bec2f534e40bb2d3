package gateway

import (
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// retryBudgets bound the retries of each service over a sliding window. Hosts do not
// coordinate: each counts its own requests and uses its share of the slack, so that the
// total stays within the bound whichever hosts are alive.
type retryBudgets struct {
	mu        sync.Mutex
	ratio     float64
	slack     float64
	window    time.Duration
	byService map[model.PoolName]*retryBudget
}

type retryBudget struct {
	requests, retries []time.Time
}

func newRetryBudgets(ratio, slack float64, window time.Duration) *retryBudgets {
	return &retryBudgets{ratio: ratio, slack: slack, window: window, byService: map[model.PoolName]*retryBudget{}}
}

func (b *retryBudgets) setSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

func (b *retryBudgets) get(name model.PoolName, now time.Time) *retryBudget {
	serviceBudget := b.byService[name]
	if serviceBudget == nil {
		serviceBudget = &retryBudget{}
		b.byService[name] = serviceBudget
	}
	since := now.Add(-b.window)
	serviceBudget.requests = dropBefore(serviceBudget.requests, since)
	serviceBudget.retries = dropBefore(serviceBudget.retries, since)
	return serviceBudget
}

func dropBefore(times []time.Time, since time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(since) {
		n++
	}
	if n == 0 {
		return times
	}
	return append(times[:0], times[n:]...)
}

// addRequest records a request to a service.
func (b *retryBudgets) addRequest(name model.PoolName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	serviceBudget := b.get(name, now)
	serviceBudget.requests = append(serviceBudget.requests, now)
}

// takeRetry takes one retry from the budget of a service and reports whether the budget
// allows it.
func (b *retryBudgets) takeRetry(name model.PoolName, now time.Time) bool {
	return b.takeRetries(name, 1, now)
}

// takeRetries takes a number of retries, or none if the budget does not allow all of them.
func (b *retryBudgets) takeRetries(name model.PoolName, n int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	serviceBudget := b.get(name, now)
	if float64(len(serviceBudget.retries)+n) > b.ratio*float64(len(serviceBudget.requests))+b.slack {
		return false
	}
	for range n {
		serviceBudget.retries = append(serviceBudget.retries, now)
	}
	return true
}

// returnRetry returns a retry that was taken and not made.
func (b *retryBudgets) returnRetry(name model.PoolName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byService[name]; s != nil && len(s.retries) > 0 {
		s.retries = s.retries[:len(s.retries)-1]
	}
}
