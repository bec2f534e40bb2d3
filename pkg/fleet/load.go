// Package fleet runs the planner on the host that holds a region's fleet shard: it
// collects the load of all hosts, builds the planner's input, and executes the
// planner's actions.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/planner"
	"github.com/redwingpath/redwingpath/pkg/routing"
)

// LoadService is the name of the RPC service for load counts.
const LoadService = "Load"

// MethodCounts is the RPC method that returns a host's counts.
const MethodCounts = LoadService + ".Counts"

// Counts are the cumulative amounts of work of one host since its start. loadMeter
// also uses the type for the sums of the hosts' rates per second.
type Counts struct {
	Requests      float64
	PrefillTokens float64
	// LongTokens are the uncached prompt tokens of long prompts.
	LongTokens   float64
	OutputTokens float64
	// ResumableTokens are the uncached prompt tokens and the output tokens of
	// resumable requests.
	ResumableTokens float64
}

// CountsArgs are the arguments of MethodCounts.
type CountsArgs struct {
	Host model.HostID
}

// CountsReply holds a host's counts by pool. A changed incarnation means that the
// counts started again from zero.
type CountsReply struct {
	Incarnation model.Incarnation
	Pools       map[model.PoolName]Counts
}

// Counter counts the work of this host. It is safe for concurrent use.
type Counter struct {
	incarnation model.Incarnation
	longPrompt  int

	mu    sync.Mutex
	pools map[model.PoolName]Counts
}

// longPromptTokens is the number of uncached tokens above which a prompt counts as
// long. It equals the planner's default.
const longPromptTokens = 3000

// NewCounter returns a counter for one run of a host.
func NewCounter(incarnation model.Incarnation) *Counter {
	return &Counter{incarnation: incarnation, longPrompt: longPromptTokens, pools: make(map[model.PoolName]Counts)}
}

// Add counts a finished attempt on an engine; those on services are ignored.
func (c *Counter) Add(f *routing.Feedback) {
	if f.Request.Kind == model.PoolService {
		return
	}
	uncached := float64(max(f.Request.PromptTokens-f.CachedTokens, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.pools[f.Request.Pool]
	counts.Requests++
	counts.PrefillTokens += uncached
	counts.OutputTokens += float64(f.OutputTokens)
	if int(uncached) > c.longPrompt {
		counts.LongTokens += uncached
	}
	if f.Request.Resumable {
		counts.ResumableTokens += uncached + float64(f.OutputTokens)
	}
	c.pools[f.Request.Pool] = counts
}

// Counts returns the counts of this host. Its signature is that of net/rpc.
func (c *Counter) Counts(_ CountsArgs, reply *CountsReply) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Incarnation = c.incarnation
	reply.Pools = make(map[model.PoolName]Counts, len(c.pools))
	for name, counts := range c.pools {
		reply.Pools[name] = counts
	}
	return nil
}

// CountingRouter is a router that also counts the work of finished attempts.
type CountingRouter struct {
	routing.Router
	Counter *Counter
}

// Done implements routing.Router.
func (r CountingRouter) Done(f *routing.Feedback) {
	r.Counter.Add(f)
	r.Router.Done(f)
}

// FetchCountsFunc fetches a host's counts.
type FetchCountsFunc func(ctx context.Context, host model.HostID) (CountsReply, error)

// loadMeter derives each pool's load per second from successive counts of all
// hosts.
type loadMeter struct {
	last map[model.HostID]sample
}

// sample holds a host's counts and the time of their arrival.
type sample struct {
	at     time.Time
	counts CountsReply
}

// poolLoad is the load of one pool, and the share of its tokens that belongs to
// resumable requests.
type poolLoad struct {
	load           planner.Load
	resumableShare float64
}

// collect fetches the counts of all hosts and returns the load since the previous
// call. A host that does not respond or has restarted since then adds nothing to
// this load.
func (m *loadMeter) collect(ctx context.Context, hosts []model.HostID, fetch FetchCountsFunc) map[model.PoolName]poolLoad {
	replies := fetchAllCounts(ctx, hosts, fetch)
	totals := make(map[model.PoolName]Counts)
	next := make(map[model.HostID]sample, len(replies))
	for host, s := range replies {
		next[host] = s
		if before, ok := m.last[host]; ok && before.counts.Incarnation == s.counts.Incarnation {
			addRates(totals, &before, &s)
		}
	}
	m.last = next
	loads := make(map[model.PoolName]poolLoad, len(totals))
	for pool, rates := range totals {
		loads[pool] = newPoolLoad(rates)
	}
	return loads
}

func fetchAllCounts(ctx context.Context, hosts []model.HostID, fetch FetchCountsFunc) map[model.HostID]sample {
	var mu sync.Mutex
	var group sync.WaitGroup
	replies := make(map[model.HostID]sample, len(hosts))
	for _, host := range hosts {
		group.Go(func() {
			reply, err := fetch(ctx, host)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[host] = sample{at: time.Now(), counts: reply}
		})
	}
	group.Wait()
	return replies
}

// addRates adds the rates of one host between two samples to the totals.
func addRates(totals map[model.PoolName]Counts, before, now *sample) {
	seconds := now.at.Sub(before.at).Seconds()
	if seconds <= 0 {
		return
	}
	for pool, counts := range now.counts.Pools {
		old := before.counts.Pools[pool]
		sum := totals[pool]
		sum.Requests += (counts.Requests - old.Requests) / seconds
		sum.PrefillTokens += (counts.PrefillTokens - old.PrefillTokens) / seconds
		sum.LongTokens += (counts.LongTokens - old.LongTokens) / seconds
		sum.OutputTokens += (counts.OutputTokens - old.OutputTokens) / seconds
		sum.ResumableTokens += (counts.ResumableTokens - old.ResumableTokens) / seconds
		totals[pool] = sum
	}
}

func newPoolLoad(rates Counts) poolLoad {
	m := poolLoad{load: planner.Load{
		PrefillTokens: rates.PrefillTokens, LongTokens: rates.LongTokens, OutputTokens: rates.OutputTokens,
	}}
	if all := rates.PrefillTokens + rates.OutputTokens; all > 0 {
		m.resumableShare = rates.ResumableTokens / all
	}
	return m
}
