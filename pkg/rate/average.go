package rate

import (
	"math"
	"time"
)

// minAge is the least age that a new average is scaled by. With a smaller age, a
// single request would count as a high rate.
const minAge = time.Second

// rateAverage estimates a rate in units/s as an exponentially weighted moving
// average with the time constant window. A new average is scaled up for the part
// of its window that it does not cover yet.
type rateAverage struct {
	window  time.Duration
	value   float64
	started time.Time
	updated time.Time
}

func newRateAverage(window time.Duration, now time.Time) rateAverage {
	return rateAverage{window: window, started: now, updated: now}
}

// estimate decays the average up to now and returns the estimate.
func (a *rateAverage) estimate(now time.Time) float64 {
	if elapsed := now.Sub(a.updated); elapsed > 0 {
		a.value *= math.Exp(-elapsed.Seconds() / a.window.Seconds())
		a.updated = now
	}
	age := max(now.Sub(a.started), minAge)
	return a.value / (1 - math.Exp(-age.Seconds()/a.window.Seconds()))
}

func (a *rateAverage) add(units float64, now time.Time) {
	a.estimate(now)
	a.value += units / a.window.Seconds()
}
