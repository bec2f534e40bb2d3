package routing

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

var start = time.Unix(1_800_000_000, 0)

func backend(i int) Backend {
	return Backend{
		ID:        model.BackendID(fmt.Sprintf("b%02d", i)),
		Pool:      "m",
		PoolKind:  model.PoolEngine,
		Kind:      platform.Ordinary,
		Available: true,
		Load:      engine.LoadReport{PrefillTokensPerS: 10_000, MaxRunning: 64},
		LoadAt:    start,
	}
}

func request(id int) *Request {
	return &Request{
		ID:           model.RequestID(fmt.Sprint(id)),
		Pool:         "m",
		Kind:         model.PoolEngine,
		PromptTokens: 1000,
		Resumable:    true,
	}
}

var policies = []Policy{PolicyScored, PolicyRoundRobin, PolicyLeastInFlight, PolicyStaticRoles, PolicyCacheAffinity}

func drawBackend(t *rapid.T, i int) Backend {
	b := backend(i)
	b.Available = rapid.Bool().Draw(t, "available")
	b.Kind = rapid.SampledFrom([]platform.BackendKind{platform.Ordinary, platform.Preemptible}).Draw(t, "kind")
	b.Load.Role = rapid.SampledFrom([]engine.Role{"", engine.RoleMixed, engine.RolePrefill, engine.RoleDecode}).Draw(t, "role")
	b.Load.RoleChangeInProgress = rapid.Bool().Draw(t, "changing")
	b.Adapters = rapid.SampledFrom([][]string{nil, {"x"}, {"x", "y"}}).Draw(t, "adapters")
	b.Version = rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "version")
	return b
}

func drawRequest(t *rapid.T, id int) *Request {
	r := request(id)
	r.Resumable = rapid.Bool().Draw(t, "resumable")
	r.Adapter = rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "adapter")
	r.Version = rapid.SampledFrom([]string{"", "1"}).Draw(t, "version")
	r.SuspectDigest = rapid.SampledFrom([]string{"", "", "a", "b"}).Draw(t, "suspect")
	r.Prefix = []uint64{uint64(rapid.IntRange(0, 3).Draw(t, "prefix"))}
	for i := range 8 {
		if rapid.IntRange(0, 3).Draw(t, "exclude") == 0 {
			r.Exclude = append(r.Exclude, model.BackendID(fmt.Sprintf("b%02d", i)))
		}
	}
	return r
}

// checkSelectable returns an error if a backend server must not be chosen for a
// request. It is written independently of the table.
func checkSelectable(b Backend, r *Request) error {
	switch {
	case !b.Available || b.Load.RoleChangeInProgress:
		return fmt.Errorf("%s is not available", b.ID)
	case slices.Contains(r.Exclude, b.ID):
		return fmt.Errorf("%s is excluded", b.ID)
	case b.Kind == platform.Preemptible && !r.Resumable:
		return fmt.Errorf("%s is preemptible and the request is not resumable", b.ID)
	case r.Adapter != "" && !slices.Contains(b.Adapters, r.Adapter):
		return fmt.Errorf("%s lacks adapter %s", b.ID, r.Adapter)
	case r.Version != "" && b.Version != r.Version:
		return fmt.Errorf("%s lacks version %s", b.ID, r.Version)
	}
	return nil
}

// Guards against selecting backend servers that are excluded, unavailable,
// draining, changing their role or unsuitable, against finding none while a
// suitable one exists, and against in-flight counts that leak.
func TestSelectionInvariants(t *testing.T) {
	for _, policy := range policies {
		t.Run(string(policy), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				tables, err := NewTables(policy, Settings{Seed: rapid.Uint64().Draw(t, "seed")})
				require.NoError(t, err)
				require.NoError(t, runRandomSelections(t, tables))
			})
		})
	}
}

// runRandomSelections applies random updates and requests to tables and returns
// the first violation of an invariant.
func runRandomSelections(t *rapid.T, tables Tables) error {
	known := map[model.BackendID]Backend{}
	open := map[model.RequestID]Feedback{}
	now := start
	for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		switch rapid.IntRange(0, 6).Draw(t, "action") {
		case 0, 1:
			b := drawBackend(t, rapid.IntRange(0, 7).Draw(t, "which"))
			b.LoadAt = now
			known[b.ID] = b
			tables.UpdateBackend(b)
		case 2:
			id := backend(rapid.IntRange(0, 7).Draw(t, "which")).ID
			delete(known, id)
			tables.RemoveBackend(id)
		case 3:
			id := backend(rapid.IntRange(0, 7).Draw(t, "which")).ID
			if b, ok := known[id]; ok {
				b.Load.RoleChangeInProgress = rapid.Bool().Draw(t, "changing")
				known[id] = b
				tables.UpdateLoad(id, b.Load, now)
			}
		case 4:
			for id, f := range open {
				f.Done = now
				f.Crashed = rapid.Bool().Draw(t, "crashed")
				tables.Done(&f)
				delete(open, id)
				break
			}
		default:
			r := drawRequest(t, i)
			d, err := tables.Select(r, now)
			if err != nil {
				for _, b := range known {
					if checkSelectable(b, r) == nil {
						return fmt.Errorf("no backend found although %s is suitable", b.ID)
					}
				}
				continue
			}
			b, ok := known[d.Backend]
			if !ok {
				return fmt.Errorf("selected %s, which is not known", d.Backend)
			}
			if err := checkSelectable(b, r); err != nil {
				return err
			}
			open[r.ID] = Feedback{Request: *r, Backend: d.Backend, Sent: now}
		}
	}
	for _, f := range open {
		f.Done = now
		tables.Done(&f)
	}
	for id := range known {
		if n := tables.InFlight(id); n != 0 {
			return fmt.Errorf("%s counts %d requests after all have ended", id, n)
		}
	}
	return nil
}

// brokenTable is a table that ignores exclusions or drains.
type brokenTable struct {
	*Table
	ignoreExclude bool
	ignoreDrain   bool
}

func (f *brokenTable) Select(r *Request, now time.Time) (Decision, error) {
	changed := *r
	if f.ignoreExclude {
		changed.Exclude = nil
	}
	return f.Table.Select(&changed, now)
}

func (f *brokenTable) UpdateBackend(b Backend) {
	b.Available = b.Available || f.ignoreDrain
	f.Table.UpdateBackend(b)
}

// Verifies that runRandomSelections detects broken variants.
func TestSelectionCheckFindsBrokenVariants(t *testing.T) {
	variants := map[string]brokenTable{
		"exclusions ignored": {ignoreExclude: true},
		"drains ignored":     {ignoreDrain: true},
	}
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 0; seed < 50 && !found; seed++ {
				run := rapid.Custom(func(t *rapid.T) string {
					broken := variant
					broken.Table = NewTable(Settings{})
					return fmt.Sprint(runRandomSelections(t, &broken))
				})
				found = run.Example(seed) != "<nil>"
			}
			require.True(t, found)
		})
	}
}

// Guards against preferring an idle engine to the one that has a long prompt
// cached.
func TestPrefersCachedPrefix(t *testing.T) {
	table := NewTable(Settings{})
	for i := range 10 {
		table.UpdateBackend(backend(i))
	}
	prefix := []uint64{1, 2, 3, 4}
	table.CacheEvents("b07", []engine.CacheEvent{{Hash: 4, Stored: true}}, false)
	r := request(1)
	r.PromptTokens = 8100
	r.Prefix = prefix
	d, err := table.Select(r, start)
	require.NoError(t, err)
	require.Equal(t, model.BackendID("b07"), d.Backend)
	require.Equal(t, 8000, d.CachedTokens)
}

// Guards against an index that keeps sending requests to an engine that has
// evicted their prefix, after the eviction event was lost.
func TestCorrectsIndexByCountedTokens(t *testing.T) {
	table := NewTable(Settings{})
	for i := range 2 {
		table.UpdateBackend(backend(i))
	}
	table.CacheEvents("b00", []engine.CacheEvent{{Hash: 1, Stored: true}}, false)
	r := request(1)
	r.PromptTokens = 2100
	r.Prefix = []uint64{1}
	d, err := table.Select(r, start)
	require.NoError(t, err)
	require.Equal(t, model.BackendID("b00"), d.Backend)
	table.Done(&Feedback{Request: *r, Backend: "b00", Sent: start, FirstToken: start, Done: start})
	require.Less(t, table.entries["b00"].cachedTokens(r), 2000)
}

// Guards against counting a send twice once the load report includes it.
func TestReportReplacesOwnSends(t *testing.T) {
	table := NewTable(Settings{})
	table.UpdateBackend(backend(0))
	first, err := table.Select(request(1), start.Add(time.Millisecond))
	require.NoError(t, err)
	second, err := table.Select(request(2), start.Add(2*time.Millisecond))
	require.NoError(t, err)
	require.Greater(t, second.Predicted, first.Predicted)
	report := engine.LoadReport{PrefillTokensPerS: 10_000, MaxRunning: 64, Running: 2}
	table.UpdateLoad("b00", report, start.Add(time.Second))
	third, err := table.Select(request(3), start.Add(time.Second))
	require.NoError(t, err)
	require.Equal(t, first.Predicted, third.Predicted)
}

// Guards against new requests to a crashed engine, against more than one probe
// when its breaker is half-open, and against rejections because all engines are
// unhealthy.
func TestBreakerOpensAfterCrash(t *testing.T) {
	table := NewTable(Settings{})
	table.UpdateBackend(backend(0))
	table.UpdateBackend(backend(1))
	crash := func(id int) {
		r := request(id)
		r.Exclude = []model.BackendID{"b01"}
		d, err := table.Select(r, start)
		require.NoError(t, err)
		table.Done(&Feedback{Request: *r, Backend: d.Backend, Sent: start, Done: start, Crashed: true})
	}
	crash(1)
	count := func(from int, at time.Time) int {
		hits := 0
		for i := range 40 {
			d, err := table.Select(request(from+i), at)
			require.NoError(t, err)
			if d.Backend == "b00" {
				hits++
			}
		}
		return hits
	}
	require.Zero(t, count(100, start.Add(500*time.Millisecond)))
	require.Equal(t, 1, count(200, start.Add(2100*time.Millisecond)), "one probe only")
	r := request(300)
	r.Exclude = []model.BackendID{"b01"}
	_, err := table.Select(r, start.Add(2100*time.Millisecond))
	require.NoError(t, err, "health alone must not cause a rejection")
}

// Guards against data races between request handling and updates.
func TestConcurrentUse(t *testing.T) {
	table := NewTable(Settings{})
	var group sync.WaitGroup
	for g := range 4 {
		group.Go(func() {
			for i := range 200 {
				table.UpdateBackend(backend(i % 5))
				r := request(g*1000 + i)
				r.Prefix = []uint64{uint64(i % 7)}
				d, err := table.Select(r, start)
				if err != nil {
					continue
				}
				table.FirstToken(r.ID, d.Backend, start)
				table.CacheEvents(d.Backend, []engine.CacheEvent{{Hash: uint64(i), Stored: true}}, i%9 == 0)
				table.Done(&Feedback{Request: *r, Backend: d.Backend, FirstToken: start, Done: start})
				table.UpdateLoad(d.Backend, engine.LoadReport{}, start)
				table.Backends()
				if i%50 == 0 {
					table.RemoveBackend(d.Backend)
				}
			}
		})
	}
	group.Wait()
}

// countBlamed crashes the engine of the first request, places all requests again
// and crashes its next engine. All requests share a prefix, so that routing
// prefers the same engine for them. It returns how many of the innocent requests
// were on the crashed engine both times.
func countBlamed(t *testing.T, seed uint64, suspects bool) (blamed int) {
	t.Helper()
	table := NewTable(Settings{Seed: seed})
	for i := range 20 {
		table.UpdateBackend(backend(i))
	}
	const innocent = 4
	crashes := make([]int, innocent+1)
	for range 2 {
		var at []model.BackendID
		for i := range innocent + 1 {
			r := request(i)
			r.Prefix = []uint64{1, 2, 3}
			if suspects && crashes[i] > 0 {
				r.SuspectDigest = fmt.Sprint("digest", seed, i)
			}
			d, err := table.Select(r, start)
			require.NoError(t, err)
			at = append(at, d.Backend)
			table.FirstToken(r.ID, d.Backend, start)
		}
		for i := range at {
			if at[i] == at[0] {
				crashes[i]++
			}
		}
		table.RemoveBackend(at[0])
	}
	for _, n := range crashes[1:] {
		if n == 2 {
			blamed++
		}
	}
	return blamed
}

// Guards against blaming innocent requests for crashes. This happens when they are
// retried on the same engine as the request that caused the first crash, and it
// crashes that engine, too.
func TestSuspectsOfOneCrashAreSeparated(t *testing.T) {
	with, without := 0, 0
	for seed := range uint64(50) {
		with += countBlamed(t, seed, true)
		without += countBlamed(t, seed, false)
	}
	require.LessOrEqual(t, with, 200/10, "one in twenty shares the second engine by chance")
	require.Greater(t, without, 2*with)
}
