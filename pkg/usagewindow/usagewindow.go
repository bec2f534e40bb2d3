// Package usagewindow counts the requests of each organisation that began in a
// usage window, and adds up what all hosts counted.
package usagewindow

import (
	"maps"
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
	// told is the time of day of the latest message.
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

// Deposit is what one process counted in one window.
type Deposit struct {
	Host        string                         `json:"host"`
	Incarnation string                         `json:"incarnation"`
	Window      int64                          `json:"window"`
	Counts      map[model.OrganisationID]int64 `json:"counts"`
}

// Deposits lists the counts of all processes from a window on. host and
// incarnation name this process.
func (c *Counter) Deposits(host, incarnation string, from int64) []Deposit {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Deposit
	add := func(s source, counts map[int64]map[model.OrganisationID]int64) {
		for window, orgs := range counts {
			if window >= from && len(orgs) > 0 {
				list = append(list, Deposit{s.host, s.incarnation, window, maps.Clone(orgs)})
			}
		}
	}
	add(source{host, incarnation}, c.counts)
	for s, p := range c.peers {
		add(s, p.counts)
	}
	return list
}

// Restore takes deposits of processes that may have ended since. host and
// incarnation name this process, whose own counts are known better.
func (c *Counter) Restore(host, incarnation string, list []Deposit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range list {
		from := source{d.Host, d.Incarnation}
		if from == (source{host, incarnation}) {
			continue
		}
		p := c.peers[from]
		if p == nil {
			p = &peerCounts{counts: map[int64]map[model.OrganisationID]int64{}}
			c.peers[from] = p
		}
		if p.counts[d.Window] == nil {
			p.counts[d.Window] = map[model.OrganisationID]int64{}
		}
		for org, n := range d.Counts {
			p.counts[d.Window][org] = max(n, p.counts[d.Window][org])
		}
	}
}
