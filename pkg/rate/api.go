// Package rate divides each organisation's rate among the hosts. It does no I/O
// and reads no clock: callers pass the time and transport the messages.
//
// The coordinator of an organisation issues grants and leases to the hosts. A
// grant is an amount of work units with a short term; grants follow the demand.
// A lease is a share of the rate with a longer term, from which a host admits
// requests while the coordinator is unreachable or is being replaced. At any
// time the unspent units (at the coordinator, in grants and in the buckets of
// leases) are at most the burst, and together they accrue at the rate. Therefore
// the units spent in any interval are at most rate × time + burst over all hosts.
package rate

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Limiter admits requests against an organisation's rate.
type Limiter interface {
	// Take spends cost work units. If it cannot, retryAfter is the time after
	// which another attempt may succeed.
	Take(org model.OrganisationID, cost float64, now time.Time) (ok bool, retryAfter time.Duration)
}

// Limits are the configured limits of an organisation, in work units.
type Limits struct {
	Rate  float64
	Burst float64
}

// Terms are the durations that the safety of a change of coordinator depends on.
// Every host must use the same values.
type Terms struct {
	// Freshness is the longest time for which a coordinator keeps acting after
	// its last proof that it has not been superseded.
	Freshness time.Duration
	// Grant is the term of a grant.
	Grant time.Duration
	// Lease is the term of a lease. It should exceed the time that a change of
	// coordinator takes.
	Lease time.Duration
}

// DefaultTerms returns the durations given in docs/design.md.
func DefaultTerms() Terms {
	return Terms{Freshness: 3 * time.Second, Grant: time.Second, Lease: 15 * time.Second}
}

// LeasedShare is the part of the rate and of the burst that may be leased. The
// rest is granted on demand, also by a new coordinator while leases of its
// predecessor have not expired.
const LeasedShare = 0.5

// HostKey identifies one incarnation of a host. A restarted host does not know
// the lease of its earlier incarnation, so the leases of both count until the
// earlier one expires.
type HostKey struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// Settlement reports how a host used the units of a grant.
type Settlement struct {
	GrantID uint64
	// Spent and Returned are the units since the last settlement of this grant.
	Spent    float64
	Returned float64
}

// Request asks the coordinator for units.
type Request struct {
	Organisation model.OrganisationID
	Host         HostKey
	// Fence is the shard claim under which the host expects the receiver to be
	// the coordinator.
	Fence model.Offset
	// Sequence orders the requests of one host for one organisation. The
	// coordinator ignores settlements unless the sequence exceeds all that it
	// has seen from the host.
	Sequence uint64
	// Need is the cost of the requests that wait for units and Least that of the
	// cheapest, both less the units that the host holds. Want is the amount that
	// the host would like to receive in total, including Need.
	Need  float64
	Least float64
	Want  float64
	// Demand is the offered load on the host in units/s.
	Demand float64
	// LeaseID is the lease that the host uses, 0 for none.
	LeaseID     uint64
	Settlements []Settlement
}

// Lease is a share of the rate.
type Lease struct {
	ID uint64
	// Rate is in units/s and Burst in units. OfRate is the organisation's rate
	// of which Rate is a share.
	Rate   float64
	Burst  float64
	OfRate float64
	// Initial are the units that move from the coordinator into the host's
	// bucket, because leasing Burst leaves the coordinator no room for them.
	Initial float64
	Term    time.Duration
}

// Reply is the response to a Request.
type Reply struct {
	// NotCoordinator means that the receiver does not coordinate the
	// organisation under the given fence, or may not act now.
	NotCoordinator bool
	GrantID        uint64
	Amount         float64
	Term           time.Duration
	Lease          *Lease
	// RetryAfter is the time until the cheapest waiting request can be granted,
	// 0 if Need is met.
	RetryAfter time.Duration
}
