package edgehost

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
	"github.com/redwingpath/redwingpath/pkg/duty"
	"github.com/redwingpath/redwingpath/pkg/fleetplan"
	"github.com/redwingpath/redwingpath/pkg/gateway"
	"github.com/redwingpath/redwingpath/pkg/mesh"
	"github.com/redwingpath/redwingpath/pkg/mirror"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/quota"
	"github.com/redwingpath/redwingpath/pkg/truetime"
	"github.com/redwingpath/redwingpath/pkg/upstream"
	"github.com/redwingpath/redwingpath/pkg/usagewindow"
)

// gcPercent lets the heap, which is some 10 MB, triple between collections: a
// collection takes a small host's processor for tens of milliseconds.
const gcPercent = 200

// memoryShare is the part of the process's memory that the garbage collector
// keeps to; the rest is for buffers of the kernel and the C library.
const memoryShare = 0.7

// Host is one host.
type Host struct {
	settings *Settings
	log      *zap.Logger
	platform Platform
	self     mesh.Member

	clock    *truetime.Clock
	catalog  atomic.Pointer[catalog.Catalog]
	tables   map[string]*mirror.Table
	follower map[string]*mirror.Follower
	registry *registry
	fleet    *placement.Fleet
	pool     *upstream.Pool
	quota    *quota.Book
	usage    *usagewindow.Counter
	duties   *duty.Keeper
	mesh     *mesh.Mesh
	gateway  *gateway.Gateway
	metrics  *hostMetrics
	gatherer *prometheus.Registry

	suspects suspectBook
	// stopping is set once a graceful stop has begun.
	stopping atomic.Bool
	// saidReady is the last answer to the load balancer.
	saidReady atomic.Bool
	// switching are the engines that this host has ordered to change their stage.
	switching atomic.Pointer[[]model.BackendID]
	// configMu keeps configurations from being applied out of order.
	configMu sync.Mutex
	reported map[int64]bool
	// deposited is when the counts were last kept in the log.
	deposited time.Time
	orders    *orders
	policy    fleetplan.Policy
}

// New assembles a host.
func New(s *Settings, p Platform, dialect gateway.Dialect, log *zap.Logger) (*Host, error) {
	h := &Host{
		settings: s, log: log, platform: p,
		self:     mesh.Member{Host: string(s.Host), Incarnation: ulid.Make().String(), Address: s.Peers, DataCentre: string(s.DataCentre)},
		clock:    truetime.New(truetime.System()),
		tables:   map[string]*mirror.Table{},
		follower: map[string]*mirror.Follower{},
		pool:     upstream.NewPool(upstream.DefaultSettings()),
		gatherer: prometheus.NewRegistry(),
		reported: map[int64]bool{},
		orders:   newOrders(),
		policy:   fleetplan.DefaultPolicy(),
	}
	h.quota = quota.NewBook(time.Now(), h.quotaOf)
	h.switching.Store(&[]model.BackendID{})
	h.metrics = newHostMetrics(h.gatherer)
	h.usage = usagewindow.New(s.UsageWindow, h.clock.Now)
	placing := placement.DefaultSettings()
	placing.DataCentre = s.DataCentre
	h.fleet = placement.NewFleet(placing)
	h.registry = &registry{
		platform: p, fleet: h.fleet, catalog: h.catalog.Load, log: log, entries: map[string]*registered{},
		forget: func(address string) { h.pool.Condemn(address) }, bad: h.metrics.badRecords.Inc,
		kick: func() { h.mesh.Kick() },
	}
	h.duties = &duty.Keeper{Host: h.self.Host, Incarnation: h.self.Incarnation, Log: p.DutyLog(), Logger: log}
	h.follow(TopicConfiguration, configurationWait, 0)
	h.follow(TopicBackends, 0, backendsInterval)
	if err := h.newMesh(); err != nil {
		return nil, err
	}
	serving := gateway.DefaultSettings()
	serving.RetryRatio = retryShare * s.RetryRatio
	serving.RetryWindow = s.RetryWindow
	h.gateway = gateway.New(serving, gateway.Deps{
		Catalog: h.catalog.Load, Fleet: h.fleet, Pool: h.pool, Dialect: dialect,
		Limiter: h.quota, Usage: h.usage, Metrics: gateway.NewMetrics(h.gatherer), Log: log,
	})
	return h, nil
}

// Timing of the reads of the store.
const (
	// configurationWait is how long a read waits for a new configuration. Peers of
	// a host that reads for them know from its end that the store still answers.
	configurationWait = 600 * time.Millisecond
	// backendsInterval is the pause between reads of the registrations, a quarter
	// of the time in which a leaving server must get no more work.
	backendsInterval = 500 * time.Millisecond
	// retryShare is the part of the budget of resends that hosts use.
	retryShare = 0.8
)

func (h *Host) follow(topic string, wait, interval time.Duration) {
	var same func(old, new []byte) bool
	if topic == TopicBackends {
		same = h.sameRegistration
	}
	table := mirror.NewTable(same)
	h.tables[topic] = table
	f := &mirror.Follower{
		Topic: topic, Table: table, Store: h.platform, Wait: wait, Interval: interval, Log: h.log,
		Idle: func() bool { return h.keptUpToDate(table) },
		Changed: func(records []mirror.Record) {
			h.changed(topic, records)
			if topic == TopicConfiguration {
				h.mesh.Kick()
			}
		},
		Lost: func(err error) {
			h.log.Warn("store lost", zap.String("topic", topic), zap.Error(err))
			h.metrics.storeUp.WithLabelValues(topic).Set(0)
		},
		Back: func() {
			h.log.Info("store answers", zap.String("topic", topic))
			h.metrics.storeUp.WithLabelValues(topic).Set(1)
		},
	}
	h.follower[topic] = f
}

// sameRegistration tells whether two entries of a backend server differ in nothing
// but their heartbeat.
func (h *Host) sameRegistration(old, new []byte) bool {
	a, errA := h.platform.Backend("", old)
	b, errB := h.platform.Backend("", new)
	return errA == nil && errB == nil && a == b
}

// keptAge is the age beyond two exchanges from which a table that peers keep up to
// date counts as out of date: the time between two reads of theirs.
const keptAge = 600 * time.Millisecond

// keptUpToDate tells whether another host reads the store for this one.
func (h *Host) keptUpToDate(table *mirror.Table) bool {
	return !h.mesh.Reader() && time.Since(table.Heard()) < keptAge+2*h.mesh.Interval()
}

// changed applies records that came from the store or from a peer.
func (h *Host) changed(topic string, records []mirror.Record) {
	switch topic {
	case TopicConfiguration:
		h.configure()
	case TopicBackends:
		h.registry.hear(h.tables[topic].Heard())
		h.registry.apply(records, time.Now())
	}
}

// configurationKey is the key of the configuration in its topic.
const configurationKey = "config"

// configure puts the newest configuration in force. Versions only go up.
func (h *Host) configure() {
	h.configMu.Lock()
	defer h.configMu.Unlock()
	record, ok := h.tables[TopicConfiguration].Get(configurationKey)
	if !ok {
		return
	}
	config, err := h.platform.Configuration(record.Value)
	if err != nil {
		h.metrics.badRecords.Inc()
		h.log.Error("the configuration is not readable; the last one stays in force", zap.Error(err))
		return
	}
	current := h.catalog.Load()
	if current != nil && config.Version <= current.Version {
		return
	}
	next := catalog.New(config)
	h.catalog.Store(next)
	h.metrics.version.Set(float64(config.Version))
	keys := 0
	for _, o := range config.Organisations {
		keys += len(o.Keys)
	}
	h.log.Info("configuration in force", zap.Uint64("version", config.Version), zap.Uint64("offset", record.Offset),
		zap.Int("routes", len(config.Routes)), zap.Int("organisations", len(config.Organisations)), zap.Int("keys", keys))
	h.registry.refresh()
}

func (h *Host) newMesh() error {
	var err error
	h.mesh, err = mesh.New(mesh.Deps{
		Self: h.self, Seeds: h.settings.Seeds,
		Topics:  h.tables,
		Compose: h.compose,
		Heard:   h.heard,
		Clock: func(peer string, theirs, ours time.Time) {
			if d := h.clock.Observe(peer, theirs, ours); d != 0 {
				h.log.Warn("time of day corrected by the peers", zap.Duration("by", d))
			}
		},
		Now:     h.clock.Now,
		Changed: h.changed,
		Lost: func(host string) {
			h.log.Warn("peer lost", zap.String("peer", host))
			h.fleet.Forget(host)
			h.shareSlack()
		},
		Back: func(host string) {
			h.log.Info("peer heard", zap.String("peer", host))
			h.quota.Peer(host, time.Now())
			h.shareSlack()
		},
		Log: h.log,
	}, h.settings.Peers)
	return err
}

// compose fills in what this host tells its peers.
func (h *Host) compose(m *mesh.Message) {
	m.Load = h.fleet.Report()
	m.Admitted = h.quota.Admitted()
	m.Counts = h.usage.Lines()
	if fence, mine := h.duties.Mine(); mine {
		m.Holding = mesh.Holding{Holder: h.self.Host, Fence: fence}
		m.Switching = *h.switching.Load()
	}
	m.Suspects = h.gateway.Suspects()
}

// heard takes a peer's message.
func (h *Host) heard(m *mesh.Message) {
	now := time.Now()
	host := m.From.Host
	h.fleet.Hear(host, m.Load, now)
	h.usage.Hear(host, m.From.Incarnation, m.Counts, m.Now)
	if m.Holding.Holder == host && !m.From.Stopped {
		h.duties.Hear(host, m.Holding.Fence, now)
		h.fleet.SetSwitching(m.Switching)
	}
	h.gateway.HearSuspects(h.suspects.take(host, m.Suspects))
	if m.From.Stopped {
		h.quota.Leave(host)
		h.fleet.Forget(host)
		h.log.Info("peer stopped", zap.String("peer", host))
		return
	}
	h.quota.Hear(host, m.From.Incarnation, m.Admitted, now)
}

// shareSlack gives this host its part of the slack of resends. The part is for
// the largest number of hosts that may be alive.
func (h *Host) shareSlack() {
	hosts := max(h.mesh.Known()+1, slackHostsLeast)
	h.gateway.SetRetrySlack(retryShare * h.settings.RetrySlack / float64(hosts))
}

// slackHostsLeast is the number of hosts among which the slack is divided before
// all were met.
const slackHostsLeast = 8

// quotaOf is an organisation's quota in the configuration in force.
func (h *Host) quotaOf(org model.OrganisationID) quota.Limits {
	c := h.catalog.Load()
	if c == nil {
		return quota.Limits{}
	}
	o := c.Organisation(org)
	if o == nil {
		return quota.Limits{}
	}
	return quota.Limits{Rate: o.Rate, Burst: o.Burst}
}

// Run serves until ctx ends, and then stops gracefully. reload re-reads the
// settings; it may be nil.
func (h *Host) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(h.settings.MemoryBytes)))
	h.log.Info("host starts", zap.String("host", h.self.Host), zap.String("incarnation", h.self.Incarnation),
		zap.String("data_centre", string(h.settings.DataCentre)), zap.Strings("seeds", h.settings.Seeds))
	listener, err := net.Listen("tcp", h.settings.Callers)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	callers := h.gateway.NewServer()
	go func() { _ = callers.Serve(listener) }()
	if err := h.listenInternal(); err != nil {
		return err
	}
	// The parts below go on until callers are served to the end.
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	for _, f := range h.follower {
		group.Go(func() { f.Run(background) })
	}
	group.Go(func() { h.mesh.Run(background) })
	group.Go(func() { h.introduce(background) })
	group.Go(func() { h.runDuties(background) })
	group.Go(func() { h.sweep(background) })

	<-ctx.Done()
	h.stop(callers)
	stop()
	group.Wait()
	h.pool.Close()
	h.log.Info("host stopped")
	return nil
}

// Parts of the grace of a stop.
const (
	// routedShare is the part in which the load balancer still sends callers.
	routedShare = 0.29
	// finishShare is the part by which running requests are ended.
	finishShare = 0.9
)

// stop serves what was begun and what the load balancer still sends.
func (h *Host) stop(callers *http.Server) {
	started := time.Now()
	h.stopping.Store(true)
	h.gateway.Stop()
	h.log.Info("host stops", zap.Int64("running", h.gateway.Running()))
	time.Sleep(time.Duration(routedShare * float64(h.settings.Grace)))
	until := started.Add(time.Duration(finishShare * float64(h.settings.Grace)))
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		h.log.Warn("requests were still running at the end of the grace", zap.Int64("running", h.gateway.Running()), zap.Error(err))
	}
}

// ready tells whether the host can serve callers.
func (h *Host) ready() bool {
	return !h.stopping.Load() && h.catalog.Load() != nil && h.registry.count() > 0
}

// listenInternal opens the listeners for readiness and metrics.
func (h *Host) listenInternal() error {
	listener, err := net.Listen("tcp", h.settings.Readiness)
	if err != nil {
		return eris.Wrap(err, "listen for readiness")
	}
	go h.serveReadiness(listener)
	if h.settings.Metrics == "" {
		return nil
	}
	listener, err = net.Listen("tcp", h.settings.Metrics)
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", promhttp.HandlerFor(h.gatherer, promhttp.HandlerOpts{}))
	metrics.HandleFunc("/state", h.dumpState)
	go func() { _ = http.Serve(listener, metrics) }()
	return nil
}

// dumpState writes the state of the process.
func (h *Host) dumpState(w http.ResponseWriter, _ *http.Request) {
	holder, fence := h.duties.Holding()
	state := map[string]any{
		"host": h.self, "ready": h.ready(), "stopping": h.stopping.Load(), "members": h.mesh.Live(),
		"backends": h.fleet.List(), "holder": holder, "fence": fence, "now": h.clock.Now(),
	}
	if c := h.catalog.Load(); c != nil {
		state["configuration"] = c.Version
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		h.log.Debug("the state was not written", zap.Error(err))
	}
}

// Timing of the host's own entry in the store.
const (
	introduceTimeout = time.Second
	introduceRetry   = 700 * time.Millisecond
	// membersInterval is the pause between reads of the list of hosts. Peers
	// introduce new hosts besides.
	membersInterval = 30 * time.Second
)

// introduce writes the host's address to the store and reads those of others.
func (h *Host) introduce(ctx context.Context) {
	written := false
	for ctx.Err() == nil {
		pause := membersInterval
		if !written {
			written = h.writeEntry(ctx, h.self)
		}
		if !h.readEntries(ctx) || !written {
			pause = introduceRetry + rand.N(introduceRetry)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (h *Host) writeEntry(ctx context.Context, m mesh.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	raw, err := json.Marshal(m)
	if err == nil {
		err = h.platform.Put(ctx, TopicHosts, m.Host, raw)
	}
	if err != nil {
		h.log.Info("the host's entry was not written", zap.Error(err))
	}
	return err == nil
}

func (h *Host) readEntries(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	records, _, err := h.platform.Newest(ctx, TopicHosts)
	if err != nil {
		h.log.Info("the list of hosts was not read", zap.Error(err))
		return false
	}
	var members []mesh.Member
	for _, r := range records {
		var m mesh.Member
		if err := json.Unmarshal(r.Value, &m); err != nil {
			h.metrics.badRecords.Inc()
			h.log.Warn("a host's entry is not readable", zap.String("key", r.Key), zap.Error(err))
			continue
		}
		members = append(members, m)
	}
	h.mesh.Introduce(members)
	return len(members) > 1
}

// sweepInterval is the pause between rounds of clearing up.
const sweepInterval = 400 * time.Millisecond

// summaryInterval is the pause between log lines on the load of the engines.
const summaryInterval = 2 * time.Second

// summarise logs what the host believes of the engines' load.
func (h *Host) summarise(now time.Time) {
	for _, s := range h.fleet.Summaries(now) {
		h.log.Info("engine load", zap.String("service", string(s.Service)),
			zap.Int("prefill_engines", s.Prefillers), zap.Int("decode_engines", s.Decoders),
			zap.Float64("prefill_tokens_per_ms", s.PrefillRate), zap.Float64("decode_tokens_per_ms", s.DecodeRate),
			zap.Duration("prefill_wait", s.PrefillWait), zap.Duration("decode_wait", s.DecodeWait),
			zap.Int("running", s.Running), zap.Int("slots", s.Slots), zap.Int("suspects", s.Suspects))
	}
}

func (h *Host) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-summary.C:
			h.summarise(now)
		case now := <-ticker.C:
			h.registry.hear(h.tables[TopicBackends].Heard())
			h.registry.sweep(now)
			h.pool.Sweep(now)
			for _, t := range h.tables {
				t.Trim(now)
			}
			h.metrics.connections.Set(float64(h.pool.Opened()))
		}
	}
}
