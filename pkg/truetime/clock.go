// Package truetime keeps a host's time of day steady while its wall clock jumps. The time
// advances with the monotonic clock that also runs while the host is suspended, and is
// corrected by the median of the peers' clocks.
package truetime

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tolerance is the difference to the peers' median that is not corrected. Hosts that
	// agree within it count a request in the same usage window in 97% of cases. On a
	// busy host, measurements are no more accurate than this.
	tolerance = 150 * time.Millisecond
	// maxSampleAge is how long a peer's sample is used.
	maxSampleAge = 3 * time.Second
	// minSamples is the number of peers' samples needed for a correction.
	minSamples = 2
	// pauseTolerance is how far the time between two checks may exceed their interval
	// before the process counts as paused.
	pauseTolerance = 300 * time.Millisecond
)

// Source reads the clocks of the machine.
type Source interface {
	// Wall returns the time of day of the wall clock, which may jump.
	Wall() time.Time
	// Boot returns the time of a monotonic clock that includes suspension.
	Boot() time.Duration
}

type systemSource struct{}

func (systemSource) Wall() time.Time { return time.Now() }

func (systemSource) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

// System returns the machine's clocks.
func System() Source { return systemSource{} }

// Clock is a corrected time of day. It is safe for concurrent use.
type Clock struct {
	source Source

	mu sync.Mutex
	// base is the Unix time at which the monotonic clock was 0.
	base time.Duration
	// samples are the latest samples by peer.
	samples map[string]sample
}

type sample struct {
	// difference is the peer's time minus this clock's.
	difference time.Duration
	// at is the time of the monotonic clock.
	at time.Duration
}

// New returns a clock that starts from the wall clock.
func New(source Source) *Clock {
	return &Clock{
		source:  source,
		base:    time.Duration(source.Wall().UnixNano()) - source.Boot(),
		samples: map[string]sample{},
	}
}

// Now returns the time of day, unaffected by jumps of the wall clock.
func (c *Clock) Now() time.Time {
	boot := c.source.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(c.base+boot))
}

// Observe takes a sample: the time of a peer, and this clock's time at the middle of the
// exchange with it. It returns the correction of the clock, or 0 if there is none.
func (c *Clock) Observe(peer string, theirs, ours time.Time) time.Duration {
	boot := c.source.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[peer] = sample{difference: theirs.Sub(ours), at: boot}
	differences := make([]time.Duration, 0, len(c.samples)+1)
	for name, s := range c.samples {
		if boot-s.at > maxSampleAge {
			delete(c.samples, name)
			continue
		}
		differences = append(differences, s.difference)
	}
	if len(differences) < minSamples {
		return 0
	}
	// The host itself counts as one sample.
	differences = append(differences, 0)
	slices.Sort(differences)
	median := differences[(len(differences)-1)/2]
	if median > -tolerance && median < tolerance {
		return 0
	}
	c.base += median
	clear(c.samples)
	return median
}

// PauseDetector detects pauses of the process, such as a suspension of the host, between
// two checks.
type PauseDetector struct {
	source    Source
	lastCheck time.Duration
	// maxGap is the time between two checks above which the process was paused.
	maxGap time.Duration
}

// NewPauseDetector returns a detector for checks that are at most an interval apart.
func NewPauseDetector(source Source, interval time.Duration) *PauseDetector {
	return &PauseDetector{source: source, lastCheck: source.Boot(), maxGap: interval + pauseTolerance}
}

// Check returns the time since the last check if the process was paused since then, and 0
// otherwise.
func (p *PauseDetector) Check() time.Duration {
	now := p.source.Boot()
	passed := now - p.lastCheck
	p.lastCheck = now
	if passed > p.maxGap {
		return passed
	}
	return 0
}
