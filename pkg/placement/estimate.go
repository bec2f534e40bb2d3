package placement

import (
	"math"
	"slices"
	"time"
)

// Parameters of the estimators.
const (
	// fasterWeight is the smoothing weight of a sample that indicates a faster engine than
	// estimated.
	fasterWeight = 0.1
	// slowerWeight is smaller than fasterWeight because work of other hosts that this host
	// does not know of yet makes an engine look slower than it is.
	slowerWeight = 0.02
	// maxSampleFactor limits how far one sample, or the initial samples together, may move
	// the estimate. Samples beyond it are clamped.
	maxSampleFactor = 2
	// initialSamples is the number of samples whose quantile is the estimate before it
	// switches to exponential smoothing.
	initialSamples = 12
	// initialQuantile is the quantile of the initial samples, ordered from slow to fast,
	// that becomes the estimate. Exponential smoothing with the weights above converges to
	// about the same quantile.
	initialQuantile = 0.75
)

// estimate is an online estimator of a positive quantity. It starts from a default that the
// initial samples move by at most maxSampleFactor. If their quantile lies outside this
// range, another batch of initial samples is collected. The range is limited because a
// host's samples right after its start are often wrong: engines have queues and cached
// prompts that it does not know of.
type estimate struct {
	value float64
	// initial holds the current batch of initial samples in ascending order, empty once the
	// estimate has converged. prior is the value before this batch.
	initial []float64
	prior   float64
	// converged is set once the value was learned from own samples or adopted from a peer.
	converged bool
}

// observe adds a sample. largerIsFaster reports whether larger samples indicate a faster
// engine.
func (e *estimate) observe(sample float64, largerIsFaster bool) {
	if sample <= 0 {
		return
	}
	if !e.converged {
		e.observeInitial(sample, largerIsFaster)
		return
	}
	sample = clampSample(sample, e.value)
	weight := slowerWeight
	if sample > e.value == largerIsFaster {
		weight = fasterWeight
	}
	e.value = math.Exp((1-weight)*math.Log(e.value) + weight*math.Log(sample))
}

func (e *estimate) observeInitial(sample float64, largerIsFaster bool) {
	if len(e.initial) == 0 {
		e.prior = e.value
	}
	e.initial = append(e.initial, sample)
	slices.Sort(e.initial)
	quantile := initialQuantile
	if !largerIsFaster {
		quantile = 1 - initialQuantile
	}
	observed := e.initial[int(quantile*float64(len(e.initial)-1)+0.5)]
	e.value = clampSample(observed, e.prior)
	if len(e.initial) == initialSamples {
		e.converged = e.value == observed
		e.initial = nil
	}
}

// clampSample limits a sample to the range around value that maxSampleFactor allows.
func clampSample(sample, value float64) float64 {
	return min(max(sample, value/maxSampleFactor), value*maxSampleFactor)
}

// prefillModel estimates how long engines of a stage take to prefill a prompt.
type prefillModel struct {
	// rate is the prefill rate. Unit: tokens per millisecond.
	rate estimate
	// overhead is the part of the duration that does not depend on the prompt's length. The
	// duration is that of the prefill call on a prefill engine, and the time to the first
	// event on a decode engine. Unit: milliseconds.
	overhead estimate
}

// timeFor returns the time that prefilling a number of tokens keeps an engine busy.
func (m *prefillModel) timeFor(tokens int) time.Duration {
	return fromMillis(float64(tokens) / m.rate.value)
}

// fixed returns the part of the duration that does not depend on the prompt's length.
func (m *prefillModel) fixed() time.Duration { return fromMillis(m.overhead.value) }

// Ratios of prefill time to overhead that decide what a sample is used for. Up to
// shortPromptRatio the overhead dominates, and the sample updates the overhead. From
// longPromptRatio on it updates the rate. Samples in between determine neither well and are
// ignored.
const (
	shortPromptRatio = 0.5
	longPromptRatio  = 1.0
)

// observe adds the time that a prompt with a number of uncached tokens took on an idle
// engine.
func (m *prefillModel) observe(uncached int, duration time.Duration) {
	prefillTime := m.timeFor(uncached)
	switch {
	case prefillTime <= time.Duration(shortPromptRatio*float64(m.fixed())):
		m.overhead.observe(millis(duration-prefillTime), false)
	case prefillTime >= time.Duration(longPromptRatio*float64(m.fixed())) && duration > m.fixed():
		m.rate.observe(float64(uncached)/millis(duration-m.fixed()), true)
	}
}

// firstEventDelay returns the expected time from the end of prefill on a prefill engine to
// the first event.
func (k *service) firstEventDelay() time.Duration { return fromMillis(k.firstEvent.value) }
