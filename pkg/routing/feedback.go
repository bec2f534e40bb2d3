package routing

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// averageWeight is the weight of a new sample in the moving averages.
const averageWeight = 0.05

// FirstToken implements Router.
func (t *Table) FirstToken(id model.RequestID, b model.BackendID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[b]
	if e == nil {
		return
	}
	s, ok := e.inFlight[id]
	if !ok || s.firstToken {
		return
	}
	if !s.decodeOnly {
		e.recordFirstToken(&s, now)
	}
	s.firstToken = true
	e.inFlight[id] = s
	e.waiting--
	e.lastProgress = now
	e.breaker.recordSuccess()
}

// Done implements Router.
func (t *Table) Done(f *Feedback) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[f.Backend]
	if e == nil {
		return
	}
	s, ok := e.inFlight[f.Request.ID]
	if !ok {
		return
	}
	delete(e.inFlight, f.Request.ID)
	if !s.firstToken {
		e.waiting--
	}
	if f.Sent.IsZero() {
		e.cancelSend(s)
		return
	}
	if f.Failed || f.Crashed {
		e.breaker.recordFailure(&t.settings, f.Crashed, t.random.Float64(), f.Done)
		if f.Crashed {
			t.clearCacheIndex(e)
		}
		return
	}
	e.lastProgress = f.Done
	e.breaker.recordSuccess()
	if f.Request.Kind == model.PoolService {
		return
	}
	t.updateEstimates(e, f)
}

// cancelSend removes a request that was never sent from the recent sends, and
// allows the breaker another probe.
func (e *entry) cancelSend(s inFlightRequest) {
	e.breaker.probing = false
	for i := len(e.recentSends) - 1; i >= 0; i-- {
		if e.recentSends[i].at.Equal(s.at) && e.recentSends[i].tokens == s.tokens {
			e.recentSends = append(e.recentSends[:i], e.recentSends[i+1:]...)
			return
		}
	}
}

func (t *Table) updateEstimates(e *entry, f *Feedback) {
	switch {
	case f.FirstToken.IsZero():
	case f.Request.KVFrom == "":
		t.confirmPrompt(e, &f.Request, f.CachedTokens)
	default:
		// The engine imported the KV cache with the blocks of the prompt.
		t.touchPrefix(e, &f.Request)
	}
	if f.OutputTokens > 1 && !f.FirstToken.IsZero() {
		seconds := f.Done.Sub(f.FirstToken).Seconds()
		t.serviceSeconds += averageWeight * (seconds - t.serviceSeconds)
		t.outputTokens += averageWeight * (float64(f.OutputTokens) - t.outputTokens)
	}
}

// clearCacheIndex clears the index of an engine whose cache was lost in a crash.
func (t *Table) clearCacheIndex(e *entry) {
	for hash := range e.cached {
		t.removeBlock(e, hash)
	}
	e.blockUses = nil
	e.cacheAccuracy = 1
}
