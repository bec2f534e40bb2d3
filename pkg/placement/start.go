package placement

import (
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// A cold server tolerates few requests a second and crashes above that. Hosts divide what it
// tolerates like a limit that a server states, among few of them, but by all members that
// they know: a host that is cut off from the others keeps its part, and no other host may
// take it over meanwhile.

const (
	// coldMargin is the share of the bound on requests to a cold server that is used. The
	// rest is for requests whose ways take different times.
	coldMargin = 0.9
	// minColdDepth is the burst that is needed to send single requests.
	minColdDepth = 1
)

// start is the state of the cold and the slow start of a server in one life.
type start struct {
	// known is set once the life has been noted.
	known bool
	// coldUntil is the time until which the server is cold, statedCold is set while its
	// latest registration states that it is.
	coldUntil  time.Time
	statedCold bool
	// coldTurns is this host's part of what a cold server tolerates, nil if it is warm.
	coldTurns *turns
	// pace is the rate limit found for a server that starts or recovers, paceTurns this
	// host's part of it. Both are nil if it has none.
	pace      *pace
	paceTurns *turns
	// paceEndedAt is when the latest pace ended. endUnreported is set until the peers are
	// told, endStatedUntil is until when they are told again.
	paceEndedAt, endStatedUntil time.Time
	endUnreported               bool
	// paceStatedAt is when the peers were told of a pace or its end.
	paceStatedAt time.Time
	// failures counts the latest failures with the server, of which the last was at
	// failedAt. unreportedFailures are those of this host that the peers have not been told.
	failures, unreportedFailures int
	failedAt                     time.Time
	// inTimeAt is when the latest response in time arrived.
	inTimeAt time.Time
}

// SetMembers sets the names of all hosts that may be there, also silent ones.
func (f *Fleet) SetMembers(members []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	members = slices.Clone(members)
	slices.Sort(members)
	if slices.Equal(f.members, members) {
		return
	}
	f.members = members
	for _, s := range f.servers {
		if s.coldTurns != nil {
			f.divideColdRate(s)
		}
	}
}

// NoteCold records until when a server is cold according to its registration, after each
// Update with a registration. A time that is not after now means that the server is warm.
func (f *Fleet) NoteCold(id model.BackendID, incarnation int64, until, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || s.Incarnation != incarnation {
		return
	}
	f.noteLife(s, until.After(now), now)
	f.noteColdChange(s, until, now)
	s.coldUntil = until
	switch {
	case !until.After(now) || s.tolerates() <= 0:
		s.coldTurns = nil
	case s.coldTurns.unlimited(now):
		s.coldTurns = &turns{updatedAt: now}
		f.divideColdRate(s)
		// The users begin one after the other.
		s.coldTurns.level = max(0, s.coldTurns.depth-float64(s.coldTurns.rank)/float64(f.coldUsers(s)))
	default:
		s.coldTurns.until = until
	}
}

// noteColdChange queues an event if the server was warm and is cold until a time, or the
// reverse. The caller holds f.mu.
func (f *Fleet) noteColdChange(s *server, until, now time.Time) {
	switch cold := until.After(now); {
	case cold && !s.statedCold && s.Start != nil:
		f.queueStartEvent(s, "backend server is cold", s.Start.ColdPerSecond)
		s.statedCold = true
	case !cold && s.statedCold:
		f.queueStartEvent(s, "backend server is warm", 0)
		s.statedCold = false
	}
}

// tolerates returns the rate that the server tolerates while it is cold, 0 if its service states
// none. Unit: requests per second.
func (s *server) tolerates() float64 {
	if s.Start == nil {
		return 0
	}
	return s.Start.ColdPerSecond
}

// coldBucket returns the rate and the burst of a cold server for all hosts together, whose
// sum is what they send in any second at most.
func (f *Fleet) coldBucket(s *server) (rate, depth float64) {
	perSecond := s.tolerates()
	bound := coldMargin * (f.settings.ColdOvershoot*perSecond + f.settings.ColdSlack)
	rate = min(perSecond, bound-minColdDepth)
	if rate <= 0 {
		return bound / 2, minColdDepth
	}
	return rate, bound - rate
}

// coldUsers returns the number of hosts that use a cold server. It does not depend on the
// number of hosts: a host that knows too few others must not take a larger part.
func (f *Fleet) coldUsers(s *server) int {
	_, depth := f.coldBucket(s)
	return max(int(depth), 1)
}

// divideColdRate computes this host's part of what a cold server tolerates. The caller holds
// f.mu.
func (f *Fleet) divideColdRate(s *server) {
	rate, depth := f.coldBucket(s)
	users := f.coldUsers(s)
	t := s.coldTurns
	t.until, t.rank = s.coldUntil, f.userRank(s.ID, f.members)
	t.rate, t.depth = 0, 0
	if t.rank < users {
		t.rate, t.depth = rate/float64(users), depth/float64(users)
	}
	t.level = min(t.level, t.depth)
}
