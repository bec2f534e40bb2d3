// Package fleetplan decides how many backend servers of a service to run in each data
// centre, how many of them are spot servers, and which stage each engine performs. The
// package reads no clock and does no I/O.
//
// It is designed for loads whose balance between prompts and output swings within seconds,
// faster than engines can change their stage. Prefill on a decode engine costs about three
// times the engine time of prefill on a prefill engine, while decoding needs few engines,
// so most engines prefill. Decode engines are preferably ordinary servers, since losing a
// running response costs more than losing a cache; prefill engines are preferably spot
// servers, which are cheap but may be reclaimed.
package fleetplan

import (
	"cmp"
	"math"
	"slices"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Policy holds the parameters of a plan.
type Policy struct {
	// MaxShare is the maximum number of engines in each data centre, as a share of the
	// operator's limit. This many are ordered until the demand is known.
	MaxShare float64
	// MinShare is the minimum number of engines, as a share of the maximum.
	MinShare float64
	// PrefillUtilisation is the share of the prefill engines that the recent peak demand
	// keeps busy. The rest absorbs bursts, random variation, and work that hosts have not
	// heard of yet.
	PrefillUtilisation float64
	// StepShare is the step in which the number of engines changes, as a share of the
	// maximum.
	StepShare float64
	// OrdinaryShare is the share of ordinary servers among the engines.
	OrdinaryShare float64
	// ReplacementShare is the maximum share of the planned number that ordinary servers
	// cover where no spot servers are available.
	ReplacementShare float64
	// DecodeShare is the minimum share of decode engines, MinDecoders their minimum number.
	DecodeShare float64
	MinDecoders int
	// MaxDecodeShare limits the share of decode engines.
	MaxDecodeShare float64
	// SlotUtilisation is the share of a decode engine's slots that may be in use at the
	// peak.
	SlotUtilisation float64
	// MaxSlots limits the slots of an engine that are counted, since decode steps get
	// slower with each running request.
	MaxSlots int
	// DecodeSlack is the number of surplus decode engines, as a share of all engines, that
	// is tolerated before one of them changes its stage.
	DecodeSlack float64
	// StageChangeShare limits the number of engines that change their stage at the same
	// time, as a share of all engines.
	StageChangeShare float64
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		MaxShare: 1, MinShare: 0.5, PrefillUtilisation: 0.3, StepShare: 1.0 / 12, OrdinaryShare: 1.0 / 12, ReplacementShare: 0.6,
		DecodeShare: 0.3, MinDecoders: 2, MaxDecodeShare: 0.6,
		SlotUtilisation: 0.55, MaxSlots: 64, DecodeSlack: 0.12, StageChangeShare: 0.34,
	}
}

// Engine is an engine as seen by the planner.
type Engine struct {
	ID         model.BackendID
	DataCentre model.DataCentreID
	Stage      placement.Stage
	Spot       bool
	Leaving    bool
	// Switching is set while the engine is about to change to Stage.
	Switching bool
	// Running is the number of running requests.
	Running int
}

// Target is the desired number of ordinary or spot servers in a data centre.
type Target struct {
	DataCentre model.DataCentreID
	Spot       bool
	Desired    int
}

// countEngines counts the ordinary or spot engines of a data centre that are not leaving.
func countEngines(engines []Engine, dc model.DataCentreID, spot bool) int {
	n := 0
	for _, e := range engines {
		if e.DataCentre == dc && e.Spot == spot && !e.Leaving {
			n++
		}
	}
	return n
}

// maxEngines returns the maximum number of engines planned for a data centre.
func (p Policy) maxEngines(s *catalog.Scaling) int {
	return min(max(int(math.Round(p.MaxShare*float64(s.Max))), s.Min), s.Max)
}

// Needed returns the number of engines in all data centres together that the prefill demand
// and the running requests need.
func (p Policy) Needed(s *catalog.Scaling, state State) int {
	maxEngines := p.maxEngines(s)
	if !state.DemandKnown {
		return maxEngines * len(s.Prices)
	}
	minEngines := int(math.Ceil(p.MinShare * float64(maxEngines)))
	prefillers := state.BusyEngines / p.PrefillUtilisation
	total := max(prefillers/(1-p.DecodeShare), prefillers+float64(p.decodersFor(state.Slots, state.Running)))
	perCentre := total / float64(len(s.Prices))
	step := p.step(s)
	rounded := int(math.Ceil(perCentre/float64(step))) * step
	return min(max(rounded, minEngines, s.Min), maxEngines) * len(s.Prices)
}

// step returns the step in which the number of engines in a data centre changes.
func (p Policy) step(s *catalog.Scaling) int {
	return max(1, int(math.Ceil(p.StepShare*float64(p.maxEngines(s)))))
}

// TotalStep returns the step in which the number of engines in all data centres together
// changes.
func (p Policy) TotalStep(s *catalog.Scaling) int { return p.step(s) * len(s.Prices) }

// distribute divides a number of engines evenly among data centres with limited capacity.
// It returns the number for each data centre and the number that exceeds the total
// capacity.
func distribute(total int, capacity map[model.DataCentreID]int) (shares map[model.DataCentreID]int, excess int) {
	centres := make([]model.DataCentreID, 0, len(capacity))
	for dc := range capacity {
		centres = append(centres, dc)
	}
	slices.SortFunc(centres, func(a, b model.DataCentreID) int {
		return cmp.Or(cmp.Compare(capacity[a], capacity[b]), cmp.Compare(a, b))
	})
	shares = map[model.DataCentreID]int{}
	for i, dc := range centres {
		remaining := len(centres) - i
		shares[dc] = min(capacity[dc], (total+remaining-1)/remaining)
		total -= shares[dc]
	}
	return shares, total
}

// ordinary returns the number of ordinary servers among the engines of a data centre.
func (p Policy) ordinary(total int) int {
	return min(max(1, int(math.Round(p.OrdinaryShare*float64(total)))), total)
}

// State is the input of a scaling plan.
type State struct {
	Engines []Engine
	// Idle is set if no request has run recently.
	Idle bool
	// BusyEngines is the recent peak of the number of engines busy with prefill, valid if
	// DemandKnown is set.
	BusyEngines float64
	DemandKnown bool
	// Running is the recent peak of concurrent requests, Slots the number of slots per
	// engine.
	Running, Slots int
	// MinEngines is the minimum number of engines in all data centres together, even if the
	// demand needs fewer.
	MinEngines int
	// SpotExhausted holds the data centres where the platform recently had no spot servers
	// available.
	SpotExhausted map[model.DataCentreID]bool
}

// Scale plans the number of servers. Ordinary servers are released only once spot servers
// have replaced them, or while no requests arrive. Where no spot servers are available,
// other data centres make up for them; ordinary servers replace those that exceed the
// capacity of the other data centres.
func (p Policy) Scale(s *catalog.Scaling, state State) []Target {
	engines := state.Engines
	maxEngines := p.maxEngines(s)
	needed := min(max(p.Needed(s, state), state.MinEngines), maxEngines*len(s.Prices))
	capacity := map[model.DataCentreID]int{}
	for dc := range s.Prices {
		capacity[dc] = maxEngines
		if state.SpotExhausted[dc] {
			capacity[dc] = min(maxEngines, countEngines(engines, dc, false)+countEngines(engines, dc, true))
		}
	}
	shares, excess := distribute(needed, capacity)
	centres := make([]model.DataCentreID, 0, len(s.Prices))
	for dc := range s.Prices {
		centres = append(centres, dc)
	}
	slices.Sort(centres)
	var targets []Target
	for _, dc := range centres {
		// Spot servers are requested even where none are available, so that they return as
		// soon as there are some.
		total := max(shares[dc], needed/len(centres))
		ordinary := p.ordinary(total)
		spot := total - ordinary
		if s.SpotPrice <= 0 {
			ordinary, spot = total, 0
		}
		if !state.Idle {
			// Existing ordinary servers are kept until half of the planned number is
			// covered by spot servers.
			ordinary = max(ordinary, min(countEngines(engines, dc, false), total/2-countEngines(engines, dc, true)))
		}
		if state.SpotExhausted[dc] && excess > 0 {
			replacements := min(int(p.ReplacementShare*float64(total)), capacity[dc]+excess)
			ordinary = max(ordinary, replacements-countEngines(engines, dc, true))
		}
		// Ordinary servers come first: releasing them makes room for spot servers within
		// the limit for both together.
		targets = append(targets,
			Target{DataCentre: dc, Spot: false, Desired: ordinary},
			Target{DataCentre: dc, Spot: true, Desired: min(spot, s.Max-ordinary)})
	}
	return targets
}

// StageChange is a stage change of an engine.
type StageChange struct {
	ID    model.BackendID
	Stage placement.Stage
}

// decoders returns the planned number of decode engines among n engines for a number of
// running requests.
func (p Policy) decoders(n, slots, running int) int {
	share := int(math.Round(p.DecodeShare * float64(n)))
	maxDecoders := max(1, int(p.MaxDecodeShare*float64(n)))
	return max(min(max(share, p.decodersFor(slots, running)), maxDecoders), min(p.MinDecoders, n-1))
}

// decodersFor returns the number of decode engines with enough slots for a number of
// running requests.
func (p Policy) decodersFor(slots, running int) int {
	countedSlots := min(slots, p.MaxSlots)
	if countedSlots <= 0 {
		return 0
	}
	return int(math.Ceil(float64(running) / (p.SlotUtilisation * float64(countedSlots))))
}

// PlanStages plans the stage changes of engines that have the given number of slots each.
// running is the recent peak of concurrent requests.
func (p Policy) PlanStages(engines []Engine, slots, running int) []StageChange {
	var usable []Engine
	switching, decoders := 0, 0
	for _, e := range engines {
		if e.Leaving || e.Stage == placement.StageNone {
			continue
		}
		usable = append(usable, e)
		if e.Switching {
			switching++
		}
		if e.Stage == placement.StageDecode {
			decoders++
		}
	}
	n := len(usable)
	if n < 2 {
		return nil
	}
	wanted := p.decoders(n, slots, running)
	allowed := max(1, int(p.StageChangeShare*float64(n))) - switching
	from, to, toSwitch := placement.StageDecode, placement.StagePrefill, decoders-wanted
	switch {
	case decoders < wanted:
		from, to, toSwitch = placement.StagePrefill, placement.StageDecode, wanted-decoders
	case running > 0 && toSwitch <= int(p.DecodeSlack*float64(n)):
		// A stage change takes an engine out of service for seconds, and the load may swing
		// back before it pays off.
		return nil
	}
	var changes []StageChange
	for _, e := range switchCandidates(usable, from) {
		if toSwitch <= 0 || allowed <= 0 {
			break
		}
		changes = append(changes, StageChange{ID: e.ID, Stage: to})
		toSwitch--
		allowed--
	}
	return changes
}

// switchCandidates returns the engines of a stage in the order in which they should change
// to the other one: spot servers first to prefill, ordinary servers first to decode, then
// engines in data centres with more engines of the stage, then the least loaded.
func switchCandidates(engines []Engine, stage placement.Stage) []Engine {
	byCentre := map[model.DataCentreID]int{}
	var list []Engine
	for _, e := range engines {
		if e.Stage != stage {
			continue
		}
		byCentre[e.DataCentre]++
		if !e.Switching {
			list = append(list, e)
		}
	}
	spotFirst := stage == placement.StageDecode
	slices.SortFunc(list, func(a, b Engine) int {
		if a.Spot != b.Spot {
			if a.Spot == spotFirst {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(byCentre[b.DataCentre], byCentre[a.DataCentre]),
			cmp.Compare(a.Running, b.Running),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return list
}
