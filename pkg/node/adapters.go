package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/admission"
	"github.com/redwingpath/redwingpath/pkg/entry"
	"github.com/redwingpath/redwingpath/pkg/fleet"
	"github.com/redwingpath/redwingpath/pkg/freshness"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/orders"
	"github.com/redwingpath/redwingpath/pkg/peer"
	"github.com/redwingpath/redwingpath/pkg/rate"
	"github.com/redwingpath/redwingpath/pkg/ratelimit"
	"github.com/redwingpath/redwingpath/pkg/routing"
	"github.com/redwingpath/redwingpath/pkg/settings"
	"github.com/redwingpath/redwingpath/pkg/state"
	"github.com/redwingpath/redwingpath/pkg/telemetry"
)

// admissionAdapter implements the request handler's admission interface with the
// admission controller, and passes it the organisations' configured weights.
type admissionAdapter struct {
	controller *admission.Controller
	view       func() state.View
}

func (a admissionAdapter) Admit(r *routing.Request, d routing.Decision, now time.Time) entry.Verdict {
	if org, _, ok := a.view().Organisation(r.Organisation); ok {
		a.controller.SetWeight(r.Organisation, org.Weight)
	}
	v := a.controller.Admit(r, d, now)
	return entry.Verdict{OK: v.OK, Priority: v.Priority, RetryAfter: v.RetryAfter, Reason: v.Reason}
}

func (a admissionAdapter) Done(org model.OrganisationID, promptTokens, outputTokens int, now time.Time) {
	a.controller.Done(org, promptTokens, outputTokens, now)
}

// metricsAdapter implements the request handler's metrics interface.
type metricsAdapter struct {
	metrics *telemetry.Metrics
}

func (a metricsAdapter) Count(c entry.Counter, n int64) {
	a.metrics.Counter(string(c)).Add(float64(n))
}

func (a metricsAdapter) CountError(code model.ErrorCode) { a.metrics.CountError(code) }

func (a metricsAdapter) Observe(t entry.Timing, d time.Duration) {
	switch t {
	case entry.TimeFirstToken:
		a.metrics.FirstToken.Observe("", "", d)
	case entry.TimeRequest:
		a.metrics.RequestLatency.Observe("", "", d)
	}
}

// Names of this package's RPC services and methods.
const (
	rateService  = "Rate"
	methodGrant  = rateService + ".Grant"
	crashService = "Crash"
	methodCrash  = crashService + ".Note"
)

// rateRPC is the RPC service that serves rate grants to other hosts.
type rateRPC struct {
	limiter *ratelimit.Service
}

// Grant responds to a request for a rate grant. Its signature is that of net/rpc.
func (r *rateRPC) Grant(request rate.Request, reply *rate.Reply) error {
	*reply = r.limiter.Grant(request)
	return nil
}

func (n *node) rateDependencies() ratelimit.Dependencies {
	t := n.settings.Timings
	return ratelimit.Dependencies{
		Key:   rate.HostKey{Host: n.settings.Host.ID, Incarnation: n.incarnation},
		Terms: rateTerms(&t),
		Holds: func(name model.ShardName) (ratelimit.Holding, bool) {
			fence, ok := n.control.Holds(name)
			if !ok {
				return ratelimit.Holding{}, false
			}
			shard, found := n.shardHolder(name)
			current := found && shard.Fence == fence
			return ratelimit.Holding{
				Fence:      fence,
				First:      current && shard.Predecessor == 0,
				HandedOver: current && shard.HandedOver,
			}, true
		},
		Coordinator: func(name model.ShardName) (model.HostID, model.Offset, bool) {
			shard, ok := n.shardHolder(name)
			return shard.Host, shard.Fence, ok
		},
		Limits: func(id model.OrganisationID) (rate.Limits, bool) {
			org, _, ok := n.control.Snapshot().Organisation(id)
			return rate.Limits{Rate: org.Rate, Burst: org.Burst}, ok
		},
		Failed: func(org model.OrganisationID, reason string) {
			n.metrics.Counter("rate: " + reason).Add(1)
			n.log.Debug("no rate grant", zap.String("organisation", string(org)), zap.String("reason", reason))
		},
		Call: func(ctx context.Context, host model.HostID, r rate.Request) (rate.Reply, error) {
			return callHost[rate.Reply](ctx, n, host, methodGrant, r)
		},
	}
}

func rateTerms(t *settings.Timings) rate.Terms {
	terms := rate.DefaultTerms()
	terms.Freshness = freshness.Limit
	terms.Grant = t.GrantTerm
	return terms
}

// callHost calls an RPC method of another host. It fails with
// peer.ErrUnreachable if the host is not a member.
func callHost[R any](ctx context.Context, n *node, host model.HostID, method string, args any) (R, error) {
	address, ok := n.memberAddress(host)
	if !ok {
		var zero R
		return zero, peer.ErrUnreachable
	}
	return peer.Call[R](ctx, n.peers, address, method, args)
}

// crashRPC is the RPC service that receives crash reports from other hosts.
type crashRPC struct {
	handler *entry.Handler
}

// Note records a crash that another host reports. Its signature is that of
// net/rpc.
func (c *crashRPC) Note(crash entry.Crash, _ *struct{}) error {
	c.handler.RecordPeerCrash(crash)
	return nil
}

// broadcastCrash reports a crash to all other members. The log carries the crash
// as well; direct calls are faster and work while the log is down.
func (n *node) broadcastCrash(c entry.Crash) {
	for _, m := range n.control.Snapshot().Members() {
		if m.Host == n.settings.Host.ID {
			continue
		}
		go func() {
			_, _ = peer.Call[struct{}](context.Background(), n.peers, m.PeerAddress, methodCrash, c)
		}()
	}
}

func (n *node) fleetDependencies() fleet.Dependencies {
	executor := orders.New(orders.Config{
		Host: n.settings.Host.ID, Incarnation: n.incarnation,
		Authority: n.control, Appender: n.control.Writer(),
		Engines: orders.NewEngines(n.engines), Fleet: n.platform.fleet,
		Locate: n.locate, Journal: n.journal,
	})
	return fleet.Dependencies{
		Region: n.settings.Host.Region, Interval: n.settings.Scheduling.PlanInterval,
		View: n.control.Snapshot, Holds: n.control.Holds,
		LatestList: n.fleetView.LatestList, State: n.fleetView.State, Backends: n.table.Backends,
		FetchCounts: func(ctx context.Context, host model.HostID) (fleet.CountsReply, error) {
			if host == n.settings.Host.ID {
				var reply fleet.CountsReply
				err := n.load.Counts(fleet.CountsArgs{}, &reply)
				return reply, err
			}
			return callHost[fleet.CountsReply](ctx, n, host, fleet.MethodCounts, fleet.CountsArgs{Host: n.settings.Host.ID})
		},
		Weights: n.platform.weights.Weights,
		ApplyConfig: func(ctx context.Context, operator string, changes []logrec.Change) error {
			_, err := n.control.ApplyConfig(ctx, operator, changes)
			return err
		},
		OrderExecutor: executor,
		RoleChanged: func(pool model.PoolName) {
			n.metrics.RoleChanges.With("pool", string(pool)).Add(1)
		},
		Journal: n.journal, Log: n.log,
	}
}

// locate returns where an engine receives orders; false before the first list of
// backend servers. An engine that is no longer listed is reported as gone.
func (n *node) locate(id model.BackendID) (orders.Location, bool) {
	list, at := n.fleetView.LatestList()
	if at.IsZero() {
		return orders.Location{}, false
	}
	for _, b := range list.Backends {
		if b.ID != id {
			continue
		}
		pool, _, _ := n.control.Snapshot().Pool(b.Pool)
		return orders.Location{URL: b.URL, ChecksFencing: pool.ChecksFencing, Gone: b.State == "gone"}, true
	}
	return orders.Location{Gone: true}, true
}
