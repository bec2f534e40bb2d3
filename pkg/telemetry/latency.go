package telemetry

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwingpath/redwingpath/pkg/model"
)

const (
	// maxSeries bounds the series of one latency metric. A series takes about
	// 64 KiB, so the four latency metrics of a host stay within 16 MiB of the
	// 128 MiB that the host may use.
	maxSeries = 64
	// latencyUnit is the resolution of the histograms, latencyMax their largest
	// value.
	latencyUnit = 100 * time.Microsecond
	latencyMax  = 10 * time.Minute
	// Two significant digits keep a percentile within 1% of its value.
	significantDigits = 2
	// The window consists of three parts, so percentiles cover the last 40 to
	// 60 seconds.
	windowParts      = 3
	windowPartLength = 20 * time.Second
)

// Percentiles are the latencies of one series over the window, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

type seriesKey struct {
	route model.RouteID
	org   model.OrganisationID
}

// Latency keeps windowed percentiles for each route and organisation. It
// implements expvar.Var and is safe for concurrent use.
type Latency struct {
	now func() time.Time

	mu     sync.RWMutex
	series map[seriesKey]*series
}

// NewLatency returns a Latency without series that reads the time from now.
func NewLatency(now func() time.Time) *Latency {
	return &Latency{now: now, series: make(map[seriesKey]*series)}
}

// Observe records a duration. Once the number of series is at its bound, new
// routes and organisations count under Other.
func (l *Latency) Observe(route model.RouteID, org model.OrganisationID, d time.Duration) {
	l.seriesFor(seriesKey{route, org}).observe(d, l.now())
}

// Percentiles returns the percentiles of a series, false if the series does not
// exist.
func (l *Latency) Percentiles(route model.RouteID, org model.OrganisationID) (Percentiles, bool) {
	l.mu.RLock()
	s, ok := l.series[seriesKey{route, org}]
	l.mu.RUnlock()
	if !ok {
		return Percentiles{}, false
	}
	return s.percentiles(l.now()), true
}

// String implements expvar.Var. It returns a JSON object with "route/organisation"
// as keys.
func (l *Latency) String() string {
	l.mu.RLock()
	all := make(map[string]*series, len(l.series))
	for k, s := range l.series {
		all[string(k.route)+"/"+string(k.org)] = s
	}
	l.mu.RUnlock()
	values := make(map[string]Percentiles, len(all))
	for name, s := range all {
		values[name] = s.percentiles(l.now())
	}
	data, err := json.Marshal(values)
	if err != nil {
		return "{}"
	}
	return string(data)
}

// seriesFor returns the series of a key and creates it on first use. One place is
// kept for the series of Other.
func (l *Latency) seriesFor(k seriesKey) *series {
	l.mu.RLock()
	s, ok := l.series[k]
	l.mu.RUnlock()
	if ok {
		return s
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.series[k]; !known && len(l.series) >= maxSeries-1 {
		k = seriesKey{Other, Other}
	}
	if l.series[k] == nil {
		l.series[k] = newSeries(l.now())
	}
	return l.series[k]
}

// series is the histogram of one route and organisation.
type series struct {
	mu      sync.Mutex
	window  *hdrhistogram.WindowedHistogram
	rotated time.Time
}

func newSeries(now time.Time) *series {
	highest := int64(latencyMax / latencyUnit)
	return &series{
		window:  hdrhistogram.NewWindowed(windowParts, 1, highest, significantDigits),
		rotated: now,
	}
}

func (s *series) observe(d time.Duration, now time.Time) {
	// Values out of range are clamped.
	value := min(max(d, 0), latencyMax) / latencyUnit
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	_ = s.window.Current.RecordValue(int64(value))
}

func (s *series) percentiles(now time.Time) Percentiles {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	h := s.window.Merge()
	return Percentiles{
		Count: h.TotalCount(),
		P50:   milliseconds(h.ValueAtPercentile(50)),
		P95:   milliseconds(h.ValueAtPercentile(95)),
		P99:   milliseconds(h.ValueAtPercentile(99)),
		Max:   milliseconds(h.Max()),
	}
}

// rotate drops the parts that have left the window. It is called on each use, so
// that no goroutine is needed. The caller holds the lock.
func (s *series) rotate(now time.Time) {
	for range windowParts {
		if now.Sub(s.rotated) < windowPartLength {
			return
		}
		s.window.Rotate()
		s.rotated = s.rotated.Add(windowPartLength)
	}
	s.rotated = now
}

func milliseconds(units int64) float64 {
	return float64(units) * float64(latencyUnit) / float64(time.Millisecond)
}
