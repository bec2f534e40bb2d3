package placequery

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// maxPlans bounds the plans of an answer; the cheapest ones are kept.
const maxPlans = 40

// Answer states where a request would go now, and why. All times are in milliseconds, all
// sizes in tokens.
type Answer struct {
	Route   string         `json:"route"`
	Service model.PoolName `json:"service"`
	// DeadlineMS is how long the request may take.
	DeadlineMS float64 `json:"deadline_ms"`
	// Plan is how the request would be served, nil if it would be refused.
	Plan *Plan `json:"plan,omitempty"`
	// Refusal is nil if the request would be served.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Plans are the plans that were compared, the cheapest first. OtherPlans is the number of
	// those that are left out.
	Plans      []Plan    `json:"plans"`
	OtherPlans int       `json:"other_plans,omitempty"`
	Prefills   []Prefill `json:"prefills,omitempty"`
	Servers    []Server  `json:"servers"`
}

// Refusal is the response that the host itself would give.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfterMS is the time after which the caller would be asked to come back, without
	// the random addition that spreads callers. 0: not stated.
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
}

// Plan is a way to serve the request.
type Plan struct {
	Run     model.BackendID `json:"run"`
	Prefill model.BackendID `json:"prefill,omitempty"`
	Fetch   model.BackendID `json:"fetch,omitempty"`
	// CostMS is the value by which plans are compared. It contains more than time.
	CostMS float64 `json:"cost_ms"`
	// PredictedMS is the time to the first event or response: the wait for queued work, then
	// the prefill with the transfer of cached parts, then the rest.
	PredictedMS  float64 `json:"predicted_ms"`
	WaitMS       float64 `json:"wait_ms"`
	PrefillMS    float64 `json:"prefill_ms"`
	FirstEventMS float64 `json:"first_event_ms"`
	// Uncached is the number of prompt tokens to prefill.
	Uncached int `json:"uncached_tokens"`
}

// Prefill is a way to prefill the prompt on a prefill engine.
type Prefill struct {
	Server     model.BackendID `json:"server"`
	Fetch      model.BackendID `json:"fetch,omitempty"`
	CostMS     float64         `json:"cost_ms"`
	DurationMS float64         `json:"duration_ms"`
	Uncached   int             `json:"uncached_tokens"`
}

// Server is the state of a server of the service.
type Server struct {
	ID         model.BackendID    `json:"id"`
	DataCentre model.DataCentreID `json:"data_centre"`
	Stage      string             `json:"stage,omitempty"`
	// Excluded is why the server gets no request now, empty if it may get this one.
	// ExcludedForMS is the time for which it will last, 0 if that is not known.
	Excluded      placement.Exclusion `json:"excluded,omitempty"`
	ExcludedForMS float64             `json:"excluded_for_ms,omitempty"`
	// Running and PeersRunning are the running requests of this host and of the others.
	Running      int     `json:"running"`
	PeersRunning int     `json:"peers_running"`
	Slots        int     `json:"slots"`
	QueueMS      float64 `json:"queue_ms"`
	// KVTokens is the memory of the engine, Cached the part of the prompt that it has cached.
	KVTokens int `json:"kv_tokens,omitempty"`
	Cached   int `json:"cached_tokens"`
	// FailureRate is the share of recent requests that failed.
	FailureRate float64 `json:"failure_rate"`
	ColdForMS   float64 `json:"cold_for_ms,omitempty"`
	Limits      []Limit `json:"limits,omitempty"`
}

// Limit is this host's part of a limit of a server.
type Limit struct {
	Kind placement.LimitKind `json:"kind"`
	// PerSecond is 0 if only other hosts use the server. Available is the number of requests
	// that may be sent now.
	PerSecond float64 `json:"per_second"`
	Available float64 `json:"available"`
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// until returns the time from now to a moment in milliseconds, 0 for the zero time.
func until(at, now time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return millis(at.Sub(now))
}

// NewAnswer returns the answer with an explanation. The caller sets the other fields.
func NewAnswer(e placement.Explanation, now time.Time) Answer {
	a := Answer{Plans: []Plan{}, Servers: []Server{}}
	for i, p := range e.Plans {
		if i == maxPlans {
			a.OtherPlans = len(e.Plans) - i
			break
		}
		a.Plans = append(a.Plans, newPlan(p))
	}
	for _, p := range e.Prefills {
		a.Prefills = append(a.Prefills, Prefill{
			Server: p.Prefiller, Fetch: p.Fetch, CostMS: millis(p.Cost), DurationMS: millis(p.Duration), Uncached: p.Uncached,
		})
	}
	for _, s := range e.Servers {
		a.Servers = append(a.Servers, newServer(s, now))
	}
	return a
}

func newPlan(p placement.CandidatePlan) Plan {
	prefilled := max(p.Prefilled, p.Waiting)
	plan := Plan{
		Run: p.Run.ID, CostMS: millis(p.Cost), PredictedMS: millis(p.Predicted), WaitMS: millis(p.Waiting),
		PrefillMS: millis(prefilled - p.Waiting), FirstEventMS: millis(p.Predicted - prefilled), Uncached: p.Uncached,
	}
	if p.Prefill != nil {
		plan.Prefill = p.Prefill.ID
	}
	if p.Fetch != nil {
		plan.Fetch = p.Fetch.ID
	}
	return plan
}

func newServer(s placement.ServerExplanation, now time.Time) Server {
	server := Server{
		ID: s.ID, DataCentre: s.DataCentre, Stage: s.Stage.String(), Excluded: s.Excluded, ExcludedForMS: until(s.ExcludedUntil, now),
		Running: s.Running, PeersRunning: s.PeersRunning, Slots: s.Slots, QueueMS: millis(s.QueueWait),
		Cached: s.Cached, FailureRate: s.FailureRate, ColdForMS: until(s.ColdUntil, now),
	}
	if s.Engine != nil {
		server.KVTokens = s.Engine.CacheTokens
	}
	for _, l := range s.Limits {
		server.Limits = append(server.Limits, Limit{Kind: l.Kind, PerSecond: l.PerSecond, Available: l.Available})
	}
	return server
}

// Write writes the answer as text for a terminal.
func (a *Answer) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	print := func(format string, values ...any) { _, _ = fmt.Fprintf(t, format, values...) }
	print("route %s, service %s, deadline %.0f ms\n", a.Route, a.Service, a.DeadlineMS)
	if a.Refusal != nil {
		print("refused with %d: %s", a.Refusal.Status, a.Refusal.Reason)
		if a.Refusal.RetryAfterMS > 0 {
			print("; come back after %.0f ms", a.Refusal.RetryAfterMS)
		}
		print("\n")
	}
	if a.Plan != nil {
		print("goes to %s, first event predicted after %.0f ms\n", a.Plan.Run, a.Plan.PredictedMS)
	}
	if len(a.Plans) > 0 {
		print("\nRUN\tPREFILL\tFETCH\tCOST ms\tPREDICTED ms\tWAIT\tPREFILL\tREST\tUNCACHED tokens\n")
		for _, p := range a.Plans {
			print("%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\n", p.Run, dash(p.Prefill), dash(p.Fetch), p.CostMS, p.PredictedMS, p.WaitMS, p.PrefillMS, p.FirstEventMS, p.Uncached)
		}
		if a.OtherPlans > 0 {
			print("and %d dearer plans\n", a.OtherPlans)
		}
	}
	if len(a.Prefills) > 0 {
		print("\nPREFILL AT\tFETCH\tCOST ms\tDURATION ms\tUNCACHED tokens\n")
		for _, p := range a.Prefills {
			print("%s\t%s\t%.1f\t%.1f\t%d\n", p.Server, dash(p.Fetch), p.CostMS, p.DurationMS, p.Uncached)
		}
	}
	print("\nSERVER\tDATA CENTRE\tSTAGE\tEXCLUDED\tFOR ms\tRUNNING\tSLOTS\tQUEUE ms\tMEMORY tokens\tCACHED\tFAILURES\tCOLD ms\tLIMITS\n")
	for _, s := range a.Servers {
		print("%s\t%s\t%s\t%s\t%.0f\t%d+%d\t%d\t%.1f\t%d\t%d\t%.2f\t%.0f\t%s\n", s.ID, s.DataCentre, dash(s.Stage), dash(s.Excluded), s.ExcludedForMS,
			s.Running, s.PeersRunning, s.Slots, s.QueueMS, s.KVTokens, s.Cached, s.FailureRate, s.ColdForMS, limitsText(s.Limits))
	}
	return t.Flush()
}

func dash[T ~string](text T) string {
	if text == "" {
		return "-"
	}
	return string(text)
}

func limitsText(limits []Limit) string {
	if len(limits) == 0 {
		return "-"
	}
	text := ""
	for i, l := range limits {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %.2f/s, %.1f now", l.Kind, l.PerSecond, l.Available)
	}
	return text
}
