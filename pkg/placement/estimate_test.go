package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// The deployment's engines prefill half as many tokens per millisecond as the default says,
// and have a longer overhead.
func TestSpeedOfEnginesIsLearnedFromRequests(t *testing.T) {
	const rate, overhead, first, transfer = 51.0, 60 * time.Millisecond, 20 * time.Millisecond, 10 * time.Millisecond
	f := NewFleet(DefaultSettings())
	for _, e := range newEngines(4, 2) {
		f.Update(e.backend)
	}
	now := epoch
	var predictionError time.Duration
	// Long and short prompts alternate.
	for i := range 40 {
		now = now.Add(2 * time.Second)
		r := &Request{Service: "m", Parts: []Part{{uint64(100 + i), 6000}, {uint64(900 + i), 2000}}, PromptTokens: 8000}
		if i%2 == 0 {
			r = &Request{Service: "m", Parts: []Part{{uint64(100 + i), 60}, {uint64(900 + i), 500}}, PromptTokens: 560}
		}
		plan, ok := f.Place(r, now)
		require.True(t, ok)
		ticket := f.Send(plan, r, now)
		uncached := r.PromptTokens
		prefilled := now.Add(overhead + fromMillis(float64(uncached)/rate))
		firstEvent := prefilled
		if plan.Prefill != nil {
			f.PrefillDone(ticket, prefilled)
			f.PlaceDecode(ticket, r, prefilled)
			firstEvent = prefilled.Add(transfer + first)
		}
		f.FirstEvent(ticket, firstEvent)
		f.Done(ticket, Served, firstEvent)
		predictionError = firstEvent.Sub(now) - plan.Predicted
	}
	assert.InDelta(t, rate, f.services["m"].prefill[StagePrefill].rate.value, 5)
	assert.Less(t, predictionError.Abs(), 40*time.Millisecond, "the first event arrives as predicted")
}

// Guards against a wrong estimate after all hosts were lost: engines still have their old
// queues, so the initial samples on every host show a sixth of the actual rate.
func TestInitialSamplesMoveAnEstimateByALimitedFactor(t *testing.T) {
	e := estimate{value: 100}
	for range initialSamples {
		e.observe(9, true)
	}
	assert.Equal(t, 100.0/maxSampleFactor, e.value)
	assert.False(t, e.converged, "an engine this slow would show in the next samples too")
	for range initialSamples {
		e.observe(51, true)
	}
	assert.Equal(t, 51.0, e.value)
	assert.True(t, e.converged)
	slow := estimate{value: 100}
	for range 5 * initialSamples {
		slow.observe(9, true)
	}
	assert.InDelta(t, 9.0, slow.value, 0.1)
}

func TestHostsChooseTheSameHomeEngineForAnUncachedPrompt(t *testing.T) {
	parts := []Part{{1, 20000}, {2, 4000}}
	var chosen []model.BackendID
	for _, host := range []int{0, 1, 2} {
		f := NewFleet(DefaultSettings())
		for _, e := range newEngines(6, 2) {
			f.Update(e.backend)
		}
		f.SetHostPosition(host, 3)
		plan, ok := f.Place(&Request{Service: "m", Parts: parts, PromptTokens: 24000}, epoch)
		require.True(t, ok)
		assert.Equal(t, 24000, plan.Uncached, "no part is known to be cached")
		chosen = append(chosen, plan.Prefiller().ID)
	}
	assert.Equal(t, []model.BackendID{chosen[0], chosen[0], chosen[0]}, chosen, "hosts choose the same engine without having heard of each other")
}

func TestEstimateFollowsTheFasterSamples(t *testing.T) {
	e := estimate{value: 100}
	for i := range initialSamples {
		sample := 50.0
		if i%3 == 0 {
			sample = 5 // a request that waited behind work unknown to this host
		}
		e.observe(sample, true)
	}
	assert.Equal(t, 50.0, e.value)
	e.observe(1e9, true)
	assert.Less(t, e.value, 50*1.2, "an outlier is clamped")
	e.observe(0, true)
	assert.Less(t, e.value, 50*1.2)
}

// Guards against a wrong estimate after a restart: a restarted host does not know what
// engines have cached, and cached prompts, which are prefilled at once, look like engines
// that are ten times as fast.
func TestHostThatStartedAgainTakesOverWhatOthersHaveLearned(t *testing.T) {
	old, fresh := NewFleet(DefaultSettings()), NewFleet(DefaultSettings())
	for _, e := range newEngines(4, 2) {
		old.Update(e.backend)
		fresh.Update(e.backend)
	}
	assert.Empty(t, old.Speeds(), "no estimate has converged yet")
	for range 2 * initialSamples {
		old.services["m"].prefill[StagePrefill].rate.observe(51, true)
	}
	speeds := old.Speeds()
	require.Contains(t, speeds, model.PoolName("m"))
	speeds["unknown"] = Speed{PrefillRate: 1}
	fresh.AdoptSpeeds(speeds)
	rate := &fresh.services["m"].prefill[StagePrefill].rate
	assert.Equal(t, 51.0, rate.value)
	assert.Equal(t, DefaultSettings().DecodeRate, fresh.services["m"].prefill[StageDecode].rate.value, "no host has learned it")
	rate.observe(500, true)
	assert.Less(t, rate.value, 60.0)
	fresh.AdoptSpeeds(map[model.PoolName]Speed{"m": {PrefillRate: 20}})
	assert.Greater(t, rate.value, 50.0, "a learned value is kept")
}
