package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/settings"
)

// Guards against percentiles that keep values from before the window.
func TestLatencyDropsValuesOutsideTheWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLatency(func() time.Time { return now })
	for range 100 {
		l.Observe("chat", "casa-toledo", 500*time.Millisecond)
	}
	p, ok := l.Percentiles("chat", "casa-toledo")
	require.True(t, ok)
	assert.EqualValues(t, 100, p.Count)
	assert.InEpsilon(t, 500, p.P95, 0.01)

	now = now.Add(windowParts * windowPartLength)
	l.Observe("chat", "casa-toledo", 20*time.Millisecond)
	p, _ = l.Percentiles("chat", "casa-toledo")
	assert.EqualValues(t, 1, p.Count)
	assert.InEpsilon(t, 20, p.P99, 0.01)
}

// Guards against a negative or very large duration that is not counted or causes
// a panic.
func TestLatencyClampsValues(t *testing.T) {
	l := NewLatency(time.Now)
	l.Observe("r", "o", -time.Second)
	l.Observe("r", "o", 100*latencyMax)
	p, _ := l.Percentiles("r", "o")
	assert.EqualValues(t, 2, p.Count)
}

// Guards against memory that grows with the number of organisations or names.
func TestLabelValuesAreBounded(t *testing.T) {
	m := New()
	for i := range 5 * maxLabelValues {
		org := model.OrganisationID(fmt.Sprint("org-", i))
		m.FirstToken.Observe("chat", org, time.Millisecond)
		m.Counter(fmt.Sprint("name-", i)).Add(1)
	}
	var published map[string]map[string]any
	require.NoError(t, json.Unmarshal([]byte(m.Var().String()), &published))
	assert.Len(t, published[NameFirstToken], maxSeries)
	assert.Len(t, published[NameCounters], maxLabelValues+1)
	assert.EqualValues(t, 4*maxLabelValues, published[NameCounters][Other])
}

// Guards against two hosts in one process that share or overwrite values.
func TestMetricsAreSeparateForEachHost(t *testing.T) {
	a, b := New(), New()
	a.CountError(model.CodeRateExceeded)
	a.CountError(model.CodeRateExceeded)
	b.LogOffset.Set(7)
	b.LogOffset.Set(9)
	b.BackendCost.With("pool", "tasador").Set(18)
	assert.JSONEq(t, `{"rate_exceeded": 2}`, a.root.Get(NameRefusals).String())
	assert.JSONEq(t, `{}`, b.root.Get(NameRefusals).String())
	assert.JSONEq(t, `{"total": 9}`, b.root.Get(NameLogOffset).String())
	assert.JSONEq(t, `{"tasador": 18}`, b.root.Get(NameBackendCost).String())
}

// Guards against logging settings that the logger rejects or ignores.
func TestLoggerFollowsSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.log")
	s := settings.Default().Logging
	s.Output = file
	s.Level = "warn"
	s.SamplePerSecond = 3
	logger, err := NewLogger(s)
	require.NoError(t, err)
	logger.Info("not logged")
	for range 10 {
		logger.Warn("log unreachable", zap.Duration("age", 3*time.Second))
	}
	require.NoError(t, logger.Sync())
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	assert.NotContains(t, string(data), "not logged")
	assert.Contains(t, string(data), `"age":"3s"`)
	// The loop may span two of the sampler's seconds, which allows 3 more lines.
	lines := bytes.Count(data, []byte("\n"))
	assert.True(t, lines == 3 || lines == 6, "lines: %d", lines)

	s.Level = "loud"
	_, err = NewLogger(s)
	assert.ErrorContains(t, err, "logging.level")
}
