package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// fakeView holds the tables that the handler reads. All other methods belong to
// the nil interface and panic.
type fakeView struct {
	state.View
	mu          sync.Mutex
	orgs        map[model.OrganisationID]model.Organisation
	keys        map[string]model.Key
	shops       map[model.ShopID]model.Shop
	offers      []model.Offer
	routes      []model.Route
	idempotency map[string]state.IdempotencyEntry
	members     []state.Member
	crashes     int
}

func (v *fakeView) Organisation(id model.OrganisationID) (model.Organisation, model.Offset, bool) {
	o, ok := v.orgs[id]
	return o, 1, ok
}

func (v *fakeView) KeyByDigest(digest string) (model.Key, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	k, ok := v.keys[digest]
	return k, ok
}

func (v *fakeView) Shop(id model.ShopID) (model.Shop, model.Offset, bool) {
	s, ok := v.shops[id]
	return s, 1, ok
}

func (v *fakeView) ShopsOf(org model.OrganisationID) (ids []model.ShopID) {
	for id, s := range v.shops {
		if s.Organisation == org {
			ids = append(ids, id)
		}
	}
	return ids
}

func (v *fakeView) Offers(shop model.ShopID) (offers []model.Offer) {
	for _, o := range v.offers {
		if o.Shop == shop {
			offers = append(offers, o)
		}
	}
	return offers
}

func (v *fakeView) MatchRoute(path string) (best model.Route, found bool) {
	for _, r := range v.routes {
		if len(path) >= len(r.PathPrefix) && path[:len(r.PathPrefix)] == r.PathPrefix && len(r.PathPrefix) > len(best.PathPrefix) {
			best, found = r, true
		}
	}
	return best, found
}

func (v *fakeView) Pool(name model.PoolName) (model.Pool, model.Offset, bool) {
	return model.Pool{Name: name, Kind: model.PoolEngine}, 1, name == "tasador"
}

func (v *fakeView) Members() []state.Member { return v.members }

func (v *fakeView) Idempotency(org model.OrganisationID, key string) (state.IdempotencyEntry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.idempotency[string(org)+"/"+key]
	return e, ok
}

func (v *fakeView) Crashes(string, time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.crashes
}

func (v *fakeView) revoke(key string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	k := v.keys[digestOf(key)]
	k.Revoked = true
	v.keys[digestOf(key)] = k
}

// fakeLog applies records to the view as the log does: the first claim wins.
type fakeLog struct {
	view    *fakeView
	mu      sync.Mutex
	err     error
	records []logrec.Record
}

func (l *fakeLog) Append(_ context.Context, records ...logrec.Record) (model.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return 0, l.err
	}
	for _, r := range records {
		l.records = append(l.records, r)
		l.apply(r)
	}
	return model.Offset(len(l.records)), nil
}

func (l *fakeLog) apply(r logrec.Record) {
	l.view.mu.Lock()
	defer l.view.mu.Unlock()
	switch r.Kind {
	case logrec.KindIdempotencyClaim:
		claim, _ := logrec.DecodeBody[logrec.IdempotencyClaim](&r)
		at := string(claim.Organisation) + "/" + claim.Key
		old, ok := l.view.idempotency[at]
		if !ok || old.Outcome != nil && old.Outcome.Ran == model.NotRun {
			l.view.idempotency[at] = state.IdempotencyEntry{IdempotencyClaim: claim, Host: "h1", Incarnation: "i1", ClaimedAt: time.Now()}
		}
	case logrec.KindIdempotencyOutcome:
		outcome, _ := logrec.DecodeBody[logrec.IdempotencyOutcome](&r)
		at := string(outcome.Organisation) + "/" + outcome.Key
		if e, ok := l.view.idempotency[at]; ok && e.RequestID == outcome.RequestID && e.Outcome == nil {
			e.Outcome = &outcome
			l.view.idempotency[at] = e
		}
	}
}

func (l *fakeLog) count(kind logrec.Kind) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		if r.Kind == kind {
			n++
		}
	}
	return n
}

// fakeRouter selects the first backend server of the pool's kind that is
// neither excluded nor down. It counts the selections that were not ended.
type fakeRouter struct {
	mu             sync.Mutex
	engines        []routing.Backend
	services       []routing.Backend
	down           map[model.BackendID]bool
	openSelections int
	handOver       model.BackendID
	feedback       []routing.Feedback
	// seenSuspects are the SuspectDigest values of the requests passed to Select.
	seenSuspects []string
}

func (f *fakeRouter) Select(r *routing.Request, _ time.Time) (routing.Decision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seenSuspects = append(f.seenSuspects, r.SuspectDigest)
	backends := f.engines
	if r.Kind == model.PoolService {
		backends = f.services
	}
	for _, b := range backends {
		if !f.down[b.ID] && !slices.Contains(r.Exclude, b.ID) {
			f.openSelections++
			return routing.Decision{Backend: b.ID, URL: b.URL, Reason: "first", HandOver: b.ID == f.handOver}, nil
		}
	}
	return routing.Decision{}, errors.New("no backend")
}

func (f *fakeRouter) FirstToken(model.RequestID, model.BackendID, time.Time) {}

func (f *fakeRouter) Done(fb *routing.Feedback) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openSelections--
	f.feedback = append(f.feedback, *fb)
}

func (f *fakeRouter) add(kind model.PoolKind, id model.BackendID, url string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := routing.Backend{ID: id, URL: url, Kind: platform.Ordinary}
	if kind == model.PoolService {
		f.services = append(f.services, b)
	} else {
		f.engines = append(f.engines, b)
	}
}

type fakeLimiter struct{ reject bool }

func (f *fakeLimiter) Take(model.OrganisationID, float64, time.Time) (bool, time.Duration) {
	return !f.reject, 1500 * time.Millisecond
}

type fakeAdmission struct{ reject bool }

func (f *fakeAdmission) Admit(*routing.Request, routing.Decision, time.Time) Verdict {
	return Verdict{OK: !f.reject, Priority: 3, RetryAfter: 2 * time.Second, Reason: "queue"}
}

func (f *fakeAdmission) Done(model.OrganisationID, int, int, time.Time) {}

type fakeUsage struct {
	mu    sync.Mutex
	lines []logrec.UsageLine
}

func (f *fakeUsage) Add(l logrec.UsageLine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, l)
}

type fakeMetrics struct {
	mu     sync.Mutex
	counts map[Counter]int64
}

func (f *fakeMetrics) Count(c Counter, n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[c] += n
}

func (f *fakeMetrics) CountError(model.ErrorCode) {}

func (f *fakeMetrics) Observe(Timing, time.Duration) {}

func (f *fakeMetrics) get(c Counter) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[c]
}
