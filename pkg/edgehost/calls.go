package edgehost

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/duty"
	"github.com/redwingpath/redwingpath/pkg/mirror"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// countedPlatform counts the calls to the platform, each of which is billed. Calls to
// engines are not counted.
type countedPlatform struct {
	Platform
	metric *prometheus.CounterVec

	mu sync.Mutex
	// recent counts the calls since the last summary by name and result.
	recent map[string]int
}

// Results of calls to the platform.
const (
	resultOK     = "ok"
	resultFailed = "failed"
)

func newCountedPlatform(p Platform, r prometheus.Registerer) *countedPlatform {
	c := &countedPlatform{
		Platform: p, recent: map[string]int{},
		metric: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingpath_platform_calls_total", Help: "Calls to the platform's store and API, by call and result."},
			[]string{"call", "result"}),
	}
	r.MustRegister(c.metric)
	return c
}

// count records a call and its result.
func (c *countedPlatform) count(call string, err error) {
	result := resultOK
	if err != nil {
		result = resultFailed
	}
	c.metric.WithLabelValues(call, result).Inc()
	c.mu.Lock()
	c.recent[call+" "+result]++
	c.mu.Unlock()
}

// summarise logs the calls since the last summary, if there were any.
func (c *countedPlatform) summarise(log *zap.Logger) {
	c.mu.Lock()
	recent := c.recent
	c.recent = map[string]int{}
	c.mu.Unlock()
	if len(recent) > 0 {
		log.Info("platform calls", zap.Any("calls", recent))
	}
}

// Newest implements mirror.Store.
func (c *countedPlatform) Newest(ctx context.Context, topic string) ([]mirror.Record, uint64, error) {
	records, end, err := c.Platform.Newest(ctx, topic)
	c.count("newest "+topic, err)
	return records, end, err
}

// Read implements mirror.Store.
func (c *countedPlatform) Read(ctx context.Context, topic string, from uint64, wait time.Duration) (mirror.Page, error) {
	page, err := c.Platform.Read(ctx, topic, from, wait)
	c.count("read "+topic, err)
	return page, err
}

// Put implements Platform.
func (c *countedPlatform) Put(ctx context.Context, topic, key string, value []byte) error {
	err := c.Platform.Put(ctx, topic, key, value)
	c.count("put "+topic, err)
	return err
}

// DutyLog implements Platform.
func (c *countedPlatform) DutyLog() duty.Log { return countedLog{c.Platform.DutyLog(), c} }

// ReportUsage implements Platform.
func (c *countedPlatform) ReportUsage(ctx context.Context, term duty.Term, window int64, counts map[model.OrganisationID]int64) error {
	err := c.Platform.ReportUsage(ctx, term, window, counts)
	c.count("report usage", err)
	return err
}

// Scale implements Platform.
func (c *countedPlatform) Scale(ctx context.Context, term duty.Term, o ScaleOrder) error {
	err := c.Platform.Scale(ctx, term, o)
	c.count("scale", err)
	return err
}

// countedLog counts the calls to the log of the duties.
type countedLog struct {
	duty.Log
	platform *countedPlatform
}

// AppendAt implements duty.Log.
func (l countedLog) AppendAt(ctx context.Context, key string, record []byte, at uint64) error {
	err := l.Log.AppendAt(ctx, key, record, at)
	l.platform.count("append "+TopicDuties, err)
	return err
}

// Read implements duty.Log.
func (l countedLog) Read(ctx context.Context, from uint64) ([]duty.Entry, uint64, error) {
	entries, end, err := l.Log.Read(ctx, from)
	l.platform.count("read "+TopicDuties, err)
	return entries, end, err
}
