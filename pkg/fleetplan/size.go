package fleetplan

import "time"

// Time constants of scaling down.
const (
	// stepInterval is the interval between two steps down. It is long enough for a peak in
	// prefill to raise the demand estimate.
	stepInterval = smoothingTime + time.Second
	// lossHoldTime is how long no engine is released after engines were missing. Their
	// cached parts have to be prefilled again first, and engines are rarely lost one at a
	// time.
	lossHoldTime = 15 * time.Second
)

// SizeController controls the number of engines of a service. The number grows with the
// demand at once and shrinks in steps: a released engine loses its cache, and a load that
// swings within seconds may need the engine again before a new one has started.
type SizeController struct {
	total int
	// nextStep is the earliest time of the next step down.
	nextStep time.Time
}

// Next returns how many engines to keep, given the number that the plan needs. have is the
// number of engines that accept requests, step the number that may be released at once.
func (s *SizeController) Next(needed, have, step int, now time.Time) int {
	postponeStep := func(d time.Duration) {
		if at := now.Add(d); at.After(s.nextStep) {
			s.nextStep = at
		}
	}
	switch {
	case needed >= s.total:
		if s.total == 0 {
			postponeStep(stepInterval)
		}
		s.total = needed
	case have < s.total:
		postponeStep(lossHoldTime)
	case !now.Before(s.nextStep):
		s.total = max(needed, s.total-max(step, 1))
		s.nextStep = now.Add(stepInterval)
	}
	return s.total
}
