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

func (a *orgUsage) usage() float64 {
	return a.used + a.pending
}

func (a *orgUsage) demand() float64 {
	return a.usage() + a.rejected
}

// The fair level is computed at most once in levelInterval, or in
// levelIntervalPerOrganisation times the number of organisations if that is
// longer: the computation takes about 2 ms for 4,300 organisations on a busy
// machine, and its time grows with their number.
const (
	levelInterval                = 250 * time.Millisecond
	levelIntervalPerOrganisation = 250 * time.Microsecond
)

// updateLevel decays the usage and recomputes the fair level when it is due.
func (c *Controller) updateLevel(now time.Time) {
	if c.levelComputedAt.IsZero() {
		c.levelComputedAt = now
		return
	}
	elapsed := now.Sub(c.levelComputedAt)
	interval := max(levelInterval, time.Duration(len(c.organisations))*levelIntervalPerOrganisation)
	if elapsed < interval {
		return
	}
	c.levelComputedAt = now
	decay := math.Exp(-elapsed.Seconds() / c.settings.UsageTimeConstant.Seconds())
	for _, a := range c.organisations {
		a.rejected *= decay
		a.used *= decay
	}
	c.level = c.fairLevel()
}

// servedShare is the share of the demand that must be served for the fleet to
// count as not contended. Single rejections, such as of a prompt that no engine
// can process in time, do not indicate contention.
const servedShare = 0.99

// fairLevel computes the max-min fair usage per unit of weight: the level at
// which the sum of min(demand, level x weight) over all organisations equals the
// work that was served. It is infinite when servedShare of the demand was served,
// so that no organisation is limited while there is capacity.
func (c *Controller) fairLevel() float64 {
	type orgDemand struct{ perWeight, weight, demand, usage float64 }
	demands := make([]orgDemand, 0, len(c.organisations))
	for _, a := range c.organisations {
		if demand := a.demand(); demand > 0 {
			demands = append(demands, orgDemand{demand / a.weight, a.weight, demand, a.usage()})
		}
	}
	// Summing in a fixed order makes the result independent of map order, which
	// would change the rounding.
	slices.SortFunc(demands, func(a, b orgDemand) int {
		if d := cmp.Compare(a.perWeight, b.perWeight); d != 0 {
			return d
		}
		return cmp.Compare(a.usage, b.usage)
	})
	served, demanded, weights := 0.0, 0.0, 0.0
	for _, o := range demands {
		served += o.usage
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
