package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/upstream"
)

// Deps are the dependencies of a Gateway.
type Deps struct {
	// Catalog returns the configuration in force, nil until one is known.
	Catalog func() *catalog.Catalog
	Fleet   *placement.Fleet
	Pool    *upstream.Pool
	Dialect Dialect
	Limiter Limiter
	Usage   Usage
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
	// stopping is set once responses tell callers to close their connections.
	stopping atomic.Bool
	running  atomic.Int64
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
	g.quarantine = newQuarantinedParts(g)
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

// Stop makes each further response ask the caller to close its connection, so that
// it uses another host.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Running returns the number of requests in progress.
func (g *Gateway) Running() int64 { return g.running.Load() }

// SetRetrySlack sets this host's share of the retries allowed on top of the ratio.
func (g *Gateway) SetRetrySlack(slack float64) { g.retryBudgets.setSlack(slack) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	c := &call{g: g, w: w, r: r, arrived: time.Now()}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
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
