package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// organisationsMost bounds the series by organisation; the others are counted
// together.
const organisationsMost = 64

// otherOrganisations is the label of the organisations beyond organisationsMost.
const otherOrganisations = "other"

// Metrics are the gateway's metrics.
type Metrics struct {
	requests      *prometheus.CounterVec
	organisations *prometheus.CounterVec
	failures      *prometheus.CounterVec
	first         *prometheus.HistogramVec
	total         *prometheus.HistogramVec
	resumed       prometheus.Counter

	mu    sync.Mutex
	known map[model.OrganisationID]bool
}

// latencyBuckets reach from a plain call to the longest deadline. Unit: seconds.
var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingpath_requests_total", Help: "Requests of callers by service, kind of route and status."},
			[]string{"service", "kind", "status"}),
		organisations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingpath_organisation_requests_total", Help: "Requests of callers by organisation and whether they were served."},
			[]string{"organisation", "outcome"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingpath_attempt_failures_total", Help: "Failed sends to backend servers by cause."},
			[]string{"cause"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "redwingpath_first_event_seconds", Help: "Time from arrival to the first byte of the answer.", Buckets: latencyBuckets},
			[]string{"service", "kind"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "redwingpath_request_seconds", Help: "Time from arrival to the end of the answer.", Buckets: latencyBuckets},
			[]string{"service", "kind"}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "redwingpath_streams_resumed_total", Help: "Streams that went on at another backend server."}),
		known: map[model.OrganisationID]bool{},
	}
	r.MustRegister(m.requests, m.organisations, m.failures, m.first, m.total, m.resumed)
	return m
}

func (m *Metrics) request(c *call, status int, reason string, now time.Time) {
	if m == nil {
		return
	}
	service, kind := "", ""
	if c.route != nil {
		kind = c.route.Kind.String()
	}
	if c.service != nil {
		service = string(c.service.Name)
	}
	m.requests.WithLabelValues(service, kind, strconv.Itoa(status)).Inc()
	outcome := "served"
	if reason != "" {
		outcome = "not_served"
	}
	if c.org != nil {
		m.organisations.WithLabelValues(m.label(c.org.ID), outcome).Inc()
	}
	if reason != "" {
		return
	}
	if !c.firstAt.IsZero() {
		m.first.WithLabelValues(service, kind).Observe(c.firstAt.Sub(c.arrived).Seconds())
	}
	m.total.WithLabelValues(service, kind).Observe(now.Sub(c.arrived).Seconds())
	if c.attempts > 1 && c.events > 0 {
		m.resumed.Inc()
	}
}

func (m *Metrics) label(org model.OrganisationID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.known[org] {
		if len(m.known) >= organisationsMost {
			return otherOrganisations
		}
		m.known[org] = true
	}
	return string(org)
}

func (m *Metrics) attemptFailed(cause string) {
	if m != nil {
		m.failures.WithLabelValues(cause).Inc()
	}
}
