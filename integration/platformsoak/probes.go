package platformsoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

// probeInterval is the mean pause between two probes of a host.
const probeInterval = 120 * time.Millisecond

// recentNames is the number of the routes and keys that were dropped last and are probed.
const recentNames = 3

// probe sends requests to one host on routes and with keys that were added, moved or dropped
// lately, until ctx is done.
func (r *run) probe(ctx context.Context, index int) {
	random := rand.New(rand.NewPCG(r.config.Seed, 1000+uint64(index)))
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		route, key := r.probed(random)
		r.sendOne(ctx, transport, r.hosts[index], route, key)
		time.Sleep(probeInterval/2 + time.Duration(random.Int64N(int64(probeInterval))))
	}
}

// probed returns a route and a key, at least one of which changes in the run.
func (r *run) probed(random *rand.Rand) (route, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.configuration
	switch random.IntN(5) {
	case 0:
		return pick(random, c.added, len(c.added), movingRoute), lastingKey
	case 1:
		return pick(random, c.droppedRoutes, recentNames, movingRoute), lastingKey
	case 2:
		return "look", pick(random, c.keys, len(c.keys), lastingKey)
	case 3:
		return "look", pick(random, c.withdrawnKeys, recentNames, lastingKey)
	default:
		return movingRoute, lastingKey
	}
}

// pick returns one of the last names of a list, or a substitute if it is empty.
func pick(random *rand.Rand, names []string, last int, substitute string) string {
	if len(names) == 0 {
		return substitute
	}
	return names[len(names)-1-random.IntN(min(last, len(names)))]
}
