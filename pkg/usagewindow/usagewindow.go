// Package usagewindow counts the requests of each organisation that began in a usage
// window, and sums the counts of all hosts.
package usagewindow

import (
	"maps"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// retainedWindows is the number of windows before the newest one that are kept. The
// report of a window is due two windows after its end, and may be several windows late.
const retainedWindows = 8

// WindowCount is the number of requests of one organisation in one window.
type WindowCount struct {
	Window       int64
	Organisation model.OrganisationID
	Requests     int64
}

// Counter counts the requests of this process and holds the counts of other processes. It
// is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Time

	mu sync.Mutex
	// counts are the counts of this process by window.
	counts map[int64]map[model.OrganisationID]int64
	// peers are the counts of other processes, including those that have ended.
	peers map[process]*peerCounts
}

// process is one incarnation of a host.
type process struct {
	host, incarnation string
}

type peerCounts struct {
	// counts are by window.
	counts map[int64]map[model.OrganisationID]int64
	// asOf is the process's time of day in its latest message.
	asOf time.Time
}

// New returns a counter for windows of the given length. now returns the time of day.
func New(length time.Duration, now func() time.Time) *Counter {
	return &Counter{
		length: length, now: now,
		counts: map[int64]map[model.OrganisationID]int64{},
		peers:  map[process]*peerCounts{},
	}
}

// Window returns the number of the window that contains a time of day.
func (c *Counter) Window(t time.Time) int64 { return t.UnixNano() / int64(c.length) }

// End returns when a window ends.
func (c *Counter) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.length)) }

// CountRequest counts a request that begins to run now.
func (c *Counter) CountRequest(org model.OrganisationID) {
	window := c.Window(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[window] == nil {
		c.counts[window] = map[model.OrganisationID]int64{}
		c.dropOldWindows(window)
	}
	c.counts[window][org]++
}

// dropOldWindows drops the windows more than retainedWindows before the newest one, and
// processes without counts. The caller holds c.mu.
func (c *Counter) dropOldWindows(newest int64) {
	for window := range c.counts {
		if window < newest-retainedWindows {
			delete(c.counts, window)
		}
	}
	for from, p := range c.peers {
		for window := range p.counts {
			if window < newest-retainedWindows {
				delete(p.counts, window)
			}
		}
		if len(p.counts) == 0 {
			delete(c.peers, from)
		}
	}
}

// OwnCounts returns the counts of this process.
func (c *Counter) OwnCounts() []WindowCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	var windowCounts []WindowCount
	for window, orgs := range c.counts {
		for org, n := range orgs {
			windowCounts = append(windowCounts, WindowCount{window, org, n})
		}
	}
	return windowCounts
}

// SetPeerCounts replaces the counts of another process with its counts as of a time of day. It
// ignores counts that are older than the last ones.
func (c *Counter) SetPeerCounts(host, incarnation string, windowCounts []WindowCount, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := process{host, incarnation}
	p := c.peers[from]
	if p == nil {
		p = &peerCounts{}
		c.peers[from] = p
	}
	if at.Before(p.asOf) {
		return
	}
	p.asOf = at
	p.counts = map[int64]map[model.OrganisationID]int64{}
	for _, w := range windowCounts {
		if p.counts[w.Window] == nil {
			p.counts[w.Window] = map[model.OrganisationID]int64{}
		}
		p.counts[w.Window][w.Organisation] = w.Requests
	}
}

// ReportedAfter reports whether the latest counts of a process are from after a time of day.
func (c *Counter) ReportedAfter(host, incarnation string, after time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[process{host, incarnation}]
	return p != nil && p.asOf.After(after)
}

// Sum returns the counts of a window over all processes.
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

// Deposit holds the counts of one process in one window, as stored in the log.
type Deposit struct {
	Host        string                         `json:"host"`
	Incarnation string                         `json:"incarnation"`
	Window      int64                          `json:"window"`
	Counts      map[model.OrganisationID]int64 `json:"counts"`
}

// Deposits returns the counts of all processes from a window on. host and incarnation
// identify this process.
func (c *Counter) Deposits(host, incarnation string, from int64) []Deposit {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Deposit
	add := func(owner process, counts map[int64]map[model.OrganisationID]int64) {
		for window, orgs := range counts {
			if window >= from && len(orgs) > 0 {
				list = append(list, Deposit{owner.host, owner.incarnation, window, maps.Clone(orgs)})
			}
		}
	}
	add(process{host, incarnation}, c.counts)
	for owner, p := range c.peers {
		add(owner, p.counts)
	}
	return list
}

// Restore adds the counts in deposits, whose processes may have ended since. Where a count
// is known already, the larger one is kept. host and incarnation identify this process,
// whose deposits are ignored, since its own counts are more recent.
func (c *Counter) Restore(host, incarnation string, list []Deposit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range list {
		from := process{d.Host, d.Incarnation}
		if from == (process{host, incarnation}) {
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
