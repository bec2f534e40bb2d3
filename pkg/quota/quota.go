// Package quota enforces the quotas of organisations across all hosts. Each host reports to
// its peers how much it has admitted and refused. From the demand on all hosts and the
// remaining quota, each host computes the ratio of requests to admit. All hosts arrive at
// about the same ratio, so that the total follows the quota although reports arrive late.
// What hosts admit beyond the quota before they hear of a burst becomes a debt that lowers
// the ratio. A host that hears from only some of its peers uses only the share of the quota
// that belongs to the hosts it hears from and itself.
package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Limits are the quota of an organisation.
type Limits struct {
	// Rate is the sustained rate. Unit: tokens or requests per second.
	Rate float64
	// Burst is the maximum that may be used at once. Unit: tokens or requests.
	Burst float64
}

// Unlimited reports whether there is no quota.
func (l Limits) Unlimited() bool { return l.Rate <= 0 }

// peerExpiry is how long a silent peer keeps its share. A host that is cut off from the
// others keeps using its own share for that time.
const peerExpiry = 12 * time.Second

// simultaneousStart is the maximum difference in age of hosts that are considered to have
// started together.
const simultaneousStart = 300 * time.Millisecond

// startupPeriod is the time after its start in which a host may not have heard of all
// peers. Until it has passed, the host admits an equal part of each quota's rate and of the
// slack, but no part of a burst: if all hosts were lost, bursts may have been used just
// before.
const startupPeriod = 1200 * time.Millisecond

const (
	// repaymentTime is the time in which a debt is repaid or the rest of a burst is used
	// up. It is longer than two report intervals of 88 hosts; with less, hosts that hear
	// late would oscillate between admitting too much and nothing.
	repaymentTime = 2 * time.Second
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = 1500 * time.Millisecond
	// retrySpacing is added to the wait of a refused request for each multiple of the quota
	// by which the demand exceeds it, so that retries are spread over time.
	retrySpacing = 500 * time.Millisecond
)

// peerStaleAfter is the silence after which a peer's usage is no longer considered known.
const peerStaleAfter = 1200 * time.Millisecond

// Limiter tracks the quotas of all organisations as seen by one host. It is safe for
// concurrent use.
type Limiter struct {
	started time.Time
	// limits returns the quota of an organisation.
	limits func(model.OrganisationID) Limits
	// hosts returns the number of hosts that may be alive, including this one.
	hosts func() int
	// slack is the tolerated use beyond a quota. Hosts that do not know what was used
	// before their start admit startupSlackShare of it.
	slack float64
	// random draws the first credits of a bucket, in [0, 1).
	random func() float64

	mu      sync.Mutex
	buckets map[model.OrganisationID]*bucket
	// own is what this host has admitted and refused since it started.
	own Usage
	// reported is own as of the last report.
	reported Usage
	peers    map[string]*peerUsage
	// share is the result of reachableShare as of shareAt.
	share   float64
	shareAt time.Time
}

// Usage is what a host has admitted and refused since it started. Its fields are exported
// for net/rpc. Unit: tokens or requests.
type Usage struct {
	// Whole is set if all organisations are included. Otherwise only those that have
	// changed are.
	Whole bool
	// Age is the time since the host started.
	Age      time.Duration
	Admitted map[model.OrganisationID]float64
	// Refused has no entry for an organisation that was never refused.
	Refused map[model.OrganisationID]float64
}

func (u Usage) clone() Usage {
	c := Usage{Whole: u.Whole, Age: u.Age, Admitted: maps.Clone(u.Admitted), Refused: maps.Clone(u.Refused)}
	if c.Admitted == nil {
		c.Admitted = map[model.OrganisationID]float64{}
	}
	if c.Refused == nil {
		c.Refused = map[model.OrganisationID]float64{}
	}
	return c
}

// bucket is this host's copy of an organisation's token bucket, which all hosts draw from.
type bucket struct {
	limits Limits
	// level is the remaining quota, negative for a debt.
	level float64
	// demand is the moving average of the rate requested on all hosts, including refused
	// requests.
	demand     float64
	refilledAt time.Time
	// sizes are the sizes of the requests on this host.
	sizes sizes
	// credit accumulates the admit ratios of small and of large requests. A request is
	// admitted whenever that of its class reaches 1.
	credit [sizeClasses]float64
}

type peerUsage struct {
	incarnation string
	use         Usage
	// heard is when the peer's latest report was received.
	heard time.Time
}

// startupSlackShare is the share of the slack that all hosts together admit after their
// start. The rest covers requests that are admitted concurrently.
const startupSlackShare = 0.6

// NewLimiter returns the limiter of a host that starts now. limits returns the quota of an
// organisation in the configuration in force, hosts the number of hosts that may be alive.
// slack is what an organisation may use beyond its quota in a window.
func NewLimiter(now time.Time, limits func(model.OrganisationID) Limits, hosts func() int, slack float64) *Limiter {
	return &Limiter{
		slack:    slack,
		random:   rand.Float64,
		started:  now,
		limits:   limits,
		hosts:    hosts,
		buckets:  map[model.OrganisationID]*bucket{},
		own:      Usage{}.clone(),
		reported: Usage{}.clone(),
		peers:    map[string]*peerUsage{},
	}
}

// Admit takes the cost of a request from an organisation's quota. If the request is
// refused, it returns the time after which to retry.
func (l *Limiter) Admit(org model.OrganisationID, cost float64, now time.Time) (ok bool, retryAfter time.Duration) {
	limits := l.limits(org)
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits.Unlimited() {
		l.own.Admitted[org] += cost
		return true, 0
	}
	share := l.reachableShare(now)
	k := l.bucket(org, limits, share, now)
	k.demand += cost / demandTimeConstant.Seconds()
	k.sizes.add(cost)
	class := k.sizes.classOf(cost)
	credit := &k.credit[class]
	// A request that is larger than the burst is admitted when the bucket is full.
	room := limits.Burst * share
	full := k.level >= room
	startingUp := now.Sub(l.started) < startupPeriod
	insufficient := k.level < min(cost, room)
	if startingUp {
		hosts := float64(max(l.hosts(), 1))
		equalRate := limits.Rate / hosts
		room := equalRate*now.Sub(l.started).Seconds() + l.startupBurst(limits)/hosts
		// The first request is admitted however large it is.
		insufficient = l.own.Admitted[org] > 0 && l.own.Admitted[org]+cost > room
		*credit = min(*credit+k.classRatio(class, equalRate), maxCredit)
		full = !insufficient
	} else {
		*credit = min(*credit+k.classRatio(class, k.availableRate(share)), maxCredit)
	}
	if insufficient || !full && *credit < 1 {
		l.own.Refused[org] += cost
		retryAfter = k.retryAfter(cost, share)
		if startingUp {
			retryAfter = max(retryAfter, l.started.Add(startupPeriod).Sub(now))
		}
		return false, retryAfter
	}
	*credit = max(*credit-1, 0)
	k.level -= cost
	l.own.Admitted[org] += cost
	return true, 0
}

// startupBurst returns what all hosts together admit at once while they do not know what
// was used before their start.
func (l *Limiter) startupBurst(limits Limits) float64 {
	return min(startupSlackShare*l.slack, limits.Burst)
}

// maxCredit limits how many requests are admitted at once after a time in which the level
// was too low.
const maxCredit = 2

// availableRate returns the rate at which requests may be admitted now.
func (k *bucket) availableRate(share float64) float64 {
	return k.limits.Rate*share + k.level/repaymentTime.Seconds()
}

// admitRatioAt returns the ratio of the known demand that a rate allows.
func (k *bucket) admitRatioAt(rate float64) float64 {
	if k.demand <= 0 {
		return 1
	}
	return min(max(rate/k.demand, 0), 1)
}

// retryAfter returns the time until a refused request is likely to be admitted: until the
// level allows it, and longer the more the demand exceeds the rate.
func (k *bucket) retryAfter(cost, share float64) time.Duration {
	rate := k.limits.Rate * share
	missing := max(0, min(cost, k.limits.Burst*share)-k.level)
	return time.Duration(missing/rate*float64(time.Second)) + time.Duration(max(0, k.demand/rate-1)*float64(retrySpacing))
}

// Refund refunds the cost of a request that did not run.
func (l *Limiter) Refund(org model.OrganisationID, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own.Admitted[org] -= cost
	if k := l.buckets[org]; k != nil {
		k.level += cost
	}
}

// bucket returns the bucket of an organisation, refilled up to now.
func (l *Limiter) bucket(org model.OrganisationID, limits Limits, share float64, now time.Time) *bucket {
	k := l.buckets[org]
	if k == nil {
		// An organisation that has sent no requests since this host started may have used
		// its quota on other hosts before.
		k = &bucket{limits: limits, refilledAt: l.started, level: l.startupBurst(limits)}
		for class := range k.credit {
			k.credit[class] = l.random()
		}
		l.buckets[org] = k
	}
	if k.limits != limits {
		// A lower quota applies at once; a higher one fills up at its rate.
		k.limits = limits
		k.level = min(k.level, limits.Burst)
	}
	k.refill(share, now)
	return k
}

// shareCacheTime is how long a computed share is reused. The share changes when peers fall
// silent, which takes longer to be noticed.
const shareCacheTime = 50 * time.Millisecond

// reachableShare returns the share of the quota that belongs to this host and the peers it
// hears from.
func (l *Limiter) reachableShare(now time.Time) float64 {
	if elapsed := now.Sub(l.shareAt); l.share > 0 && elapsed >= 0 && elapsed < shareCacheTime {
		return l.share
	}
	l.share, l.shareAt = l.computeShare(now), now
	return l.share
}

func (l *Limiter) computeShare(now time.Time) float64 {
	heard, known := 1, 1
	for _, p := range l.peers {
		silence := now.Sub(p.heard)
		if silence > peerExpiry {
			continue
		}
		known++
		if silence <= peerStaleAfter {
			heard++
		}
	}
	return float64(heard) / float64(known)
}

func (k *bucket) refill(share float64, now time.Time) {
	elapsed := now.Sub(k.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	k.refilledAt = now
	k.level = min(k.level+elapsed*k.limits.Rate*share, k.limits.Burst*share)
	k.demand *= math.Exp(-elapsed / demandTimeConstant.Seconds())
	k.sizes.decay(math.Exp(-elapsed / sizesTimeConstant.Seconds()))
}

// Usage returns this host's report to its peers: all organisations if full is set, otherwise
// those that have changed since the last report.
func (l *Limiter) Usage(full bool, now time.Time) Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := Usage{Whole: full, Age: now.Sub(l.started), Admitted: map[model.OrganisationID]float64{}, Refused: map[model.OrganisationID]float64{}}
	collect := func(from, reported, to map[model.OrganisationID]float64) {
		for org, sum := range from {
			if u.Whole || sum != reported[org] {
				to[org] = sum
				reported[org] = sum
			}
		}
	}
	collect(l.own.Admitted, l.reported.Admitted, u.Admitted)
	collect(l.own.Refused, l.reported.Refused, u.Refused)
	return u
}

// HandleReport applies a peer's report. Newly admitted usage is subtracted from the
// organisations' buckets, which may become negative. Admitted and refused usage both count
// as demand.
func (l *Limiter) HandleReport(host, incarnation string, use Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[host]
	if p == nil || p.incarnation != incarnation {
		// All usage counts of a known peer that has restarted, and of a peer that started
		// together with this host or later, since it is as recent as this host's buckets.
		// Hosts that start together after all were lost admit requests before they hear of
		// each other. Usage of an older peer counts from its first full report.
		needsBaseline := (p == nil || p.incarnation == "") && use.Age > now.Sub(l.started)+simultaneousStart
		if needsBaseline && !use.Whole {
			// Without a baseline, everything that an organisation has ever used would count
			// as used now.
			l.ensurePeer(host, now).heard = now
			return
		}
		p = &peerUsage{incarnation: incarnation, use: Usage{}.clone()}
		l.peers[host] = p
		l.share = 0
		if needsBaseline {
			// Usage before the first report says nothing about the current window.
			p.use = use.clone()
			p.heard = now
			return
		}
	}
	p.heard = now
	share := l.reachableShare(now)
	for org, sum := range use.Admitted {
		known, ok := p.use.Admitted[org]
		if ok && sum == known {
			continue
		}
		added := sum - known
		if k := l.limitedBucket(org, share, now); k != nil {
			k.level -= added
			k.demand += max(0, added) / demandTimeConstant.Seconds()
		}
		p.use.Admitted[org] = sum
	}
	for org, sum := range use.Refused {
		known, ok := p.use.Refused[org]
		if ok && sum == known {
			continue
		}
		if k := l.limitedBucket(org, share, now); k != nil {
			k.demand += max(0, sum-known) / demandTimeConstant.Seconds()
		}
		p.use.Refused[org] = sum
	}
}

// limitedBucket returns the bucket of an organisation, or nil if it has no quota.
func (l *Limiter) limitedBucket(org model.OrganisationID, share float64, now time.Time) *bucket {
	limits := l.limits(org)
	if limits.Unlimited() {
		return nil
	}
	return l.bucket(org, limits, share, now)
}

// AddPeer adds a host that exists but may not have sent a report yet.
func (l *Limiter) AddPeer(host string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensurePeer(host, now)
}

func (l *Limiter) ensurePeer(host string, now time.Time) *peerUsage {
	p := l.peers[host]
	if p == nil {
		p = &peerUsage{use: Usage{}.clone(), heard: now}
		l.peers[host] = p
		l.share = 0
	}
	return p
}

// RemovePeer removes a host that has stopped.
func (l *Limiter) RemovePeer(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, host)
	l.share = 0
}
