package rate

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Coordinator issues grants and leases for the organisations of one shard while
// its host holds the shard. It is not safe for concurrent use.
type Coordinator struct {
	fence    model.Offset
	terms    Terms
	limits   func(model.OrganisationID) (Limits, bool)
	accounts map[model.OrganisationID]*account
	nextID   uint64
	// predecessorGrantsEnd and predecessorLeasesEnd are the times from which the
	// grants and leases of the preceding coordinator have certainly expired. Both
	// are zero without a predecessor.
	predecessorGrantsEnd time.Time
	predecessorLeasesEnd time.Time
}

// clockDrift is added to every term on the coordinator's side, because the
// clocks of two hosts may run at slightly different speeds.
const clockDrift = 0.01

func withDrift(d time.Duration) time.Duration {
	return d + time.Duration(clockDrift*float64(d))
}

// fenceShift places the fencing token in the upper bits of grant and lease IDs,
// so that the IDs of a new coordinator exceed those of its predecessor.
const fenceShift = 24

// Acquisition describes how the host of a coordinator acquired the shard.
type Acquisition struct {
	Fence model.Offset
	// ClaimReadAt is when the host read its own successful claim from the log.
	ClaimReadAt time.Time
	// Inherited is false only if the shard had never been claimed before.
	Inherited bool
	// HandedOver is set if the predecessor stopped acting before it released the
	// shard, so that it granted nothing after the claim.
	HandedOver bool
}

// NewCoordinator returns a coordinator. limits returns the configured limits of
// an organisation, or false if it does not exist.
func NewCoordinator(acquisition Acquisition, terms Terms, limits func(model.OrganisationID) (Limits, bool)) *Coordinator {
	c := &Coordinator{
		fence:    acquisition.Fence,
		terms:    terms,
		limits:   limits,
		accounts: make(map[model.OrganisationID]*account),
		nextID:   uint64(acquisition.Fence) << fenceShift,
	}
	if acquisition.Inherited {
		// overlap is how long the predecessor may act after the claim.
		overlap := terms.Freshness
		if acquisition.HandedOver {
			overlap = 0
		}
		c.predecessorGrantsEnd = acquisition.ClaimReadAt.Add(withDrift(overlap + terms.Grant))
		c.predecessorLeasesEnd = acquisition.ClaimReadAt.Add(withDrift(overlap + terms.Lease))
	}
	return c
}

// Fence returns the claim under which the coordinator acts.
func (c *Coordinator) Fence() model.Offset { return c.fence }

// minRetryAfter bounds how often a host sends requests for an organisation whose
// units are used up.
const minRetryAfter = 5 * time.Millisecond

// Grant replies to a request. The caller must have checked, after the request
// arrived, that the host may still act as coordinator.
func (c *Coordinator) Grant(r *Request, now time.Time) Reply {
	limits, known := c.limits(r.Organisation)
	if !known || r.Fence != c.fence {
		return Reply{NotCoordinator: true}
	}
	if now.Before(c.predecessorGrantsEnd) {
		return Reply{RetryAfter: c.predecessorGrantsEnd.Sub(now)}
	}
	a := c.account(r.Organisation, limits, now)
	a.advance(now)
	a.setLimits(limits)
	a.settle(r)
	reply := Reply{Term: c.terms.Grant}
	reply.Lease = c.issueLease(a, r, now)
	reply.Amount = a.allocate(r)
	if reply.Amount > 0 {
		c.nextID++
		reply.GrantID = c.nextID
		a.grants = append(a.grants, issuedGrant{
			id: c.nextID, host: r.Host, remaining: reply.Amount, expires: now.Add(withDrift(c.terms.Grant)),
		})
	}
	if reply.Amount < r.Need {
		reply.RetryAfter = max(a.timeUntil(r.Least), minRetryAfter)
	}
	return reply
}

func (c *Coordinator) account(org model.OrganisationID, limits Limits, now time.Time) *account {
	if a, ok := c.accounts[org]; ok {
		return a
	}
	a := &account{
		limits:               limits,
		leases:               make(map[HostKey]*hostLeases),
		sequences:            make(map[HostKey]uint64),
		predecessorLeasesEnd: c.predecessorLeasesEnd,
		updated:              now,
		level:                limits.Burst,
	}
	if !c.predecessorGrantsEnd.IsZero() {
		// The predecessor issued its last grant no later than one grant term
		// before predecessorGrantsEnd. Units accrued since then have not been granted.
		a.level = a.accrualRate(now) * (c.terms.Grant + now.Sub(c.predecessorGrantsEnd)).Seconds()
	}
	a.clampLevel(now)
	c.accounts[org] = a
	return a
}

// issueLease issues a lease that replaces the host's current one, if any. It
// returns nil if the host gets no new lease.
func (c *Coordinator) issueLease(a *account, r *Request, now time.Time) *Lease {
	if now.Before(c.predecessorLeasesEnd) || a.limits.Rate <= 0 {
		return nil
	}
	share := a.leaseShare(r)
	current := a.leases[r.Host]
	if share <= 0 {
		return nil
	}
	c.nextID++
	next := issuedLease{
		id:      c.nextID,
		rate:    a.limits.Rate * share,
		burst:   a.limits.Burst * share,
		expires: now.Add(withDrift(c.terms.Lease)),
	}
	if current == nil {
		current = &hostLeases{}
	}
	// The host may still use any lease that it has not replaced, so all of them
	// count.
	extended := current.withLease(next)
	if !a.leaseFits(r.Host, extended) {
		return nil
	}
	a.leases[r.Host] = extended
	levelBefore := a.level
	a.clampLevel(now)
	return &Lease{
		ID: next.id, Rate: next.rate, Burst: next.burst, OfRate: a.limits.Rate,
		Initial: levelBefore - a.level, Term: c.terms.Lease,
	}
}
