package truetime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

type fakeSource struct {
	wall time.Time
	boot time.Duration
}

func (s *fakeSource) Wall() time.Time     { return s.wall }
func (s *fakeSource) Boot() time.Duration { return s.boot }

func (s *fakeSource) advance(d time.Duration) {
	s.wall = s.wall.Add(d)
	s.boot += d
}

var start = time.Unix(1700000000, 0)

func TestNowIgnoresJumpsOfTheWallClock(t *testing.T) {
	s := &fakeSource{wall: start}
	c := New(s)
	s.wall = s.wall.Add(-40 * time.Minute)
	s.advance(3 * time.Second)
	assert.WithinDuration(t, start.Add(3*time.Second), c.Now(), 0)
}

func TestClockStartedDuringAJumpFollowsItsPeers(t *testing.T) {
	s := &fakeSource{wall: start.Add(2400 * time.Millisecond)}
	c := New(s)
	assert.Zero(t, c.Observe("a", start, c.Now()), "a single peer may itself be wrong")
	c.Observe("b", start.Add(5*time.Millisecond), c.Now())
	c.Observe("c", start, c.Now())
	assert.WithinDuration(t, start, c.Now(), 20*time.Millisecond)
}

func TestOneWrongPeerIsIgnored(t *testing.T) {
	s := &fakeSource{wall: start}
	c := New(s)
	for range 3 {
		c.Observe("wrong", c.Now().Add(time.Minute), c.Now())
		c.Observe("a", c.Now(), c.Now())
		c.Observe("b", c.Now(), c.Now())
		s.advance(time.Second)
	}
	assert.WithinDuration(t, start.Add(3*time.Second), c.Now(), 0)
}

func TestPauseDetectorReportsPausesOfTheProcess(t *testing.T) {
	s := &fakeSource{wall: start}
	p := NewPauseDetector(s, 200*time.Millisecond)
	s.advance(300 * time.Millisecond)
	assert.Zero(t, p.Check())
	s.advance(4 * time.Second)
	assert.Equal(t, 4*time.Second, p.Check())
	assert.Zero(t, p.Check())
}
