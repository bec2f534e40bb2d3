package planner

import (
	"math"
	"time"
)

// loadEstimate tracks the load of a pool as an exponential moving average and
// its smoothed slope.
type loadEstimate struct {
	at    time.Time
	level Load
	trend Load
}

// smoothingWeight is the weight of a sample that covers the elapsed time in an
// exponential moving average.
func smoothingWeight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

// update adds the load measured since the last update.
func (e *loadEstimate) update(s *Settings, l Load, now time.Time) {
	if e.at.IsZero() {
		*e = loadEstimate{at: now, level: l}
		return
	}
	elapsed := now.Sub(e.at)
	if elapsed <= 0 {
		return
	}
	e.at = now
	old := e.level
	w := smoothingWeight(elapsed, s.LevelTimeConstant)
	e.level = old.addScaledNonNegative(difference(l, old), w)
	slope := difference(e.level, old)
	slope.PrefillTokens /= elapsed.Seconds()
	slope.LongTokens /= elapsed.Seconds()
	slope.OutputTokens /= elapsed.Seconds()
	w = smoothingWeight(elapsed, s.TrendTimeConstant)
	e.trend.PrefillTokens += w * (slope.PrefillTokens - e.trend.PrefillTokens)
	e.trend.LongTokens += w * (slope.LongTokens - e.trend.LongTokens)
	e.trend.OutputTokens += w * (slope.OutputTokens - e.trend.OutputTokens)
}

func difference(a, b Load) Load {
	return Load{
		PrefillTokens: a.PrefillTokens - b.PrefillTokens,
		LongTokens:    a.LongTokens - b.LongTokens,
		OutputTokens:  a.OutputTokens - b.OutputTokens,
	}
}

// extrapolate returns the load expected after the lead time. It is bounded to
// between half and twice the current level, since the trend of a burst does not
// last.
func (e *loadEstimate) extrapolate(lead time.Duration) Load {
	bound := func(level, trend float64) float64 {
		return min(2*level, max(level/2, level+trend*lead.Seconds()))
	}
	return Load{
		PrefillTokens: bound(e.level.PrefillTokens, e.trend.PrefillTokens),
		LongTokens:    bound(e.level.LongTokens, e.trend.LongTokens),
		OutputTokens:  bound(e.level.OutputTokens, e.trend.OutputTokens),
	}
}

// shopHoursStep is the resolution of the forecast from shop hours. It also
// limits how often all shops, which may be thousands, are evaluated.
const shopHoursStep = 30 * time.Second

// shopForecast holds the change of load from shops that open or close, for each
// step after a point in time.
type shopForecast struct {
	at     time.Time
	shops  int
	deltas []Load
}

// update evaluates the shops again when a step has passed or their number has
// changed.
func (o *shopForecast) update(shops []ShopLoad, now time.Time, lead time.Duration) {
	if now.Sub(o.at) < shopHoursStep && len(shops) == o.shops && !o.at.IsZero() {
		return
	}
	*o = shopForecast{at: now, shops: len(shops), deltas: make([]Load, int(lead/shopHoursStep))}
	for i := range shops {
		openNow := isOpen(&shops[i], now)
		for k := range o.deltas {
			open := isOpen(&shops[i], now.Add(time.Duration(k+1)*shopHoursStep))
			switch {
			case open && !openNow:
				o.deltas[k] = addScaled(o.deltas[k], shops[i].Load, 1)
			case !open && openNow:
				o.deltas[k] = addScaled(o.deltas[k], shops[i].Load, -1)
			}
		}
	}
}

func addScaled(a, b Load, factor float64) Load {
	return Load{
		PrefillTokens: a.PrefillTokens + factor*b.PrefillTokens,
		LongTokens:    a.LongTokens + factor*b.LongTokens,
		OutputTokens:  a.OutputTokens + factor*b.OutputTokens,
	}
}

// peakLoad returns the largest load expected within the lead time, from the
// current level and the shops that open or close in that time.
func (o *shopForecast) peakLoad(level Load, lead time.Duration) Load {
	most := level
	for k := range min(len(o.deltas), int(lead/shopHoursStep)) {
		l := level.addScaledNonNegative(o.deltas[k], 1)
		most.PrefillTokens = max(most.PrefillTokens, l.PrefillTokens)
		most.LongTokens = max(most.LongTokens, l.LongTokens)
		most.OutputTokens = max(most.OutputTokens, l.OutputTokens)
	}
	return most
}

// isOpen reports whether a shop is open. A shop with an unknown time zone counts
// as open, so that a wrong entry does not remove capacity.
func isOpen(s *ShopLoad, at time.Time) bool {
	open, _, err := s.Shop.IsOpen(at)
	return err != nil || open
}
