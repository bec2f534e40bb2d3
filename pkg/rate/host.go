package rate

import (
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

const (
	// grantDemandWindow is the time over which the demand is averaged for grants,
	// leaseDemandWindow that for leases. A lease that follows short fluctuations
	// leaves units unused at one host while another host rejects requests.
	grantDemandWindow = time.Second
	leaseDemandWindow = 10 * time.Second
	// grantBufferTime is the time for which the grants of a host should cover its
	// demand.
	grantBufferTime = 300 * time.Millisecond
	// returnBeforeExpiry is how long before a grant expires its unspent units are
	// returned.
	returnBeforeExpiry = 400 * time.Millisecond
	// leaseRenewInterval is how often a host with demand renews its lease.
	leaseRenewInterval = time.Second
)

// Host keeps and spends the grants and leases of one host. It is not safe for
// concurrent use.
type Host struct {
	key      HostKey
	accounts map[model.OrganisationID]*hostAccount
}

type heldGrant struct {
	id        uint64
	remaining float64
	spent     float64
	expires   time.Time
}

type heldLease struct {
	Lease
	level   float64
	updated time.Time
	expires time.Time
}

type hostAccount struct {
	grants      []heldGrant
	lease       *heldLease
	grantDemand rateAverage
	leaseDemand rateAverage
	// pendingCost is the cost of the requests that wait for the next request to
	// the coordinator, leastCost that of the cheapest.
	pendingCost float64
	leastCost   float64
	// currentRate is the organisation's rate at the last call of Take.
	currentRate float64
	sequence    uint64
	requestedAt time.Time
	// retryAt is when the coordinator expects units to be available again.
	retryAt time.Time
}

// NewHost returns the state of one incarnation of a host, without grants and
// leases.
func NewHost(key HostKey) *Host {
	return &Host{key: key, accounts: make(map[model.OrganisationID]*hostAccount)}
}

func (h *Host) account(org model.OrganisationID, now time.Time) *hostAccount {
	a, ok := h.accounts[org]
	if !ok {
		a = &hostAccount{grantDemand: newRateAverage(grantDemandWindow, now), leaseDemand: newRateAverage(leaseDemandWindow, now)}
		h.accounts[org] = a
	}
	return a
}

// RecordDemand adds cost units to the offered load. It is called once per request.
func (h *Host) RecordDemand(org model.OrganisationID, cost float64, now time.Time) {
	a := h.account(org, now)
	a.grantDemand.add(cost, now)
	a.leaseDemand.add(cost, now)
}

// Take spends cost units and reports whether the host held them. currentRate is
// the organisation's currently configured rate. If it is lower than when the lease
// was issued, the lease accrues units more slowly in proportion.
func (h *Host) Take(org model.OrganisationID, cost, currentRate float64, now time.Time) bool {
	a := h.account(org, now)
	a.currentRate = currentRate
	a.expire(now)
	a.refillLease(currentRate, now)
	if a.availableUnits() < cost {
		return false
	}
	a.spend(cost)
	return true
}

// AddPending adds the cost of a request for which Take returned false to the need
// of the next request to the coordinator.
func (h *Host) AddPending(org model.OrganisationID, cost float64, now time.Time) {
	a := h.account(org, now)
	if a.pendingCost == 0 || cost < a.leastCost {
		a.leastCost = cost
	}
	a.pendingCost += cost
}

// RetryAfter returns the coordinator's estimate of the time until units are
// available.
func (h *Host) RetryAfter(org model.OrganisationID, now time.Time) time.Duration {
	return max(h.account(org, now).retryAt.Sub(now), 0)
}

// NextRequest builds the next request to the coordinator. The caller passes the
// reply to ApplyReply and does nothing if no reply arrives; by the sequence the
// coordinator recognises settlements that it has already applied.
func (h *Host) NextRequest(org model.OrganisationID, fence model.Offset, now time.Time) Request {
	a := h.account(org, now)
	a.expire(now)
	grantDemand := a.grantDemand.estimate(now)
	a.sequence++
	a.requestedAt = now
	settlements := a.settlements(now)
	availableUnits := a.availableUnits()
	need := max(a.pendingCost-availableUnits, 0)
	leastCost := max(a.leastCost-availableUnits, 0)
	a.pendingCost, a.leastCost = 0, 0
	r := Request{
		Organisation: org,
		Host:         h.key,
		Fence:        fence,
		Sequence:     a.sequence,
		Need:         need,
		Least:        leastCost,
		Want:         need + max(grantDemand*grantBufferTime.Seconds()-a.grantedUnits(), 0),
		Demand:       a.leaseDemand.estimate(now),
		Settlements:  settlements,
	}
	if a.lease != nil {
		r.LeaseID = a.lease.ID
	}
	return r
}

// settlements reports the units spent since the last request and returns the
// remainder of grants that expire soon. If the request is lost, the coordinator
// counts these units as unspent until the grant expires, so it never grants too
// much.
func (a *hostAccount) settlements(now time.Time) []Settlement {
	var list []Settlement
	for i := range a.grants {
		g := &a.grants[i]
		s := Settlement{GrantID: g.id, Spent: g.spent}
		g.spent = 0
		if g.expires.Sub(now) < returnBeforeExpiry {
			s.Returned = g.remaining
			g.remaining = 0
		}
		list = append(list, s)
	}
	return list
}

// RequestDue reports whether the host should send another request: its grants
// run low, or its lease needs renewal while there is demand.
func (h *Host) RequestDue(org model.OrganisationID, now time.Time) bool {
	a, ok := h.accounts[org]
	if !ok {
		return false
	}
	a.expire(now)
	grantDemand := a.grantDemand.estimate(now)
	if grantDemand < demandFloor || now.Before(a.retryAt) {
		return false
	}
	return a.grantedUnits() < grantDemand*grantBufferTime.Seconds()/2 && now.Sub(a.requestedAt) > grantBufferTime/4 ||
		now.Sub(a.requestedAt) >= leaseRenewInterval
}

// Organisations lists the organisations that the host has seen.
func (h *Host) Organisations() []model.OrganisationID {
	ids := make([]model.OrganisationID, 0, len(h.accounts))
	for id := range h.accounts {
		ids = append(ids, id)
	}
	return ids
}

// ApplyReply applies the coordinator's reply to a request that was sent at sentAt.
// Terms count from sentAt, so a grant or lease that arrives after its term is
// ignored.
func (h *Host) ApplyReply(org model.OrganisationID, reply Reply, sentAt, now time.Time) {
	a := h.account(org, now)
	a.retryAt = now.Add(reply.RetryAfter)
	if reply.Amount > 0 && now.Before(sentAt.Add(reply.Term)) {
		a.grants = append(a.grants, heldGrant{id: reply.GrantID, remaining: reply.Amount, expires: sentAt.Add(reply.Term)})
	}
	if reply.Lease != nil && now.Before(sentAt.Add(reply.Lease.Term)) {
		a.replaceLease(*reply.Lease, sentAt, now)
	}
}

func (a *hostAccount) replaceLease(l Lease, sentAt, now time.Time) {
	if a.lease != nil && l.ID < a.lease.ID && now.Before(a.lease.expires) {
		// A reply that arrives out of order must not restore a replaced lease.
		return
	}
	level := l.Initial
	if a.lease != nil {
		// Units in the bucket of the old lease carry over.
		a.refillLease(a.currentRate, now)
		level += a.lease.level
	}
	level = min(level, l.Burst)
	a.lease = &heldLease{Lease: l, level: level, updated: now, expires: sentAt.Add(l.Term)}
}

// expire drops the grants and the lease whose terms have ended.
func (a *hostAccount) expire(now time.Time) {
	a.grants = slices.DeleteFunc(a.grants, func(g heldGrant) bool { return !now.Before(g.expires) })
	if a.lease != nil && !now.Before(a.lease.expires) {
		a.lease = nil
	}
}

func (a *hostAccount) refillLease(currentRate float64, now time.Time) {
	l := a.lease
	if l == nil || !now.After(l.updated) {
		return
	}
	rate := l.Rate
	if currentRate < l.OfRate {
		rate *= currentRate / l.OfRate
	}
	l.level = min(l.level+rate*now.Sub(l.updated).Seconds(), l.Burst)
	l.updated = now
}

func (a *hostAccount) grantedUnits() (units float64) {
	for _, g := range a.grants {
		units += g.remaining
	}
	return units
}

func (a *hostAccount) availableUnits() float64 {
	units := a.grantedUnits()
	if a.lease != nil {
		units += a.lease.level
	}
	return units
}

// spend uses the lease first, because its bucket refills without a request, and
// then the grants in order of expiry.
func (a *hostAccount) spend(cost float64) {
	if a.lease != nil {
		part := min(cost, a.lease.level)
		a.lease.level -= part
		cost -= part
	}
	for i := range a.grants {
		g := &a.grants[i]
		part := min(cost, g.remaining)
		g.remaining -= part
		g.spent += part
		cost -= part
	}
}
