package experiment

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/planner"
)

// Bound is an upper bound on the good work, and a lower bound on the cost, of
// any scheduler, even of one that knows the future.
//
// It comes from a relaxed problem: all engines are one pool without
// queues, roles, role changes, crashes, reclaims or drains; every prompt block
// that was ever seen is cached everywhere; each decode step is as cheap per
// token as the largest batch allows; requests may be served in part; work only
// has to fit into the time between the first arrival and the last deadline of
// a window. For the cost: fleets change at once and without lead time, engines
// queue nothing, and the load of each minute is known.
type Bound struct {
	// Work bounds the good work out of Within, the work within the rate limits.
	Work   float64
	Within float64
	// Cost is in units of the price of an ordinary server for one hour.
	Cost float64
}

// boundItem is a request of the relaxed problem.
type boundItem struct {
	arrival       time.Duration
	work          float64
	engineSeconds float64
	uncached      int
	output        int
	deadline      time.Duration
}

// secondsPerOutputToken is the least engine time of one output token.
const secondsPerOutputToken = (stepBaseMS/maxRunning + stepPerRunningMS) / 1000

// boundWindows are the window lengths for the bound on work. Each length gives a
// valid bound; the smallest one is used.
var boundWindows = []time.Duration{time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 30 * time.Minute, 3 * time.Hour}

// OfflineBound computes the bound for the arrivals of a scenario.
func OfflineBound(d *Deployment, s *Scenario, arrivals []Arrival) Bound {
	items := boundItems(d, s, arrivals)
	b := Bound{Cost: boundCost(d, s, items)}
	for _, it := range items {
		b.Within += it.work
	}
	b.Work = b.Within
	for _, window := range boundWindows {
		b.Work = min(b.Work, boundWork(items, window, float64(d.Engines)))
	}
	return b
}

// boundItems returns the arrivals within the rate limits that every run applies,
// with the engine time that they take under perfect caching.
func boundItems(d *Deployment, s *Scenario, arrivals []Arrival) []boundItem {
	limiters := map[model.OrganisationID]*rate.Limiter{}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		perSecond := o.share * s.Rate * orgRateFactor
		limiters[o.ID] = rate.NewLimiter(rate.Limit(perSecond), int(2*perSecond)+1)
	}
	seen := map[uint64]bool{}
	var items []boundItem
	for i := range arrivals {
		a := &arrivals[i]
		if !limiters[a.Organisation].AllowN(wallTime(a.At), 1) {
			continue
		}
		uncached := a.Prompt
		for _, hash := range a.Prefix {
			if !seen[hash] {
				seen[hash] = true
				continue
			}
			uncached -= engine.BlockTokens
		}
		items = append(items, boundItem{
			arrival:       a.At,
			work:          workOf(a),
			engineSeconds: float64(uncached)/prefillTokensPerS + float64(a.Output-1)*secondsPerOutputToken,
			uncached:      uncached,
			output:        a.Output,
			deadline:      a.At + firstTokenLimit + time.Duration(a.Output)*tokenGapLimit,
		})
	}
	return items
}

// boundWork fills each window with the requests that have the most work per
// second of engine time.
func boundWork(items []boundItem, window time.Duration, engines float64) float64 {
	total := 0.0
	for len(items) > 0 {
		start := items[0].arrival / window * window
		n := 0
		for n < len(items) && items[n].arrival < start+window {
			n++
		}
		total += fillWindow(items[:n], engines)
		items = items[n:]
	}
	return total
}

func fillWindow(items []boundItem, engines float64) float64 {
	first := items[0].arrival
	last := time.Duration(0)
	for _, it := range items {
		last = max(last, it.deadline)
	}
	room := (last - first).Seconds() * engines
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, func(a, b boundItem) int {
		return cmp.Compare(b.work*a.engineSeconds, a.work*b.engineSeconds)
	})
	total := 0.0
	for _, it := range sorted {
		if it.engineSeconds >= room {
			return total + it.work*room/it.engineSeconds
		}
		room -= it.engineSeconds
		total += it.work
	}
	return total
}

// boundCost returns the price of a run in which the fleet of each minute is the
// cheapest that serves the load of that minute. Like the planner's fleets, it tolerates
// the loss of a data centre's preemptible servers, but it has no spare capacity
// beyond that.
func boundCost(d *Deployment, s *Scenario, items []boundItem) float64 {
	if !s.Planned {
		return 0
	}
	pool := planner.Pool{
		Config: model.Pool{
			Name:             d.Pool,
			Minimum:          minEngines,
			Maximum:          d.Engines,
			PreemptibleShare: 0.8,
		},
		Profile:        profile,
		ResumableShare: 0.9,
	}
	minutes := make([]planner.Load, int(s.Length/time.Minute))
	for _, it := range items {
		m := min(len(minutes)-1, int(it.arrival/time.Minute))
		minutes[m].PrefillTokens += float64(it.uncached) / 60
		minutes[m].OutputTokens += float64(it.output) / 60
	}
	total := 0.0
	for _, load := range minutes {
		_, _, price := planner.CheapestFleet(planner.Settings{TargetUtilisation: 1}, &pool, load, len(d.DataCentres))
		total += price / 60
	}
	return total
}
