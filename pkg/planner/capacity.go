package planner

import "math"

// workPerSecond converts a load to engine-seconds per second on an engine with
// this profile, without the base time of decode steps.
func (p *Profile) workPerSecond(l Load) float64 {
	return l.PrefillTokens/p.PrefillTokensPerS + l.OutputTokens*p.StepPerRunningMS/1000
}

// valid reports whether the profile's rates can be used in calculations.
func (p *Profile) valid() bool {
	return p.PrefillTokensPerS > 0 && p.StepBaseMS >= 0 && p.StepPerRunningMS > 0
}

// mixedTimeShare is the share of a mixed engine's time that remains for work
// besides the base time of decode steps, when the time between tokens is
// exactly at the limit.
func (s *Settings) mixedTimeShare(p *Profile) float64 {
	limit := s.TokenGapLimit.Seconds() * 1000
	return max(0.05, 1-p.StepBaseMS/limit)
}

// servedInTime estimates the share of a load that meets the limits for the first
// token and between tokens, with the given numbers of prefill engines and mixed
// engines. The load was measured with currentPrefill prefill engines.
//
// A mixed engine runs prefill in the time that the limit between tokens leaves
// in each decode step, so that long prompts are late on busy mixed engines.
// Prefill engines process them fast, but more prefill engines lower the cache
// hit rate.
func (s *Settings) servedInTime(pool *Pool, l Load, prefill, mixed, currentPrefill int) float64 {
	p := &pool.Profile
	if mixed <= 0 {
		return 0
	}
	engines := float64(prefill + mixed)
	cacheFactor := 1 + s.cacheLoss(pool)*float64(prefill-currentPrefill)/engines
	prefillWork := max(0, cacheFactor*l.PrefillTokens/p.PrefillTokensPerS)
	longWork := max(0, cacheFactor*l.LongTokens/p.PrefillTokensPerS)
	decodeWork := l.OutputTokens * p.StepPerRunningMS / 1000
	work := prefillWork + decodeWork
	if work <= 0 {
		return 1
	}
	mixedTime := float64(mixed) * s.mixedTimeShare(p)
	onPrefill := min(longWork, float64(prefill)*s.MaxPrefillUtilisation)
	onMixed := work - onPrefill
	capacity := min(1, mixedTime/max(1e-9, onMixed))
	long := s.longPromptTokens(pool)
	longPromptsPerLimit := p.PrefillTokensPerS * 0.9 * s.FirstTokenLimit.Seconds() / long
	inTimeMixed := clamp(longPromptsPerLimit * (mixedTime - onMixed) / float64(mixed))
	inTime := inTimeMixed
	if prefill > 0 && longWork > 0 {
		prefillBusy := onPrefill / float64(prefill)
		prefillPart := onPrefill / longWork
		inTime = prefillPart*clamp(longPromptsPerLimit*(1-prefillBusy)) + (1-prefillPart)*inTimeMixed
	}
	longShare := longWork / work
	return capacity * (1 - longShare*(1-inTime))
}

// cacheLoss is the relative growth of the uncached work if all engines became
// prefill engines. In the workloads of the experiment, turning a share of the
// engines to prefill lost half that share of the cache hits.
func (s *Settings) cacheLoss(pool *Pool) float64 {
	hits := min(0.95, pool.CachedShare)
	return 0.5 * hits / (1 - hits)
}

// longPromptTokens is the typical number of uncached tokens of a pool's long
// prompts.
func (s *Settings) longPromptTokens(pool *Pool) float64 {
	if pool.LongPromptTokens > 0 {
		return pool.LongPromptTokens
	}
	return 2 * s.LongPromptThreshold
}

func clamp(x float64) float64 {
	return min(1, max(0, x))
}

// enginesNeeded is the number of mixed engines that carry a load at the target
// utilisation.
func (s *Settings) enginesNeeded(p *Profile, l Load) int {
	workPerSecond := p.workPerSecond(l) / s.mixedTimeShare(p) / s.TargetUtilisation
	return int(math.Ceil(workPerSecond - 1e-9))
}
