package gateway

import (
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// budgets bound the sends beyond the first of each request, by service, over a
// sliding window. Hosts do not ask each other: each keeps to its own requests
// and to its part of the slack, so that the sum holds whoever is alive.
type budgets struct {
	mu     sync.Mutex
	ratio  float64
	slack  float64
	window time.Duration
	byName map[model.PoolName]*budget
}

type budget struct {
	requests, resends []time.Time
}

func newBudgets(ratio, slack float64, window time.Duration) *budgets {
	return &budgets{ratio: ratio, slack: slack, window: window, byName: map[model.PoolName]*budget{}}
}

func (b *budgets) setSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
}

func (b *budgets) get(name model.PoolName, now time.Time) *budget {
	k := b.byName[name]
	if k == nil {
		k = &budget{}
		b.byName[name] = k
	}
	since := now.Add(-b.window)
	k.requests = dropBefore(k.requests, since)
	k.resends = dropBefore(k.resends, since)
	return k
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

// request notes a request for a service.
func (b *budgets) request(name model.PoolName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.get(name, now)
	k.requests = append(k.requests, now)
}

// take allows one more send.
func (b *budgets) take(name model.PoolName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.get(name, now)
	if float64(len(k.resends)+1) > b.ratio*float64(len(k.requests))+b.slack {
		return false
	}
	k.resends = append(k.resends, now)
	return true
}
