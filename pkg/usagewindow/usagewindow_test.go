package usagewindow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestCountsOfAllProcessesAddUp(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(5*time.Second, func() time.Time { return now })
	c.CountRequest("o")
	c.CountRequest("o")
	c.SetPeerCounts("h", "1", []WindowCount{{200, "o", 3}}, now)
	// The host was killed and has restarted. The counts of its earlier incarnation remain.
	c.SetPeerCounts("h", "2", []WindowCount{{200, "o", 1}}, now.Add(time.Second))
	assert.Equal(t, int64(6), c.Sum(200)["o"])
}

func TestWindowsBeginAtMultiplesOfTheirLength(t *testing.T) {
	now := time.Unix(1004, 999999999)
	c := New(5*time.Second, func() time.Time { return now })
	c.CountRequest("o")
	now = time.Unix(1005, 0)
	c.CountRequest("o")
	assert.Equal(t, int64(1), c.Sum(200)["o"])
	assert.Equal(t, int64(1), c.Sum(201)["o"])
	assert.Equal(t, time.Unix(1005, 0), c.End(200))
}

func TestOlderMessageOfAPeerIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(5*time.Second, func() time.Time { return now })
	c.SetPeerCounts("h", "1", []WindowCount{{200, "o", 3}}, now.Add(time.Second))
	c.SetPeerCounts("h", "1", []WindowCount{{200, "o", 1}}, now)
	assert.Equal(t, int64(3), c.Sum(200)["o"])
	assert.True(t, c.ReportedAfter("h", "1", now))
	assert.False(t, c.ReportedAfter("h", "1", now.Add(time.Second)))
	assert.False(t, c.ReportedAfter("h", "2", now))
}

func TestOldWindowsAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	c := New(5*time.Second, func() time.Time { return now })
	c.CountRequest("o")
	now = now.Add((retainedWindows + 2) * 5 * time.Second)
	c.CountRequest("o")
	assert.Empty(t, c.Sum(200))
	assert.Len(t, c.OwnCounts(), 1)
}

func TestCountsSurviveTheLossOfAllProcesses(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	holder := New(5*time.Second, clock)
	holder.CountRequest("o")
	holder.SetPeerCounts("b", "1", []WindowCount{{200, "o", 4}}, now)
	deposits := holder.Deposits("a", "1", 199)
	next := New(5*time.Second, clock)
	next.CountRequest("o")
	next.Restore("a", "2", deposits)
	assert.Equal(t, int64(6), next.Sum(200)["o"])
	next.Restore("a", "2", deposits)
	assert.Equal(t, int64(6), next.Sum(200)["o"], "a deposit counts once")
	next.SetPeerCounts("b", "1", []WindowCount{{200, "o", 5}}, now)
	assert.Equal(t, int64(7), next.Sum(200)["o"], "a later message of a live process replaces its deposit")
}
