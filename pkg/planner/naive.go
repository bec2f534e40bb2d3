package planner

import (
	"fmt"
	"math"

	"github.com/redwingpath/redwingpath/pkg/engine"
)

// Naive is the baseline controller for experiments. It sets roles and fleet size
// by the load of the last tick alone, without forecast, change cost or release
// hold, and uses only ordinary servers.
type Naive struct {
	settings Settings
}

func NewNaive(settings Settings) *Naive {
	return &Naive{settings: settings.withDefaults()}
}

// Plan implements Controller.
func (n *Naive) Plan(in *Input) []Action {
	rows := groupByPool(in.Engines)
	var actions []Action
	helper := Planner{settings: n.settings}
	for i := range in.Pools {
		pool := &in.Pools[i]
		engines := rows[pool.Config.Name]
		actions = append(actions, continueDrains(engines)...)
		if !pool.Profile.valid() {
			continue
		}
		engines = markPlannedBusy(engines, actions)
		if len(in.DataCentres) > 0 {
			actions = append(actions, n.scale(&helper, pool, engines, in)...)
		}
		actions = append(actions, n.changeRoles(pool, engines, in)...)
	}
	return actions
}

func (n *Naive) scale(helper *Planner, pool *Pool, rows []*Engine, in *Input) []Action {
	wanted := fleetSize{ordinary: helper.withinPoolLimits(pool, n.settings.enginesNeeded(&pool.Profile, pool.Load))}
	if ordered := helper.scaleUp(pool, rows, wanted, pool.Load, in.DataCentres, nil); len(ordered) > 0 {
		return ordered
	}
	return helper.scaleDown(pool, rows, wanted)
}

// changeRoles sets the share of prefill engines to the current share of prefill
// work.
func (n *Naive) changeRoles(pool *Pool, rows []*Engine, in *Input) []Action {
	serving, prefill := 0, 0
	for _, e := range rows {
		if !e.Live || e.Drain.Kind == PurposeRelease {
			continue
		}
		serving++
		role := e.Role
		if e.Drain.Kind == PurposeRole {
			role = e.Drain.Role
		}
		if role == engine.RolePrefill {
			prefill++
		}
	}
	workPerSecond := pool.Profile.workPerSecond(pool.Load)
	if workPerSecond <= 0 || serving < 2 {
		return nil
	}
	share := pool.Load.PrefillTokens / pool.Profile.PrefillTokensPerS / workPerSecond
	wanted := min(serving-1, int(math.Round(share*float64(serving))))
	helper := Planner{settings: n.settings}
	reason := fmt.Sprintf("prefill share %.2f now", share)
	if wanted > prefill {
		return helper.drainForRole(&poolState{}, rows, engine.RoleMixed, engine.RolePrefill, wanted-prefill, reason, in.Now)
	}
	return helper.drainForRole(&poolState{}, rows, engine.RolePrefill, engine.RoleMixed, prefill-wanted, reason, in.Now)
}

var (
	_ Controller = (*Planner)(nil)
	_ Controller = (*Naive)(nil)
)
