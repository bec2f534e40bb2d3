package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// A server may state in its responses how many requests it takes in a second from all hosts
// together. Hosts divide such a limit without asking each other: for each server they pick
// the same users by rendezvous hashing, and each user has an equal part of the limit as a
// token bucket of its own. The others leave the server alone. Hosts pass statements on, so
// that a host which is no user learns of a limit and of its end.

// NoLimit is the limit of a server that takes any number of requests.
var NoLimit = math.Inf(1)

const (
	// minLimit is the rate at which a server with a lower limit is still asked, so that the
	// end of the limit is noticed. Unit: requests per second.
	minLimit = 0.25
	// limitOverlap is the time in which no response must have stated a limit for one without
	// it to count, and the time between two of these that end the limit: responses may
	// overtake each other, and a faulty one may lack the field.
	limitOverlap = 500 * time.Millisecond
	// limitTTL is the time after which a limit that no response has stated again is dropped:
	// the update with its end may have been lost.
	limitTTL = 30 * time.Second
	// limitRefresh is the interval at which hosts tell each other that a server still states
	// a limit.
	limitRefresh = 10 * time.Second
	// burstFactor and burstRequests determine how many requests all users of a server send
	// at once after a pause: the factor times the limit of one second plus burstRequests.
	burstFactor   = 1.5
	burstRequests = 3
)

// LimitStatement is what a server has stated about its limit. Its fields are exported for
// net/rpc.
type LimitStatement struct {
	Backend     model.BackendID
	Incarnation int64
	// PerSecond is the limit for all hosts together, NoLimit if there is none any more. If it
	// is Observed and not positive, it is the negative number of requests with which the
	// sender has had failures.
	// Unit: requests per second.
	PerSecond float64
	// Age is the time since the response that stated it arrived.
	Age time.Duration
	// Observed is set if a host found the limit from the server's responses, and not set if
	// the server stated it.
	Observed bool
}

// statedLimit is the latest statement about a server's limit.
type statedLimit struct {
	perSecond float64
	// at is when the response that stated it arrived at the host that received it.
	at time.Time
	// sharedAt is at of the latest statement that this host has told its peers or heard from
	// one.
	sharedAt time.Time
	// unreported is set until the peers are told.
	unreported bool
	// missingSince is when a response without the limit arrived after the latest with it, the
	// zero time if none has. probed is set once a request was sent since to learn whether the
	// limit has ended.
	missingSince time.Time
	probed       bool
}

// missing records a response without the limit, and reports whether the limit has ended.
func (l *statedLimit) missing(now time.Time) bool {
	if now.Sub(l.at) > limitTTL {
		return true
	}
	if now.Sub(l.at) < limitOverlap {
		return false
	}
	if l.missingSince.IsZero() || l.missingSince.Before(l.at) {
		l.missingSince, l.probed = now, false
		return false
	}
	return now.Sub(l.missingSince) >= limitOverlap
}

// probeDue reports whether a request may be sent without a turn, to learn whether the limit
// has ended: at a low limit the next turn is far away.
func (l *statedLimit) probeDue(now time.Time) bool {
	return !l.probed && l.missingSince.After(l.at) && now.Sub(l.missingSince) >= limitOverlap
}

// SetLiveHosts sets the names of the hosts that may be sending requests, this one included.
func (f *Fleet) SetLiveHosts(self string, hosts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts = slices.Clone(hosts)
	slices.Sort(hosts)
	if f.self == self && slices.Equal(f.hosts, hosts) {
		return
	}
	f.self, f.hosts = self, hosts
	for _, s := range f.servers {
		f.divideLimit(s)
		if s.pace != nil {
			f.dividePace(s)
		}
	}
}

// NoteLimit records the limit that a response of a server states, NoLimit if it states none,
// NaN if it cannot be read. It reports whether the limit is new.
func (f *Fleet) NoteLimit(b *Backend, perSecond float64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := life{b.ID, b.Incarnation}
	known := f.limits[key]
	switch {
	case math.IsNaN(perSecond):
		return false
	case known == nil && perSecond == NoLimit:
		return false
	case known != nil && known.perSecond == perSecond:
		known.at = now
		return false
	case known != nil && perSecond == NoLimit && !known.missing(now):
		return false
	}
	f.setLimit(key, statedLimit{perSecond: perSecond, at: now, unreported: true}, now)
	return true
}

// HandleLimits applies the statements about limits that a peer passes on.
func (f *Fleet) HandleLimits(statements []LimitStatement, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range statements {
		if s.Observed {
			f.handlePace(s, now)
			continue
		}
		key := life{s.Backend, s.Incarnation}
		stated := statedLimit{perSecond: s.PerSecond, at: now.Add(-s.Age)}
		known := f.limits[key]
		switch {
		case math.IsNaN(s.PerSecond) || known == nil && s.PerSecond == NoLimit:
		case known == nil || stated.at.After(known.at) && known.perSecond != s.PerSecond:
			f.setLimit(key, stated, now)
		case known.perSecond == s.PerSecond:
			known.at = later(known.at, stated.at)
			known.sharedAt = later(known.sharedAt, stated.at)
		default:
			// The peer has not heard of the later statement.
			known.unreported = true
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setLimit replaces the statement about a server's limit. The caller holds f.mu.
func (f *Fleet) setLimit(key life, stated statedLimit, now time.Time) {
	if f.limits[key] == nil {
		for k, l := range f.limits {
			if now.Sub(l.at) > noticeTTL && f.servers[k.id] == nil {
				delete(f.limits, k)
			}
		}
	}
	stated.sharedAt = stated.at
	f.limits[key] = &stated
	if s := f.servers[key.id]; s != nil && s.Incarnation == key.incarnation {
		f.divideLimit(s)
	}
}

// Limits returns the statements that the peers have not been told. If full is set, it adds
// the limits of the servers among whose users this host is the first, and those of which
// hosts have not told each other for limitRefresh.
func (f *Fleet) Limits(full bool, now time.Time) []LimitStatement {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.paces(full, now)
	for key, l := range f.limits {
		s := f.servers[key.id]
		repeat := full && s != nil && s.Incarnation == key.incarnation && !s.turns.unlimited(now) &&
			(s.turns.rank == 0 || l.at.Sub(l.sharedAt) > limitRefresh)
		if l.unreported || repeat {
			list = append(list, LimitStatement{Backend: key.id, Incarnation: key.incarnation, PerSecond: l.perSecond, Age: now.Sub(l.at)})
			l.unreported, l.sharedAt = false, l.at
		}
	}
	slices.SortFunc(list, func(a, b LimitStatement) int { return cmp.Compare(a.Backend, b.Backend) })
	return list
}

// userRank returns this host's rank among hosts as a user of a server. The caller holds f.mu.
func (f *Fleet) userRank(id model.BackendID, hosts []string) int {
	own := userHash(f.self, id)
	rank := 0
	for _, host := range hosts {
		if h := userHash(host, id); h > own || h == own && host < f.self {
			rank++
		}
	}
	return rank
}

func userHash(host string, id model.BackendID) uint64 {
	return rendezvousHash(xxhash.Sum64String(host), id)
}

// divideLimit computes this host's part of a server's limit. The caller holds f.mu.
func (f *Fleet) divideLimit(s *server) {
	l := f.limits[life{s.ID, s.Incarnation}]
	if l == nil || l.perSecond == NoLimit {
		s.turns = nil
		return
	}
	limit := max(l.perSecond, minLimit)
	burst := burstFactor*limit + burstRequests
	users := max(int(min(burst, float64(len(f.hosts)))), 1)
	rank := f.userRank(s.ID, f.hosts)
	// The users begin one after the other.
	divided := &turns{stated: l, rank: rank, updatedAt: l.at, level: 1 - float64(rank+1)/float64(users)}
	if rank < users {
		divided.rate, divided.depth = limit/float64(users), burst/float64(users)
	}
	if s.turns != nil {
		divided.updatedAt, divided.level = s.turns.updatedAt, s.turns.level
	}
	divided.level = min(divided.level, divided.depth)
	s.turns = divided
}
