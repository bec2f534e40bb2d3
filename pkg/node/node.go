// Package node assembles one entry host from the other packages.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/admission"
	"github.com/redwingpath/redwingpath/pkg/authority"
	"github.com/redwingpath/redwingpath/pkg/callers"
	"github.com/redwingpath/redwingpath/pkg/control"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/entry"
	"github.com/redwingpath/redwingpath/pkg/fleet"
	"github.com/redwingpath/redwingpath/pkg/fleetview"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/operator"
	"github.com/redwingpath/redwingpath/pkg/peer"
	"github.com/redwingpath/redwingpath/pkg/ratelimit"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/settings"
	"github.com/redwingpath/redwingpath/pkg/state"
	"github.com/redwingpath/redwingpath/pkg/telemetry"
	"github.com/redwingpath/redwingpath/pkg/tlsconf"
	"github.com/redwingpath/redwingpath/pkg/usage"
)

// historyEntries is the number of recent configuration changes that history
// and conflict errors can show.
const historyEntries = 4096

// Run serves until the context ends, and then shuts down gracefully.
func Run(ctx context.Context, s *settings.Settings, log *zap.Logger) error {
	n, err := newNode(s, log)
	if err != nil {
		return err
	}
	return n.run(ctx)
}

// node is one entry host.
type node struct {
	settings    *settings.Settings
	log         *zap.Logger
	incarnation model.Incarnation
	journal     *journal.Journal
	metrics     *telemetry.Metrics

	platform platformClients
	engines  *engine.Client
	peers    *peer.Client
	rpc      *peer.Server
	control  *control.Control

	table     *routing.Table
	admission *admission.Controller
	limiter   *ratelimit.Service
	fleetView *fleetview.View
	load      *fleet.Counter
	fleet     *fleet.Manager
	usage     *usage.Accumulator
	flusher   *usage.Flusher

	callerTLS   *tlsconf.Source
	operatorTLS *tlsconf.Source
	peerTLS     *tlsconf.Source

	handler   *entry.Handler
	callers   *callers.Server
	operators net.Listener
	history   *operator.History
	// stopping is set once a graceful shutdown begins.
	stopping atomic.Bool
	// coordinatorsSeen is set once all rate shards were found to have holders.
	coordinatorsSeen atomic.Bool
}

func newNode(s *settings.Settings, log *zap.Logger) (*node, error) {
	n := &node{
		settings:    s,
		log:         log,
		incarnation: model.Incarnation(ulid.Make().String()),
		journal:     journal.New(s.Logging.JournalEntries),
		history:     operator.NewHistory(historyEntries),
		metrics:     telemetry.New(),
		admission:   admission.NewController(admissionSettings(s)),
		table:       routing.NewTable(routingSettings(s)),
	}
	n.platform = newPlatformClients(&s.Platform)
	n.engines = engine.NewClient(engine.DefaultClientSettings(), engine.NewTransports(engine.DefaultTransportSettings()))
	if err := n.loadCertificates(); err != nil {
		return nil, err
	}
	n.peers = peer.NewClient(peer.ClientConfig{CallTimeout: s.Timings.PeerTimeout, TLS: n.peerTLS.Client})
	n.control = control.New(n.controlConfig())
	n.usage = usage.NewAccumulator()
	n.flusher = usage.NewFlusher(n.usage, n.control.Writer(), s.Timings.UsageFlush, log)
	n.load = fleet.NewCounter(n.incarnation)
	n.limiter = ratelimit.New(n.rateDependencies())
	n.fleetView = fleetview.New(fleetViewSettings(s), n.platform.fleet, n.engines, n.table, n.control.Snapshot,
		observer{n}, n.journal, log)
	n.fleet = fleet.New(n.fleetDependencies(), plannerSettings(s))
	if err := n.newHandler(); err != nil {
		return nil, err
	}
	return n, n.listen()
}

func (n *node) controlConfig() control.Config {
	s := n.settings
	return control.Config{
		Host: s.Host.ID, Incarnation: n.incarnation, Region: s.Host.Region, DataCentre: s.Host.DataCentre,
		PeerAddress: s.Listen.PeerAdvertised,
		Log:         n.platform.log, Fleet: n.platform.fleet, Usage: n.platform.usage, Peers: n.peers,
		Rules:            authority.Rules{LeaseTime: s.Timings.Lease, MaxTickGap: s.Timings.LeaseMargin},
		Tick:             s.Timings.Tick,
		ReadWait:         s.Timings.LogPoll,
		AppendsPerSecond: float64(time.Second) / float64(s.Timings.LogBatch),
		UsageWindow:      s.Timings.UsageWindow,
		CheckpointEvery:  min(s.Timings.CheckpointInterval, s.Timings.LogRetention/2),
		OnEntryApplied:   n.recordHistory,
		Journal:          n.journal,
		Logger:           n.log,
	}
}

func (n *node) newHandler() error {
	handler, err := entry.New(entrySettings(n.settings), entry.Deps{
		View:           n.control.Snapshot,
		Fresh:          n.control.Fresh,
		Router:         fleet.CountingRouter{Router: n.table, Counter: n.load},
		Limiter:        n.limiter,
		Admission:      admissionAdapter{n.admission, n.control.Snapshot},
		Writer:         n.control.Writer(),
		Usage:          n.usage,
		Engines:        n.engines,
		BroadcastCrash: n.broadcastCrash,
		Journal:        n.journal,
		Metrics:        metricsAdapter{n.metrics},
		Log:            n.log,
	})
	n.handler = handler
	return err
}

// listen opens all listeners before the node runs, so that an address in use is
// reported at startup.
func (n *node) listen() error {
	var err error
	server := entry.NewServer(n.handler, entrySettings(n.settings))
	n.callers, err = callers.Listen(n.settings.Listen.Callers, server, func(l net.Listener) net.Listener {
		return wrapListener(l, n.callerTLS, n.settings.Limits.Connections)
	})
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", n.settings.Listen.Operators)
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	n.operators = wrapListener(operators, n.operatorTLS, 0)
	if n.rpc, err = peer.NewServer(n.control, n.peerTLS.Server()); err != nil {
		return err
	}
	services := map[string]any{
		rateService:       &rateRPC{limiter: n.limiter},
		fleet.LoadService: n.load,
		crashService:      &crashRPC{handler: n.handler},
	}
	for name, receiver := range services {
		if err := n.rpc.Register(name, receiver); err != nil {
			return err
		}
	}
	_, err = n.rpc.Listen(n.settings.Listen.Peers)
	return err
}

// observer forwards backend server events from the fleet view to the request
// handler. It refers to the node because the handler is created after the view.
type observer struct {
	node *node
}

func (o observer) BackendLeaving(id model.BackendID, deadline time.Time) {
	o.node.handler.BackendLeaving(id, deadline)
}

func (o observer) Ready() bool { return o.node.control.Ready() }

func (o observer) BackendStaying(id model.BackendID) { o.node.handler.BackendStaying(id) }

// randomSeed returns a different seed on each host, so that hosts with the same
// load reports do not all sample the same candidate backend servers.
func randomSeed() uint64 { return rand.Uint64() }

// memberAddress returns the peer address of a host, and whether the host is a
// member.
func (n *node) memberAddress(host model.HostID) (string, bool) {
	m, ok := n.control.Tables().Member(host)
	return m.PeerAddress, ok
}

// shardHolder returns a shard's record, and whether the shard has a holder.
func (n *node) shardHolder(name model.ShardName) (state.Shard, bool) {
	s, ok := n.control.Snapshot().Shard(name)
	return s, ok && s.Host != ""
}
