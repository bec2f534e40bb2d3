package platformsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/redwingpath/redwingpath/integration/platformsoak/judge"
)

const (
	// minLimitTime and maxLimitTime bound the time for which a server states a limit.
	minLimitTime, maxLimitTime = 8 * time.Second, 11 * time.Second
	// limitEndTime is the further time without faults after limits. The end of a low one is
	// noticed by the next request that it allows, seconds later.
	limitEndTime = 5 * time.Second
	// limitPause is the longest pause between two servers that begin to state a limit.
	limitPause = 2 * time.Second
)

// statedLimits are the limits that servers state, in requests per second.
var statedLimits = []float64{0, 0.5, 2, 5, 12}

// limitServers has servers state limits, one after the other and several at once, until ctx
// is done.
func (r *run) limitServers(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.config.Seed, 81))
	for sleep(ctx, time.Duration(random.Int64N(int64(limitPause)))) {
		servers := r.servers()
		b := servers[random.IntN(len(servers))]
		limit := statedLimits[random.IntN(len(statedLimits))]
		last := minLimitTime + time.Duration(random.Int64N(int64(maxLimitTime-minLimitTime)))
		if r.stateLimit(b, limit) {
			r.afterDelay(last, func() { r.endLimit(b) })
		}
	}
}

// stateLimit makes a server state a limit, and reports false if it states one already. Only
// one engine at a time does: of the others one may crash and one may be changing its stage.
func (r *run) stateLimit(b *backendServer, perSecond float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.backendServers {
		if other.limit != nil && (other == b || b.Stage != "" && other.Stage != "") {
			return false
		}
	}
	b.limit = &judge.StatedLimit{Server: b.ID, PerSecond: perSecond, From: time.Now()}
	r.limits = append(r.limits, b.limit)
	b.SetLimit(fmt.Sprint(perSecond))
	return true
}

// endLimit makes a server state no limit any more.
func (r *run) endLimit(b *backendServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.limit == nil {
		return
	}
	b.SetLimit("")
	b.limit.To = time.Now()
	b.limit = nil
}

// noteLimit records that a host passed on a response in which a server states a limit. life
// is the one to which the request was sent. The caller holds r.mu.
func (r *run) noteLimit(p *process, life int, h http.Header, now time.Time) {
	if h.Get("Server-Limit") != "" && life == p.life {
		r.limitNotices = append(r.limitNotices, judge.LimitNotice{Host: p.name, Server: h.Get("Instance-Id"), Life: life, At: now})
	}
}
