package planner

import (
	"fmt"
	"math"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// fleetSize is the number of backend servers of each price class.
type fleetSize struct {
	ordinary    int
	preemptible int
}

func (size fleetSize) total() int {
	return size.ordinary + size.preemptible
}

// cheapestSize finds the cheapest fleet that keeps the needed number of servers
// when the data centre with the most preemptible servers loses all of them, and
// whose ordinary servers can run the work that is not resumable.
func (s *Settings) cheapestSize(pool *Pool, needed, dataCentres int) fleetSize {
	limit := pool.Config.Maximum
	if limit <= 0 {
		limit = math.MaxInt
	}
	share := pool.Config.PreemptibleShare
	ordinaryShare := max(s.MinOrdinaryShare, 1-pool.ResumableShare)
	minOrdinary := int(math.Ceil(ordinaryShare * float64(needed)))
	best := fleetSize{ordinary: min(needed, limit)}
	if dataCentres == 0 {
		return best
	}
	bestCost := float64(best.ordinary)
	for preemptible := 1; preemptible <= 2*needed; preemptible++ {
		lost := (preemptible + dataCentres - 1) / dataCentres
		size := fleetSize{ordinary: max(minOrdinary, needed-preemptible+lost), preemptible: preemptible}
		if size.total() > limit || float64(preemptible) > share*float64(size.total())+1e-9 {
			continue
		}
		cost := float64(size.ordinary) + s.PreemptiblePrice*float64(size.preemptible)
		if cost < bestCost-1e-9 {
			best = size
			bestCost = cost
		}
	}
	return best
}

// CheapestFleet returns the cheapest fleet that carries a load and tolerates
// the loss of one data centre's preemptible servers, and its price in units of
// ordinary servers. Experiments use it as the reference for controllers.
func CheapestFleet(s Settings, pool *Pool, l Load, dataCentres int) (ordinary, preemptible int, price float64) {
	s = s.withDefaults()
	enginesNeeded := max(s.enginesNeeded(&pool.Profile, l), pool.Config.Minimum, 1)
	if pool.Config.Maximum > 0 {
		enginesNeeded = min(enginesNeeded, pool.Config.Maximum)
	}
	size := s.cheapestSize(pool, enginesNeeded, dataCentres)
	return size.ordinary, size.preemptible, float64(size.ordinary) + s.PreemptiblePrice*float64(size.preemptible)
}

// scale orders or releases backend servers of a pool.
func (p *Planner) scale(pool *Pool, st *poolState, rows []*Engine, in *Input) []Action {
	s := &p.settings
	if len(in.DataCentres) == 0 {
		return nil
	}
	level := st.loadEstimate.extrapolate(s.OrderLead / 5)
	st.shopForecast.update(pool.Shops, in.Now, s.OrderLead+s.ReleaseHold)
	expected := st.shopForecast.peakLoad(level, s.OrderLead)
	// Servers that are needed again within OrderLead + ReleaseHold are kept.
	untilRelease := st.shopForecast.peakLoad(level, s.OrderLead+s.ReleaseHold)
	preemptibleIn := preemptibleCentres(in)
	wanted := s.cheapestSize(pool, p.withinPoolLimits(pool, s.enginesNeeded(&pool.Profile, expected)), len(preemptibleIn))
	keepSize := s.cheapestSize(pool, p.withinPoolLimits(pool, s.enginesNeeded(&pool.Profile, untilRelease)), len(preemptibleIn))
	st.recordSize(keepSize, in.Now, s.ReleaseHold)
	actions := p.scaleUp(pool, rows, wanted, expected, in.DataCentres, preemptibleIn)
	if len(actions) > 0 || in.Now.Sub(st.firstTick) < s.ReleaseHold {
		return actions
	}
	return p.scaleDown(pool, rows, st.peakSize())
}

// preemptibleCentres lists the data centres where preemptible servers can be
// ordered.
func preemptibleCentres(in *Input) []model.DataCentreID {
	var centres []model.DataCentreID
	for _, c := range in.DataCentres {
		if !in.WithoutPreemptible[c] {
			centres = append(centres, c)
		}
	}
	return centres
}

// withinPoolLimits clamps a number of servers to the pool's configured limits.
func (p *Planner) withinPoolLimits(pool *Pool, needed int) int {
	needed = max(needed, pool.Config.Minimum, 1)
	if pool.Config.Maximum > 0 {
		needed = min(needed, pool.Config.Maximum)
	}
	return needed
}

// countByDataCentre counts the servers of a price class, without those that are
// leaving or drained for release.
func countByDataCentre(rows []*Engine, kind platform.BackendKind) map[model.DataCentreID]int {
	counts := map[model.DataCentreID]int{}
	for _, e := range rows {
		leaving := !e.Live && !e.Starting
		if kindOrOrdinary(e.Kind) == kind && !leaving && e.Drain.Kind != PurposeRelease {
			counts[e.DataCentre]++
		}
	}
	return counts
}

func kindOrOrdinary(kind platform.BackendKind) platform.BackendKind {
	if kind == platform.Preemptible {
		return kind
	}
	return platform.Ordinary
}

func sum(counts map[model.DataCentreID]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// scaleUp first undrains servers that are drained for release, and orders the
// remainder in the data centres with the fewest servers of the price class.
func (p *Planner) scaleUp(pool *Pool, rows []*Engine, wanted fleetSize, expected Load, centres, preemptibleIn []model.DataCentreID) []Action {
	var actions []Action
	budget := p.settings.MaxOrdersPerTick
	for _, class := range []struct {
		kind    platform.BackendKind
		want    int
		centres []model.DataCentreID
	}{{platform.Ordinary, wanted.ordinary, centres}, {platform.Preemptible, wanted.preemptible, preemptibleIn}} {
		counts := countByDataCentre(rows, class.kind)
		reason := fmt.Sprintf("%d %s servers wanted for an expected %.0f prefill and %.0f output tokens/s",
			class.want, class.kind, expected.PrefillTokens, expected.OutputTokens)
		for sum(counts) < class.want && budget > 0 {
			budget--
			if e := drainedForRelease(rows, class.kind); e != nil {
				e.Drain = Purpose{}
				e.Busy = true
				counts[e.DataCentre]++
				actions = append(actions, Action{Kind: ActionUndrain, Backend: e.ID, Reason: reason})
				continue
			}
			if pool.Config.Maximum > 0 && countLiveOrStarting(rows)+countBackendOrders(actions) >= pool.Config.Maximum {
				return actions
			}
			centre := centreWithFewest(counts, class.centres)
			counts[centre]++
			actions = append(actions, Action{
				Kind: ActionBackendOrder,
				Order: &platform.BackendOrder{
					Action:     platform.ActionAdd,
					Pool:       pool.Config.Name,
					DataCentre: centre,
					Kind:       class.kind,
					Count:      1,
				},
				Reason: reason,
			})
		}
	}
	return actions
}

// countLiveOrStarting counts the servers that count against the pool's maximum.
func countLiveOrStarting(rows []*Engine) int {
	n := 0
	for _, e := range rows {
		if e.Live || e.Starting {
			n++
		}
	}
	return n
}

func countBackendOrders(actions []Action) int {
	n := 0
	for _, a := range actions {
		if a.Kind == ActionBackendOrder {
			n++
		}
	}
	return n
}

func drainedForRelease(rows []*Engine, kind platform.BackendKind) *Engine {
	for _, e := range rows {
		if e.Live && !e.Busy && e.Drain.Kind == PurposeRelease && kindOrOrdinary(e.Kind) == kind {
			return e
		}
	}
	return nil
}

func centreWithFewest(counts map[model.DataCentreID]int, centres []model.DataCentreID) model.DataCentreID {
	best := centres[0]
	for _, c := range centres {
		if counts[c] < counts[best] {
			best = c
		}
	}
	return best
}

// scaleDown drains the servers beyond the given size, from the data centres with
// the most servers of the price class.
func (p *Planner) scaleDown(pool *Pool, rows []*Engine, keep fleetSize) []Action {
	var actions []Action
	budget := p.settings.MaxOrdersPerTick
	for _, class := range []struct {
		kind platform.BackendKind
		keep int
	}{{platform.Ordinary, keep.ordinary}, {platform.Preemptible, keep.preemptible}} {
		counts := countByDataCentre(rows, class.kind)
		for surplus := sum(counts) - class.keep; surplus > 0 && budget > 0; surplus-- {
			e := releaseCandidate(rows, class.kind, counts)
			if e == nil {
				break
			}
			budget--
			counts[e.DataCentre]--
			e.Drain = Purpose{Kind: PurposeRelease}
			actions = append(actions, Action{
				Kind:    ActionDrain,
				Backend: e.ID,
				Purpose: e.Drain,
				Reason: fmt.Sprintf("%d %s servers of pool %s are enough for the expected load",
					class.keep, class.kind, pool.Config.Name),
			})
		}
	}
	return actions
}

// releaseCandidate picks the engine with the fewest requests in the data centre
// with the most servers of the price class.
func releaseCandidate(rows []*Engine, kind platform.BackendKind, counts map[model.DataCentreID]int) *Engine {
	var best *Engine
	for _, e := range rows {
		if !e.usable() || kindOrOrdinary(e.Kind) != kind {
			continue
		}
		if best == nil || counts[e.DataCentre] > counts[best.DataCentre] ||
			(e.DataCentre == best.DataCentre && e.Requests < best.Requests) {
			best = e
		}
	}
	return best
}

// sizeSample is the fleet size that was wanted at a point in time.
type sizeSample struct {
	at time.Time
	fleetSize
}

// recordSize adds a wanted size and drops samples that are older than the hold
// time or not larger than it in either price class.
func (st *poolState) recordSize(size fleetSize, now time.Time, hold time.Duration) {
	kept := st.sizeSamples[:0]
	for _, h := range st.sizeSamples {
		dominated := h.ordinary <= size.ordinary && h.preemptible <= size.preemptible
		if now.Sub(h.at) < hold && !dominated {
			kept = append(kept, h)
		}
	}
	st.sizeSamples = append(kept, sizeSample{now, size})
}

// peakSize returns the largest number of each price class that was wanted within
// the hold time.
func (st *poolState) peakSize() fleetSize {
	var size fleetSize
	for _, h := range st.sizeSamples {
		size.ordinary = max(size.ordinary, h.ordinary)
		size.preemptible = max(size.preemptible, h.preemptible)
	}
	return size
}
