package telemetry

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Guards against wrong names, labels, kinds or units of the collected metrics.
func TestMetricsAreCollectedInTheTextFormat(t *testing.T) {
	m := New()
	registry := prometheus.NewRegistry()
	require.NoError(t, registry.Register(m))
	m.CountError("rate_exceeded")
	m.CountError("rate_exceeded")
	m.Counter("crashes").Add(3)
	m.LogOffset.Set(17)
	m.FirstToken.Observe("chat", "casa-toledo", 500*time.Millisecond)
	families, err := registry.Gather()
	require.NoError(t, err)
	values := map[string]float64{}
	for _, f := range families {
		for _, metric := range f.GetMetric() {
			name := f.GetName()
			for _, l := range metric.GetLabel() {
				name += " " + l.GetValue()
			}
			values[name] = metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	assert.Equal(t, 2.0, values["redwingpath_refusals_total rate_exceeded"])
	assert.Equal(t, 3.0, values["redwingpath_events_total crashes"])
	assert.Equal(t, 17.0, values["redwingpath_log_offset total"])
	assert.InEpsilon(t, 0.5, values["redwingpath_first_token_latency_seconds casa-toledo 0.95 chat"], 0.02)
	assert.Equal(t, 1.0, values["redwingpath_first_token_latency_recent casa-toledo chat"])
}

// Guards against a metrics response that grows with the number of organisations or
// names.
func TestCollectedSeriesAreBounded(t *testing.T) {
	m := New()
	for i := range 4300 {
		m.FirstToken.Observe("chat", model.OrganisationID(fmt.Sprint("org-", i)), time.Millisecond)
		m.Counter(fmt.Sprint("name-", i)).Add(1)
	}
	registry := prometheus.NewRegistry()
	require.NoError(t, registry.Register(m))
	families, err := registry.Gather()
	require.NoError(t, err)
	series := 0
	for _, f := range families {
		series += len(f.GetMetric())
	}
	const perLatencySeries = 5
	assert.LessOrEqual(t, series, perLatencySeries*maxSeries+maxLabelValues+1)
}
