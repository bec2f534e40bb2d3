package telemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/go-kit/kit/metrics"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Names of the metrics. They are published on the expvar page and documented in
// docs/operators.md.
const (
	NameRequestLatency = "request_latency"
	NameFirstToken     = "first_token_latency"
	NameTokenGap       = "token_gap"
	NameAddedLatency   = "added_latency"
	NameRefusals       = "refusals"
	NameRoleChanges    = "role_changes"
	NameBackendCost    = "backend_cost"
	NameLogOffset      = "log_offset"
	NameCounters       = "counters"
)

// Metrics are the metrics of one host. It is safe for concurrent use.
type Metrics struct {
	// RequestLatency is from arrival to the last byte.
	RequestLatency *Latency
	// FirstToken is from arrival to the first token sent to the caller.
	FirstToken *Latency
	// TokenGap is the time between two tokens of a stream.
	TokenGap *Latency
	// AddedLatency is the part of a request's latency that the host itself adds.
	AddedLatency *Latency
	// Refusals counts refusals by code.
	Refusals metrics.Counter
	// RoleChanges counts completed role changes by pool.
	RoleChanges metrics.Counter
	// BackendCost is the cost of backend servers by pool, in units of the price
	// of an ordinary one; a preemptible one counts by its relative price.
	BackendCost metrics.Gauge
	// LogOffset is the offset of the configuration in force.
	LogOffset metrics.Gauge

	root     *expvar.Map
	counters *family

	mu sync.RWMutex
	// byName holds all gauges, and the counters Refusals and RoleChanges.
	byName map[string]*family
}

// New returns the metrics of one host.
func New() *Metrics {
	return newMetrics(time.Now)
}

func newMetrics(now func() time.Time) *Metrics {
	m := &Metrics{
		root:           new(expvar.Map),
		counters:       newFamily(),
		byName:         make(map[string]*family),
		RequestLatency: NewLatency(now),
		FirstToken:     NewLatency(now),
		TokenGap:       NewLatency(now),
		AddedLatency:   NewLatency(now),
	}
	m.root.Set(NameRequestLatency, m.RequestLatency)
	m.root.Set(NameFirstToken, m.FirstToken)
	m.root.Set(NameTokenGap, m.TokenGap)
	m.root.Set(NameAddedLatency, m.AddedLatency)
	m.root.Set(NameCounters, m.counters.values)
	m.Refusals = counter{family: m.family(NameRefusals)}
	m.RoleChanges = counter{family: m.family(NameRoleChanges)}
	m.BackendCost = gauge{family: m.family(NameBackendCost)}
	m.LogOffset = gauge{family: m.family(NameLogOffset)}
	return m
}

// family returns the family of a name and creates it on first use.
func (m *Metrics) family(name string) *family {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.byName[name]
	if f == nil {
		f = newFamily()
		m.byName[name] = f
		m.root.Set(name, f.values)
	}
	return f
}

// CountError counts a rejection or failure by its error code.
func (m *Metrics) CountError(code model.ErrorCode) {
	m.Refusals.With("code", string(code)).Add(1)
}

// Counter returns a counter by name, for events that have no metric of their own.
// Names beyond maxLabelValues count under Other.
func (m *Metrics) Counter(name string) metrics.Counter {
	return counter{m.counters, m.counters.labels.admit(name)}
}

// Gauge returns a gauge by name. Names must be constants of the program and not
// input of callers, since their number is not bounded.
func (m *Metrics) Gauge(name string) metrics.Gauge {
	return gauge{family: m.family(name)}
}

// Var returns all metrics as an expvar variable.
func (m *Metrics) Var() expvar.Var {
	return m.root
}

// Publish registers the metrics on the process-wide expvar page. Like
// expvar.Publish, it panics if the name is in use.
func (m *Metrics) Publish(name string) {
	expvar.Publish(name, m.root)
}
