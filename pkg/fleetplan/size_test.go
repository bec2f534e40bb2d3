package fleetplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

var start = time.Unix(1000, 0)

// Short questions leave prefill engines idle for ten seconds; then long prompts arrive and
// a data centre loses its spot engines. Engines released in the idle time would be missing
// then.
func TestEnginesAreReleasedInSteps(t *testing.T) {
	var s SizeController
	at := func(after time.Duration) time.Time { return start.Add(after) }
	assert.Equal(t, 36, s.Next(36, 18, 3, at(0)), "the plan for an unknown demand applies at once")
	assert.Equal(t, 36, s.Next(15, 36, 3, at(time.Second)), "no engine is released after one second")
	assert.Equal(t, 33, s.Next(15, 36, 3, at(4*time.Second)))
	assert.Equal(t, 33, s.Next(15, 33, 3, at(5*time.Second)))
	assert.Equal(t, 30, s.Next(15, 33, 3, at(8*time.Second)))
	assert.Equal(t, 34, s.Next(34, 30, 3, at(9*time.Second)), "a higher demand applies at once")
}

func TestNoEngineIsReleasedWhileOthersAreMissing(t *testing.T) {
	var s SizeController
	s.Next(36, 36, 3, start)
	lost := start.Add(10 * time.Second)
	assert.Equal(t, 36, s.Next(15, 25, 3, lost))
	assert.Equal(t, 36, s.Next(15, 36, 3, lost.Add(lossHoldTime-time.Second)), "the parts cached on the lost engines are prefilled again")
	assert.Equal(t, 33, s.Next(15, 36, 3, lost.Add(lossHoldTime+time.Second)))
}

// 150 short responses on engines with 16 slots need more engines than prefill does.
func TestEnginesAreNeededForRunningRequestsToo(t *testing.T) {
	p := DefaultPolicy()
	few := p.Needed(scaling, State{DemandKnown: true, BusyEngines: 2.5, Running: 20, Slots: 128})
	assert.Less(t, few, 24)
	many := p.Needed(scaling, State{DemandKnown: true, BusyEngines: 2.5, Running: 150, Slots: 16})
	assert.GreaterOrEqual(t, many, int(2.5/p.PrefillUtilisation)+p.decodersFor(16, 150))
}

func TestScaleKeepsTheMinimumNumberOfEngines(t *testing.T) {
	p := DefaultPolicy()
	state := State{DemandKnown: true, BusyEngines: 1, MinEngines: 30}
	for _, dc := range []string{"a", "b", "c"} {
		state.Engines = append(state.Engines, newEngines(model.DataCentreID(dc), 10, true, placement.StagePrefill)...)
	}
	total := 0
	for _, target := range p.Scale(scaling, state) {
		total += target.Desired
	}
	assert.Equal(t, 30, total)
}
