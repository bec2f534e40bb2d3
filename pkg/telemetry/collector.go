package telemetry

import (
	"expvar"

	"github.com/prometheus/client_golang/prometheus"
)

// namespace is the prefix of all metric names in the Prometheus text format.
const namespace = "redwingpath"

// labelName is the only label of counters and gauges. Its value is the values of the
// go-kit labels joined by slashes, or totalKey if there are none. For counters of
// Metrics.Counter the name of the counter comes first.
const labelName = "of"

// Describe implements prometheus.Collector. It sends no descriptors, since the series
// are created at run time; this makes the collector an unchecked one.
func (m *Metrics) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. Names of counters end with _total;
// latencies are percentiles in seconds over the window of the histograms. The
// number of series is bounded as in the expvar output.
func (m *Metrics) Collect(out chan<- prometheus.Metric) {
	m.counters.collect(out, "events", prometheus.CounterValue)
	m.mu.RLock()
	families := make(map[string]*family, len(m.byName))
	for name, f := range m.byName {
		families[name] = f
	}
	m.mu.RUnlock()
	for name, f := range families {
		kind := prometheus.GaugeValue
		if name == NameRefusals || name == NameRoleChanges {
			kind = prometheus.CounterValue
		}
		f.collect(out, name, kind)
	}
	for name, l := range map[string]*Latency{
		NameRequestLatency: m.RequestLatency, NameFirstToken: m.FirstToken,
		NameTokenGap: m.TokenGap, NameAddedLatency: m.AddedLatency,
	} {
		l.collect(out, name)
	}
}

func (f *family) collect(out chan<- prometheus.Metric, name string, kind prometheus.ValueType) {
	if kind == prometheus.CounterValue {
		name += "_total"
	}
	desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), "See docs/operators.md.", []string{labelName}, nil)
	f.values.Do(func(v expvar.KeyValue) {
		if number, ok := v.Value.(*expvar.Float); ok {
			out <- prometheus.MustNewConstMetric(desc, kind, number.Value(), v.Key)
		}
	})
}

func (l *Latency) collect(out chan<- prometheus.Metric, name string) {
	quantile := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name+"_seconds"),
		"Percentiles over the last 40 to 60 seconds.", []string{"route", "organisation", "quantile"}, nil)
	count := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name+"_recent"),
		"Values in the last 40 to 60 seconds.", []string{"route", "organisation"}, nil)
	l.mu.RLock()
	all := make(map[seriesKey]*series, len(l.series))
	for k, s := range l.series {
		all[k] = s
	}
	l.mu.RUnlock()
	for k, s := range all {
		p := s.percentiles(l.now())
		route, org := string(k.route), string(k.org)
		for name, ms := range map[string]float64{"0.5": p.P50, "0.95": p.P95, "0.99": p.P99, "1": p.Max} {
			out <- prometheus.MustNewConstMetric(quantile, prometheus.GaugeValue, ms/millisPerSecond, route, org, name)
		}
		out <- prometheus.MustNewConstMetric(count, prometheus.GaugeValue, float64(p.Count), route, org)
	}
}

const millisPerSecond = 1000
