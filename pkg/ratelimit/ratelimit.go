// Package ratelimit connects the pure rate division of package rate to the
// host: it answers grant requests for the shards that this host coordinates and
// asks the coordinators of the others.
package ratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/rate"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Holding describes a shard that this host may act for at the moment.
type Holding struct {
	Fence model.Offset
	// First is set if nobody held the shard before.
	First bool
	// HandedOver is set if the holder before stopped acting and released it.
	HandedOver bool
}

// Dependencies of a Service. All functions are called from many goroutines.
type Dependencies struct {
	Key   rate.HostKey
	Terms rate.Terms
	// Holds tells whether this host may act for the shard now. It must check
	// freshness at the time of the call.
	Holds func(shard model.ShardName) (Holding, bool)
	// Coordinator finds the current holder of a shard.
	Coordinator func(shard model.ShardName) (host model.HostID, fence model.Offset, ok bool)
	// Limits gives the limits in force.
	Limits func(org model.OrganisationID) (rate.Limits, bool)
	// Call sends a request to the coordinator on another host.
	Call func(ctx context.Context, host model.HostID, r rate.Request) (rate.Reply, error)
	// Failed is called when a question brought no answer, with a short reason.
	// May be nil.
	Failed func(org model.OrganisationID, reason string)
	// MaxWait is how long Take waits for the coordinator. Default 250 ms.
	MaxWait time.Duration
}

// defaultMaxWait covers a round trip between data centres and one lost message.
const defaultMaxWait = 250 * time.Millisecond

// housekeepingInterval is how often grants are renewed ahead of demand.
const housekeepingInterval = 50 * time.Millisecond

// unreachableRetry is told to callers when the coordinator does not answer.
const unreachableRetry = time.Second

// Service implements rate.Limiter.
type Service struct {
	deps   Dependencies
	shards map[model.ShardName]*shard
}

// shard holds the state of the organisations of one hash range.
type shard struct {
	name model.ShardName

	mu          sync.Mutex
	host        *rate.Host
	coordinator *rate.Coordinator
	asking      map[model.OrganisationID]chan struct{}
}

// New returns a service.
func New(deps Dependencies) *Service {
	if deps.MaxWait <= 0 {
		deps.MaxWait = defaultMaxWait
	}
	s := &Service{deps: deps, shards: make(map[model.ShardName]*shard)}
	for _, name := range state.OrgShardNames() {
		s.shards[name] = &shard{
			name:   name,
			host:   rate.NewHost(deps.Key),
			asking: make(map[model.OrganisationID]chan struct{}),
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
	for range maxQuestions {
		ok, retryAfter := sh.try(org, cost, limits.Rate, time.Now())
		if ok {
			return true, 0
		}
		if retryAfter > 0 {
			return false, retryAfter
		}
		if !s.await(sh, org, cost, deadline) {
			return false, unreachableRetry
		}
	}
	ok, retryAfter := sh.try(org, cost, limits.Rate, time.Now())
	return ok, retryAfter
}

// maxQuestions bounds the questions that one request waits for. The first may
// have been sent before the request came; the second was asked for it. Waiting
// longer would only hold a refusal back.
const maxQuestions = 2

func (sh *shard) try(org model.OrganisationID, cost, currentRate float64, now time.Time) (bool, time.Duration) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.host.Take(org, cost, currentRate, now) {
		return true, 0
	}
	return false, sh.host.RetryAfter(org, now)
}

// await asks the coordinator, or joins a question that is under way, and waits
// for the end of it. It returns false at the deadline.
func (s *Service) await(sh *shard, org model.OrganisationID, cost float64, deadline time.Time) bool {
	sh.mu.Lock()
	sh.host.AddPending(org, cost, time.Now())
	sh.mu.Unlock()
	done := s.ask(sh, org)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
		return time.Now().Before(deadline)
	case <-timer.C:
		return false
	}
}

// ask starts a question to the coordinator unless one is under way. At most
// one question per organisation is open, so answers cannot overtake each other.
func (s *Service) ask(sh *shard, org model.OrganisationID) <-chan struct{} {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if done, ok := sh.asking[org]; ok {
		return done
	}
	done := make(chan struct{})
	sh.asking[org] = done
	go func() {
		s.exchange(sh, org)
		sh.mu.Lock()
		delete(sh.asking, org)
		sh.mu.Unlock()
		close(done)
	}()
	return done
}

// failurePause keeps waiting requests from repeating a failed question at once.
const failurePause = 20 * time.Millisecond

func (s *Service) exchange(sh *shard, org model.OrganisationID) {
	host, fence, ok := s.deps.Coordinator(sh.name)
	if !ok {
		s.failed(org, "no coordinator")
		return
	}
	sentAt := time.Now()
	sh.mu.Lock()
	request := sh.host.NextRequest(org, fence, sentAt)
	sh.mu.Unlock()
	reply, err := s.send(host, request)
	if err != nil {
		s.failed(org, "coordinator unreachable")
		return
	}
	if reply.NotCoordinator {
		s.failed(org, "coordinator may not act")
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.host.ApplyReply(org, reply, sentAt, time.Now())
}

func (s *Service) failed(org model.OrganisationID, reason string) {
	if s.deps.Failed != nil {
		s.deps.Failed(org, reason)
	}
	time.Sleep(failurePause)
}

func (s *Service) send(host model.HostID, r rate.Request) (rate.Reply, error) {
	if host == s.deps.Key.Host {
		return s.Grant(r), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.deps.MaxWait)
	defer cancel()
	return s.deps.Call(ctx, host, r)
}

// Grant answers a request as coordinator.
func (s *Service) Grant(r rate.Request) rate.Reply {
	sh := s.shard(r.Organisation)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := time.Now()
	holding, ok := s.deps.Holds(sh.name)
	if !ok {
		return rate.Reply{NotCoordinator: true}
	}
	s.coordinate(sh, holding, now)
	return sh.coordinator.Grant(&r, now)
}

// Run renews grants and leases ahead of demand until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
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
		s.startCoordinating(sh, now)
		for _, org := range sh.due(now) {
			s.ask(sh, org)
		}
	}
}

// startCoordinating starts the waiting times of a new coordinator as soon as
// the shard is held, instead of at the first request.
func (s *Service) startCoordinating(sh *shard, now time.Time) {
	holding, ok := s.deps.Holds(sh.name)
	if !ok {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s.coordinate(sh, holding, now)
}

// coordinate makes sure that the shard's coordinator acts under the claim held
// now. The caller holds the shard's lock.
func (s *Service) coordinate(sh *shard, holding Holding, now time.Time) {
	if sh.coordinator != nil && sh.coordinator.Fence() == holding.Fence {
		return
	}
	start := rate.Acquisition{Fence: holding.Fence, ClaimReadAt: now, Inherited: !holding.First, HandedOver: holding.HandedOver}
	sh.coordinator = rate.NewCoordinator(start, s.deps.Terms, s.deps.Limits)
}

func (sh *shard) due(now time.Time) []model.OrganisationID {
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
