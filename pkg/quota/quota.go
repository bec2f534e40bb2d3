// Package quota enforces the quotas of organisations over all hosts together.
// Each host tells its peers how much it has admitted; a host admits a request
// while the sum leaves room. What hosts admit before they hear of each other
// becomes a debt that later requests wait out, so that the sum over any window
// stays within the quota plus what one exchange lets pass. A host that hears
// from few peers keeps to the share of those it hears.
package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Limits are the quota of an organisation.
type Limits struct {
	// Rate is the quota. Unit: tokens or requests per second.
	Rate float64
	// Burst is what may be used at once.
	Burst float64
}

// Unlimited tells whether there is no quota.
func (l Limits) Unlimited() bool { return l.Rate <= 0 }

// peerForgotten is how long a silent peer keeps its share. A host that is cut off
// keeps to that share by itself.
const peerForgotten = 12 * time.Second

// startShareMost bounds the burst of a host that has just started: it may not
// have met its peers yet.
const startShareMost = 0.25

// peerSilent is the silence from which a peer's use is no longer known.
const peerSilent = 1200 * time.Millisecond

// Book keeps the quotas of all organisations as one host sees them. It is safe
// for concurrent use.
type Book struct {
	started time.Time
	// limits tells the quota of an organisation.
	limits func(model.OrganisationID) Limits

	mu      sync.Mutex
	buckets map[model.OrganisationID]*bucket
	// admitted is what this host admitted since it started.
	admitted map[model.OrganisationID]float64
	peers    map[string]*peerUse
}

type bucket struct {
	limits Limits
	level  float64
	at     time.Time
}

type peerUse struct {
	incarnation string
	admitted    map[model.OrganisationID]float64
	heard       time.Time
}

// NewBook returns an empty book of a host that starts now. limits tells the quota
// of an organisation in the configuration in force.
func NewBook(now time.Time, limits func(model.OrganisationID) Limits) *Book {
	return &Book{
		started:  now,
		limits:   limits,
		buckets:  map[model.OrganisationID]*bucket{},
		admitted: map[model.OrganisationID]float64{},
		peers:    map[string]*peerUse{},
	}
}

// Admit takes the cost of a request from an organisation's quota. Where there
// is no room it returns how long it takes until there is.
func (b *Book) Admit(org model.OrganisationID, cost float64, now time.Time) (ok bool, wait time.Duration) {
	limits := b.limits(org)
	if limits.Unlimited() {
		b.mu.Lock()
		b.admitted[org] += cost
		b.mu.Unlock()
		return true, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.share(now)
	k := b.bucket(org, limits, share, now)
	// A request that is larger than the burst passes when the bucket is full.
	need := min(cost, limits.Burst*share)
	if k.level < need {
		missing := (need - k.level) / (limits.Rate * share)
		return false, time.Duration(missing * float64(time.Second))
	}
	k.level -= cost
	b.admitted[org] += cost
	return true, 0
}

// Return gives back the cost of a request that has not run.
func (b *Book) Return(org model.OrganisationID, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admitted[org] -= cost
	if k := b.buckets[org]; k != nil {
		k.level += cost
	}
}

// bucket returns the refilled bucket of an organisation.
func (b *Book) bucket(org model.OrganisationID, limits Limits, share float64, now time.Time) *bucket {
	k := b.buckets[org]
	if k == nil {
		// An organisation that has sent nothing since the start of the host may
		// have used its quota at others before.
		k = &bucket{limits: limits, level: limits.Burst * b.startShare(), at: b.started}
		b.buckets[org] = k
	}
	if k.limits != limits {
		// A lower quota holds at once; a higher one fills up by its rate.
		k.limits = limits
		k.level = min(k.level, limits.Burst)
	}
	k.refill(share, now)
	return k
}

// startShare is the part of a burst that a host may use before it has heard how
// much of it others have used.
func (b *Book) startShare() float64 {
	return min(startShareMost, 1/float64(len(b.peers)+1))
}

// share is the part of a quota that is used by the hosts that hear each other.
func (b *Book) share(now time.Time) float64 {
	heard, known := 1, 1
	for _, p := range b.peers {
		silence := now.Sub(p.heard)
		if silence > peerForgotten {
			continue
		}
		known++
		if silence <= peerSilent {
			heard++
		}
	}
	return float64(heard) / float64(known)
}

func (k *bucket) refill(share float64, now time.Time) {
	passed := now.Sub(k.at).Seconds()
	if passed <= 0 {
		return
	}
	k.at = now
	k.level = min(k.level+passed*k.limits.Rate*share, k.limits.Burst*share)
}

// Admitted copies what this host has admitted, for its peers.
func (b *Book) Admitted() map[model.OrganisationID]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.admitted)
}

// Hear takes what a peer has admitted since it started. What is new is taken
// from the organisations' buckets, also beyond 0.
func (b *Book) Hear(host, incarnation string, admitted map[model.OrganisationID]float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[host]
	if p == nil || p.incarnation != incarnation {
		first := p == nil || p.incarnation == ""
		p = &peerUse{incarnation: incarnation, admitted: map[model.OrganisationID]float64{}}
		b.peers[host] = p
		if first {
			// Use from before the first message says nothing on the current window.
			p.admitted = maps.Clone(admitted)
			if p.admitted == nil {
				p.admitted = map[model.OrganisationID]float64{}
			}
			p.heard = now
			return
		}
	}
	p.heard = now
	share := b.share(now)
	for org, sum := range admitted {
		if limits := b.limits(org); !limits.Unlimited() {
			b.bucket(org, limits, share, now).level -= sum - p.admitted[org]
		}
		p.admitted[org] = sum
	}
}

// Peer notes that a host exists, before it has been heard of.
func (b *Book) Peer(host string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers[host] == nil {
		b.peers[host] = &peerUse{admitted: map[model.OrganisationID]float64{}, heard: now}
	}
}

// Leave forgets a host that has stopped.
func (b *Book) Leave(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, host)
}
