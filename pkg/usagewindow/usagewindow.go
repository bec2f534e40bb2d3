// Package usagewindow counts the requests of each organisation that began in a
// usage window, and adds up what all hosts counted.
package usagewindow

import (
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// windowsKept is the number of windows that are kept: a report is due two windows
// after the end of its own and may be late by some more.
const windowsKept = 8

// Line is the count of one organisation in one window.
type Line struct {
	Window       int64
	Organisation model.OrganisationID
	Requests     int64
}

// Counter is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Time

	mu     sync.Mutex
	counts map[int64]map[model.OrganisationID]int64
	// peers are the counts of other processes, also of those that have ended.
	peers map[source]*peerCounts
}

type source struct {
	host, incarnation string
}

type peerCounts struct {
	counts map[int64]map[model.OrganisationID]int64
	// told is the time of day of the latest word.
	told time.Time
}

// New returns a counter of windows of a length. now is the time of day.
func New(length time.Duration, now func() time.Time) *Counter {
	return &Counter{
		length: length, now: now,
		counts: map[int64]map[model.OrganisationID]int64{},
		peers:  map[source]*peerCounts{},
	}
}

// Window is the number of the window that a time of day is in.
func (c *Counter) Window(t time.Time) int64 { return t.UnixNano() / int64(c.length) }

// End is when a window ends.
func (c *Counter) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.length)) }

// Began counts a request that has begun to run.
func (c *Counter) Began(org model.OrganisationID) {
	window := c.Window(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[window] == nil {
		c.counts[window] = map[model.OrganisationID]int64{}
		c.trim(window)
	}
	c.counts[window][org]++
}

func (c *Counter) trim(newest int64) {
	for window := range c.counts {
		if window < newest-windowsKept {
			delete(c.counts, window)
		}
	}
	for from, p := range c.peers {
		for window := range p.counts {
			if window < newest-windowsKept {
				delete(p.counts, window)
			}
		}
		if len(p.counts) == 0 {
			delete(c.peers, from)
		}
	}
}

// Lines lists the own counts.
func (c *Counter) Lines() []Line {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []Line
	for window, orgs := range c.counts {
		for org, n := range orgs {
			lines = append(lines, Line{window, org, n})
		}
	}
	return lines
}

// Hear takes all counts of another process as of a time of day.
func (c *Counter) Hear(host, incarnation string, lines []Line, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := source{host, incarnation}
	p := c.peers[from]
	if p == nil {
		p = &peerCounts{}
		c.peers[from] = p
	}
	if at.Before(p.told) {
		return
	}
	p.told = at
	p.counts = map[int64]map[model.OrganisationID]int64{}
	for _, l := range lines {
		if p.counts[l.Window] == nil {
			p.counts[l.Window] = map[model.OrganisationID]int64{}
		}
		p.counts[l.Window][l.Organisation] = l.Requests
	}
}

// Told tells whether a process has spoken after a time of day.
func (c *Counter) Told(host, incarnation string, after time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[source{host, incarnation}]
	return p != nil && p.told.After(after)
}

// Sum adds up a window over all processes.
func (c *Counter) Sum(window int64) map[model.OrganisationID]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := map[model.OrganisationID]int64{}
	for org, n := range c.counts[window] {
		sum[org] += n
	}
	for _, p := range c.peers {
		for org, n := range p.counts[window] {
			sum[org] += n
		}
	}
	return sum
}
