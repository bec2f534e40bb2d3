package gateway

import (
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/upstream"
)

// maxLabels bounds the organisations, and the backend servers, that have time series of
// their own; the others are counted together.
const maxLabels = 64

// otherLabel is the label of the organisations or servers beyond maxLabels.
const otherLabel = "other"

// Metrics are the Prometheus metrics of a Gateway.
type Metrics struct {
	requests      *prometheus.CounterVec
	organisations *prometheus.CounterVec
	failures      *prometheus.CounterVec
	firstByte     *prometheus.HistogramVec
	duration      *prometheus.HistogramVec
	untrusted     *prometheus.CounterVec
	resumed       prometheus.Counter
	crashes       prometheus.Counter
	holds         prometheus.Gauge
	heldBack      prometheus.Counter
	denialAge     *prometheus.HistogramVec

	mu              sync.Mutex
	labelled        map[model.OrganisationID]bool
	labelledServers map[model.BackendID]bool
}

// latencyBuckets span from a fast plain call to the longest deadline. Unit: seconds.
var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4}

// NewMetrics creates the metrics and registers them.
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
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "redwingpath_first_event_seconds", Help: "Time from arrival to the first byte of the answer.", Buckets: latencyBuckets},
			[]string{"service", "kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "redwingpath_request_seconds", Help: "Time from arrival to the end of the answer.", Buckets: latencyBuckets},
			[]string{"service", "kind"}),
		resumed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "redwingpath_streams_resumed_total", Help: "Streams that went on at another backend server."}),
		untrusted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingpath_untrusted_responses_total", Help: "Responses that were cut, not valid, not signed or not those to the request, by backend server and cause."},
			[]string{"server", "cause"}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "redwingpath_backend_crashes_total", Help: "Backend servers that crashed while they ran requests of this host with shared parts of prompts."}),
		holds: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "redwingpath_held_prompt_parts", Help: "Parts of prompts, or combinations of them, for which requests are held back."}),
		heldBack: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "redwingpath_held_back_requests_total", Help: "Requests that were held back for a part of their prompt."}),
		denialAge: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "redwingpath_denied_configuration_age_seconds", Help: "Age of the configuration at requests with an unknown route or key, by status of the answer.", Buckets: latencyBuckets},
			[]string{"status"}),
		labelled:        map[model.OrganisationID]bool{},
		labelledServers: map[model.BackendID]bool{},
	}
	r.MustRegister(m.requests, m.organisations, m.failures, m.firstByte, m.duration, m.untrusted, m.resumed, m.crashes, m.holds, m.heldBack, m.denialAge)
	return m
}

func (m *Metrics) countRequest(c *call, status int, reason string, now time.Time) {
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
	if c.heldParts != "" {
		m.heldBack.Inc()
	}
	if c.denied {
		m.denialAge.WithLabelValues(strconv.Itoa(status)).Observe(c.configurationAge.Seconds())
	}
	if c.org != nil {
		m.organisations.WithLabelValues(m.organisationLabel(c.org.ID), outcome).Inc()
	}
	if reason != "" {
		return
	}
	if !c.firstByteAt.IsZero() {
		m.firstByte.WithLabelValues(service, kind).Observe(c.firstByteAt.Sub(c.arrived).Seconds())
	}
	m.duration.WithLabelValues(service, kind).Observe(now.Sub(c.arrived).Seconds())
	if c.attempts > 1 && c.events > 0 {
		m.resumed.Inc()
	}
}

func (m *Metrics) organisationLabel(org model.OrganisationID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return boundedLabel(m.labelled, org)
}

// boundedLabel returns the label of a value, which is its own for the first maxLabels
// values.
func boundedLabel[T ~string](labelled map[T]bool, value T) string {
	if !labelled[value] {
		if len(labelled) >= maxLabels {
			return otherLabel
		}
		labelled[value] = true
	}
	return string(value)
}

// countFailedAttempt counts an attempt or a prefill call that failed at a server.
func (m *Metrics) countFailedAttempt(server model.BackendID, err error) {
	if m == nil {
		return
	}
	m.failures.WithLabelValues(cause(err)).Inc()
	if !untrusted(err) {
		return
	}
	m.mu.Lock()
	label := boundedLabel(m.labelledServers, server)
	m.mu.Unlock()
	m.untrusted.WithLabelValues(label, cause(err)).Inc()
}

// untrusted reports whether an attempt failed by a response that proves nothing about the
// request.
func untrusted(err error) bool {
	return errors.Is(err, errOtherRequest) || errors.Is(err, errUnsigned) || errors.Is(err, errInterrupted) ||
		errors.Is(err, upstream.ErrInvalid)
}

func (m *Metrics) countCrash() {
	if m != nil {
		m.crashes.Inc()
	}
}

func (m *Metrics) setHolds(n int) {
	if m != nil {
		m.holds.Set(float64(n))
	}
}
