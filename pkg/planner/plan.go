package planner

import (
	"fmt"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Controller plans the fleet at each tick.
type Controller interface {
	Plan(in *Input) []Action
}

// Planner is the Controller for production use. It keeps only load estimates
// and recent changes, so that a host that takes over the fleet may start with a
// new Planner. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	pools    map[model.PoolName]*poolState
}

type poolState struct {
	loadEstimate loadEstimate
	shopForecast shopForecast
	roleChanges  []time.Time
	sizeSamples  []sizeSample
	// firstTick is the time of the first tick. No server is released until
	// ReleaseHold after it.
	firstTick time.Time
}

// NewPlanner returns a planner without load estimates.
func NewPlanner(settings Settings) *Planner {
	return &Planner{settings: settings.withDefaults(), pools: map[model.PoolName]*poolState{}}
}

// Plan returns the actions for one tick. Each engine gets at most one.
func (p *Planner) Plan(in *Input) []Action {
	rows := groupByPool(in.Engines)
	fetches := int(in.Weights.AvailableNow)
	var actions []Action
	for i := range in.Pools {
		pool := &in.Pools[i]
		st := p.pools[pool.Config.Name]
		if st == nil {
			st = &poolState{firstTick: in.Now}
			p.pools[pool.Config.Name] = st
		}
		st.loadEstimate.update(&p.settings, pool.Load, in.Now)
		engines := rows[pool.Config.Name]
		actions = append(actions, continueDrains(engines)...)
		if pool.Config.Kind == model.PoolService || !pool.Profile.valid() {
			continue
		}
		engines = markPlannedBusy(engines, actions)
		actions = append(actions, p.scale(pool, st, engines, in)...)
		actions = append(actions, p.changeRoles(pool, st, engines, in.Now)...)
		actions = append(actions, p.placeModels(pool, engines, &fetches)...)
	}
	return actions
}

// groupByPool groups copies of the rows by pool. They are copies because
// planning modifies them.
func groupByPool(engines []Engine) map[model.PoolName][]*Engine {
	rows := map[model.PoolName][]*Engine{}
	for _, e := range engines {
		e.Role = roleOrMixed(e.Role)
		rows[e.Pool] = append(rows[e.Pool], &e)
	}
	return rows
}

// markPlannedBusy marks the engines that already have an action in this tick as
// busy.
func markPlannedBusy(rows []*Engine, actions []Action) []*Engine {
	taken := map[model.BackendID]bool{}
	for _, a := range actions {
		taken[a.Backend] = true
	}
	for _, e := range rows {
		if taken[e.ID] {
			e.Busy = true
		}
	}
	return rows
}

// continueDrains advances the engines that were drained in earlier ticks: an
// idle engine gets its order, and an engine that has executed it returns to
// service.
func continueDrains(rows []*Engine) []Action {
	var actions []Action
	for _, e := range rows {
		if e.Busy || !e.Live {
			continue
		}
		if a, ok := nextDrainAction(e); ok {
			actions = append(actions, a)
		}
	}
	return actions
}

// nextDrainAction returns the next action for a drained engine, if one is due.
func nextDrainAction(e *Engine) (Action, bool) {
	d := e.Drain
	switch d.Kind {
	case PurposeNone:
		return Action{}, false
	case PurposeRole:
		if e.Role == d.Role {
			return Action{Kind: ActionUndrain, Backend: e.ID, Reason: fmt.Sprintf("role %s is in force", d.Role)}, true
		}
	case PurposeModel:
		if e.Model == d.Model && e.Version == d.Version {
			return Action{Kind: ActionUndrain, Backend: e.ID, Reason: fmt.Sprintf("version %s is in force", d.Version)}, true
		}
	}
	if e.Requests > 0 {
		return Action{}, false
	}
	a := Action{Kind: ActionEngineOrder, Backend: e.ID, Purpose: d, Reason: "drained for " + string(d.Kind)}
	switch d.Kind {
	case PurposeRole:
		a.Engine = &engine.Order{Kind: engine.OrderSetRole, Role: d.Role}
	case PurposeModel:
		a.Engine = &engine.Order{Kind: engine.OrderLoadModel, Model: d.Model, Version: d.Version}
	case PurposeRelease:
		a.Kind = ActionBackendOrder
		a.Order = &platform.BackendOrder{
			Action:     platform.ActionRelease,
			Pool:       e.Pool,
			DataCentre: e.DataCentre,
			Kind:       kindOrOrdinary(e.Kind),
			Backend:    e.ID,
		}
	}
	return a, true
}

// dropRoleChanges removes role changes that started at or before the given time.
func (st *poolState) dropRoleChanges(before time.Time) {
	kept := st.roleChanges[:0]
	for _, at := range st.roleChanges {
		if at.After(before) {
			kept = append(kept, at)
		}
	}
	st.roleChanges = kept
}
