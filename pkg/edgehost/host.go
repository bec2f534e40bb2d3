package edgehost

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/duty"
	"github.com/redwingpath/redwingpath/pkg/fleetplan"
	"github.com/redwingpath/redwingpath/pkg/gateway"
	"github.com/redwingpath/redwingpath/pkg/membudget"
	"github.com/redwingpath/redwingpath/pkg/mesh"
	"github.com/redwingpath/redwingpath/pkg/mirror"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/quota"
	"github.com/redwingpath/redwingpath/pkg/truetime"
	"github.com/redwingpath/redwingpath/pkg/upstream"
	"github.com/redwingpath/redwingpath/pkg/usagewindow"
)

// Host is a host that forwards the requests of callers to backend servers.
type Host struct {
	settings *Settings
	log      *zap.Logger
	platform Platform
	// calls is the same value as platform, for logging summaries of the calls.
	calls *countedPlatform
	self  mesh.Member

	clock     *truetime.Clock
	catalog   atomic.Pointer[catalog.Catalog]
	tables    map[string]*mirror.Table
	followers map[string]*mirror.Follower
	registry  *registry
	fleet     *placement.Fleet
	pool      *upstream.Pool
	quota     *quota.Limiter
	usage     *usagewindow.Counter
	duties    *duty.Elector
	mesh      *mesh.Mesh
	gateway   *gateway.Gateway
	metrics   *hostMetrics
	gatherer  *prometheus.Registry

	suspects peerSuspects
	// stopping is set once a graceful stop has begun.
	stopping atomic.Bool
	// lastReportedReady is the last readiness reported to the load balancer.
	lastReportedReady atomic.Bool
	// successor is the peer that is expected to claim the duties after the holder.
	successor atomic.Pointer[string]
	// switching lists the engines that this host has ordered to change their stage.
	switching atomic.Pointer[[]model.BackendID]
	// evacuated are the data centres that are evacuated, ordered by name.
	evacuated       atomic.Pointer[[]model.DataCentreID]
	lostEvacuations lostEvacuations
	era             eraObserver
	// rewriteEntry holds a value if the host's entry in the store is to be written again.
	rewriteEntry chan struct{}
	// configurationMu serialises applyConfiguration and applyEvacuations, so that records
	// are not applied out of order.
	configurationMu sync.Mutex
	// appliedOffset is the offset after the last record of the configuration that
	// applyConfiguration has handled.
	appliedOffset atomic.Uint64
	// reportedWindows are the usage windows that this host has reported as the holder.
	reportedWindows map[int64]bool
	// lastDeposit is when counts were last written to the log of the duties.
	lastDeposit time.Time
	// leaseLapsed is set while this host has claimed the duties and may not act.
	leaseLapsed bool
	orderState  *orderState
	// demand is the prefill demand by service. Only the goroutine of runDuties uses it.
	demand map[model.PoolName]*fleetplan.Demand
	policy fleetplan.Policy
}

// Shares of the process's memory for bytes from outside, all requests together. With them,
// the heap stays below memoryShare.
const (
	responseMemoryShare = 0.15
	requestMemoryShare  = 0.25
	// defaultMemoryBytes is assumed where the platform states no memory limit: that of the
	// smallest hosts.
	defaultMemoryBytes = 184 << 20
)

// memoryBudget returns a share of the process's memory as a budget.
func memoryBudget(s *Settings, share float64) *membudget.Budget {
	memory := s.MemoryBytes
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	return membudget.New(int64(share * float64(memory)))
}

// New returns a host that is started by Run.
func New(s *Settings, p Platform, dialect gateway.Dialect, log *zap.Logger) (*Host, error) {
	responseMemory := memoryBudget(s, responseMemoryShare)
	poolSettings := upstream.DefaultSettings()
	poolSettings.Memory = responseMemory
	h := &Host{
		settings: s, log: log,
		self: mesh.Member{
			Host: string(s.Host), Incarnation: ulid.Make().String(), Address: s.PeersAddress,
			DataCentre: string(s.DataCentre), Bandwidth: s.Bandwidth,
		},
		clock:           truetime.New(truetime.System()),
		tables:          map[string]*mirror.Table{},
		followers:       map[string]*mirror.Follower{},
		pool:            upstream.NewPool(poolSettings),
		gatherer:        prometheus.NewRegistry(),
		reportedWindows: map[int64]bool{},
		orderState:      newOrderState(),
		demand:          map[model.PoolName]*fleetplan.Demand{},
		policy:          fleetplan.DefaultPolicy(),
	}
	h.calls = newCountedPlatform(p, h.gatherer)
	h.platform = h.calls
	h.quota = quota.NewLimiter(time.Now(), h.quotaLimits, h.maxLiveHosts, h.settings.QuotaSlack)
	h.switching.Store(&[]model.BackendID{})
	h.evacuated.Store(&[]model.DataCentreID{})
	h.successor.Store(new(string))
	h.rewriteEntry = make(chan struct{}, 1)
	h.metrics = newHostMetrics(h.gatherer)
	h.gatherer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "redwingpath_configuration_age_seconds", Help: "Time since the configuration in force was last known to be the newest."},
		func() float64 { return h.configurationAge().Seconds() }))
	h.usage = usagewindow.New(s.UsageWindow, h.clock.Now)
	placementSettings := placement.DefaultSettings()
	placementSettings.DataCentre = s.DataCentre
	placementSettings.ColdOvershoot, placementSettings.ColdSlack = s.ColdOvershoot, s.ColdSlack
	h.fleet = placement.NewFleet(placementSettings)
	h.registry = &registry{
		platform: p, fleet: h.fleet, catalog: h.catalog.Load,
		newest: func(key string) (mirror.Record, bool) { return h.tables[TopicBackends].Newest(key) },
		log:    log, entries: map[string]*registryEntry{},
		invalidateConnections: func(address string) { h.pool.Invalidate(address) }, countUnreadable: h.metrics.unreadableRecords.Inc,
		wakeMesh: func() { h.mesh.Wake() },
	}
	h.duties = &duty.Elector{
		Host: h.self.Host, Incarnation: h.self.Incarnation, Log: h.calls.DutyLog(), Logger: log, Elapsed: truetime.System().Boot,
		Rank: func() int { return h.mesh.Rank() }, Fixable: h.fixableWindow,
	}
	h.addFollower(TopicConfiguration, configurationWait, 0)
	h.addFollower(TopicBackends, 0, backendsInterval)
	if err := h.newMesh(); err != nil {
		return nil, err
	}
	gatewaySettings := gateway.DefaultSettings()
	gatewaySettings.RetryRatio = retryShare * s.RetryRatio
	gatewaySettings.RetryWindow = s.RetryWindow
	gatewaySettings.RetryStartup = s.RetryWindow
	gatewaySettings.StartupRetryRatio = startupRetryShare * s.RetryRatio
	gatewaySettings.MaxDenialAge = maxDenialAge(s.ConfigurationBound)
	h.gateway = gateway.New(gatewaySettings, gateway.Deps{
		ResponseMemory: responseMemory, RequestMemory: memoryBudget(s, requestMemoryShare),
		Catalog: h.catalog.Load, ConfigurationAge: h.configurationAge, Fleet: h.fleet, Pool: h.pool, Dialect: dialect,
		Limiter: h.quota, Usage: h.usage, Metrics: gateway.NewMetrics(h.gatherer), Log: log,
	})
	h.updateRetrySlack()
	return h, nil
}
