package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// orgUsage counts the cost of one organisation's requests, for fair sharing. The
// costs of ended and rejected requests decay with Settings.UsageTimeConstant.
type orgUsage struct {
	weight float64
	// rejected is the expected cost of rejected requests.
	rejected float64
	// used is the cost of the requests that have ended.
	used float64
	// pending is the expected cost of the running requests.
	pending float64
	running int
}

func (a *orgUsage) use() float64 {
	return a.used + a.pending
}

func (a *orgUsage) demand() float64 {
	return a.use() + a.rejected
}

// The fair level is computed at most once in levelInterval, or in
// levelPerOrganisation times the number of organisations if that is longer: the
// computation takes about 2 ms for 4,300 organisations on a busy machine, and
// its time grows with their number.
const (
	levelInterval        = 250 * time.Millisecond
	levelPerOrganisation = 250 * time.Microsecond
)

// updateLevel decays the usage and recomputes the fair level when it is due.
func (c *Controller) updateLevel(now time.Time) {
	if c.levelComputedAt.IsZero() {
		c.levelComputedAt = now
		return
	}
	elapsed := now.Sub(c.levelComputedAt)
	interval := max(levelInterval, time.Duration(len(c.organisations))*levelPerOrganisation)
	if elapsed < interval {
		return
	}
	c.levelComputedAt = now
	keep := math.Exp(-elapsed.Seconds() / c.settings.UsageTimeConstant.Seconds())
	for _, a := range c.organisations {
		a.rejected *= keep
		a.used *= keep
	}
	c.level = c.fairLevel()
}

// servedShare is the share of the demand from which all of it counts as served.
// Single rejections, such as of a prompt that no engine can process in time, do
// not indicate contention.
const servedShare = 0.99

// fairLevel computes the max-min fair usage per unit of weight: the level at
// which the sum of min(demand, level x weight) over all organisations equals the
// work that was served. It is infinite when all demand was served, so that no
// organisation is limited while there is capacity.
func (c *Controller) fairLevel() float64 {
	type orgDemand struct{ perWeight, weight, demand, use float64 }
	demands := make([]orgDemand, 0, len(c.organisations))
	for _, a := range c.organisations {
		if demand := a.demand(); demand > 0 {
			demands = append(demands, orgDemand{demand / a.weight, a.weight, demand, a.use()})
		}
	}
	// Summing in a fixed order makes the result independent of map order, which
	// would change the rounding.
	slices.SortFunc(demands, func(a, b orgDemand) int {
		if d := cmp.Compare(a.perWeight, b.perWeight); d != 0 {
			return d
		}
		return cmp.Compare(a.use, b.use)
	})
	served, demanded, weights := 0.0, 0.0, 0.0
	for _, o := range demands {
		served += o.use
		demanded += o.demand
		weights += o.weight
	}
	if served >= servedShare*demanded {
		return math.Inf(1)
	}
	for _, o := range demands {
		level := served / weights
		if o.perWeight >= level {
			return level
		}
		served -= o.perWeight * o.weight
		weights -= o.weight
	}
	return math.Inf(1)
}
