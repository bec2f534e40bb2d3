package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

var (
	start   = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	centres = []model.DataCentreID{"a", "b", "c"}
	profile = Profile{PrefillTokensPerS: 20_000, StepBaseMS: 10, StepPerRunningMS: 0.4, MaxRunning: 48}
)

func rows(n int) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = Engine{
			ID:         model.BackendID(fmt.Sprintf("e%02d", i)),
			Pool:       "m",
			DataCentre: centres[i%3],
			Role:       engine.RoleMixed,
			Live:       true,
		}
	}
	return engines
}

func pool(l Load) Pool {
	return Pool{
		Config:         model.Pool{Name: "m", Kind: model.PoolEngine, Minimum: 3, Maximum: 18, PreemptibleShare: 0.8},
		Profile:        profile,
		Load:           l,
		ResumableShare: 0.9,
	}
}

func drawEngine(t *rapid.T, e *Engine) {
	e.Live = rapid.IntRange(0, 4).Draw(t, "live") > 0
	e.Starting = !e.Live && rapid.Bool().Draw(t, "starting")
	e.Busy = rapid.IntRange(0, 3).Draw(t, "busy") == 0
	e.OperatorDrain = rapid.IntRange(0, 5).Draw(t, "operator") == 0
	e.Requests = rapid.IntRange(0, 5).Draw(t, "requests")
	e.Role = rapid.SampledFrom([]engine.Role{"", engine.RoleMixed, engine.RolePrefill, engine.RoleDecode}).Draw(t, "role")
	e.Kind = rapid.SampledFrom([]platform.BackendKind{platform.Ordinary, platform.Preemptible}).Draw(t, "kind")
	e.Drain = rapid.SampledFrom([]Purpose{{}, {}, {}, {}, {Kind: PurposeRelease}, {Kind: PurposeRole, Role: engine.RolePrefill}}).Draw(t, "drain")
	e.Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
}

// checkActions returns an error if the actions of one tick exceed their bounds.
func checkActions(s *Settings, in *Input, actions []Action) error {
	byID := map[model.BackendID]*Engine{}
	servers := 0
	for i := range in.Engines {
		byID[in.Engines[i].ID] = &in.Engines[i]
		if in.Engines[i].Live || in.Engines[i].Starting {
			servers++
		}
	}
	touched := map[model.BackendID]bool{}
	adds, fetches := 0, 0
	for _, a := range actions {
		if a.Reason == "" {
			return fmt.Errorf("%v has no reason", a.Kind)
		}
		if a.Kind == ActionBackendOrder && a.Order.Action == platform.ActionAdd {
			adds += a.Order.Count
			continue
		}
		e := byID[a.Backend]
		switch {
		case e == nil:
			return fmt.Errorf("%v is for an unknown engine", a)
		case touched[e.ID]:
			return fmt.Errorf("%v is the second action for its engine", a)
		case e.Busy || !e.Live:
			return fmt.Errorf("%v is for an engine that is busy or not live", a)
		case a.Kind == ActionDrain && e.OperatorDrain:
			return fmt.Errorf("%v is for an engine that an operator drained", a)
		case a.Engine != nil && a.Engine.Kind == engine.OrderSetRole && e.Requests > 0:
			return fmt.Errorf("%v interrupts %d requests", a, e.Requests)
		case a.Order != nil && e.Requests > 0:
			return fmt.Errorf("%v interrupts %d requests", a, e.Requests)
		}
		touched[e.ID] = true
		if a.Purpose.Kind == PurposeModel && a.Kind == ActionDrain {
			fetches++
		}
		if a.Engine != nil && a.Engine.Kind == engine.OrderLoadAdapter {
			fetches++
		}
	}
	if adds > s.MaxOrdersPerTick || (adds > 0 && servers+adds > in.Pools[0].Config.Maximum) {
		return fmt.Errorf("%d servers added to %d", adds, servers)
	}
	if fetches > int(in.Weights.AvailableNow) {
		return fmt.Errorf("%d weight fetches, %v available", fetches, in.Weights.AvailableNow)
	}
	return nil
}

// runRandomTicks plans for random tables and returns the first violation of a
// bound.
func runRandomTicks(t *rapid.T, controller Controller, settings Settings) error {
	settings = settings.withDefaults()
	now := start
	var roleDrains []time.Time
	for range rapid.IntRange(1, 30).Draw(t, "ticks") {
		now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second)
		in := &Input{Now: now, DataCentres: centres, Engines: rows(rapid.IntRange(1, 24).Draw(t, "n"))}
		for i := range in.Engines {
			drawEngine(t, &in.Engines[i])
		}
		p := pool(Load{
			PrefillTokens: rapid.Float64Range(0, 300_000).Draw(t, "prefill"),
			OutputTokens:  rapid.Float64Range(0, 40_000).Draw(t, "output"),
		})
		p.Load.LongTokens = p.Load.PrefillTokens * rapid.Float64Range(0, 1).Draw(t, "long")
		p.Model, p.Version = "m", rapid.SampledFrom([]string{"1", "2"}).Draw(t, "wanted version")
		p.Adapters = map[string]int{"x": rapid.IntRange(0, 9).Draw(t, "adapters")}
		in.Pools = []Pool{p}
		in.Weights.AvailableNow = rapid.Float64Range(0, 5).Draw(t, "weights")
		actions := controller.Plan(in)
		if err := checkActions(&settings, in, actions); err != nil {
			return err
		}
		for _, a := range actions {
			if a.Kind == ActionDrain && a.Purpose.Kind == PurposeRole {
				roleDrains = append(roleDrains, now)
			}
		}
		recent := 0
		for _, at := range roleDrains {
			if now.Sub(at) < settings.RoleHorizon {
				recent++
			}
		}
		if recent > settings.MaxRoleChanges {
			return fmt.Errorf("%d role changes within the horizon", recent)
		}
	}
	return nil
}

// Guards against plans that exceed their bounds, contain two actions for one
// engine, or interrupt requests by a planned change.
func TestPlanStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, runRandomTicks(t, NewPlanner(Settings{}), Settings{}))
	})
}

// Verifies that runRandomTicks finds violations by planners with looser bounds
// and by the naive controller, which does not limit role changes.
func TestBoundsCheckFindsBrokenVariants(t *testing.T) {
	variants := map[string]func() Controller{
		"unbounded role changes": func() Controller { return NewPlanner(Settings{MaxRoleChanges: 18}) },
		"unbounded orders":       func() Controller { return NewPlanner(Settings{MaxOrdersPerTick: 18}) },
		"naive":                  func() Controller { return NewNaive(Settings{}) },
	}
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 0; seed < 1000 && !found; seed++ {
				found = rapid.Custom(func(t *rapid.T) string {
					return fmt.Sprint(runRandomTicks(t, variant(), Settings{}))
				}).Example(seed) != "<nil>"
			}
			require.True(t, found)
		})
	}
}

// Guards against a fleet that is too small once a data centre has lost its
// preemptible servers.
func TestFleetSizeSurvivesLossOfPreemptible(t *testing.T) {
	s := Settings{}.withDefaults()
	rapid.Check(t, func(t *rapid.T) {
		p := pool(Load{})
		p.Config.Maximum = 0
		p.Config.PreemptibleShare = rapid.Float64Range(0, 1).Draw(t, "share")
		p.ResumableShare = rapid.Float64Range(0, 1).Draw(t, "resumable")
		needed := rapid.IntRange(1, 60).Draw(t, "needed")
		dcs := rapid.IntRange(0, 5).Draw(t, "centres")
		size := s.cheapestSize(&p, needed, dcs)
		lost := 0
		if dcs > 0 {
			lost = (size.preemptible + dcs - 1) / dcs
		}
		require.GreaterOrEqual(t, size.total()-lost, needed)
		require.GreaterOrEqual(t, float64(size.ordinary), (1-p.ResumableShare)*float64(needed)-1e-9)
		require.LessOrEqual(t, float64(size.preemptible), p.Config.PreemptibleShare*float64(size.total())+1e-6)
		cost := float64(size.ordinary) + s.PreemptiblePrice*float64(size.preemptible)
		require.LessOrEqual(t, cost, float64(needed)+1e-9)
	})
}

// Guards against servers that become live only after the shops have opened,
// because they are ordered too late.
func TestOrdersBeforeShopsOpen(t *testing.T) {
	p := pool(Load{OutputTokens: 1000})
	p.Config.PreemptibleShare = 0
	p.Shops = []ShopLoad{{
		Shop: model.Shop{ID: "s", Hours: []model.Hours{{Day: time.Monday, OpenMinute: 8*60 + 2, CloseMinute: 18 * 60}}},
		Load: Load{OutputTokens: 12_000, PrefillTokens: 30_000},
	}}
	in := &Input{Now: start, Pools: []Pool{p}, Engines: rows(3), DataCentres: centres}
	actions := NewPlanner(Settings{}).Plan(in)
	require.NotEmpty(t, actions)
	require.Equal(t, ActionBackendOrder, actions[0].Kind)
	in.Now = start.Add(-time.Hour)
	require.Empty(t, NewPlanner(Settings{}).Plan(in))
}

// Guards against role changes without need, and against missing ones when long
// prompts leave too little time for decoding.
func TestRolesFollowThePrefillShare(t *testing.T) {
	plan := func(l Load) int {
		in := &Input{Now: start, Pools: []Pool{pool(l)}, Engines: rows(18), DataCentres: centres}
		drains := 0
		for _, a := range NewPlanner(Settings{}).Plan(in) {
			if a.Purpose.Kind == PurposeRole {
				drains++
			}
		}
		return drains
	}
	require.Zero(t, plan(Load{PrefillTokens: 50_000, OutputTokens: 8000}))
	require.Positive(t, plan(Load{PrefillTokens: 120_000, LongTokens: 100_000, OutputTokens: 9_000}))
}

// Guards against a pool that serves no requests because all its engines load
// adapters at the same time, and against an adapter that waits until another is
// on all its engines.
func TestAdaptersAreLoadedInSteps(t *testing.T) {
	pool := Pool{Adapters: map[string]int{"a": 8, "b": 8}}
	var rows []*Engine
	for i := range 8 {
		rows = append(rows, &Engine{ID: model.BackendID(rune('0' + i)), Live: true})
	}
	fetches := 100
	actions := NewPlanner(Settings{}).loadAdapters(&pool, rows, &fetches)
	require.Len(t, actions, 2)
	require.Equal(t, 98, fetches)
	require.NotEqual(t, actions[0].Engine.Adapter, actions[1].Engine.Adapter)
	require.NotEqual(t, actions[0].Backend, actions[1].Backend)
	require.Empty(t, NewPlanner(Settings{}).loadAdapters(&pool, rows, &fetches), "the engines are still loading")
}
