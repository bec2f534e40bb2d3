package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
)

var explainNow = time.Unix(1_800_000_000, 0)

// randomFleet returns a fleet with servers of all states of a service with engines and of a
// plain one. Equal seeds give equal fleets.
func randomFleet(seed uint64) *Fleet {
	random := rand.New(rand.NewPCG(seed, 5))
	settings := DefaultSettings()
	settings.DataCentre = "a"
	f := NewFleet(settings)
	f.SetLiveHosts("h1", []string{"h1", "h2", "h3"})
	f.SetMembers([]string{"h1", "h2", "h3"})
	for i := range 2 + random.IntN(12) {
		b := Backend{
			ID: model.BackendID(fmt.Sprint("i-", i)), Incarnation: 1, Service: "model", Address: fmt.Sprint("10.0.0.", i, ":1"),
			DataCentre: []model.DataCentreID{"a", "b", "c"}[random.IntN(3)], Stage: Stage(1 + random.IntN(2)), Slots: 4,
			Leaving: random.IntN(8) == 0, Engine: &EngineTraits{CacheTokens: 100000, TransferTokensPerMS: 500},
			Start: &StartTraits{ColdPerSecond: 4},
		}
		if random.IntN(4) == 0 {
			b.Service, b.Stage, b.Engine = "plain", StageNone, nil
		}
		f.Update(b)
		s := f.servers[b.ID]
		switch random.IntN(8) {
		case 0:
			s.suspectUntil = explainNow.Add(time.Second)
		case 1:
			s.pausedUntil = explainNow.Add(2 * time.Second)
		case 2:
			f.NoteLimit(&b, 0.5, explainNow)
		case 3:
			f.NoteCold(b.ID, 1, explainNow.Add(time.Minute), explainNow)
			s.coldTurns.level = 0
		case 4:
			s.switching = true
		}
		s.running, s.peersRunning = random.IntN(8), random.IntN(8)
		s.busyUntil = explainNow.Add(time.Duration(random.IntN(500)) * time.Millisecond)
		s.cache.add([]Part{{ID: uint64(random.IntN(3)), Tokens: 4000}})
	}
	if random.IntN(4) == 0 {
		f.SetEvacuated([]model.DataCentreID{"b"})
	}
	return f
}

func explainRequest(service model.PoolName) Request {
	return Request{
		Service: service, Parts: []Part{{ID: 1, Tokens: 4000}, {ID: 99, Tokens: 1000}}, PromptTokens: 5000,
		MaxEventGap: 50 * time.Millisecond, Exclude: []model.BackendID{"i-1"},
	}
}

// Guards against an explanation that differs from the decision, and against one that
// changes later decisions.
func TestExplainIsTheDecisionOfPlace(t *testing.T) {
	placed, refused, waits := 0, 0, 0
	for seed := range uint64(400) {
		for _, service := range []model.PoolName{"model", "plain"} {
			explained, plain := randomFleet(seed), randomFleet(seed)
			r := explainRequest(service)
			var e Explanation
			for range 3 {
				e = explained.Explain(r, explainNow)
			}
			plan, ok := plain.Place(&r, explainNow)
			require.Equal(t, ok, e.Placed, seed)
			require.Equal(t, plan, e.Plan, seed)
			after, _ := explained.Place(&r, explainNow)
			require.Equal(t, plan, after, seed)
			if !ok {
				refused++
				require.Empty(t, e.Plans)
				// Explanations are no callers that come back.
				at, known := plain.ReturnTime(service, explainNow)
				again, _ := explained.ReturnTime(service, explainNow)
				require.Equal(t, at, again, seed)
				require.Equal(t, known, !e.ReturnAt.IsZero(), seed)
				if known {
					waits++
					require.Equal(t, at, e.ReturnAt, seed)
				}
				continue
			}
			placed++
			require.Equal(t, plan, e.Plans[0].Plan, "the cheapest plan is the decision")
			excluded := map[model.BackendID]Exclusion{}
			for _, s := range e.Servers {
				excluded[s.ID] = s.Excluded
			}
			for _, p := range e.Plans {
				require.Empty(t, excluded[p.Run.ID], "a server that gets requests is not excluded")
				require.Empty(t, excluded[p.Prefiller().ID])
			}
		}
	}
	t.Log(placed, "placed,", refused, "refused, of them", waits, "with a time to come back")
	assert.Greater(t, placed, 100)
	assert.Greater(t, refused, 20)
	assert.Greater(t, waits, 5)
}

// Guards against a wrong reason for an exclusion, or a wrong end of it.
func TestExplainStatesWhatExcludesAServer(t *testing.T) {
	f := NewFleet(DefaultSettings())
	f.SetLiveHosts("h1", []string{"h1"})
	f.SetMembers([]string{"h1"})
	add := func(id model.BackendID) *server {
		f.Update(Backend{ID: id, Incarnation: 1, Service: "plain", DataCentre: "a", Slots: 4, Start: &StartTraits{ColdPerSecond: 4}})
		return f.servers[id]
	}
	add("free")
	add("failed")
	add("leaving").Leaving = true
	add("switching").switching = true
	add("paused").pausedUntil = explainNow.Add(time.Second)
	add("suspected").suspectUntil = explainNow.Add(2 * time.Second)
	f.NoteLimit(&add("limited").Backend, 2, explainNow)
	f.servers["limited"].turns.level = 0
	cold := add("cold")
	f.NoteCold("cold", 1, explainNow.Add(time.Minute), explainNow)
	cold.coldTurns.level = 0
	f.Update(Backend{ID: "evacuated", Service: "plain", DataCentre: "b"})
	f.SetEvacuated([]model.DataCentreID{"b"})

	e := f.Explain(Request{Service: "plain", Exclude: []model.BackendID{"failed"}}, explainNow)
	require.True(t, e.Placed)
	assert.EqualValues(t, "free", e.Plan.Run.ID)
	got := map[model.BackendID]ServerExplanation{}
	for _, s := range e.Servers {
		got[s.ID] = s
	}
	for id, want := range map[model.BackendID]struct {
		reason Exclusion
		until  time.Duration
	}{
		"free": {}, "failed": {ExcludedFailed, 0}, "leaving": {ExcludedLeaving, 0}, "switching": {ExcludedSwitching, 0},
		"paused": {ExcludedPaused, time.Second}, "suspected": {ExcludedSuspected, 2 * time.Second},
		"limited": {ExcludedLimit, 500 * time.Millisecond}, "cold": {ExcludedLimit, 0}, "evacuated": {ExcludedEvacuated, 0},
	} {
		assert.Equal(t, want.reason, got[id].Excluded, id)
		if want.until > 0 {
			assert.Equal(t, want.until, got[id].ExcludedUntil.Sub(explainNow).Round(time.Millisecond), id)
		}
	}
	require.Len(t, got["limited"].Limits, 1)
	assert.Equal(t, LimitStated, got["limited"].Limits[0].Kind)
	assert.InDelta(t, 2, got["limited"].Limits[0].PerSecond, 1e-9)
	require.Len(t, got["cold"].Limits, 1)
	assert.Equal(t, LimitCold, got["cold"].Limits[0].Kind)
	assert.Equal(t, explainNow.Add(time.Minute), got["cold"].ColdUntil)
	assert.True(t, got["cold"].ExcludedUntil.After(explainNow))

	for _, id := range []model.BackendID{"free", "limited", "cold", "paused"} {
		f.Remove(id)
	}
	e = f.Explain(Request{Service: "plain", Exclude: []model.BackendID{"failed"}}, explainNow)
	require.True(t, e.Placed, "a suspected server is used if no other one is left")
	assert.EqualValues(t, "suspected", e.Plan.Run.ID)
	assert.False(t, f.Explain(Request{Service: "none"}, explainNow).Placed)
}

// Guards against a server in slow start that is listed as available while its pace sends the
// request elsewhere.
func TestExplainStatesThatSlowStartHoldsAServerBack(t *testing.T) {
	f, now := pacedFleet("host-0", 4)
	for i := 1; f.servers["c"].paceTurns.rate == 0; i++ {
		f, now = pacedFleet(fmt.Sprint("host-", i), 4)
	}
	held := f.servers["c"]
	held.paceTurns.level, held.paceTurns.updatedAt = 0, now
	e := f.Explain(Request{Service: held.Service}, now)
	require.True(t, e.Placed)
	for _, s := range e.Servers {
		if s.ID == held.ID {
			assert.Equal(t, ExcludedPace, s.Excluded)
			assert.True(t, s.ExcludedUntil.After(now))
		} else {
			assert.Empty(t, s.Excluded)
		}
	}
}
