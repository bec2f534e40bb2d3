package experiment

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Limits that a request has to meet to count as good work.
const (
	firstTokenLimit = 740 * time.Millisecond
	tokenGapLimit   = 28 * time.Millisecond
	// outputWeight is the work of an output token relative to a prompt token, by
	// the engine time that they take.
	outputWeight = 10
)

func workOf(a *Arrival) float64 {
	return float64(a.Prompt) + outputWeight*float64(a.Output)
}

// Share is the good work out of the work within the rate limits.
type Share struct {
	Within float64 `json:"within"`
	Good   float64 `json:"good"`
}

func (s Share) goodShare() float64 {
	if s.Within == 0 {
		return 1
	}
	return s.Good / s.Within
}

// Result holds the metrics of one run. Work is in weighted tokens; see workOf.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	HeldOut    bool   `json:"held_out"`
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`
	// Offered counts all requests, RateLimited those over their organisation's
	// rate.
	Offered     int `json:"offered"`
	RateLimited int `json:"rate_limited"`
	Refused     int `json:"refused"`
	// RefusedFair counts rejections of organisations over their fair share.
	RefusedFair int `json:"refused_fair"`
	// RefusedWrongly counts rejections of requests that some engine could have
	// served in time.
	RefusedWrongly  int     `json:"refused_wrongly"`
	Repeats         int     `json:"repeats"`
	RepeatsRefused  int     `json:"repeats_refused"`
	Goodput         float64 `json:"goodput_share"`
	GoodWorkPerS    float64 `json:"good_work_per_s"`
	BoundShare      float64 `json:"bound_share"`
	OfBound         float64 `json:"of_bound"`
	WorstOfMean     float64 `json:"worst_of_mean"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	TokenGapP95MS   float64 `json:"token_gap_p95_ms"`
	RoleChanges     int     `json:"role_changes"`
	CrashesInChange int     `json:"crashes_in_change"`
	// Cost is in units of the price of an ordinary server for one hour.
	Cost             float64 `json:"cost"`
	CostOfBound      float64 `json:"cost_of_bound"`
	PreemptibleShare float64 `json:"preemptible_share"`
	// Moved counts requests that were on reclaimed servers, or were sent there
	// before the hosts knew of the reclaim. Of these, MovedCut counts failed
	// ones, MovedLate those that missed a limit.
	Moved       int     `json:"moved"`
	MovedCut    int     `json:"moved_cut"`
	MovedLate   int     `json:"moved_late"`
	Cut         int     `json:"cut"`
	CachedShare float64 `json:"cached_share"`
	// Ended counts admitted requests that were completed or cut.
	Ended         int                             `json:"ended"`
	Organisations map[model.OrganisationID]*Share `json:"organisations"`

	length          time.Duration
	firstToken      *hdrhistogram.Histogram
	tokenGap        *hdrhistogram.Histogram
	resumableWork   float64
	preemptibleWork float64
	promptTokens    float64
	cached          float64
	// minutes holds the share of good work for each minute of arrival.
	minutes []Share
}

func newResult(d *Deployment, s *Scenario, v *Variant, seed uint64) *Result {
	r := &Result{
		Deployment:    d.Name,
		Scenario:      s.Name,
		HeldOut:       s.HeldOut,
		Variant:       v.Name,
		Seed:          seed,
		Organisations: map[model.OrganisationID]*Share{},
		length:        s.Length,
		firstToken:    hdrhistogram.New(1, 60_000_000, 3),
		tokenGap:      hdrhistogram.New(1, 60_000_000, 3),
		minutes:       make([]Share, int(s.Length/time.Minute)+1),
	}
	for i := range d.Organisations {
		r.Organisations[d.Organisations[i].ID] = &Share{}
	}
	return r
}

func (r *Result) countOffered(*Arrival) {
	r.Offered++
}

func (r *Result) countWithinRate(a *Arrival) {
	work := workOf(a)
	r.Organisations[a.Organisation].Within += work
	r.minutes[int(a.At/time.Minute)].Within += work
}

// countEnded counts an admitted request; kind is that of the server where it ended.
func (r *Result) countEnded(w *world, rq *request, kind platform.BackendKind) {
	r.Ended++
	good := r.recordLatencies(rq)
	if rq.moved {
		r.Moved++
		if rq.cut {
			r.MovedCut++
		} else if !good {
			r.MovedLate++
		}
	}
	if rq.cut {
		r.Cut++
		return
	}
	work := workOf(rq.Arrival)
	if rq.Resumable {
		r.resumableWork += work
		if kind == platform.Preemptible {
			r.preemptibleWork += work
		}
	}
	r.promptTokens += float64(rq.Prompt)
	r.cached += float64(rq.cached)
	if good && !rq.isRepeat {
		r.Organisations[rq.Organisation].Good += work
		r.minutes[int(rq.At/time.Minute)].Good += work
	}
}

// recordLatencies records the latencies of a request and reports whether both
// limits held.
func (r *Result) recordLatencies(rq *request) bool {
	if rq.cut || !rq.hasFirst {
		return false
	}
	first := rq.firstToken - rq.At
	_ = r.firstToken.RecordValue(max(1, first.Microseconds()))
	gap := time.Duration(0)
	if rq.Output > 1 {
		gap = (rq.end - rq.firstToken) / time.Duration(rq.Output-1)
		_ = r.tokenGap.RecordValue(max(1, gap.Microseconds()))
	}
	return first <= firstTokenLimit && gap <= tokenGapLimit
}

// finish computes the metrics that need the whole run.
func (r *Result) finish(w *world) {
	total := Share{}
	// Sums in a fixed order, since floating-point rounding depends on it.
	orgs := w.deployment.Organisations
	for i := range orgs {
		s := r.Organisations[orgs[i].ID]
		total.Within += s.Within
		total.Good += s.Good
	}
	r.Goodput = total.goodShare()
	r.GoodWorkPerS = total.Good / r.length.Seconds()
	worst, mean := math.Inf(1), 0.0
	for i := range orgs {
		s := r.Organisations[orgs[i].ID]
		worst = min(worst, s.goodShare())
		mean += s.goodShare() / float64(len(r.Organisations))
	}
	if mean > 0 {
		r.WorstOfMean = worst / mean
	}
	r.FirstTokenP95MS = float64(r.firstToken.ValueAtQuantile(95)) / 1000
	r.TokenGapP95MS = float64(r.tokenGap.ValueAtQuantile(95)) / 1000
	r.Cost = w.cost()
	r.PreemptibleShare = ratio(r.preemptibleWork, r.resumableWork)
	r.CachedShare = ratio(r.cached, r.promptTokens)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// preemptiblePrice is relative to the price of an ordinary server.
const preemptiblePrice = 0.35

// cost returns the price of all servers from their order to their termination.
func (w *world) cost() float64 {
	total := 0.0
	for _, e := range w.engineList {
		end := e.until
		if end < 0 || end > w.scenario.Length {
			end = w.scenario.Length
		}
		hours := max(0, end-e.since).Hours()
		if e.kind == platform.Preemptible {
			hours *= preemptiblePrice
		}
		total += hours
	}
	return total
}
