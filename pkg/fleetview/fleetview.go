// Package fleetview keeps a host's routing table up to date with the fleet: it
// polls the platform's lists and the engines' state, load reports and cache
// events, and reads drains and open orders from the configuration.
package fleetview

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Engines queries engines.
type Engines interface {
	Load(ctx context.Context, baseURL string) (engine.LoadReport, error)
	CacheEvents(ctx context.Context, baseURL string, from uint64) (engine.CacheEvents, error)
	State(ctx context.Context, baseURL string) (engine.State, error)
}

// Table is the routing table that a View updates.
type Table interface {
	UpdateBackend(b routing.Backend)
	RemoveBackend(id model.BackendID)
	UpdateLoad(id model.BackendID, report engine.LoadReport, at time.Time)
	CacheEvents(id model.BackendID, events []engine.CacheEvent, gap bool)
}

// Settings of a View.
type Settings struct {
	Host   model.HostID
	Region model.RegionID
	// FleetPoll, LoadPoll and CachePoll are polling periods. Defaults 500 ms,
	// 200 ms and 500 ms.
	FleetPoll time.Duration
	LoadPoll  time.Duration
	CachePoll time.Duration
	// CallTimeout bounds one query. Default 1 s.
	CallTimeout time.Duration
	// SubsetSize bounds the backend servers per pool that this host tracks.
	// Default 128.
	SubsetSize int
}

// defaultSubset bounds the polling cost of a host, so that it does not grow with
// the fleet.
const defaultSubset = 128

func (s Settings) withDefaults() Settings {
	setDefault(&s.FleetPoll, 500*time.Millisecond)
	setDefault(&s.LoadPoll, 200*time.Millisecond)
	setDefault(&s.CachePoll, 500*time.Millisecond)
	setDefault(&s.CallTimeout, time.Second)
	if s.SubsetSize <= 0 {
		s.SubsetSize = defaultSubset
	}
	return s
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// View is a host's view of the fleet, kept current by polling.
type View struct {
	settings Settings
	fleet    platform.Fleet
	engines  Engines
	table    Table
	snapshot func() state.View
	journal  *journal.Journal
	log      *zap.Logger
	// onLeaving is called when a backend server is leaving, drained or no longer
	// listed, and onStaying when it is available.
	onLeaving func(id model.BackendID, deadline time.Time)
	onStaying func(id model.BackendID)
	isReady   func() bool

	mu             sync.Mutex
	backends       map[model.BackendID]*trackedBackend
	hosts          platform.HostList
	listReceivedAt time.Time
	// ready is set once the configuration has been read, and stays set.
	ready bool
	// backendList is the last list of backend servers, also used by the planner.
	backendList platform.BackendList
}

// trackedBackend is one backend server of the subset, with its last known engine
// state and the cancel function of its poller.
type trackedBackend struct {
	listed     platform.Backend
	state      engine.State
	stateKnown bool
	cancel     context.CancelFunc
	// lastReason is the unavailability reason that was last recorded.
	lastReason string
}

// Observer is notified of backend servers that leave and of those that become
// available, and reports whether the host is ready.
type Observer interface {
	// Ready reports whether this host has read the log to its end and is not leaving.
	Ready() bool
	BackendLeaving(id model.BackendID, deadline time.Time)
	BackendStaying(id model.BackendID)
}

// New returns a View.
func New(settings Settings, fleet platform.Fleet, engines Engines, table Table, snapshot func() state.View,
	o Observer, j *journal.Journal, log *zap.Logger) *View {
	return &View{
		settings: settings.withDefaults(),
		fleet:    fleet, engines: engines, table: table, snapshot: snapshot,
		onLeaving: o.BackendLeaving, onStaying: o.BackendStaying, isReady: o.Ready, journal: j, log: log,
		backends: make(map[model.BackendID]*trackedBackend),
	}
}

// Run polls until the context ends.
func (v *View) Run(ctx context.Context) {
	var pollers sync.WaitGroup
	defer pollers.Wait()
	ticker := time.NewTicker(v.settings.FleetPoll)
	defer ticker.Stop()
	for {
		v.pollLists(ctx, &pollers)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (v *View) pollLists(ctx context.Context, pollers *sync.WaitGroup) {
	callCtx, cancel := context.WithTimeout(ctx, v.settings.CallTimeout)
	defer cancel()
	list, err := v.fleet.Backends(callCtx)
	if err != nil {
		v.log.Debug("cannot fetch the backend server list", zap.Error(err))
		// Drains and orders must take effect on the last known list too.
		v.updateTable()
		return
	}
	v.applyList(ctx, list, pollers)
	if hosts, err := v.fleet.Hosts(callCtx); err == nil {
		v.mu.Lock()
		v.hosts = hosts
		v.mu.Unlock()
	}
}

// Hosts returns the last list of entry hosts.
func (v *View) Hosts() platform.HostList {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hosts
}

// LatestList returns the last list of backend servers and the local time at which
// it arrived, zero before the first list.
func (v *View) LatestList() (platform.BackendList, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.backendList, v.listReceivedAt
}

// State returns the last known state of an engine in the subset.
func (v *View) State(id model.BackendID) (engine.State, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t, ok := v.backends[id]
	if !ok || !t.stateKnown {
		return engine.State{}, false
	}
	return t.state, true
}
