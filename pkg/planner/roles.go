package planner

import (
	"fmt"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
)

// changeRoles drains engines for a role change if its gain exceeds its cost.
// Mixed engines take any ratio of prefill and decode work, so routing absorbs
// most load shifts; roles change only when too little of the load would meet its
// targets.
func (p *Planner) changeRoles(pool *Pool, st *poolState, rows []*Engine, now time.Time) []Action {
	s := &p.settings
	st.dropRoleChanges(now.Add(-s.RoleHorizon))
	allowed := s.MaxRoleChanges - len(st.roleChanges)
	prefill, mixed := 0, 0
	for _, e := range rows {
		if !e.Live || e.OperatorDrain || e.Drain.Kind == PurposeRelease {
			continue
		}
		role := e.Role
		if e.Drain.Kind == PurposeRole {
			role = e.Drain.Role
		}
		if role == engine.RolePrefill {
			prefill++
		} else {
			mixed++
		}
	}
	load := st.loadEstimate.extrapolate(s.RoleChangeLead)
	current := s.servedInTime(pool, load, prefill, mixed, prefill)
	if allowed <= 0 || current >= s.SufficientInTime {
		return nil
	}
	step, inTime := s.bestRoleChange(pool, load, prefill, mixed, allowed)
	if step == 0 {
		return nil
	}
	target, from := engine.RolePrefill, engine.RoleMixed
	if step < 0 {
		target, from = engine.RoleMixed, engine.RolePrefill
	}
	reason := fmt.Sprintf("%.0f%% of the load in time with %d prefill engines of %d, up to %.0f%% by changing roles",
		100*current, prefill, prefill+mixed, 100*inTime)
	return p.drainForRole(st, rows, from, target, max(step, -step), reason, now)
}

// bestRoleChange finds the number of prefill engines with the largest net gain
// over the horizon. step is the number of engines to change towards it now: to
// prefill if positive, to mixed if negative. inTime is the share of the load in
// time at that number. The search covers the whole range, since the first few
// changes may gain nothing on their own.
func (s *Settings) bestRoleChange(pool *Pool, load Load, prefill, mixed, allowed int) (step int, inTime float64) {
	current := s.servedInTime(pool, load, prefill, mixed, prefill)
	engines := prefill + mixed
	stride := max(1, engines/roleSearchPoints)
	bestNet := 0.0
	for target := 0; target < engines; target += stride {
		servedInTime := s.servedInTime(pool, load, target, engines-target, prefill)
		gained := (servedInTime - current) * float64(engines) * s.RoleHorizon.Seconds()
		changes := target - prefill
		cost := float64(max(changes, -changes)) * s.RoleChangeCost.Seconds()
		if gained-cost > bestNet {
			bestNet = gained - cost
			step = min(allowed, max(-allowed, changes))
			inTime = servedInTime
		}
	}
	return step, inTime
}

// roleSearchPoints limits how many numbers of prefill engines one tick compares:
// to less than twice this value.
const roleSearchPoints = 64

// drainForRole drains the usable engines with the fewest requests for a role
// change.
func (p *Planner) drainForRole(st *poolState, rows []*Engine, from, target engine.Role, count int, reason string, now time.Time) []Action {
	var actions []Action
	for range count {
		var leastLoaded *Engine
		for _, e := range rows {
			if !e.usable() || roleOrMixed(e.Role) != from {
				continue
			}
			if leastLoaded == nil || e.Requests < leastLoaded.Requests {
				leastLoaded = e
			}
		}
		if leastLoaded == nil {
			break
		}
		leastLoaded.Drain = Purpose{Kind: PurposeRole, Role: target}
		st.roleChanges = append(st.roleChanges, now)
		actions = append(actions, Action{
			Kind:    ActionDrain,
			Backend: leastLoaded.ID,
			Purpose: leastLoaded.Drain,
			Reason:  reason,
		})
	}
	return actions
}

func roleOrMixed(role engine.Role) engine.Role {
	if role == "" {
		return engine.RoleMixed
	}
	return role
}
