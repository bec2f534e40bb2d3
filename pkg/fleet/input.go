package fleet

import (
	"context"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/planner"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// drainSettleTime is the time after which every host that may serve requests has
// seen a drain. It covers the freshness limit and the lag of load reports.
const drainSettleTime = 4 * time.Second

// plannerInput collects the input of one plan.
func (m *Manager) plannerInput(ctx context.Context, now time.Time) planner.Input {
	view := m.deps.View()
	list, _ := m.deps.LatestList()
	loads := m.meter.collect(ctx, hostIDs(view.Members()), m.deps.FetchCounts)
	rows := m.pending.reconcile(m.engineRows(view, list, now), now)
	in := planner.Input{Now: now, Engines: rows, DataCentres: dataCentres(list, m.deps.Region)}
	for _, pool := range view.Pools() {
		row := m.poolRow(pool, loads[pool.Name])
		row.Adapters = wantedAdapters(view, pool.Name, rows)
		in.Pools = append(in.Pools, row)
	}
	if status, err := m.deps.Weights(ctx); err == nil {
		in.Weights = status
	}
	return in
}

func hostIDs(members []state.Member) []model.HostID {
	ids := make([]model.HostID, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.Host)
	}
	return ids
}

func dataCentres(list platform.BackendList, region model.RegionID) []model.DataCentreID {
	seen := make(map[model.DataCentreID]bool)
	var ids []model.DataCentreID
	for _, b := range list.Backends {
		if b.Region == region && !seen[b.DataCentre] {
			seen[b.DataCentre] = true
			ids = append(ids, b.DataCentre)
		}
	}
	return ids
}

// poolRow returns a pool's input to the planner. A pool without a configured
// maximum gets no profile, so that the planner does not change its size or roles.
func (m *Manager) poolRow(pool model.Pool, load poolLoad) planner.Pool {
	row := planner.Pool{Config: pool, Load: load.load, ResumableShare: load.resumableShare}
	if pool.Maximum > 0 {
		row.Profile = m.profile(pool.Name)
	}
	return row
}

// wantedAdapters returns, for each adapter that is offered on the pool, the number
// of engines that should have it loaded. Requests with an adapter run only on
// engines that have it, so every engine of the pool loads it and can take any
// request of the pool.
func wantedAdapters(view state.View, pool model.PoolName, rows []planner.Engine) map[string]int {
	engines := 0
	for i := range rows {
		if rows[i].Pool == pool {
			engines++
		}
	}
	wanted := make(map[string]int)
	for _, offer := range view.AllOffers() {
		if offer.Model == pool && offer.Adapter != "" {
			wanted[offer.Adapter] = engines
		}
	}
	return wanted
}

// relativeStepSlope is the assumed growth of a decode step with each running
// request, as a share of the reported step. It is not derived from reports: a
// profile does not compare reports at different loads.
const relativeStepSlope = 0.02

// profile returns the mean of the speeds that the pool's engines report.
func (m *Manager) profile(pool model.PoolName) planner.Profile {
	var p planner.Profile
	n := 0.0
	for _, b := range m.deps.Backends() {
		if b.Pool != pool || b.Load.PrefillTokensPerS <= 0 || b.Load.DecodeStepMS <= 0 {
			continue
		}
		n++
		p.PrefillTokensPerS += b.Load.PrefillTokensPerS
		p.StepBaseMS += b.Load.DecodeStepMS
		p.MaxRunning = max(p.MaxRunning, b.Load.MaxRunning)
	}
	if n == 0 {
		return planner.Profile{}
	}
	p.PrefillTokensPerS /= n
	p.StepBaseMS /= n
	p.StepPerRunningMS = p.StepBaseMS * relativeStepSlope
	return p
}

// engineRows returns the planner's input for the region's listed engines.
func (m *Manager) engineRows(view state.View, list platform.BackendList, now time.Time) []planner.Engine {
	busy := make(map[model.BackendID]bool)
	for _, intent := range view.OpenIntents() {
		busy[intent.Backend] = true
	}
	known := make(map[model.BackendID]routing.Backend)
	for _, b := range m.deps.Backends() {
		known[b.ID] = b
	}
	var rows []planner.Engine
	for _, b := range list.Backends {
		if b.Region != m.deps.Region || b.State == platform.BackendGone {
			continue
		}
		current, _ := m.deps.State(b.ID)
		row := engineRow(&b, &current)
		row.Busy = current.Changing || m.isActive(b.ID)
		row.Requests = known[b.ID].Load.Running + known[b.ID].Load.Queued
		m.addDrain(&row, view, known[b.ID].LoadAt, now)
		// An engine that is being released gets no further engine order, so an
		// open intent with an unknown outcome need not block the release.
		if row.Drain.Kind != planner.PurposeRelease {
			row.Busy = row.Busy || busy[b.ID]
		}
		rows = append(rows, row)
	}
	return rows
}

func engineRow(b *platform.Backend, current *engine.State) planner.Engine {
	return planner.Engine{
		ID: b.ID, Pool: b.Pool, DataCentre: b.DataCentre, Kind: b.Kind,
		Role: current.Role, Model: current.Model, Version: current.Version, Adapters: current.Adapters,
		Live: b.State == platform.BackendLive, Starting: b.State == platform.BackendStarting,
	}
}

// addDrain adds the engine's drain to its row. The engine counts as in use until
// every host has seen the drain and a load report from after that time exists.
func (m *Manager) addDrain(row *planner.Engine, view state.View, loadAt, now time.Time) {
	drain, version, ok := view.Drain(row.ID)
	if !ok {
		delete(m.drainSeen, row.ID)
		return
	}
	if drain.Purpose == nil {
		row.OperatorDrain = true
		return
	}
	seen, ok := m.drainSeen[row.ID]
	if !ok || seen.version != version {
		seen = seenDrain{version: version, firstSeen: now}
		m.drainSeen[row.ID] = seen
	}
	row.Drain = planner.Purpose{
		Kind: planner.PurposeKind(drain.Purpose.Kind), Role: engine.Role(drain.Purpose.Role),
		Model: drain.Purpose.Model, Version: drain.Purpose.Version,
	}
	settled := seen.firstSeen.Add(drainSettleTime)
	if now.Before(settled) || loadAt.Before(settled) {
		row.Requests = max(row.Requests, 1)
	}
}
