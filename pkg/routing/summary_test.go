package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Guards against the use of a stale load report when a recent summary of the
// data centre shows that its engines are busy.
func TestSummaryReplacesStaleReports(t *testing.T) {
	table := NewTable(Settings{})
	near, far := backend(0), backend(1)
	near.DataCentre, far.DataCentre = "near", "far"
	table.UpdateBackend(near)
	table.UpdateBackend(far)
	now := start.Add(time.Minute)
	table.UpdateLoad("b00", engine.LoadReport{PrefillTokensPerS: 10_000, QueuedPrefillTokens: 1000, MaxRunning: 64}, now)
	table.UpdateLoadSummary(LoadSummary{
		DataCentre: "far",
		Pool:       "m",
		Engines:    1,
		Mean:       engine.LoadReport{PrefillTokensPerS: 10_000, QueuedPrefillTokens: 50_000, MaxRunning: 64},
		At:         now,
	})
	d, err := table.Select(request(1), now)
	require.NoError(t, err)
	require.Equal(t, model.BackendID("b00"), d.Backend)
}

// Guards against summaries that include engines that take no requests, or stale
// load reports.
func TestSummariesCountServingEngines(t *testing.T) {
	table := NewTable(Settings{})
	for i := range 4 {
		b := backend(i)
		b.DataCentre = "near"
		b.Load.Running = 10 * i
		b.Available = i != 3
		table.UpdateBackend(b)
	}
	summaries := table.LoadSummaries("near", start.Add(time.Second))
	require.Len(t, summaries, 1)
	require.Equal(t, 3, summaries[0].Engines)
	require.Equal(t, 10, summaries[0].Mean.Running)
	require.Empty(t, table.LoadSummaries("near", start.Add(time.Hour)))
}

// Guards against a change of the fleet that changes most of a host's subset.
func TestSubsetChangesLittle(t *testing.T) {
	var ids []model.BackendID
	for i := range 100 {
		ids = append(ids, backend(i).ID)
	}
	before := Subset("h", ids, 20)
	after := Subset("h", ids[1:], 20)
	common := 0
	for _, id := range after {
		for _, other := range before {
			if id == other {
				common++
			}
		}
	}
	require.GreaterOrEqual(t, common, 19)
	require.NotEqual(t, before, Subset("other", ids, 20))
}

// Guards against sending prompts to decode engines, and against handing streams
// over to prefill engines.
func TestHandOverGoesToDecodeEngines(t *testing.T) {
	table := NewTable(Settings{})
	for i, role := range []engine.Role{engine.RolePrefill, engine.RoleDecode} {
		b := backend(i)
		b.Load.Role = role
		table.UpdateBackend(b)
	}
	r := request(1)
	d, err := table.Select(r, start)
	require.NoError(t, err)
	require.Equal(t, model.BackendID("b00"), d.Backend)
	require.True(t, d.HandOver)
	r.KVFrom = d.Backend
	d, err = table.Select(r, start)
	require.NoError(t, err)
	require.Equal(t, model.BackendID("b01"), d.Backend)
	require.False(t, d.HandOver)
}

// Guards against an uneven spread of requests over plain services.
func TestServicesShareRequests(t *testing.T) {
	table := NewTable(Settings{})
	for i := range 2 {
		b := backend(i)
		b.PoolKind = model.PoolService
		table.UpdateBackend(b)
	}
	for i := range 20 {
		r := request(i)
		r.Kind = model.PoolService
		_, err := table.Select(r, start)
		require.NoError(t, err)
	}
	require.Equal(t, 10, table.InFlight("b00"))
	require.Equal(t, 10, table.InFlight("b01"))
}

// Guards against a request that still counts as load after admission has
// rejected it.
func TestUnsentRequestIsNotCountedAsLoad(t *testing.T) {
	table := NewTable(Settings{})
	table.UpdateBackend(backend(0))
	now := start.Add(time.Millisecond)
	first, err := table.Select(request(1), now)
	require.NoError(t, err)
	table.Done(&Feedback{Request: *request(1), Backend: "b00", Done: now})
	second, err := table.Select(request(2), now)
	require.NoError(t, err)
	require.Equal(t, first.Predicted, second.Predicted)
}
