package fleetplan

import (
	"math"
	"time"
)

// Timing of the demand.
const (
	// demandStep is the least time between two samples.
	demandStep = 500 * time.Millisecond
	// demandSmooth is the time over which samples are averaged: above the interval
	// at which many hosts tell each other what they have sent.
	demandSmooth = 2 * time.Second
	// demandHalf is the time in which half of a peak is forgotten. Loads swing within
	// minutes, a server that is given back takes its cache with it, and a new one
	// takes seconds to start.
	demandHalf = time.Minute
	// demandSettle is how long requests must have come before the demand is known.
	demandSettle = 12 * time.Second
)

// Demand measures how many engines the reading of prompts keeps busy.
type Demand struct {
	// at and work are the time of the last sample and the work until then.
	at   time.Time
	work time.Duration
	// rate is the smoothed number of busy engines, peak its highest value of late.
	rate, peak float64
	// since is when the first work came.
	since time.Time
}

// Observe takes the time of reading that all hosts have sent to engines so far.
func (d *Demand) Observe(work time.Duration, now time.Time) {
	passed := now.Sub(d.at)
	if d.at.IsZero() || work < d.work {
		// Work is taken back when requests end before their prompt was read.
		d.at, d.work = now, work
		return
	}
	if passed < demandStep {
		return
	}
	sample := float64(work-d.work) / float64(passed)
	d.at, d.work = now, work
	if d.since.IsZero() {
		if sample <= 0 {
			return
		}
		d.since = now
	}
	weight := 1 - math.Exp(-float64(passed)/float64(demandSmooth))
	d.rate += weight * (sample - d.rate)
	d.peak = max(d.rate, d.peak*math.Exp2(-float64(passed)/float64(demandHalf)))
}

// Busy is the highest number of engines that were busy lately. It is not known
// before requests have come for a while.
func (d *Demand) Busy(now time.Time) (busy float64, known bool) {
	return d.peak, !d.since.IsZero() && now.Sub(d.since) >= demandSettle
}
