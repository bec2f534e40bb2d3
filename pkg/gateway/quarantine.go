package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/quarantine"
)

// quarantinedParts holds back requests with a part of their prompts that crashes engines.
// It is safe for concurrent use.
type quarantinedParts struct {
	g *Gateway

	mu      sync.Mutex
	tracker *quarantine.Tracker
	// unconfirmed are the servers whose connections broke and that are checked, with the
	// parts of the requests that broke.
	unconfirmed map[model.BackendID][]brokenRun
	// held are the holds that were last logged, by their text.
	held map[string]quarantine.Hold
}

// brokenRun is a request whose connection to a server broke.
type brokenRun struct {
	parts []quarantine.PartID
	at    time.Time
}

func newQuarantinedParts(g *Gateway) *quarantinedParts {
	return &quarantinedParts{
		g: g, tracker: quarantine.New(quarantine.DefaultSettings()),
		unconfirmed: map[model.BackendID][]brokenRun{}, held: map[string]quarantine.Hold{},
	}
}

// sharedParts returns the parts that other requests may share: all but the last one.
func sharedParts(parts []placement.Part) []quarantine.PartID {
	if len(parts) < 2 {
		return nil
	}
	shared := make([]quarantine.PartID, len(parts)-1)
	for i := range shared {
		shared[i] = quarantine.PartID(parts[i].ID)
	}
	return shared
}

// rejectHeldPart returns a rejection if requests with the parts are held back.
func (c *call) rejectHeldPart() *rejection {
	hold := c.g.quarantine.holding(c.shared)
	if hold == nil {
		return nil
	}
	c.heldParts = heldNames(hold.Parts)
	return &rejection{status: http.StatusServiceUnavailable, retryAfter: c.g.settings.MaxRetryAfter, reason: "a part of the prompt crashes the backend servers that answer it"}
}

func (q *quarantinedParts) holding(parts []quarantine.PartID) *quarantine.Hold {
	if len(parts) == 0 {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Holding(parts, time.Now())
}

// recordAnswer records a whole answer to a request with the parts.
func (q *quarantinedParts) recordAnswer(parts []quarantine.PartID) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.RecordAnswer(parts, time.Now())
}

// crashCheckTimeout bounds the check of a server whose connections broke.
const crashCheckTimeout = 500 * time.Millisecond

// maxBrokenRuns bounds the requests that are recorded of one crash.
const maxBrokenRuns = 32

// recordBreak records that the connection to a server broke while it ran a request with
// the parts. The server has crashed only if it also refuses new connections: it may have
// reset this connection alone, and all connections of this host may have been reset.
func (q *quarantinedParts) recordBreak(b *placement.Backend, parts []quarantine.PartID) {
	if len(parts) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	runs, checking := q.unconfirmed[b.ID]
	if len(runs) < maxBrokenRuns {
		q.unconfirmed[b.ID] = append(runs, brokenRun{slices.Clone(parts), time.Now()})
	}
	if !checking {
		go q.check(*b)
	}
}

// check confirms the crash of a server.
func (q *quarantinedParts) check(b placement.Backend) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	crashed := q.g.deps.Pool.Refuses(ctx, b.Address)
	q.mu.Lock()
	defer q.mu.Unlock()
	runs := q.unconfirmed[b.ID]
	delete(q.unconfirmed, b.ID)
	q.g.deps.Log.Info("backend server checked after broken connections", zap.String("backend", string(b.ID)),
		zap.Bool("crashed", crashed), zap.Int("runs", len(runs)))
	if !crashed {
		return
	}
	q.g.deps.Metrics.countCrash()
	now := time.Now()
	for _, run := range runs {
		q.tracker.RecordCrash(b.ID, run.parts, run.at, now)
	}
	q.logHolds(now)
}

// logHolds logs the holds that are new or have ended, and counts them.
func (q *quarantinedParts) logHolds(now time.Time) {
	current := map[string]quarantine.Hold{}
	for _, hold := range q.tracker.Holds(now) {
		name := heldNames(hold.Parts)
		current[name] = hold
		if _, known := q.held[name]; !known {
			q.g.deps.Log.Warn("requests with a part of the prompt are held back", zap.String("parts", name),
				zap.Int("occasions", hold.Occasions), zap.Any("crashed", hold.Servers))
		}
	}
	for name := range q.held {
		if _, still := current[name]; !still {
			q.g.deps.Log.Info("requests with a part of the prompt are no longer held back", zap.String("parts", name))
		}
	}
	q.held = current
	q.g.deps.Metrics.setHolds(len(current))
}

// heldNames returns the parts as they are written in requests, joined by plus signs.
func heldNames(parts []quarantine.PartID) string {
	var text []byte
	for i, id := range parts {
		if i > 0 {
			text = append(text, '+')
		}
		text = strconv.AppendUint(text, uint64(id), 16)
	}
	return string(text)
}

// CrashEvidence returns the crashes of servers for the peers; some of the older ones only
// if older is set.
func (g *Gateway) CrashEvidence(older bool) []quarantine.Crash {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	return g.quarantine.tracker.Report(older, time.Now())
}

// MergeCrashEvidence adds the crashes of servers that a peer has reported.
func (g *Gateway) MergeCrashEvidence(crashes []quarantine.Crash) {
	if len(crashes) == 0 {
		return
	}
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	now := time.Now()
	g.quarantine.tracker.Merge(crashes, now)
	g.quarantine.logHolds(now)
}

// QuarantineState describes the parts of prompts under which servers crashed.
type QuarantineState struct {
	Held []HeldParts `json:"held"`
	// Suspects is the number of crashes that no answer clears, by part.
	Suspects map[string]int `json:"suspects"`
}

// HeldParts are parts of prompts, joined by plus signs: requests that contain all of them
// are held back.
type HeldParts struct {
	Parts string `json:"parts"`
	// Occasions is the number of separate occasions on which servers crashed.
	Occasions  int               `json:"occasions"`
	Servers    []model.BackendID `json:"servers"`
	FirstCrash time.Time         `json:"first_crash"`
	LastCrash  time.Time         `json:"last_crash"`
}

// QuarantineState returns the parts that are held or suspect, for the state dump.
func (g *Gateway) QuarantineState() QuarantineState {
	g.quarantine.mu.Lock()
	defer g.quarantine.mu.Unlock()
	now := time.Now()
	state := QuarantineState{Held: []HeldParts{}, Suspects: map[string]int{}}
	for _, h := range g.quarantine.tracker.Holds(now) {
		state.Held = append(state.Held, HeldParts{heldNames(h.Parts), h.Occasions, h.Servers, h.FirstCrash, h.LastCrash})
	}
	for id, n := range g.quarantine.tracker.Suspects(now) {
		state.Suspects[heldNames([]quarantine.PartID{id})] = n
	}
	return state
}
