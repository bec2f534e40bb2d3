package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Explanation states where a request would go at a moment, and why.
type Explanation struct {
	// Placed is set if a server is available, and Plan is then how the request is served.
	Placed bool
	Plan   Plan
	// Plans are the plans that were compared, the cheapest first.
	Plans []CandidatePlan
	// Prefills are the ways to prefill the prompt on a prefill engine that were compared, the
	// cheapest first. Plans use only the first one.
	Prefills []CandidatePrefill
	// Servers are all servers of the service, ordered by ID.
	Servers []ServerExplanation
	// ReturnAt is when a caller that no server admits now is expected to be admitted, the
	// zero time if that is not known or Placed is set.
	ReturnAt time.Time
}

// CandidatePlan is a plan with the value by which plans are compared.
type CandidatePlan struct {
	Plan
	Cost time.Duration
}

// CandidatePrefill is a way to prefill the prompt on a prefill engine.
type CandidatePrefill struct {
	Prefiller model.BackendID
	// Fetch is the engine from whose cache missing parts are fetched, empty for none.
	Fetch          model.BackendID
	Uncached       int
	Duration, Cost time.Duration
}

// ServerExplanation is the state of a server as far as it matters for a request.
type ServerExplanation struct {
	Backend
	// Excluded states why the server gets no request now, ExcludedUntil when that ends, the
	// zero time if that is not known.
	Excluded      Exclusion
	ExcludedUntil time.Time
	// Running and PeersRunning are the running requests of this host and of the others.
	Running, PeersRunning int
	// QueueWait is the expected wait for the work already queued.
	QueueWait time.Duration
	// Cached is the number of the prompt's tokens that the engine has cached.
	Cached      int
	FailureRate float64
	ColdUntil   time.Time
	Limits      []LimitExplanation
}

// LimitExplanation is this host's part of a limit of a server.
type LimitExplanation struct {
	Kind LimitKind
	// PerSecond is the part, 0 if other hosts use the server. Available is the number of
	// requests that may be sent now. Unit: requests per second; requests.
	PerSecond, Available float64
}

// LimitKind tells the limits of a server apart.
type LimitKind string

// Kinds of limits.
const (
	LimitStated LimitKind = "stated"
	LimitCold   LimitKind = "cold"
	LimitPace   LimitKind = "pace"
)

// Exclusion is the reason for which a server gets no request, empty if it may get it.
type Exclusion string

// Reasons for exclusions.
const (
	ExcludedLeaving   Exclusion = "leaving"
	ExcludedEvacuated Exclusion = "its data centre is evacuated"
	ExcludedSwitching Exclusion = "changing its stage"
	ExcludedPaused    Exclusion = "asked for a pause"
	ExcludedFailed    Exclusion = "has failed the request"
	ExcludedOther     Exclusion = "the request may go to another server only"
	ExcludedLimit     Exclusion = "at a limit"
	ExcludedPace      Exclusion = "held back by its slow start"
	ExcludedSuspected Exclusion = "suspected"
)

// exclusion returns why a server may not be sent a request, apart from its limits.
func (s *server) exclusion(r *Request, now time.Time) Exclusion {
	switch {
	case s.Leaving:
		return ExcludedLeaving
	case s.evacuated:
		return ExcludedEvacuated
	case s.switching:
		return ExcludedSwitching
	case s.paused(now):
		return ExcludedPaused
	case slices.Contains(r.Exclude, s.ID):
		return ExcludedFailed
	case r.Only != "" && r.Only != s.ID:
		return ExcludedOther
	}
	return ""
}

// trace collects what a decision compares. A nil value collects nothing.
type trace struct {
	plans    []CandidatePlan
	prefills []CandidatePrefill
}

// reset starts another decision.
func (t *trace) reset() {
	if t != nil {
		*t = trace{}
	}
}

func (t *trace) addPlan(p Plan, cost time.Duration) {
	if t != nil {
		t.plans = append(t.plans, CandidatePlan{Plan: p, Cost: cost})
	}
}

func (t *trace) addPrefill(p prefill) {
	if t == nil {
		return
	}
	c := CandidatePrefill{Prefiller: p.prefiller.ID, Uncached: p.uncached, Duration: p.duration, Cost: p.cost}
	if p.fetchFrom != nil {
		c.Fetch = p.fetchFrom.ID
	}
	t.prefills = append(t.prefills, c)
}

// Explain decides like Place where a request goes, and returns what Place compares. It
// changes nothing that later decisions depend on.
func (f *Fleet) Explain(r Request, now time.Time) Explanation {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.services[r.Service]
	if k == nil {
		return Explanation{}
	}
	t := &trace{}
	r.trace = t
	e := Explanation{}
	e.Plan, e.Placed = f.choose(k, &r, now)
	e.Plans, e.Prefills = t.plans, t.prefills
	slices.SortStableFunc(e.Plans, func(a, b CandidatePlan) int { return cmp.Compare(a.Cost, b.Cost) })
	slices.SortStableFunc(e.Prefills, func(a, b CandidatePrefill) int { return cmp.Compare(a.Cost, b.Cost) })
	for _, s := range k.servers {
		e.Servers = append(e.Servers, f.explainServer(k, s, &r, now))
	}
	slices.SortFunc(e.Servers, func(a, b ServerExplanation) int { return cmp.Compare(a.ID, b.ID) })
	if !e.Placed {
		// A copy, since each call of returnTime stands for one caller.
		other := *k
		e.ReturnAt, _ = f.returnTime(&other, now)
	}
	return e
}

// explainServer states what a request meets at a server. The caller holds f.mu.
func (f *Fleet) explainServer(k *service, s *server, r *Request, now time.Time) ServerExplanation {
	d := decision{fleet: f, service: k, request: r, now: now}
	e := ServerExplanation{
		Backend: s.Backend, Running: s.running, PeersRunning: s.peersRunning,
		QueueWait: d.queueWait(s), FailureRate: s.failureRate, Limits: s.explainLimits(now),
	}
	if s.coldUntil.After(now) {
		e.ColdUntil = s.coldUntil
	}
	if s.Stage != StageNone {
		e.Cached = d.cachedTokens(s)
	}
	e.Excluded = s.exclusion(r, now)
	switch {
	case e.Excluded == ExcludedPaused:
		e.ExcludedUntil = s.pausedUntil
	case e.Excluded != "":
	case !s.hasTurn(now):
		e.Excluded = ExcludedLimit
		e.ExcludedUntil, _ = s.nextTurn(now)
	case now.Before(s.suspectUntil) && !r.trace.considers(s):
		e.Excluded, e.ExcludedUntil = ExcludedSuspected, s.suspectUntil
	case f.pacing(k, now)[s.Stage] && !s.paceTurns.free(now) && !r.trace.considers(s):
		e.Excluded = ExcludedPace
		e.ExcludedUntil, _ = s.paceTurns.next(now)
	}
	return e
}

// considers reports whether a plan uses a server. Suspected servers are used if no others
// are left.
func (t *trace) considers(s *server) bool {
	return slices.ContainsFunc(t.plans, func(p CandidatePlan) bool { return p.Run.ID == s.ID }) ||
		slices.ContainsFunc(t.prefills, func(p CandidatePrefill) bool { return p.Prefiller == s.ID })
}

// explainLimits returns the limits that hold now.
func (s *server) explainLimits(now time.Time) (list []LimitExplanation) {
	for _, t := range s.allTurns() {
		if t.unlimited(now) {
			continue
		}
		kind := LimitPace
		switch t {
		case s.turns:
			kind = LimitStated
		case s.coldTurns:
			kind = LimitCold
		}
		t.refill(now)
		list = append(list, LimitExplanation{Kind: kind, PerSecond: t.rate, Available: math.Max(t.level, 0)})
	}
	return list
}
