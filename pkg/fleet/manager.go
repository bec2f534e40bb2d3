package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/orders"
	"github.com/redwingpath/redwingpath/pkg/planner"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// operatorName is the name under which the configuration history lists the
// planner's drains and undrains.
const operatorName = "planner"

// OrderExecutor executes orders to engines and to the platform; orders.Executor
// implements it.
type OrderExecutor interface {
	Execute(ctx context.Context, a orders.Action) (orders.Result, error)
	Recover(ctx context.Context, region model.RegionID) (orders.Recovered, error)
}

// Dependencies are what a Manager uses of the host.
type Dependencies struct {
	Region model.RegionID
	// Interval between two plans. Default 1 s.
	Interval time.Duration
	View     func() state.View
	// Holds reports whether this host may act for the region's fleet shard now,
	// and with which fencing token.
	Holds       func(model.ShardName) (model.Offset, bool)
	LatestList  func() (platform.BackendList, time.Time)
	State       func(model.BackendID) (engine.State, bool)
	Backends    func() []routing.Backend
	FetchCounts FetchCountsFunc
	Weights     func(context.Context) (platform.WeightStoreStatus, error)
	// ApplyConfig submits the planner's drains and undrains.
	ApplyConfig   func(ctx context.Context, operator string, changes []logrec.Change) error
	OrderExecutor OrderExecutor
	// RoleChanged is called after each completed role change. May be nil.
	RoleChanged func(pool model.PoolName)
	Journal     *journal.Journal
	Log         *zap.Logger
}

// seenDrain is the version of a drain and the time at which this host first saw
// it.
type seenDrain struct {
	version   model.Offset
	firstSeen time.Time
}

// Manager runs the planner while its host holds the fleet shard.
type Manager struct {
	deps     Dependencies
	settings planner.Settings

	// The fields up to fence are used by the goroutine of Run only.
	planner   planner.Controller
	meter     loadMeter
	drainSeen map[model.BackendID]seenDrain
	fence     model.Offset

	// pending holds changes that the platform has accepted but does not list yet.
	pending pendingOrders

	mu            sync.Mutex
	activeActions map[model.BackendID]bool
}

const (
	defaultInterval = time.Second
	// recoverInterval is the time between two checks for open orders of earlier
	// shard holders.
	recoverInterval = 2 * time.Second
	// configTimeout bounds one configuration change.
	configTimeout = 10 * time.Second
)

// New returns a manager.
func New(deps Dependencies, settings planner.Settings) *Manager {
	if deps.Interval <= 0 {
		deps.Interval = defaultInterval
	}
	if deps.RoleChanged == nil {
		deps.RoleChanged = func(model.PoolName) {}
	}
	return &Manager{
		deps: deps, settings: settings,
		drainSeen:     make(map[model.BackendID]seenDrain),
		activeActions: make(map[model.BackendID]bool),
	}
}

// Run plans until the context ends, and then waits for the running actions.
func (m *Manager) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(m.deps.Interval)
	defer ticker.Stop()
	var recovered time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !m.ensurePlanner() {
				continue
			}
			if now.Sub(recovered) >= recoverInterval {
				recovered = now
				m.recoverOrders(ctx, &group)
			}
			m.plan(ctx, now, &group)
		}
	}
}

// ensurePlanner reports whether this host plans for the region. A new claim of the
// fleet shard starts with a new planner, since the estimates of the previous
// holder are on another host.
func (m *Manager) ensurePlanner() bool {
	fence, ok := m.deps.Holds(state.FleetShard(m.deps.Region))
	if !ok {
		m.planner = nil
		return false
	}
	if m.planner == nil || m.fence != fence {
		m.planner = planner.NewPlanner(m.settings)
		m.meter = loadMeter{}
		m.drainSeen = make(map[model.BackendID]seenDrain)
		m.fence = fence
	}
	return true
}

func (m *Manager) plan(ctx context.Context, now time.Time, group *sync.WaitGroup) {
	in := m.plannerInput(ctx, now)
	for _, action := range m.planner.Plan(&in) {
		m.startAction(ctx, action, group)
	}
}

// startAction executes an action in its own goroutine. It skips the action while
// another one runs for the same backend server; orders that add backend servers
// name none, so only one of them runs at a time.
func (m *Manager) startAction(ctx context.Context, action planner.Action, group *sync.WaitGroup) {
	if !m.beginAction(action.Backend) {
		return
	}
	group.Go(func() {
		defer m.endAction(action.Backend)
		if err := m.execute(ctx, action); err != nil {
			m.deps.Log.Warn("fleet action failed", zap.Stringer("action", action), zap.Error(err))
		}
	})
}

func (m *Manager) execute(ctx context.Context, a planner.Action) error {
	switch a.Kind {
	case planner.ActionDrain:
		return m.drain(ctx, a)
	case planner.ActionUndrain:
		return m.undrain(ctx, a)
	default:
		return m.order(ctx, a)
	}
}

func (m *Manager) order(ctx context.Context, a planner.Action) error {
	action := orders.Action{Region: m.deps.Region, Engine: a.Engine, Platform: a.Order, Reason: a.Reason}
	if a.Engine != nil {
		action.Backend = a.Backend
	}
	result, err := m.deps.OrderExecutor.Execute(ctx, action)
	if err != nil {
		return err
	}
	m.pending.record(a.Order, &result, time.Now())
	if a.Engine != nil && a.Engine.Kind == engine.OrderSetRole && result.Result == logrec.ResultDone {
		m.deps.RoleChanged(m.poolOf(a.Backend))
	}
	return nil
}

func (m *Manager) poolOf(id model.BackendID) model.PoolName {
	for _, b := range m.deps.Backends() {
		if b.ID == id {
			return b.Pool
		}
	}
	return ""
}

func (m *Manager) drain(ctx context.Context, a planner.Action) error {
	value, err := json.Marshal(model.Drain{
		Backend: a.Backend, Reason: a.Reason,
		Purpose: &model.DrainPurpose{
			Kind: string(a.Purpose.Kind), Role: string(a.Purpose.Role), Model: a.Purpose.Model, Version: a.Purpose.Version,
		},
	})
	if err != nil {
		return err
	}
	// Expect is 0, so the change is refused if an operator has already drained
	// the backend server.
	return m.apply(ctx, a, logrec.Change{Entity: logrec.EntityDrain, ID: string(a.Backend), Value: value})
}

func (m *Manager) undrain(ctx context.Context, a planner.Action) error {
	drain, version, ok := m.deps.View().Drain(a.Backend)
	if !ok || drain.Purpose == nil {
		return nil
	}
	return m.apply(ctx, a, logrec.Change{Entity: logrec.EntityDrain, ID: string(a.Backend), Expect: version, Delete: true})
}

func (m *Manager) apply(ctx context.Context, a planner.Action, change logrec.Change) error {
	if _, ok := m.deps.Holds(state.FleetShard(m.deps.Region)); !ok {
		return orders.ErrNoAuthority
	}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	if err := m.deps.ApplyConfig(ctx, operatorName, []logrec.Change{change}); err != nil {
		return err
	}
	m.deps.Journal.Add(journal.Entry{
		Kind: journal.KindBackend, Subject: string(a.Backend), Decision: string(a.Kind), Reason: a.Reason,
	})
	return nil
}

// recoverOrders completes the open order intents of earlier shard holders. An
// engine to which no further order can safely be sent is drained, so that it is
// replaced.
func (m *Manager) recoverOrders(ctx context.Context, group *sync.WaitGroup) {
	if !m.beginAction(recoveryKey) {
		return
	}
	group.Go(func() {
		defer m.endAction(recoveryKey)
		found, err := m.deps.OrderExecutor.Recover(ctx, m.deps.Region)
		if err != nil {
			m.deps.Log.Warn("recovery of open orders failed", zap.Error(err))
		}
		for _, id := range found.Replace {
			m.drainForReplacement(ctx, id)
		}
	})
}

// recoveryKey is the key in Manager.activeActions of the recovery, which concerns
// no single backend server.
const recoveryKey model.BackendID = "\x00recovery"

func (m *Manager) drainForReplacement(ctx context.Context, id model.BackendID) {
	if _, _, drained := m.deps.View().Drain(id); drained {
		return
	}
	action := planner.Action{
		Kind: planner.ActionDrain, Backend: id, Purpose: planner.Purpose{Kind: planner.PurposeRelease},
		Reason: "an order of an earlier holder may still arrive, and the engine ignores fencing numbers",
	}
	if err := m.drain(ctx, action); err != nil {
		m.deps.Log.Warn("engine could not be drained for replacement", zap.String("backend", string(id)), zap.Error(err))
	}
}

// beginAction marks an action for a backend server as running. It returns false if
// one is running already.
func (m *Manager) beginAction(id model.BackendID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.activeActions[id] {
		return false
	}
	m.activeActions[id] = true
	return true
}

func (m *Manager) endAction(id model.BackendID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.activeActions, id)
}

func (m *Manager) isActive(id model.BackendID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.activeActions[id]
}
