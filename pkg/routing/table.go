package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Table holds the backend servers known to a host and selects among them.
// It is safe for concurrent use.
type Table struct {
	mu           sync.Mutex
	settings     Settings
	random       *rand.Rand
	entries      map[model.BackendID]*entry
	lists        map[listKey]*list
	cacheHolders map[uint64]*list
	summaries    map[summaryKey]LoadSummary
	// fastestStepMS is the fastest decode step reported by each pool.
	fastestStepMS map[model.PoolName]float64
	// serviceSeconds is a moving average of the time from the first token to the
	// end of a response.
	serviceSeconds float64
	// outputTokens is a moving average of the output length of requests.
	outputTokens float64
}

var _ Router = (*Table)(nil)

// entry is one backend server with this host's observations and estimates.
type entry struct {
	backend   Backend
	positions map[*list]int
	// cached maps the blocks expected in the engine's cache to the value of
	// useCounter at their last use.
	cached map[uint64]uint64
	// blockUses holds the uses of blocks, oldest first.
	blockUses  []blockUse
	useCounter uint64
	// cacheAccuracy is the share of the expected cached tokens that the engine confirms.
	cacheAccuracy float64
	inFlight      map[model.RequestID]inFlightRequest
	// waiting counts this host's requests that have no first token yet.
	waiting int
	// recentSends holds this host's sends since the time of the load report.
	recentSends  []recentSend
	lastProgress time.Time
	// excessWait is the smoothed time in seconds that this host's requests waited
	// beyond the prediction, as of excessWaitAt.
	excessWait   float64
	excessWaitAt time.Time
	breaker      breaker
}

// inFlightRequest is a request of this host that is in flight.
type inFlightRequest struct {
	at         time.Time
	tokens     int
	predicted  time.Duration
	firstToken bool
	// decodeOnly is set when the engine imports the request's KV cache.
	decodeOnly bool
}

// recentSend is a request that this host sent, with its uncached prompt tokens.
type recentSend struct {
	at     time.Time
	tokens int
}

// maxRecentSends bounds the sends kept per engine while no load reports arrive.
const maxRecentSends = 64

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{
		settings:       settings.withDefaults(),
		random:         rand.New(rand.NewPCG(settings.Seed, 0x9e3779b97f4a7c15)),
		entries:        map[model.BackendID]*entry{},
		lists:          map[listKey]*list{},
		cacheHolders:   map[uint64]*list{},
		summaries:      map[summaryKey]LoadSummary{},
		fastestStepMS:  map[model.PoolName]float64{},
		serviceSeconds: 5,
		outputTokens:   200,
	}
}

// UpdateBackend adds or updates a backend server. Observations about it are
// kept, and a load report older than the known one is ignored.
func (t *Table) UpdateBackend(b Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[b.ID]
	if e == nil {
		e = &entry{
			positions:     map[*list]int{},
			cached:        map[uint64]uint64{},
			cacheAccuracy: 1,
			inFlight:      map[model.RequestID]inFlightRequest{},
		}
		t.entries[b.ID] = e
	} else if b.LoadAt.Before(e.backend.LoadAt) {
		b.Load = e.backend.Load
		b.LoadAt = e.backend.LoadAt
	}
	if sameLists(&e.backend, &b) && e.backend.ID != "" {
		e.backend = b
		return
	}
	t.removeFromLists(e)
	e.backend = b
	t.addToLists(e)
}

// RemoveBackend removes a backend server and all observations about it.
func (t *Table) RemoveBackend(id model.BackendID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return
	}
	t.removeFromLists(e)
	for hash := range e.cached {
		t.removeBlock(e, hash)
	}
	delete(t.entries, id)
}

// UpdateLoad applies a load report that was measured at the given local time.
// Reports that arrive out of order are ignored.
func (t *Table) UpdateLoad(id model.BackendID, report engine.LoadReport, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || at.Before(e.backend.LoadAt) {
		return
	}
	if report.Role == "" {
		report.Role = e.backend.Load.Role
	}
	t.recordStep(e.backend.Pool, report.DecodeStepMS)
	roleChanged := roleOf(&e.backend) != roleOrMixed(report.Role)
	changing := e.backend.Load.RoleChangeInProgress != report.RoleChangeInProgress
	if roleChanged || changing {
		t.removeFromLists(e)
	}
	e.backend.Load = report
	e.backend.LoadAt = at
	if roleChanged || changing {
		t.addToLists(e)
	}
	e.dropSends(at)
}

// Backends lists the known backend servers in order of their identifiers.
func (t *Table) Backends() []Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Backend, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.backend)
	}
	slices.SortFunc(all, func(a, b Backend) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// InFlight returns the number of this host's requests on a backend server.
func (t *Table) InFlight(id model.BackendID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return 0
	}
	return len(e.inFlight)
}

// countRequest counts a request that is about to be sent as in flight.
func (e *entry) countRequest(r *Request, uncached int, predicted time.Duration, now time.Time) {
	if e.waiting == 0 {
		e.lastProgress = now
	}
	old, again := e.inFlight[r.ID]
	if !again || old.firstToken {
		e.waiting++
	}
	e.inFlight[r.ID] = inFlightRequest{at: now, tokens: uncached, predicted: predicted, decodeOnly: r.KVFrom != ""}
	if len(e.recentSends) == maxRecentSends {
		e.recentSends = append(e.recentSends[:0], e.recentSends[1:]...)
	}
	e.recentSends = append(e.recentSends, recentSend{at: now, tokens: uncached})
}

// dropSends drops the sends that a load report of the given time includes.
func (e *entry) dropSends(until time.Time) {
	kept := e.recentSends[:0]
	for _, s := range e.recentSends {
		if s.at.After(until) {
			kept = append(kept, s)
		}
	}
	e.recentSends = kept
}
