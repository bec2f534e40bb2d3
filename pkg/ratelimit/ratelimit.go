// Package ratelimit connects the rate division of package rate to the host: it
// replies to grant requests for the shards that this host coordinates and sends
// grant requests to the coordinators of the others.
package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/rate"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Holding describes a shard that this host holds and may act for.
type Holding struct {
	Fence model.Offset
	// First is set if no host held the shard before.
	First bool
	// HandedOver is set if the previous holder stopped acting and released the
	// shard.
	HandedOver bool
}

// Dependencies are what a Service uses of the host. All functions must be safe
// for concurrent use.
type Dependencies struct {
	Key   rate.HostKey
	Terms rate.Terms
	// Holds reports whether this host may act for the shard now. It must check
	// freshness at the time of the call.
	Holds func(shard model.ShardName) (Holding, bool)
	// Coordinator returns the current holder of a shard.
	Coordinator func(shard model.ShardName) (host model.HostID, fence model.Offset, ok bool)
	// Limits returns the limits in force, or false for an unknown organisation.
	Limits func(org model.OrganisationID) (rate.Limits, bool)
	// Call sends a request to the coordinator on another host.
	Call func(ctx context.Context, host model.HostID, r rate.Request) (rate.Reply, error)
	// Failed is called when a grant request fails, with a short reason. It may be
	// nil.
	Failed func(org model.OrganisationID, reason string)
	// MaxWait is how long Take waits for the coordinator. 0 means 250 ms.
	MaxWait time.Duration
}

// defaultMaxWait covers a round trip between data centres and one lost message.
const defaultMaxWait = 250 * time.Millisecond

// renewCheckInterval is how often Run checks which grants and leases to renew.
const renewCheckInterval = 50 * time.Millisecond

// unreachableRetryAfter is the retry time for callers when the coordinator does
// not reply.
const unreachableRetryAfter = time.Second

// Service implements rate.Limiter. It is safe for concurrent use.
type Service struct {
	deps   Dependencies
	shards map[model.ShardName]*shard
}

// shard holds the state of the organisations that hash to one shard.
type shard struct {
	name model.ShardName

	mu          sync.Mutex
	host        *rate.Host
	coordinator *rate.Coordinator
	// inFlight holds for each open grant request a channel that is closed when
	// the request ends.
	inFlight map[model.OrganisationID]chan struct{}
}

// New returns a service without grants and leases.
func New(deps Dependencies) *Service {
	if deps.MaxWait <= 0 {
		deps.MaxWait = defaultMaxWait
	}
	s := &Service{deps: deps, shards: make(map[model.ShardName]*shard)}
	for _, name := range state.OrgShardNames() {
		s.shards[name] = &shard{
			name:     name,
			host:     rate.NewHost(deps.Key),
			inFlight: make(map[model.OrganisationID]chan struct{}),
		}
	}
	return s
}

func (s *Service) shard(org model.OrganisationID) *shard {
	return s.shards[state.OrgShard(org)]
}

// Take spends cost work units. It waits up to MaxWait for the coordinator.
func (s *Service) Take(org model.OrganisationID, cost float64, now time.Time) (bool, time.Duration) {
	limits, known := s.deps.Limits(org)
	if !known || cost > limits.Burst {
		return false, 0
	}
	sh := s.shard(org)
	sh.mu.Lock()
	sh.host.RecordDemand(org, cost, now)
	sh.mu.Unlock()
	deadline := now.Add(s.deps.MaxWait)
	for range maxGrantRequests {
		ok, retryAfter := sh.tryTake(org, cost, limits.Rate, time.Now())
		if ok {
			return true, 0
		}
		if retryAfter > 0 {
			return false, retryAfter
		}
		if !s.awaitGrant(sh, org, cost, deadline) {
			return false, unreachableRetryAfter
		}
	}
	ok, retryAfter := sh.tryTake(org, cost, limits.Rate, time.Now())
	return ok, retryAfter
}

// maxGrantRequests bounds the grant requests that a call of Take waits for. The
// first may have been sent before the call; the second includes its cost. Waiting
// longer would only delay the rejection.
const maxGrantRequests = 2

func (sh *shard) tryTake(org model.OrganisationID, cost, currentRate float64, now time.Time) (bool, time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.host.Take(org, cost, currentRate, now) {
		return true, 0
	}
	return false, sh.host.RetryAfter(org, now)
}

// awaitGrant sends a grant request, or joins the one in flight, and waits until it
// ends. It returns false if the deadline passes first.
func (s *Service) awaitGrant(sh *shard, org model.OrganisationID, cost float64, deadline time.Time) bool {
	sh.mu.Lock()
	sh.host.AddPending(org, cost, time.Now())
	sh.mu.Unlock()
	done := s.startGrantRequest(sh, org)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
		return time.Now().Before(deadline)
	case <-timer.C:
		return false
	}
}

// startGrantRequest sends a grant request unless one is in flight. At most one
// request per organisation is in flight, so replies cannot arrive out of order.
func (s *Service) startGrantRequest(sh *shard, org model.OrganisationID) <-chan struct{} {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if done, ok := sh.inFlight[org]; ok {
		return done
	}
	done := make(chan struct{})
	sh.inFlight[org] = done
	go func() {
		s.exchange(sh, org)
		sh.mu.Lock()
		delete(sh.inFlight, org)
		sh.mu.Unlock()
		close(done)
	}()
	return done
}

// failureBackoff keeps waiting callers from repeating a failed grant request at
// once.
const failureBackoff = 20 * time.Millisecond

func (s *Service) exchange(sh *shard, org model.OrganisationID) {
	host, fence, ok := s.deps.Coordinator(sh.name)
	if !ok {
		s.reportFailure(org, "no coordinator")
		return
	}
	sentAt := time.Now()
	sh.mu.Lock()
	request := sh.host.NextRequest(org, fence, sentAt)
	sh.mu.Unlock()
	reply, err := s.send(host, request)
	if err != nil {
		s.reportFailure(org, "coordinator unreachable")
		return
	}
	if reply.NotCoordinator {
		s.reportFailure(org, "coordinator may not act")
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.host.ApplyReply(org, reply, sentAt, time.Now())
}

func (s *Service) reportFailure(org model.OrganisationID, reason string) {
	if s.deps.Failed != nil {
		s.deps.Failed(org, reason)
	}
	time.Sleep(failureBackoff)
}

func (s *Service) send(host model.HostID, r rate.Request) (rate.Reply, error) {
	if host == s.deps.Key.Host {
		return s.Grant(r), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.deps.MaxWait)
	defer cancel()
	return s.deps.Call(ctx, host, r)
}

// Grant replies to a grant request as the coordinator.
func (s *Service) Grant(r rate.Request) rate.Reply {
	sh := s.shard(r.Organisation)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := time.Now()
	holding, ok := s.deps.Holds(sh.name)
	if !ok {
		return rate.Reply{NotCoordinator: true}
	}
	s.ensureCoordinator(sh, holding, now)
	return sh.coordinator.Grant(&r, now)
}

// Run renews grants and leases ahead of demand until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(renewCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.renew(time.Now())
		}
	}
}

func (s *Service) renew(now time.Time) {
	for _, sh := range s.shards {
		s.startCoordinator(sh, now)
		for _, org := range sh.dueOrganisations(now) {
			s.startGrantRequest(sh, org)
		}
	}
}

// startCoordinator creates the coordinator of a shard as soon as the host holds
// the shard, so that the waiting times of a new coordinator do not start only at
// the first request.
func (s *Service) startCoordinator(sh *shard, now time.Time) {
	holding, ok := s.deps.Holds(sh.name)
	if !ok {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s.ensureCoordinator(sh, holding, now)
}

// ensureCoordinator replaces the shard's coordinator unless it already acts under
// the given claim. The caller holds the shard's lock.
func (s *Service) ensureCoordinator(sh *shard, holding Holding, now time.Time) {
	if sh.coordinator != nil && sh.coordinator.Fence() == holding.Fence {
		return
	}
	acquisition := rate.Acquisition{Fence: holding.Fence, ClaimReadAt: now, Inherited: !holding.First, HandedOver: holding.HandedOver}
	sh.coordinator = rate.NewCoordinator(acquisition, s.deps.Terms, s.deps.Limits)
}

func (sh *shard) dueOrganisations(now time.Time) []model.OrganisationID {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var list []model.OrganisationID
	for _, org := range sh.host.Organisations() {
		if sh.host.RequestDue(org, now) {
			list = append(list, org)
		}
	}
	return list
}
