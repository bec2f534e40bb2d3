package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// takeAll takes retries until the budget allows no more.
func takeAll(b *retryBudgets, name model.PoolName, now time.Time) (n int) {
	for b.takeRetry(name, now) {
		n++
	}
	return n
}

// Guards against a release that erases a retry which another request has made.
func TestReleasedReservationFreesNoRetryThatWasMade(t *testing.T) {
	const window, slack, name = 10 * time.Second, 4, model.PoolName("s")
	start := time.Now()
	for reason, later := range map[string]time.Duration{"within the window": window / 2, "after the window": window + time.Second} {
		t.Run(reason, func(t *testing.T) {
			b := newRetryBudgets(0, slack, window)
			require.True(t, b.takeRetryAndReserve(name, start))
			made := 0
			if later < window {
				made = 1
			}
			made += takeAll(b, name, start.Add(later))
			b.releaseReservation(name)
			made += takeAll(b, name, start.Add(later))
			assert.Equal(t, slack, made)
		})
	}
}

// Guards against returns that are made after the window of the move and counted nowhere.
func TestReservationIsCountedWhenItIsUsed(t *testing.T) {
	const window, name = 10 * time.Second, model.PoolName("s")
	start := time.Now()
	b := newRetryBudgets(0, 2, window)
	require.True(t, b.takeRetryAndReserve(name, start))
	later := start.Add(2 * window)
	assert.False(t, b.takeRetryAndReserve(name, later), "one retry and the reservation are left")
	b.useReservation(name, later)
	assert.Equal(t, 1, takeAll(b, name, later))
}
