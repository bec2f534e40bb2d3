package edgehost

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/callers"
	"github.com/redwingpath/redwingpath/pkg/placequery"
)

// gcPercent lets the heap of about 10 MB triple between collections, since a collection
// occupies the processor of a small host for tens of milliseconds.
const gcPercent = 200

// memoryShare is the share of the process's memory that is set as the memory limit of
// the Go runtime. The rest is for buffers of the kernel and the C library.
const memoryShare = 0.7

// Run serves until ctx ends, and then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(h.settings.MemoryBytes)))
	h.log.Info("host starts", zap.String("host", h.self.Host), zap.String("incarnation", h.self.Incarnation),
		zap.String("data_centre", string(h.settings.DataCentre)), zap.Strings("seeds", h.settings.Seeds))
	server, err := callers.Listen(h.settings.CallersAddress, h.gateway.NewServer(), nil)
	if err != nil {
		return err
	}
	go func() {
		if err := server.Serve(); err != nil {
			h.log.Error("the server for callers failed", zap.Error(err))
		}
	}()
	if err := h.listenInternal(); err != nil {
		return err
	}
	// The background work continues until the last request of the callers is served.
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	for _, f := range h.followers {
		group.Go(func() { f.Run(background) })
	}
	group.Go(func() { h.mesh.Run(background) })
	group.Go(func() { h.maintainMembers(background) })
	group.Go(func() { h.runDuties(background) })
	group.Go(func() { h.sweep(background) })

	<-ctx.Done()
	h.stop(server)
	stop()
	group.Wait()
	h.pool.Close()
	h.log.Info("host stopped")
	return nil
}

// Shares of the grace period of a stop.
const (
	// loadBalancerShare is the share during which the load balancer may still send
	// requests.
	loadBalancerShare = 0.29
	// answerShare is the share after which requests that are still running get a final
	// response that says so.
	answerShare = 0.88
	// finishShare is the share after which connections are closed by force. It leaves
	// time for the responses of answerShare to be sent.
	finishShare = 0.9
)

// stop finishes running requests and those that the load balancer still sends, within
// the grace period.
func (h *Host) stop(server *callers.Server) {
	started := time.Now()
	h.stopping.Store(true)
	at := func(share float64) time.Time { return started.Add(time.Duration(share * float64(h.settings.Grace))) }
	h.gateway.Stop(at(loadBalancerShare), at(answerShare))
	h.log.Info("host stops", zap.Int64("running", h.gateway.Running()))
	time.Sleep(time.Until(at(loadBalancerShare)))
	left, err := server.Stop(at(finishShare))
	if err != nil {
		h.log.Warn("stopping the server for callers failed", zap.Error(err))
	}
	if left > 0 {
		h.log.Warn("connections were still in use at the end of the grace period", zap.Int("connections", left), zap.Int64("running", h.gateway.Running()))
	}
}

// ready reports whether the host can serve callers.
func (h *Host) ready() bool {
	return !h.stopping.Load() && h.catalog.Load() != nil && h.registry.count() > 0
}

// listenInternal opens the listeners for readiness and metrics.
func (h *Host) listenInternal() error {
	listener, err := net.Listen("tcp", h.settings.ReadinessAddress)
	if err != nil {
		return eris.Wrap(err, "listen for readiness")
	}
	go h.serveReadiness(listener)
	if h.settings.MetricsAddress == "" {
		return nil
	}
	listener, err = net.Listen("tcp", h.settings.MetricsAddress)
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(h.gatherer, promhttp.HandlerOpts{}))
	metrics.HandleFunc("/state", h.serveState)
	metrics.HandleFunc(placequery.Path, h.servePlace)
	go func() { _ = http.Serve(listener, metrics) }()
	return nil
}

// serveState writes the state of the process as JSON, for operators.
func (h *Host) serveState(w http.ResponseWriter, _ *http.Request) {
	holder, fence := h.duties.Holding()
	state := map[string]any{
		"host": h.self, "ready": h.ready(), "stopping": h.stopping.Load(), "members": h.mesh.Live(),
		"backends": h.fleet.List(), "holder": holder, "fence": fence, "now": h.clock.Now(), "relaying": h.mesh.Relaying(),
		"prompt_parts": h.gateway.QuarantineState(), "evacuated": *h.evacuated.Load(),
		"engine_memory": h.fleet.EngineMemories(),
	}
	if c := h.catalog.Load(); c != nil {
		state["configuration"] = c.Version
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		h.log.Debug("the state could not be written", zap.Error(err))
	}
}

// sweepInterval is the pause between rounds of housekeeping.
const sweepInterval = 400 * time.Millisecond

// summaryInterval is the pause between log summaries of the engines' load and of the
// calls to the platform.
const summaryInterval = 2 * time.Second

// summarise logs the host's estimate of the engines' load and its calls to the platform.
func (h *Host) summarise(now time.Time) {
	h.calls.summarise(h.log)
	for _, s := range h.fleet.Summaries(now) {
		h.log.Info("engine load", zap.String("service", string(s.Service)),
			zap.Int("prefill_engines", s.Prefillers), zap.Int("decode_engines", s.Decoders),
			zap.Float64("prefill_tokens_per_ms", s.PrefillRate), zap.Float64("decode_tokens_per_ms", s.DecodeRate),
			zap.Duration("prefill_wait", s.PrefillWait), zap.Duration("decode_wait", s.DecodeWait),
			zap.Int("running", s.Running), zap.Int("slots", s.Slots),
			zap.Int("tokens_in_use", s.TokensInUse), zap.Int("tokens", s.Tokens), zap.Int("suspects", s.Suspects))
		h.metrics.engineTokens.WithLabelValues(string(s.Service), "in_use").Set(float64(s.TokensInUse))
		h.metrics.engineTokens.WithLabelValues(string(s.Service), "total").Set(float64(s.Tokens))
	}
}

// logStarts logs the servers that begin or end a slow or cold start, and counts them.
func (h *Host) logStarts(now time.Time) {
	for _, e := range h.fleet.StartEvents() {
		h.log.Info(e.Event, zap.String("backend", string(e.Backend)), zap.Float64("per_second", e.PerSecond))
	}
	paced, cold := h.fleet.StartingServers(now)
	h.metrics.startingServers.WithLabelValues("paced").Set(float64(paced))
	h.metrics.startingServers.WithLabelValues("cold").Set(float64(cold))
}

// sweep removes what has expired, updates gauges and logs summaries until ctx
// ends.
func (h *Host) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-summary.C:
			h.summarise(now)
		case now := <-ticker.C:
			h.noteEra()
			h.registry.noteUpToDate(h.tables[TopicBackends].UpToDateAt())
			h.registry.sweep(now)
			h.applyEvacuations(now)
			rank, hosts := h.mesh.RankInDataCentre()
			h.fleet.SetHostPosition(rank, hosts)
			h.updateLimitUsers()
			h.logStarts(now)
			h.pool.Sweep(now)
			for _, t := range h.tables {
				t.Trim(now)
			}
			h.metrics.connections.Set(float64(h.pool.Opened()))
			h.metrics.messages.Set(float64(h.mesh.MessagesReceived()))
		}
	}
}
