package routing

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Policy is the name of a policy for the selection of engines.
type Policy string

// Policies. All but PolicyScored are baselines for comparisons.
const (
	PolicyScored        Policy = "scored"
	PolicyRoundRobin    Policy = "round-robin"
	PolicyLeastInFlight Policy = "least-in-flight"
	PolicyStaticRoles   Policy = "static-roles"
	PolicyCacheAffinity Policy = "cache-affinity"
)

// Tables is a Router together with the methods that update its tables.
type Tables interface {
	Router
	UpdateBackend(b Backend)
	RemoveBackend(id model.BackendID)
	UpdateLoad(id model.BackendID, report engine.LoadReport, at time.Time)
	CacheEvents(id model.BackendID, events []engine.CacheEvent, gap bool)
	Backends() []Backend
	InFlight(id model.BackendID) int
}

// NewTables returns tables that select by a policy.
func NewTables(policy Policy, settings Settings) (Tables, error) {
	table := NewTable(settings)
	b := &baseline{Table: table}
	switch policy {
	case PolicyScored, "":
		return table, nil
	case PolicyRoundRobin:
		b.pick = b.roundRobin
	case PolicyLeastInFlight:
		b.pick = b.leastInFlight
	case PolicyStaticRoles:
		b.pick = b.leastInFlight
		b.byRole = true
	case PolicyCacheAffinity:
		b.pick = b.cacheAffinity
	default:
		return nil, fmt.Errorf("unknown routing policy %q", policy)
	}
	return b, nil
}

// baseline selects among all backend servers that can serve a request. Its cost
// grows with the size of the fleet.
type baseline struct {
	*Table
	pick func(r *Request, eligible []*entry) *entry
	// byRole restricts requests to engines whose role serves them, as long as
	// there are any.
	byRole bool
	turns  int
}

// Select implements Router.
func (b *baseline) Select(r *Request, now time.Time) (Decision, error) {
	if r.Kind == model.PoolService {
		return b.Table.Select(r, now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var eligible, otherRole []*entry
	for _, e := range b.entries {
		if !canServe(&e.backend, r) {
			continue
		}
		if b.byRole && !roleServes(r, roleOf(&e.backend)) {
			otherRole = append(otherRole, e)
			continue
		}
		eligible = append(eligible, e)
	}
	if len(eligible) == 0 {
		eligible = otherRole
	}
	if len(eligible) == 0 {
		return Decision{}, ErrNoBackend
	}
	slices.SortFunc(eligible, func(a, c *entry) int { return cmp.Compare(a.backend.ID, c.backend.ID) })
	c := b.predict(b.pick(r, eligible), r, now)
	return b.decide(r, &c, now), nil
}

func (b *baseline) roundRobin(_ *Request, eligible []*entry) *entry {
	b.turns++
	return eligible[b.turns%len(eligible)]
}

func (b *baseline) leastInFlight(_ *Request, eligible []*entry) *entry {
	b.turns++
	best := eligible[b.turns%len(eligible)]
	for _, e := range eligible {
		if len(e.inFlight) < len(best.inFlight) {
			best = e
		}
	}
	return best
}

// cacheAffinity picks the engine with the longest cached prefix. If no engine
// has any of it cached, it picks by the hash of the prompt's first block.
func (b *baseline) cacheAffinity(r *Request, eligible []*entry) *entry {
	var best *entry
	most := 0
	for _, e := range eligible {
		if cached := e.cachedTokens(r); cached > most {
			best = e
			most = cached
		}
	}
	if best != nil {
		return best
	}
	if len(r.Prefix) > 0 {
		return eligible[r.Prefix[0]%uint64(len(eligible))]
	}
	return b.leastInFlight(r, eligible)
}
