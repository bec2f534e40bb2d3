package rate

import (
	"math"
	"slices"
	"time"
)

// averageCost is the cost of an average request, in units.
const averageCost = 1.0

// MinLeaseBurst is the smallest bucket of a lease, in units. A smaller bucket
// could not admit one request of average cost.
const MinLeaseBurst = averageCost

// maxUnconfirmedLeases bounds the leases of one host that the host has not
// confirmed yet.
const maxUnconfirmedLeases = 32

// leaseHeadroom is the largest ratio of a host's leased rate to its demand. Units
// that accrue on a lease and stay unused are lost to the other hosts.
const leaseHeadroom = 1.3

// demandFloor is the demand below which a host counts as idle, in units/s. Lease
// shares count at least this demand for every host, so that a host that has just
// become active gets a share.
const demandFloor = 0.1

// issuedGrant is a grant as the coordinator knows it.
type issuedGrant struct {
	id        uint64
	host      HostKey
	remaining float64
	expires   time.Time
}

// issuedLease is a lease as the coordinator knows it.
type issuedLease struct {
	id      uint64
	rate    float64
	burst   float64
	expires time.Time
}

// hostLeases holds the leases of one host.
type hostLeases struct {
	// outstanding are the leases that the host may still be using, oldest first.
	outstanding []issuedLease
	// demand is in units/s, as the host last reported it.
	demand float64
}

func (l *hostLeases) withLease(next issuedLease) *hostLeases {
	return &hostLeases{outstanding: append(slices.Clone(l.outstanding), next), demand: l.demand}
}

func (l *hostLeases) maxRate() (rate float64) {
	for _, lease := range l.outstanding {
		rate = max(rate, lease.rate)
	}
	return rate
}

func (l *hostLeases) maxBurst() (burst float64) {
	for _, lease := range l.outstanding {
		burst = max(burst, lease.burst)
	}
	return burst
}

// account holds the coordinator's state of one organisation.
type account struct {
	limits  Limits
	level   float64 // units that are neither granted nor leased
	updated time.Time
	grants  []issuedGrant
	leases  map[HostKey]*hostLeases
	// sequences holds the last request sequence seen from each host.
	sequences map[HostKey]uint64
	// predecessorLeasesEnd is when the last lease of the preceding coordinator
	// has certainly expired.
	predecessorLeasesEnd time.Time
}

// advance adds the units that have accrued up to now and drops expired grants
// and leases. The rate of a lease that expired in between is subtracted for the
// whole interval, so that the level is never too high.
func (a *account) advance(now time.Time) {
	if !now.After(a.updated) {
		return
	}
	a.level += a.accrualRate(a.updated) * now.Sub(a.updated).Seconds()
	a.updated = now
	a.grants = slices.DeleteFunc(a.grants, func(g issuedGrant) bool { return !now.Before(g.expires) })
	for host, l := range a.leases {
		l.outstanding = slices.DeleteFunc(l.outstanding, func(lease issuedLease) bool { return !now.Before(lease.expires) })
		if len(l.outstanding) == 0 {
			delete(a.leases, host)
		}
	}
	a.clampLevel(now)
}

func (a *account) setLimits(limits Limits) { a.limits = limits }

// accrualRate returns the part of the rate that is not leased.
func (a *account) accrualRate(now time.Time) float64 {
	if now.Before(a.predecessorLeasesEnd) {
		return a.limits.Rate * (1 - LeasedShare)
	}
	rate := a.limits.Rate
	for _, l := range a.leases {
		rate -= l.maxRate()
	}
	return max(rate, 0)
}

// clampLevel lowers the level so that all unspent units together stay within
// the burst.
func (a *account) clampLevel(now time.Time) {
	limit := a.limits.Burst - a.leasedBurst(now)
	for _, g := range a.grants {
		limit -= g.remaining
	}
	a.level = max(min(a.level, limit), 0)
}

func (a *account) leasedBurst(now time.Time) (burst float64) {
	if now.Before(a.predecessorLeasesEnd) {
		return a.limits.Burst * LeasedShare
	}
	for _, l := range a.leases {
		burst += l.maxBurst()
	}
	return burst
}

// settle confirms the lease that the host uses, records the host's demand and
// applies its settlements. It ignores the settlements of requests that arrive
// again or out of order.
func (a *account) settle(r *Request) {
	if l := a.leases[r.Host]; l != nil {
		l.confirm(r.LeaseID)
		l.demand = r.Demand
	}
	if r.Sequence <= a.sequences[r.Host] {
		return
	}
	a.sequences[r.Host] = r.Sequence
	for _, s := range r.Settlements {
		a.settleGrant(r.Host, s)
	}
}

// confirm drops the leases issued before the one that the host uses.
func (l *hostLeases) confirm(id uint64) {
	i := slices.IndexFunc(l.outstanding, func(lease issuedLease) bool { return lease.id == id })
	if i > 0 {
		l.outstanding = slices.Delete(l.outstanding, 0, i)
	}
}

func (a *account) settleGrant(host HostKey, s Settlement) {
	for i := range a.grants {
		g := &a.grants[i]
		if g.id != s.GrantID || g.host != host {
			continue
		}
		spent := min(max(s.Spent, 0), g.remaining)
		g.remaining -= spent
		returned := min(max(s.Returned, 0), g.remaining)
		g.remaining -= returned
		a.level += returned
	}
}

// allocate withdraws the units for a grant: the need first, then at most half of
// the remainder, so that one host does not hold units that others need.
func (a *account) allocate(r *Request) float64 {
	amount := min(max(r.Need, 0), a.level)
	if amount < r.Need && r.Least > 0 {
		// Units that cover only part of a request would stay unused at the host.
		amount = math.Floor(amount/r.Least) * r.Least
	}
	extra := min(max(r.Want-r.Need, 0), (a.level-amount)/2)
	extra = math.Floor(extra/averageCost) * averageCost
	amount += extra
	a.level -= amount
	return amount
}

// timeUntil returns the time until the level reaches units.
func (a *account) timeUntil(units float64) time.Duration {
	missing := units - a.level
	if missing <= 0 {
		return 0
	}
	rate := a.accrualRate(a.updated)
	if rate <= 0 {
		return time.Second
	}
	seconds := math.Min(missing/rate, time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// leaseShare returns the share of the rate to lease to the host, in proportion
// to its part of the known demand. It is 0 if the lease would be too small.
func (a *account) leaseShare(r *Request) float64 {
	own := max(r.Demand, demandFloor)
	total := own
	for host, l := range a.leases {
		if host != r.Host {
			total += max(l.demand, demandFloor)
		}
	}
	share := LeasedShare * own / total
	share = min(share, own*leaseHeadroom/a.limits.Rate)
	if a.limits.Burst*share < MinLeaseBurst {
		return 0
	}
	return share
}

// leaseFits reports whether, with l as the leases of the host, all leases stay
// within LeasedShare and the unspent units within the burst.
func (a *account) leaseFits(host HostKey, l *hostLeases) bool {
	if len(l.outstanding) > maxUnconfirmedLeases {
		return false
	}
	rate, burst := l.maxRate(), l.maxBurst()
	for other, otherLeases := range a.leases {
		if other != host {
			rate += otherLeases.maxRate()
			burst += otherLeases.maxBurst()
		}
	}
	grantedUnits := 0.0
	for _, g := range a.grants {
		grantedUnits += g.remaining
	}
	const rounding = 1e-9
	return rate <= a.limits.Rate*LeasedShare+rounding &&
		burst <= a.limits.Burst*LeasedShare+rounding &&
		burst+grantedUnits <= a.limits.Burst+rounding
}
