package enginesim

import (
	"net/http"
	"strconv"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
)

const loadSamplePeriod = 50 * time.Millisecond

// sampleLoad takes load samples until the engine is closed, so that reports can lag.
func (e *Engine) sampleLoad() {
	defer e.workers.Done()
	ticker := time.NewTicker(loadSamplePeriod)
	defer ticker.Stop()
	for {
		e.mu.Lock()
		e.addSample()
		e.mu.Unlock()
		select {
		case <-ticker.C:
		case <-e.stop:
			return
		}
	}
}

// addSample appends a load sample and drops old ones. The first one left, which
// serveLoad returns, is the newest that is at least as old as the report lag.
func (e *Engine) addSample() {
	now := time.Now()
	e.loadSamples = append(e.loadSamples, e.currentLoad(now))
	oldest := now.Add(-milliseconds(e.config.LoadLagMS)).UnixMilli()
	for len(e.loadSamples) > 1 && e.loadSamples[1].TimeMS <= oldest {
		e.loadSamples = e.loadSamples[1:]
	}
}

func (e *Engine) currentLoad(now time.Time) engine.LoadReport {
	report := engine.LoadReport{
		Backend:              e.id.Backend,
		TimeMS:               now.UnixMilli(),
		Role:                 e.state.Role,
		Running:              len(e.running),
		Queued:               len(e.queue),
		PrefillTokensPerS:    e.config.PrefillTokensPerS,
		DecodeStepMS:         e.config.DecodeStepMS,
		CacheBlocks:          e.cache.recency.Len(),
		CacheBlocksLimit:     e.config.CacheBlocks,
		MaxRunning:           e.config.MaxRunning,
		RoleChangeInProgress: e.outOfService,
	}
	for _, q := range e.queue {
		report.QueuedPrefillTokens += q.promptTokens + q.from
	}
	for _, q := range e.running {
		report.QueuedPrefillTokens += q.prefillLeft
		report.RunningTokens += q.promptTokens + q.next
	}
	return report
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.loadSamples[0]
	drop := e.faults.DropReports
	e.mu.Unlock()
	if drop {
		http.Error(w, "no report", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, q *http.Request) {
	from, _ := strconv.ParseUint(q.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	events := e.cache.eventsFrom(from, milliseconds(e.config.EventLagMS))
	drop := e.faults.DropReports
	e.mu.Unlock()
	if drop {
		http.Error(w, "no report", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, events)
}
