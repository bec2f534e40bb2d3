package fleetplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

var scaling = &catalog.Scaling{
	Min: 1, Max: 12, SpotPrice: 0.2,
	Prices: map[model.DataCentreID]float64{"a": 1, "b": 0.8, "c": 1.25},
}

func newEngines(dc model.DataCentreID, n int, spot bool, stage placement.Stage) []Engine {
	var list []Engine
	for i := range n {
		list = append(list, Engine{ID: model.BackendID(fmt.Sprint(dc, spot, stage, i)), DataCentre: dc, Spot: spot, Stage: stage})
	}
	return list
}

func desired(targets []Target, dc model.DataCentreID, spot bool) int {
	for _, t := range targets {
		if t.DataCentre == dc && t.Spot == spot {
			return t.Desired
		}
	}
	return -1
}

func TestOrdinaryEnginesStayUntilSpotEnginesReplaceThem(t *testing.T) {
	p := DefaultPolicy()
	targets := p.Scale(scaling, State{Engines: newEngines("a", 6, false, placement.StageDecode)})
	assert.Equal(t, 6, desired(targets, "a", false))
	assert.Equal(t, 6, desired(targets, "a", true), "ordinary and spot servers together stay within the limit")
	both := append(newEngines("a", 6, false, placement.StageDecode), newEngines("a", 6, true, placement.StagePrefill)...)
	targets = p.Scale(scaling, State{Engines: both})
	assert.Equal(t, p.ordinary(12), desired(targets, "a", false))
	assert.Equal(t, 12-p.ordinary(12), desired(targets, "a", true))
}

func TestScaleStaysWithinTheLimitsOfADataCentre(t *testing.T) {
	for ordinary := range 13 {
		for spot := range 13 - ordinary {
			list := append(newEngines("a", ordinary, false, placement.StageDecode), newEngines("a", spot, true, placement.StagePrefill)...)
			targets := DefaultPolicy().Scale(scaling, State{Engines: list})
			sum := desired(targets, "a", false) + desired(targets, "a", true)
			assert.LessOrEqual(t, sum, scaling.Max, "%d ordinary, %d spot", ordinary, spot)
			assert.GreaterOrEqual(t, sum, scaling.Min)
		}
	}
}

func TestNoSpotEnginesAreOrderedWithoutASpotPrice(t *testing.T) {
	s := *scaling
	s.SpotPrice = 0
	targets := DefaultPolicy().Scale(&s, State{Engines: nil})
	assert.Equal(t, 0, desired(targets, "b", true))
	assert.Equal(t, 12, desired(targets, "b", false))
}

// applyChanges sets the stages as the changes say.
func applyChanges(list []Engine, changes []StageChange) {
	for _, c := range changes {
		for i := range list {
			if list[i].ID == c.ID {
				list[i].Stage = c.Stage
			}
		}
	}
}

func countDecoders(list []Engine) (n, spot int) {
	for _, e := range list {
		if e.Stage == placement.StageDecode {
			n++
			if e.Spot {
				spot++
			}
		}
	}
	return n, spot
}

func TestSpotEnginesPrefillAndOrdinaryOnesDecode(t *testing.T) {
	p := DefaultPolicy()
	var list []Engine
	for _, dc := range []model.DataCentreID{"a", "b", "c"} {
		list = append(list, newEngines(dc, 1, false, placement.StagePrefill)...)
		list = append(list, newEngines(dc, 1, false, placement.StageDecode)...)
		list = append(list, newEngines(dc, 4, true, placement.StagePrefill)...)
		list = append(list, newEngines(dc, 6, true, placement.StageDecode)...)
	}
	for range 10 {
		applyChanges(list, p.PlanStages(list, 128, 0))
	}
	n, spot := countDecoders(list)
	assert.InDelta(t, p.DecodeShare*float64(len(list)), n, 1)
	assert.Empty(t, p.PlanStages(list, 128, 0), "no changes once the plan is met")
	assert.Less(t, spot, n)
}

func TestSomeEnginesDecodeWhateverIsLost(t *testing.T) {
	p := DefaultPolicy()
	list := newEngines("a", 3, true, placement.StagePrefill)
	changes := p.PlanStages(list, 128, 0)
	require.NotEmpty(t, changes)
	assert.Equal(t, placement.StageDecode, changes[0].Stage)
	assert.Empty(t, p.PlanStages(newEngines("a", 1, true, placement.StagePrefill), 128, 0), "a single engine keeps its stage")
}

func TestChangesAreBounded(t *testing.T) {
	p := DefaultPolicy()
	list := newEngines("a", 30, true, placement.StageDecode)
	first := p.PlanStages(list, 128, 0)
	assert.LessOrEqual(t, len(first), int(p.StageChangeShare*30))
	for i := range list {
		for _, c := range first {
			if list[i].ID == c.ID {
				list[i].Stage, list[i].Switching = c.Stage, true
			}
		}
	}
	assert.LessOrEqual(t, len(p.PlanStages(list, 128, 0))+len(first), int(p.StageChangeShare*30)+1)
}

func TestLeavingEnginesDoNotCount(t *testing.T) {
	list := newEngines("a", 4, false, placement.StageDecode)
	for i := range list {
		list[i].Leaving = true
	}
	assert.Empty(t, DefaultPolicy().PlanStages(list, 128, 0))
	assert.Equal(t, 12-DefaultPolicy().ordinary(12), desired(DefaultPolicy().Scale(scaling, State{Engines: list}), "a", true))
}

func TestManyRunningRequestsNeedMoreDecodeEngines(t *testing.T) {
	p := DefaultPolicy()
	list := append(newEngines("a", 30, true, placement.StageDecode), newEngines("a", 70, true, placement.StagePrefill)...)
	assert.Empty(t, p.PlanStages(list, 128, 500))
	changes := p.PlanStages(list, 24, 700)
	require.NotEmpty(t, changes)
	assert.Equal(t, placement.StageDecode, changes[0].Stage)
	for range 10 {
		applyChanges(list, p.PlanStages(list, 24, 700))
	}
	n, _ := countDecoders(list)
	assert.GreaterOrEqual(t, float64(n)*24*p.SlotUtilisation, 700.0)
	assert.Empty(t, p.PlanStages(list, 24, 650), "a small drop changes nothing")
}

func TestOrdinaryEnginesReplaceUnavailableSpotEngines(t *testing.T) {
	p := DefaultPolicy()
	list := newEngines("a", 2, false, placement.StageDecode)
	exhausted := map[model.DataCentreID]bool{"a": true}
	targets := p.Scale(scaling, State{Engines: list, SpotExhausted: exhausted})
	assert.Equal(t, int(p.ReplacementShare*12), desired(targets, "a", false))
	list = append(list, newEngines("a", 10, true, placement.StagePrefill)...)
	targets = p.Scale(scaling, State{Engines: list})
	assert.Equal(t, 1, desired(targets, "a", false), "ordinary engines are released")
}

func TestIdleFleetIsReplacedAtOnce(t *testing.T) {
	targets := DefaultPolicy().Scale(scaling, State{Engines: newEngines("a", 6, false, placement.StageDecode), Idle: true})
	assert.Equal(t, 1, desired(targets, "a", false))
	assert.Equal(t, 11, desired(targets, "a", true))
}

var largeScaling = &catalog.Scaling{
	Min: 1, Max: 60, SpotPrice: 0.22,
	Prices: map[model.DataCentreID]float64{"a": 1, "b": 0.8, "c": 1.25},
}

func totalDesired(targets []Target) int {
	n := 0
	for _, t := range targets {
		n += t.Desired
	}
	return n
}

func TestNumberOfEnginesFollowsTheDemand(t *testing.T) {
	p := DefaultPolicy()
	assert.Equal(t, 180, totalDesired(p.Scale(largeScaling, State{Idle: true})), "the demand is not known")
	last := 0
	for busy := 0.0; busy < 60; busy++ {
		n := totalDesired(p.Scale(largeScaling, State{BusyEngines: busy, DemandKnown: true}))
		assert.GreaterOrEqual(t, n, last)
		assert.GreaterOrEqual(t, n, int(p.MinShare*180))
		prefillers := (1 - p.DecodeShare) * float64(n)
		if n < 180 {
			assert.LessOrEqual(t, busy, p.PrefillUtilisation*prefillers, "%d engines", n)
		}
		last = n
	}
	assert.Equal(t, 180, last)
}

func TestOtherDataCentresMakeUpForOneWithoutSpotEngines(t *testing.T) {
	p := DefaultPolicy()
	state := State{BusyEngines: 20, DemandKnown: true, SpotExhausted: map[model.DataCentreID]bool{"a": true}}
	state.Engines = newEngines("a", 3, false, placement.StageDecode)
	targets := p.Scale(largeScaling, state)
	full := totalDesired(p.Scale(largeScaling, State{BusyEngines: 20, DemandKnown: true})) / 3
	for _, dc := range []model.DataCentreID{"b", "c"} {
		assert.Greater(t, desired(targets, dc, true)+desired(targets, dc, false), full+full/3)
	}
	assert.LessOrEqual(t, desired(targets, "a", false), p.ordinary(full)+1, "no ordinary engines are needed")
	assert.Equal(t, full-p.ordinary(full), desired(targets, "a", true), "spot engines are requested again")
}

func TestDemandIsTheRecentPeak(t *testing.T) {
	var d Demand
	start := time.Unix(1000, 0)
	work := time.Duration(0)
	observeLoad := func(from, to time.Duration, busy float64) {
		for at := from; at < to; at += 200 * time.Millisecond {
			work += time.Duration(busy * 200 * float64(time.Millisecond))
			d.Observe(work, start.Add(at))
		}
	}
	observeLoad(0, 5*time.Second, 0)
	_, known := d.BusyEngines(start.Add(5 * time.Second))
	assert.False(t, known, "nothing was sent")
	observeLoad(5*time.Second, 20*time.Second, 20)
	busy, known := d.BusyEngines(start.Add(20 * time.Second))
	assert.True(t, known)
	assert.InDelta(t, 20, busy, 1)
	observeLoad(20*time.Second, 26*time.Second, 40)
	busy, _ = d.BusyEngines(start.Add(26 * time.Second))
	assert.InDelta(t, 39, busy, 2)
	observeLoad(26*time.Second, 56*time.Second, 10)
	busy, _ = d.BusyEngines(start.Add(56 * time.Second))
	assert.Greater(t, busy, 25.0, "a drop in demand does not release engines at once")
	observeLoad(56*time.Second, 300*time.Second, 10)
	busy, _ = d.BusyEngines(start.Add(300 * time.Second))
	assert.InDelta(t, 10, busy, 1)
}
