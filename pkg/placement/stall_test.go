package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each decode engine runs four requests, and all prefill engines have a queue of 330 ms.
func TestLongPromptIsNotPrefilledBetweenEventsOfRunningResponses(t *testing.T) {
	f := NewFleet(DefaultSettings())
	for _, e := range newEngines(4, 3) {
		f.Update(e.backend)
	}
	for _, s := range f.servers {
		if s.Stage == StageDecode {
			s.running = 4
		} else {
			s.addBacklog(330*time.Millisecond, epoch)
		}
	}
	long := &Request{Service: "m", Parts: []Part{{1, 20}, {2, 4000}}, PromptTokens: 4020}
	plan, ok := f.Place(long, epoch)
	require.True(t, ok)
	require.Nil(t, plan.Prefill, "without a gap limit, a decode engine prefills")
	long.MaxEventGap = 150 * time.Millisecond
	plan, ok = f.Place(long, epoch)
	require.True(t, ok)
	assert.NotNil(t, plan.Prefill, "115 ms of prefill would exceed EventGapShare of the gap limit of four responses")
	short := &Request{Service: "m", Parts: []Part{{1, 20}, {3, 300}}, PromptTokens: 320, MaxEventGap: long.MaxEventGap}
	plan, ok = f.Place(short, epoch)
	require.True(t, ok)
	assert.Nil(t, plan.Prefill)
}

// A part that no engine is known to have cached has its home on a prefill engine, however
// slow prefill on decode engines is.
func TestUnknownPartIsNotPrefilledBetweenEventsOfRunningResponses(t *testing.T) {
	f := NewFleet(DefaultSettings())
	for _, e := range newEngines(4, 3) {
		f.Update(e.backend)
	}
	f.services["m"].prefill[StageDecode].rate.value = 15
	for i := range 20 {
		r := &Request{Service: "m", Parts: []Part{{uint64(i), 14000}, {uint64(100 + i), 3000}}, PromptTokens: 17000, MaxEventGap: 150 * time.Millisecond}
		plan, ok := f.Place(r, epoch)
		require.True(t, ok)
		assert.NotNil(t, plan.Prefill, "part %d", i)
	}
}
