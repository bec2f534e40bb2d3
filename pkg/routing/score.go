package routing

import (
	"math"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// candidate is a backend server with the predictions for one request on it.
type candidate struct {
	entry *entry
	// firstToken is the predicted time to first token.
	firstToken time.Duration
	// queueDelay is the part of firstToken caused by work queued ahead.
	queueDelay time.Duration
	// tokenGap is the predicted time between tokens, or 0 if unknown.
	tokenGap time.Duration
	cached   int
	// score ranks candidates; lower is better.
	score time.Duration
}

// effectiveLoad returns the load to assume for an engine and its age: the
// engine's report, or the summary of its data centre if the report is stale. If
// both are stale, known is false and load is the stale report, of which only the
// prefill rate is used.
func (t *Table) effectiveLoad(e *entry, now time.Time) (load engine.LoadReport, age time.Duration, known bool) {
	age = now.Sub(e.backend.LoadAt)
	if !e.backend.LoadAt.IsZero() && age <= t.settings.StaleAfter {
		return e.backend.Load, max(0, age), true
	}
	d, ok := t.summaries[summaryKey{e.backend.DataCentre, e.backend.Pool}]
	age = now.Sub(d.At)
	if ok && age <= t.settings.StaleAfter {
		return d.Mean, max(0, age), true
	}
	return e.backend.Load, 0, false
}

// queuedTokens estimates the prefill tokens ahead of a new request.
func (t *Table) queuedTokens(e *entry, load *engine.LoadReport, now time.Time, age time.Duration, known bool, rate float64) float64 {
	if !known {
		// Without a report, only this host's own waiting requests are known.
		own := 0
		for _, s := range e.inFlight {
			if !s.firstToken {
				own += s.tokens
			}
		}
		return float64(own)
	}
	// The queue drains between the report and each send of this host, and after
	// the last one. LocalSendWeight makes these sends account also for those of
	// other hosts that the report does not include yet.
	queued := float64(load.QueuedPrefillTokens)
	at := now.Add(-age)
	for _, s := range e.recentSends {
		if s.at.After(at) {
			queued = max(0, queued-rate*s.at.Sub(at).Seconds())
			at = s.at
		}
		queued += t.settings.LocalSendWeight * float64(s.tokens)
	}
	return max(0, queued-rate*now.Sub(at).Seconds())
}

func (t *Table) prefillRate(load *engine.LoadReport) float64 {
	if load.PrefillTokensPerS > 0 {
		return load.PrefillTokensPerS
	}
	return t.settings.DefaultPrefillRate
}

// predict evaluates a backend server for a request.
func (t *Table) predict(e *entry, r *Request, now time.Time) candidate {
	load, age, known := t.effectiveLoad(e, now)
	rate := t.prefillRate(&load)
	c := candidate{entry: e}
	ownPrefill := 0.0
	ahead := t.slotWait(e, &load, known)
	c.cached = e.cachedTokens(r)
	uncached := float64(r.PromptTokens-c.cached) / rate
	if r.KVFrom == "" {
		ahead += t.queuedTokens(e, &load, now, age, known, rate) / rate
		ahead += e.decayedExcessWait(now)
		ownPrefill = uncached
	}
	c.queueDelay = seconds(ahead)
	if known && roleOrMixed(load.Role) != engine.RolePrefill {
		c.tokenGap = seconds(t.effectiveStepMS(e, &load) / 1000)
	}
	c.firstToken = c.queueDelay + seconds(ownPrefill) + t.transferDelay(e, r, c.cached)
	// Uncached tokens have an additional cost: their prefill delays later
	// requests, and their blocks evict others from the cache.
	c.score = c.firstToken + seconds(t.settings.UncachedWorkWeight*uncached) + t.decodePenalty(e, r, &load, known)
	if r.Resumable && e.backend.Kind != platform.Preemptible {
		c.score += t.settings.PreemptiblePreference
	}
	return c
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// The first tokens of this host's requests show sooner than load reports that
// an engine is slower than predicted. The excess wait learned from them decays
// within seconds.
const (
	excessWaitWeight       = 0.3
	excessWaitDecaySeconds = 4.0
)

// decayedExcessWait is the time in seconds by which recent requests waited longer
// than predicted.
func (e *entry) decayedExcessWait(now time.Time) float64 {
	if e.excessWait <= 0 {
		return 0
	}
	return e.excessWait * math.Exp(-now.Sub(e.excessWaitAt).Seconds()/excessWaitDecaySeconds)
}

// recordFirstToken updates the excess wait with the time to first token of one
// of this host's requests.
func (e *entry) recordFirstToken(s *inFlightRequest, now time.Time) {
	excessWait := (now.Sub(s.at) - s.predicted).Seconds()
	old := e.decayedExcessWait(now)
	e.excessWait = max(0, old+excessWaitWeight*(excessWait-old))
	e.excessWaitAt = now
}

// slotWait estimates the wait in seconds for a slot in the running batch.
func (t *Table) slotWait(e *entry, load *engine.LoadReport, known bool) float64 {
	if !known || load.MaxRunning <= 0 {
		return 0
	}
	excess := load.Running + load.Queued + len(e.recentSends) - load.MaxRunning
	if excess <= 0 {
		return 0
	}
	return float64(excess) * t.serviceSeconds / float64(load.MaxRunning)
}

// transferDelay is the network delay plus the time to transfer the KV cache.
func (t *Table) transferDelay(e *entry, r *Request, cached int) time.Duration {
	var delay time.Duration
	if t.settings.DataCentre != "" && e.backend.DataCentre != t.settings.DataCentre {
		delay = 2 * t.settings.CrossDataCentreDelay
	}
	if r.KVFrom == "" || r.KVFrom == e.backend.ID {
		return delay
	}
	bytes := float64(r.PromptTokens-cached) * t.settings.KVBytesPerToken
	return delay + seconds(bytes/t.settings.KVBytesPerSecond)
}

// maxStepShare is the longest decode step that leaves time for prefill chunks, as
// a share of TokenGapLimit.
const maxStepShare = 0.8

// effectiveStepMS is the decode step in milliseconds to assume for an engine. If
// even the fastest step of the pool exceeds maxStepShare of the limit, rejecting
// requests cannot bring the time between tokens down to the target. Steps are
// then scaled so that the fastest one counts as maxStepShare of the limit.
func (t *Table) effectiveStepMS(e *entry, load *engine.LoadReport) float64 {
	maxStepMS := maxStepShare * t.settings.TokenGapLimit.Seconds() * 1000
	fastest := t.fastestStepMS[e.backend.Pool]
	if fastest <= maxStepMS {
		return load.DecodeStepMS
	}
	return load.DecodeStepMS / fastest * maxStepMS
}

// recordStep keeps the fastest decode step that any engine of the pool has
// reported.
func (t *Table) recordStep(pool model.PoolName, stepMS float64) {
	fastest, known := t.fastestStepMS[pool]
	if stepMS > 0 && (!known || stepMS < fastest) {
		t.fastestStepMS[pool] = stepMS
	}
}

// decodePenalty is the score penalty for the expected lateness of output tokens
// on an engine whose decode steps are near the limit.
func (t *Table) decodePenalty(e *entry, r *Request, load *engine.LoadReport, known bool) time.Duration {
	if !known || roleOrMixed(load.Role) == engine.RolePrefill {
		return 0
	}
	output := t.outputTokens
	if r.MaxTokens > 0 {
		output = min(output, float64(r.MaxTokens))
	}
	limit := t.settings.TokenGapLimit.Seconds() * 1000
	late := max(0, t.effectiveStepMS(e, load)-maxStepShare*limit)
	// Fewer running streams make steps faster, also below the limit.
	batchPenaltyMS := float64(load.Running+len(e.recentSends)) * 0.5
	return time.Duration((late*output*0.25 + batchPenaltyMS) * float64(time.Millisecond))
}
