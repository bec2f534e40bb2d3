package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/membudget"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/upstream"
)

// Deps are the dependencies of a Gateway.
type Deps struct {
	// Catalog returns the configuration in force, nil until one is known.
	Catalog func() *catalog.Catalog
	// ConfigurationAge returns the time since the configuration that Catalog returns next was
	// last known to be the newest. It may be nil: the configuration is always the newest.
	ConfigurationAge func() time.Duration
	Fleet            *placement.Fleet
	Pool             *upstream.Pool
	Dialect          Dialect
	Limiter          Limiter
	Usage            Usage
	// ResponseMemory bounds the bytes of responses that all requests hold together, and
	// RequestMemory those of request bodies. They may be nil.
	ResponseMemory, RequestMemory *membudget.Budget
	// Metrics may be nil.
	Metrics *Metrics
	Log     *zap.Logger
}

// Gateway is the HTTP handler for callers. It is safe for concurrent use.
type Gateway struct {
	settings     Settings
	deps         Deps
	retryBudgets *retryBudgets
	// typicalDuration has the average duration of plain calls by service.
	typicalDuration meanDurations
	crashes         *crashes
	quarantine      *quarantinedParts
	// stopping is set once a graceful stop has begun.
	stopping atomic.Pointer[stopTimes]
	// ending ends at the end of a stop; endRequests ends it.
	ending      context.Context
	endRequests context.CancelCauseFunc
	running     atomic.Int64
}

var _ http.Handler = (*Gateway)(nil)

// New returns a gateway.
func New(s Settings, d Deps) *Gateway {
	g := &Gateway{
		settings:     s,
		deps:         d,
		retryBudgets: newRetryBudgets(s.RetryRatio, s.RetrySlack, s.RetryWindow),
		crashes:      newCrashes(),
	}
	g.retryBudgets.startUp(s.StartupRetryRatio, time.Now().Add(s.RetryStartup))
	g.quarantine = newQuarantinedParts(g)
	g.ending, g.endRequests = context.WithCancelCause(context.Background())
	return g
}

// NewServer returns an HTTP server for callers with the limits from the settings.
func (g *Gateway) NewServer() *http.Server {
	return &http.Server{
		Handler:           g,
		ReadHeaderTimeout: g.settings.HeaderTimeout,
		IdleTimeout:       g.settings.IdleTimeout,
		MaxHeaderBytes:    g.settings.HeaderBytes,
	}
}

// Running returns the number of requests in progress.
func (g *Gateway) Running() int64 { return g.running.Load() }

// SetRetrySlack sets this host's share of the retries allowed on top of the ratio.
func (g *Gateway) SetRetrySlack(slack float64) { g.retryBudgets.setSlack(slack) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	c := &call{
		g: g, w: w, r: r, arrived: time.Now(),
		responseMemory: g.deps.ResponseMemory.NewLease(), requestMemory: g.deps.RequestMemory.NewLease(),
	}
	defer c.responseMemory.Free()
	defer c.requestMemory.Free()
	g.askToClose(w.Header())
	metadata, finding := g.deps.Dialect.RequestMetadata(r.Header)
	c.metadata = metadata
	c.log = g.deps.Log.With(zap.String("request", metadata.ID))
	if finding != "" {
		c.log.Info("cannot parse a request header", zap.String("finding", finding))
	}
	if rejected := c.serve(); rejected != nil {
		c.reject(rejected)
	}
}
