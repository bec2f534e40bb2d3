package edgehost

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/duty"
	"github.com/redwingpath/redwingpath/pkg/fleetplan"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Timing of orders for backend servers and stages.
const (
	// planInterval is the pause between plans.
	planInterval = 600 * time.Millisecond
	// peakDecay is the factor by which the peak of running requests shrinks per plan. It
	// halves the peak in ten seconds.
	peakDecay = 0.96
	// scaleRepeatDelay is the pause before an order for backend servers that has had no
	// effect yet is repeated. An order states the desired number, so that a repeat is
	// harmless. The platform may have provided fewer while others were still leaving.
	scaleRepeatDelay = 1500 * time.Millisecond
	// scaleRefusedDelay is the pause after an order that was refused or got no response.
	scaleRefusedDelay = 2 * time.Second
	// exhaustedDuration is how long a data centre counts as having no spot servers
	// available. It is longer than the pause between two attempts.
	exhaustedDuration = 2*scaleRefusedDelay + planInterval
	// switchMargin is how long after its switch time an engine's registration may still
	// show the old stage.
	switchMargin = 2500 * time.Millisecond
)

// orderState is the state that the holder of the duties keeps about its orders.
type orderState struct {
	plannedAt   time.Time
	scaleOrders map[scaleKey]lastScaleOrder
	// exhausted is when each data centre last had no spot servers available.
	exhausted map[model.DataCentreID]time.Time
	// sizeControllers determine how many engines to keep, by service.
	sizeControllers map[model.PoolName]*fleetplan.SizeController
	// peakRunning is the decaying peak of concurrently running requests, by service.
	peakRunning map[model.PoolName]float64
	// pendingStage has the engines that were ordered to change their stage.
	pendingStage map[model.BackendID]pendingStage
}

// scaleKey identifies a group of backend servers whose number is ordered separately.
type scaleKey struct {
	service    model.PoolName
	dataCentre model.DataCentreID
	spot       bool
}

// lastScaleOrder is the last order for a scaleKey.
type lastScaleOrder struct {
	desired     int
	repeatAfter time.Time
	// refused means that the platform refused the order or did not respond.
	refused bool
}

// pendingStage is an order to change to a stage, which is assumed to be in progress until
// the given time.
type pendingStage struct {
	stage placement.Stage
	until time.Time
}

func newOrderState() *orderState {
	return &orderState{
		scaleOrders: map[scaleKey]lastScaleOrder{}, sizeControllers: map[model.PoolName]*fleetplan.SizeController{}, peakRunning: map[model.PoolName]float64{},
		exhausted: map[model.DataCentreID]time.Time{}, pendingStage: map[model.BackendID]pendingStage{},
	}
}

// observeDemand measures the prefill demand of each service. Every host does so, so that
// the measurements exist already when it takes over the duties.
func (h *Host) observeDemand(now time.Time) {
	c := h.catalog.Load()
	if c == nil {
		return
	}
	for i := range c.Services {
		name := c.Services[i].Name
		if c.Services[i].Engine == nil {
			continue
		}
		if h.demand[name] == nil {
			h.demand[name] = &fleetplan.Demand{}
		}
		h.demand[name].Observe(h.fleet.PrefillWork(name), now)
	}
}

// planFleet orders backend servers and stage changes as the holder of the duties.
func (h *Host) planFleet(ctx context.Context, term duty.Term, now time.Time) {
	c := h.catalog.Load()
	if c == nil || now.Sub(h.orderState.plannedAt) < planInterval {
		return
	}
	h.orderState.plannedAt = now
	for i := range c.Services {
		service := &c.Services[i]
		if service.Engine == nil {
			continue
		}
		engines := h.engines(service.Name, now)
		running, _ := h.fleet.RunningAndSlots(service.Name)
		peak := max(float64(running), peakDecay*h.orderState.peakRunning[service.Name])
		h.orderState.peakRunning[service.Name] = peak
		if scaling := service.Scaling; h.settings.ScaleDuty && scaling != nil {
			scaling = h.withoutEvacuated(scaling)
			state := fleetplan.State{
				Engines: engines, Idle: peak < 1, Running: int(peak), Slots: service.Engine.Slots, SpotExhausted: h.orderState.exhaustedDataCentres(now),
			}
			if d := h.demand[service.Name]; d != nil {
				state.BusyEngines, state.DemandKnown = d.BusyEngines(now)
			}
			state.MinEngines = h.orderState.sizeController(service.Name).Next(h.policy.Needed(scaling, state), countNotLeaving(engines), h.policy.TotalStep(scaling), now)
			h.scale(ctx, service.Name, scaling, state, term, now)
		}
		for _, change := range h.policy.PlanStages(engines, service.Engine.Slots, int(peak)) {
			h.orderStage(ctx, service, change, term, now)
		}
	}
}

// engines lists the engines of a service, with pending stage changes applied.
func (h *Host) engines(service model.PoolName, now time.Time) []fleetplan.Engine {
	var list []fleetplan.Engine
	for _, b := range h.fleet.List() {
		if b.Service != service || h.isEvacuated(b.DataCentre) {
			continue
		}
		e := fleetplan.Engine{
			ID: b.ID, DataCentre: b.DataCentre, Stage: b.Stage, Spot: b.Spot, Leaving: b.Leaving, Running: h.fleet.Running(b.ID),
		}
		if s, ok := h.orderState.pendingStage[b.ID]; ok {
			if s.stage == b.Stage || now.After(s.until) {
				delete(h.orderState.pendingStage, b.ID)
			} else {
				e.Stage, e.Switching = s.stage, true
			}
		}
		list = append(list, e)
	}
	return list
}

// countNotLeaving returns the number of engines that are not leaving.
func countNotLeaving(engines []fleetplan.Engine) int {
	n := 0
	for _, e := range engines {
		if !e.Leaving {
			n++
		}
	}
	return n
}

func (o *orderState) sizeController(service model.PoolName) *fleetplan.SizeController {
	s := o.sizeControllers[service]
	if s == nil {
		s = &fleetplan.SizeController{}
		o.sizeControllers[service] = s
	}
	return s
}

// exhaustedDataCentres returns the data centres that recently had no spot servers
// available.
func (o *orderState) exhaustedDataCentres(now time.Time) map[model.DataCentreID]bool {
	exhausted := map[model.DataCentreID]bool{}
	for dc, at := range o.exhausted {
		exhausted[dc] = now.Sub(at) < exhaustedDuration
	}
	return exhausted
}

// scale orders backend servers wherever the number that the policy wants differs from the
// present or the last ordered one.
func (h *Host) scale(ctx context.Context, service model.PoolName, scaling *catalog.Scaling, state fleetplan.State, term duty.Term, now time.Time) {
	for _, t := range h.policy.Scale(scaling, state) {
		key := scaleKey{service, t.DataCentre, t.Spot}
		have := 0
		for _, e := range state.Engines {
			if e.DataCentre == t.DataCentre && e.Spot == t.Spot && !e.Leaving {
				have++
			}
		}
		last, known := h.orderState.scaleOrders[key]
		if known && last.desired == t.Desired && (have == t.Desired || now.Before(last.repeatAfter)) {
			continue
		}
		if !known && have == t.Desired {
			continue
		}
		if known && last.refused && now.Before(last.repeatAfter) {
			continue
		}
		h.orderServers(ctx, key, t.Desired, have, state.BusyEngines, term, now)
	}
}

// orderServers sends an order for backend servers and records its result.
func (h *Host) orderServers(ctx context.Context, key scaleKey, desired, have int, busy float64, term duty.Term, now time.Time) {
	err := h.platform.Scale(ctx, term, ScaleOrder{
		Service: key.service, DataCentre: key.dataCentre, Desired: desired, Spot: key.spot,
	})
	fields := []zap.Field{
		zap.String("service", string(key.service)), zap.String("data_centre", string(key.dataCentre)),
		zap.Bool("spot", key.spot), zap.Int("desired", desired), zap.Int("have", have), zap.Uint64("fence", term.Fence),
		zap.Float64("engines_busy", busy),
	}
	order := lastScaleOrder{desired: desired, repeatAfter: now.Add(scaleRepeatDelay)}
	switch {
	case err == nil:
		h.log.Info("backend servers ordered", fields...)
	case errors.Is(err, duty.ErrNotHolder):
		return
	case errors.Is(err, ErrConflict):
		order.repeatAfter, order.refused = now.Add(scaleRefusedDelay), true
		if key.spot {
			h.orderState.exhausted[key.dataCentre] = now
		}
		h.log.Info("no backend servers are available, or another host acts as the holder", append(fields, zap.Error(err))...)
	default:
		order.repeatAfter, order.refused = now.Add(scaleRefusedDelay), true
		h.log.Warn("an order for backend servers failed", append(fields, zap.Error(err))...)
	}
	h.orderState.scaleOrders[key] = order
}

// orderStage orders an engine to change its stage. The order contains the engine's ID and
// its number of accepted orders, so that a delayed order has no effect.
func (h *Host) orderStage(ctx context.Context, service *catalog.Service, change fleetplan.StageChange, term duty.Term, now time.Time) {
	r, ok := h.registry.registration(change.ID)
	if !ok || !h.fleet.Usable(change.ID) {
		return
	}
	h.orderState.pendingStage[change.ID] = pendingStage{stage: change.Stage, until: now.Add(service.Engine.SwitchTime + switchMargin)}
	accepted, err := h.platform.AcceptedOrders(ctx, change.ID, r.Address)
	if err == nil {
		err = h.platform.ChangeStage(ctx, term, StageOrder{
			Backend: change.ID, Address: r.Address, Stage: change.Stage, ExpectedOrders: accepted,
		})
	}
	fields := []zap.Field{
		zap.String("backend", string(change.ID)), zap.Stringer("stage", change.Stage), zap.Uint64("fence", term.Fence),
		zap.Uint64("orders", accepted),
	}
	if err != nil {
		h.log.Warn("an order to change the stage was not accepted", append(fields, zap.Error(err))...)
		return
	}
	h.log.Info("stage ordered", fields...)
}

// switchingEngines returns the engines with a pending stage change.
func (h *Host) switchingEngines() []model.BackendID {
	var list []model.BackendID
	for id := range h.orderState.pendingStage {
		list = append(list, id)
	}
	return list
}
