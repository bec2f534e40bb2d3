// Package truetime keeps the time of day of a host steady while its wall clock
// jumps. It counts from the clock that also runs while the host is suspended
// and corrects itself by the median of the peers.
package truetime

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tolerated is the difference to the peers' median that is left alone: hosts
	// that agree within it put a request into the same usage window in all but
	// three in a hundred cases. A busy host measures no better.
	tolerated = 150 * time.Millisecond
	// sampleAge is how long a peer's time is taken into account.
	sampleAge = 3 * time.Second
	// quorum is the number of peers' samples from which their median counts.
	quorum = 2
	// pauseLimit is the difference between the two steady clocks from which a
	// host counts as having been suspended.
	pauseLimit = 300 * time.Millisecond
)

// Source reads the clocks of the machine.
type Source interface {
	// Wall is the time of day.
	Wall() time.Time
	// Boot is a steady clock that counts suspension.
	Boot() time.Duration
}

type system struct{}

func (system) Wall() time.Time { return time.Now() }

func (system) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// System reads the machine's clocks.
func System() Source { return system{} }

// Clock is safe for concurrent use.
type Clock struct {
	source Source

	mu sync.Mutex
	// base is the Unix time at which the steady clock was 0.
	base    time.Duration
	samples map[string]sample
}

type sample struct {
	difference time.Duration
	at         time.Duration
}

// New returns a clock that starts from the wall clock.
func New(source Source) *Clock {
	return &Clock{
		source:  source,
		base:    time.Duration(source.Wall().UnixNano()) - source.Boot(),
		samples: map[string]sample{},
	}
}

// Now is the time of day, unaffected by jumps of the wall clock.
func (c *Clock) Now() time.Time {
	boot := c.source.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(c.base+boot))
}

// Observe takes the time of a peer, measured at the middle of the exchange, and
// returns the correction made.
func (c *Clock) Observe(peer string, theirs, ours time.Time) time.Duration {
	boot := c.source.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[peer] = sample{difference: theirs.Sub(ours), at: boot}
	differences := make([]time.Duration, 0, len(c.samples)+1)
	for name, s := range c.samples {
		if boot-s.at > sampleAge {
			delete(c.samples, name)
			continue
		}
		differences = append(differences, s.difference)
	}
	if len(differences) < quorum {
		return 0
	}
	// The host itself is one of those whose median decides.
	differences = append(differences, 0)
	slices.Sort(differences)
	median := differences[(len(differences)-1)/2]
	if median > -tolerated && median < tolerated {
		return 0
	}
	c.base += median
	clear(c.samples)
	return median
}

// PauseDetector tells whether the process stood still between two looks.
type PauseDetector struct {
	source Source
	last   time.Duration
	// limit is the time between two looks above which the process stood still.
	limit time.Duration
}

// NewPauseDetector returns a detector for looks that are made at least each
// interval.
func NewPauseDetector(source Source, interval time.Duration) *PauseDetector {
	return &PauseDetector{source: source, last: source.Boot(), limit: interval + pauseLimit}
}

// Look returns how long the process stood still since the last look, 0 if it
// did not.
func (p *PauseDetector) Look() time.Duration {
	now := p.source.Boot()
	passed := now - p.last
	p.last = now
	if passed > p.limit {
		return passed
	}
	return 0
}
