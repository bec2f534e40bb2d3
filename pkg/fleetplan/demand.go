package fleetplan

import (
	"math"
	"time"
)

// Time constants of the demand estimate.
const (
	// minSampleInterval is the minimum interval between two samples.
	minSampleInterval = 500 * time.Millisecond
	// smoothingTime is the time constant of the moving average. It is longer than the
	// interval at which many hosts report to each other what they have sent.
	smoothingTime = 2 * time.Second
	// peakHalfLife is the half-life of the peak. Loads swing within minutes, a released
	// server loses its cache, and a new one takes seconds to start.
	peakHalfLife = time.Minute
	// warmUpTime is how long requests must have arrived before the estimate is used.
	warmUpTime = 12 * time.Second
)

// Demand estimates how many engines are busy with prefill.
type Demand struct {
	// sampledAt and totalWork are the time of the last sample and the total work at that
	// time.
	sampledAt time.Time
	totalWork time.Duration
	// rate is the moving average of the number of busy engines, peak its decaying maximum.
	rate, peak float64
	// firstWork is when the first work was observed.
	firstWork time.Time
}

// Observe takes a sample of the total prefill time of the requests that all hosts have sent
// so far.
func (d *Demand) Observe(totalWork time.Duration, now time.Time) {
	elapsed := now.Sub(d.sampledAt)
	if d.sampledAt.IsZero() || totalWork < d.totalWork {
		// The total shrinks when requests end before their prefill.
		d.sampledAt, d.totalWork = now, totalWork
		return
	}
	if elapsed < minSampleInterval {
		return
	}
	sample := float64(totalWork-d.totalWork) / float64(elapsed)
	d.sampledAt, d.totalWork = now, totalWork
	if d.firstWork.IsZero() {
		if sample <= 0 {
			return
		}
		d.firstWork = now
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(smoothingTime))
	d.rate += weight * (sample - d.rate)
	d.peak = max(d.rate, d.peak*math.Exp2(-float64(elapsed)/float64(peakHalfLife)))
}

// BusyEngines returns the recent peak of the number of busy engines. It is not known until
// requests have arrived for warmUpTime.
func (d *Demand) BusyEngines(now time.Time) (busy float64, known bool) {
	return d.peak, !d.firstWork.IsZero() && now.Sub(d.firstWork) >= warmUpTime
}
