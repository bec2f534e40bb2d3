package platformsim

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin/record"
)

// PoolInfo holds the properties of a pool that its new backend servers get.
type PoolInfo struct {
	Kind   model.PoolKind
	Region model.RegionID
}

// fleet holds the backend servers and the orders for them.
type fleet struct {
	mu           sync.Mutex
	config       *Config
	recorder     *record.Recorder
	launcher     Launcher
	pools        map[model.PoolName]PoolInfo
	backends     map[model.BackendID]platform.Backend
	list         lagged[[]platform.Backend]
	orders       map[string]platform.BackendOrderStatus
	highestFence map[model.DataCentreID]model.Offset
	created      int
	closed       bool
	timers       map[*time.Timer]struct{}
}

func newFleet(c *Config, r *record.Recorder, l Launcher, pools map[model.PoolName]PoolInfo) *fleet {
	f := &fleet{
		config:       c,
		recorder:     r,
		launcher:     l,
		pools:        pools,
		backends:     map[model.BackendID]platform.Backend{},
		orders:       map[string]platform.BackendOrderStatus{},
		highestFence: map[model.DataCentreID]model.Offset{},
		timers:       map[*time.Timer]struct{}{},
	}
	f.list.lag = milliseconds(c.ListLagMS)
	f.list.set([]platform.Backend{}, time.Now())
	return f
}

// setBackend stores and records a backend server's new state. The caller holds f.mu.
func (f *fleet) setBackend(b platform.Backend) {
	f.backends[b.ID] = b
	f.recorder.AddValue(record.Event{Kind: record.BackendState, Component: string(b.ID), Detail: string(b.State)}, b)
	f.list.set(f.sorted(), time.Now())
}

func (f *fleet) sorted() []platform.Backend {
	ids := slices.Sorted(maps.Keys(f.backends))
	list := make([]platform.Backend, 0, len(ids))
	for _, id := range ids {
		list = append(list, f.backends[id])
	}
	return list
}

// addInitial adds a backend server that exists from the start. It appears in the
// list without lag.
func (f *fleet) addInitial(b platform.Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setBackend(b)
	f.list.versions = f.list.versions[len(f.list.versions)-1:]
}

func (f *fleet) backendList() platform.BackendList {
	f.mu.Lock()
	defer f.mu.Unlock()
	backends, asOf := f.list.get(time.Now())
	return platform.BackendList{AsOfMS: asOf.UnixMilli(), Backends: backends}
}

// current returns the backend servers without lag.
func (f *fleet) current() []platform.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sorted()
}

// order executes an order once. A repeated order gets the first result.
func (f *fleet) order(o platform.BackendOrder) platform.BackendOrderStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	if status, known := f.orders[o.OrderID]; known {
		return status
	}
	status := platform.BackendOrderStatus{Order: o}
	status.Reason = f.refusalReason(&o)
	if status.Reason == "" {
		status.Accepted = true
		status.Backends = f.execute(&o)
	}
	f.orders[o.OrderID] = status
	f.recorder.AddValue(record.Event{Kind: record.BackendOrdered, Component: "platform", Detail: status.Reason}, o)
	return status
}

// refusalReason returns why an order is refused, or "" if it is accepted.
func (f *fleet) refusalReason(o *platform.BackendOrder) string {
	if o.OrderID == "" {
		return "no order id"
	}
	if f.config.CheckOrderFence && o.Fence < f.highestFence[o.DataCentre] {
		return "old fencing number"
	}
	f.highestFence[o.DataCentre] = max(f.highestFence[o.DataCentre], o.Fence)
	switch o.Action {
	case platform.ActionAdd:
		if _, known := f.pools[o.Pool]; !known {
			return fmt.Sprintf("unknown pool %q", o.Pool)
		}
		if o.Count < 1 {
			return "count below 1"
		}
	case platform.ActionRelease:
		if b, known := f.backends[o.Backend]; !known || b.State == platform.BackendGone {
			return fmt.Sprintf("unknown backend server %q", o.Backend)
		}
	default:
		return fmt.Sprintf("unknown action %q", o.Action)
	}
	return ""
}

func (f *fleet) execute(o *platform.BackendOrder) []model.BackendID {
	if o.Action == platform.ActionRelease {
		f.leave(o.Backend, milliseconds(f.config.ReleaseGraceMS))
		return []model.BackendID{o.Backend}
	}
	var ids []model.BackendID
	for range o.Count {
		ids = append(ids, f.startBackend(o))
	}
	return ids
}

func (f *fleet) startBackend(o *platform.BackendOrder) model.BackendID {
	f.created++
	pool := f.pools[o.Pool]
	kind := o.Kind
	if kind == "" {
		kind = platform.Ordinary
	}
	b := platform.Backend{
		ID:         model.BackendID(fmt.Sprintf("%s-%s-o%d", o.Pool, o.DataCentre, f.created)),
		Pool:       o.Pool,
		PoolKind:   pool.Kind,
		Region:     pool.Region,
		DataCentre: o.DataCentre,
		Kind:       kind,
		State:      platform.BackendStarting,
		OrderID:    o.OrderID,
	}
	f.setBackend(b)
	f.runAfter(milliseconds(f.config.StartDelayMS), func() { f.launch(b.ID) })
	return b.ID
}

// runAfter runs a step once a delay has passed, unless the fleet is closed by then.
// The step runs with f.mu held, and the caller holds it, too.
func (f *fleet) runAfter(d time.Duration, step func()) {
	var t *time.Timer
	t = time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.timers, t)
		if !f.closed {
			step()
		}
	})
	f.timers[t] = struct{}{}
}

func (f *fleet) launch(id model.BackendID) {
	b := f.backends[id]
	if b.State != platform.BackendStarting {
		return
	}
	url, err := f.launcher.Launch(b)
	if err != nil {
		b.State = platform.BackendGone
		f.setBackend(b)
		return
	}
	b.URL = url
	b.State = platform.BackendLive
	f.setBackend(b)
}

// leave announces that a backend server will stop after the notice. The caller
// holds f.mu.
func (f *fleet) leave(id model.BackendID, notice time.Duration) {
	b := f.backends[id]
	if b.State == platform.BackendLeaving || b.State == platform.BackendGone {
		return
	}
	b.State = platform.BackendLeaving
	b.LeavesAtMS = time.Now().Add(notice).UnixMilli()
	f.setBackend(b)
	f.runAfter(notice, func() { f.stop(id) })
}

func (f *fleet) stop(id model.BackendID) {
	b := f.backends[id]
	if b.State == platform.BackendGone {
		return
	}
	f.launcher.Stop(id)
	b.State = platform.BackendGone
	f.setBackend(b)
}

// reclaim reclaims all preemptible backend servers of a data centre. An empty
// data centre means all of them; a notice of 0 means the configured one.
func (f *fleet) reclaim(dc model.DataCentreID, notice time.Duration) []model.BackendID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if notice <= 0 {
		notice = milliseconds(f.config.ReclaimNoticeMS)
	}
	var ids []model.BackendID
	for _, b := range f.sorted() {
		matches := dc == "" || b.DataCentre == dc
		if b.Kind == platform.Preemptible && matches && b.State != platform.BackendGone {
			f.leave(b.ID, notice)
			ids = append(ids, b.ID)
		}
	}
	return ids
}

func (f *fleet) orderStatus(id string) (platform.BackendOrderStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, known := f.orders[id]
	return s, known
}

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for t := range f.timers {
		t.Stop()
	}
}
