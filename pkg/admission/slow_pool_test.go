package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// Guards against an idle pool that rejects every request because even its
// fastest decode step exceeds the limit between tokens, as with steps of 50 ms,
// and against a loaded pool that rejects none.
func TestSlowPoolServesWhenIdle(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := routing.NewTable(routing.Settings{})
	table.UpdateBackend(routing.Backend{ID: "b", Pool: "m", PoolKind: model.PoolEngine, Available: true})
	report := engine.LoadReport{PrefillTokensPerS: 10_000, MaxRunning: 64, DecodeStepMS: 50}
	admitted := func() bool {
		table.UpdateLoad("b", report, now)
		r := routing.Request{ID: "r", Organisation: "o", Pool: "m", Kind: model.PoolEngine, PromptTokens: 100, MaxTokens: 200}
		d, err := table.Select(&r, now)
		require.NoError(t, err)
		table.Done(&routing.Feedback{Request: r, Backend: "b"})
		return NewController(Settings{}).Admit(&r, d, now).OK
	}
	require.True(t, admitted(), "idle")
	now = now.Add(time.Second)
	report.DecodeStepMS = 100
	report.Running = 40
	require.False(t, admitted(), "loaded")
}
