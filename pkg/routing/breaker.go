package routing

import (
	"time"
)

// failureThreshold is the number of consecutive failures that open the breaker.
// A single crash opens it at once. Once it is open or half-open, every failure
// opens it again.
const failureThreshold = 3

// breaker is a circuit breaker that keeps new requests away from a failing
// backend server. While it is half-open, it lets one probe pass at a time.
type breaker struct {
	failures  int
	openings  int
	openUntil time.Time
	// probing is set while a probe is in flight.
	probing bool
}

func (b *breaker) isOpen() bool {
	return !b.openUntil.IsZero()
}

// allows reports whether new requests may go to the backend server.
func (b *breaker) allows(now time.Time) bool {
	if !b.isOpen() {
		return true
	}
	return !b.probing && !now.Before(b.openUntil)
}

func (b *breaker) recordFailure(s *Settings, crashed bool, jitter float64, now time.Time) {
	b.failures++
	if !crashed && b.failures < failureThreshold && !b.isOpen() {
		return
	}
	openFor := s.BreakerMinOpen << min(b.openings, 10)
	openFor = min(openFor, s.BreakerMaxOpen)
	// Jitter keeps the hosts that saw the same failure from probing at the same
	// time.
	openFor += time.Duration(jitter * float64(openFor))
	b.openings++
	b.openUntil = now.Add(openFor)
	b.probing = false
}

func (b *breaker) recordSuccess() {
	*b = breaker{}
}

// stalled reports whether requests wait on the backend server without progress.
func (e *entry) stalled(s *Settings, now time.Time) bool {
	return e.waiting > 0 && now.Sub(e.lastProgress) > s.NoProgressTimeout
}

func (e *entry) healthy(s *Settings, now time.Time) bool {
	return e.breaker.allows(now) && !e.stalled(s, now)
}
