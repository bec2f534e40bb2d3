package telemetry

import (
	"expvar"
	"strings"

	"github.com/go-kit/kit/metrics"
)

// maxLabelValues bounds the number of label values of one metric. A metric with
// that many values takes about 16 KiB.
const maxLabelValues = 256

// The instruments below implement go-kit's metrics interfaces on an expvar.Map of
// their own Metrics. go-kit's expvar instruments ignore labels and register each
// name globally, so that a second host in one process would panic.

// family holds the values of one metric by label values.
type family struct {
	values *expvar.Map
	labels *labelSet
}

func newFamily() *family {
	return &family{values: new(expvar.Map), labels: newLabelSet(maxLabelValues)}
}

// counter implements metrics.Counter.
type counter struct {
	family *family
	label  string
}

// With implements metrics.Counter. Label names are not published, only values.
func (c counter) With(labelValues ...string) metrics.Counter {
	return counter{c.family, c.family.labels.admit(joinLabels(c.label, labelValues))}
}

func (c counter) Add(delta float64) {
	c.family.values.AddFloat(key(c.label), delta)
}

// gauge implements metrics.Gauge.
type gauge struct {
	family *family
	label  string
}

// With implements metrics.Gauge. Label names are not published, only values.
func (g gauge) With(labelValues ...string) metrics.Gauge {
	return gauge{g.family, g.family.labels.admit(joinLabels(g.label, labelValues))}
}

func (g gauge) Set(value float64) {
	g.family.values.AddFloat(key(g.label), 0)
	g.family.values.Get(key(g.label)).(*expvar.Float).Set(value)
}

func (g gauge) Add(delta float64) {
	g.family.values.AddFloat(key(g.label), delta)
}

// totalKey is the key of a metric's value without labels.
const totalKey = "total"

func key(label string) string {
	if label == "" {
		return totalKey
	}
	return label
}

// joinLabels appends the values of labelValues, which alternates names and values,
// to the prefix.
func joinLabels(prefix string, labelValues []string) string {
	values := make([]string, 0, 1+len(labelValues)/2)
	if prefix != "" {
		values = append(values, prefix)
	}
	for i := 1; i < len(labelValues); i += 2 {
		values = append(values, labelValues[i])
	}
	return strings.Join(values, "/")
}
