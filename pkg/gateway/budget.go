package gateway

import (
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// retryBudgets bound the retries of each service over a sliding window. Hosts do not
// coordinate: each counts its own requests and uses its share of the slack, so that the
// total stays within the bound whichever hosts are alive.
//
// A process does not know the retries that an earlier process of its host made in the
// window before its start, nor at first how many hosts share the slack. For that long it
// uses no slack and a ratio that hosts keep free for processes that start.
type retryBudgets struct {
	mu        sync.Mutex
	ratio     float64
	slack     float64
	window    time.Duration
	byService map[model.PoolName]*retryBudget

	startupRatio float64
	startupEnd   time.Time
}

type retryBudget struct {
	requests, retries []time.Time
	// reserved counts retries that requests in progress may still make.
	reserved int
}

func newRetryBudgets(ratio, slack float64, window time.Duration) *retryBudgets {
	return &retryBudgets{ratio: ratio, slack: slack, window: window, byService: map[model.PoolName]*retryBudget{}}
}

// startUp applies the ratio of processes that start until the end of the period.
func (b *retryBudgets) startUp(ratio float64, end time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startupRatio, b.startupEnd = ratio, end
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
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(name, 0, now)
}

// takeRetryAndReserve takes one retry and reserves another, or does nothing if the budget
// does not allow both. A reservation does not expire; it ends with useReservation or
// releaseReservation.
func (b *retryBudgets) takeRetryAndReserve(name model.PoolName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(name, 1, now)
}

// take takes one retry and reserves a number of others if the budget allows all of them.
// The caller holds b.mu.
func (b *retryBudgets) take(name model.PoolName, reserve int, now time.Time) bool {
	ratio, slack := b.ratio, b.slack
	if now.Before(b.startupEnd) {
		ratio, slack = b.startupRatio, 0
	}
	serviceBudget := b.get(name, now)
	if float64(len(serviceBudget.retries)+serviceBudget.reserved+1+reserve) > ratio*float64(len(serviceBudget.requests))+slack {
		return false
	}
	serviceBudget.retries = append(serviceBudget.retries, now)
	serviceBudget.reserved += reserve
	return true
}

// useReservation turns a reservation into a retry that is made now.
func (b *retryBudgets) useReservation(name model.PoolName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	serviceBudget := b.get(name, now)
	serviceBudget.reserved--
	serviceBudget.retries = append(serviceBudget.retries, now)
}

// releaseReservation ends a reservation that is not needed.
func (b *retryBudgets) releaseReservation(name model.PoolName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(name, time.Now()).reserved--
}
