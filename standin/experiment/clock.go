// Package experiment runs the scheduling code of redwingpath (routing, admission
// and planner) against simulated engines and a simulated platform in virtual
// time. Runs are deterministic by seed.
package experiment

import (
	"container/heap"
	"time"
)

// epoch is the wall time at which runs start, a Monday morning.
var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// event is a function to call at a virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// clock runs events in order of virtual time; events of the same time run in
// the order in which they were scheduled.
type clock struct {
	now    time.Duration
	seq    int
	events eventHeap
}

func (c *clock) at(when time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{max(when, c.now), c.seq, run})
}

func (c *clock) after(d time.Duration, run func()) {
	c.at(c.now+d, run)
}

// every calls run once per interval until it returns false.
func (c *clock) every(interval time.Duration, run func() bool) {
	c.after(interval, func() {
		if run() {
			c.every(interval, run)
		}
	})
}

// runUntil runs all events up to and including the time end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// wallTime converts a virtual time to wall time.
func wallTime(d time.Duration) time.Time {
	return epoch.Add(d)
}
