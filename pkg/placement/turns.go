package placement

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

const (
	// maxTurnHold bounds the time between a turn and its request.
	maxTurnHold = 500 * time.Millisecond
	// maxReturnDelay bounds the time until a refused caller's turn.
	maxReturnDelay = 2 * time.Second
)

// turns is this host's part of a limit of a server, as a token bucket. A nil value stands for
// a server without a limit.
type turns struct {
	// stated is the server's statement of the limit, nil if the limit follows from its cold
	// start.
	stated *statedLimit
	// until is when a limit without a statement ends.
	until time.Time
	// rank is this host's rank among the server's users.
	rank int
	// rate is the part of the limit, 0 if this host is not among the server's users. Unit:
	// requests per second.
	rate float64
	// depth is the number of requests that may be sent at once.
	depth float64
	// level is the number of requests that may be sent now. It is negative after requests
	// that were placed at the same time.
	level     float64
	updatedAt time.Time
}

func (t *turns) refill(now time.Time) {
	if elapsed := now.Sub(t.updatedAt).Seconds(); elapsed > 0 {
		t.level = min(t.level+elapsed*t.rate, t.depth)
		t.updatedAt = now
	}
}

// unlimited reports whether the limit has ended.
func (t *turns) unlimited(now time.Time) bool {
	switch {
	case t == nil:
		return true
	case t.stated == nil:
		return !now.Before(t.until)
	}
	return now.Sub(t.stated.at) > limitTTL
}

// probeDue reports whether a request may be sent without a turn.
func (t *turns) probeDue(now time.Time) bool { return t.stated != nil && t.stated.probeDue(now) }

// free reports whether a request may be sent now.
func (t *turns) free(now time.Time) bool {
	if t.unlimited(now) {
		return true
	}
	t.refill(now)
	return t.rate > 0 && t.level >= 1 || t.probeDue(now)
}

// take takes a turn for a request that is about to be sent, and reports whether the server
// has a limit.
func (t *turns) take(now time.Time) bool {
	if t.unlimited(now) {
		return false
	}
	t.refill(now)
	if t.probeDue(now) {
		t.stated.probed = true
		return true
	}
	t.level--
	return true
}

// giveBack returns a turn that was not used.
func (t *turns) giveBack() {
	if t != nil {
		t.level = min(t.level+1, t.depth)
	}
}

// next returns when the next request may be sent, and false if never.
func (t *turns) next(now time.Time) (time.Time, bool) {
	if t.free(now) {
		return now, true
	}
	if t.rate <= 0 {
		return time.Time{}, false
	}
	return now.Add(time.Duration((1 - t.level) / t.rate * float64(time.Second))), true
}

// A server may have several limits. A request needs a turn of each.

func (s *server) allTurns() []*turns { return []*turns{s.turns, s.coldTurns, s.paceTurns} }

// limits are the limits because of which requests are refused. A pace is not among them.
func (s *server) limits() []*turns { return []*turns{s.turns, s.coldTurns} }

// unlimited reports whether the server has no limit, apart from its pace.
func (s *server) unlimited(now time.Time) bool {
	return s.turns.unlimited(now) && s.coldTurns.unlimited(now)
}

// hasTurn reports whether the limits of the server, apart from its pace, allow this host a
// request now.
func (s *server) hasTurn(now time.Time) bool { return s.turns.free(now) && s.coldTurns.free(now) }

// takeTurn takes a turn of each limit for a request that is about to be sent, and returns
// the limits.
func (s *server) takeTurn(now time.Time) (taken []*turns) {
	for _, t := range s.allTurns() {
		if t.take(now) {
			taken = append(taken, t)
		}
	}
	if s.paceTurns != nil {
		// Requests that ignore the pace do not postpone the next turn for long.
		s.paceTurns.level = max(s.paceTurns.level, -s.paceTurns.depth)
	}
	return taken
}

// nextTurn returns when the limits, apart from the pace, allow the next request, and false if never.
func (s *server) nextTurn(now time.Time) (time.Time, bool) {
	latest := now
	for _, t := range s.limits() {
		at, ok := t.next(now)
		if !ok {
			return at, false
		}
		latest = later(latest, at)
	}
	return latest, true
}

// turnRate returns the rate that the limits, apart from the pace, allow this host, 0 if there
// are none. Unit: requests per second.
func (s *server) turnRate(now time.Time) (rate float64) {
	for _, t := range s.limits() {
		if !t.unlimited(now) && (rate == 0 || t.rate < rate) {
			rate = t.rate
		}
	}
	return rate
}

// ReturnTime returns when a caller that no server of a service admits now is expected to be
// admitted if it comes back, and false if no server has a limit or a pause that ends the
// wait. Each call stands for one caller, and later callers get later times.
func (f *Fleet) ReturnTime(name model.PoolName, now time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.returnTime(f.service(name), now)
}

// returnTime is ReturnTime for a service. The caller holds f.mu.
func (f *Fleet) returnTime(k *service, now time.Time) (time.Time, bool) {
	earliest, rate := time.Time{}, 0.0
	for _, s := range k.servers {
		if s.Leaving || s.evacuated || s.unlimited(now) && !s.paused(now) {
			continue
		}
		at, ok := s.nextTurn(now)
		if !ok {
			continue
		}
		rate += s.turnRate(now)
		if s.paused(now) && s.pausedUntil.After(at) {
			at = s.pausedUntil
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	if earliest.IsZero() {
		return time.Time{}, false
	}
	latest := now.Add(maxReturnDelay)
	at := later(k.nextReturn, earliest)
	if !at.Before(latest) {
		k.nextReturn = latest
		return latest, true
	}
	if rate > 0 {
		k.nextReturn = at.Add(time.Duration(float64(time.Second) / rate))
	}
	return at, true
}
