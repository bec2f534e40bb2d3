package enginesim

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
)

// maxRetainedEvents bounds the cache events kept for readers; the oldest are dropped.
const maxRetainedEvents = 10_000

// timedEvent is a cache event with its time. Readers see it only after the event lag.
type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// prefixCache is a least recently used cache of prefix blocks. It is not safe
// for concurrent use.
type prefixCache struct {
	limit     int
	recency   *list.List // of uint64, most recently used first
	blocks    map[uint64]*list.Element
	seq       uint64
	events    []timedEvent
	eventLoss float64
	random    *rand.Rand
}

func newPrefixCache(limit int, eventLoss float64, random *rand.Rand) *prefixCache {
	return &prefixCache{
		limit:     limit,
		recency:   list.New(),
		blocks:    map[uint64]*list.Element{},
		eventLoss: eventLoss,
		random:    random,
	}
}

// cachedPrefix counts the leading blocks that are cached and marks them as recently used.
func (c *prefixCache) cachedPrefix(hashes []uint64) int {
	for i, h := range hashes {
		element, present := c.blocks[h]
		if !present {
			return i
		}
		c.recency.MoveToFront(element)
	}
	return len(hashes)
}

// store adds blocks to the cache and evicts the least recently used beyond the limit.
func (c *prefixCache) store(hashes []uint64) {
	for _, h := range hashes {
		if element, present := c.blocks[h]; present {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[h] = c.recency.PushFront(h)
		c.publish(h, true)
	}
	for c.recency.Len() > c.limit {
		oldest := c.recency.Back()
		h := c.recency.Remove(oldest).(uint64)
		delete(c.blocks, h)
		c.publish(h, false)
	}
}

// publish appends a cache event. A simulated loss still uses a sequence number,
// so that readers see a gap.
func (c *prefixCache) publish(hash uint64, stored bool) {
	c.seq++
	if c.eventLoss > 0 && c.random.Float64() < c.eventLoss {
		return
	}
	event := engine.CacheEvent{Seq: c.seq, Hash: hash, Stored: stored}
	c.events = append(c.events, timedEvent{at: time.Now(), event: event})
	if len(c.events) > maxRetainedEvents {
		c.events = c.events[len(c.events)-maxRetainedEvents:]
	}
}

// eventsFrom returns the events at and after a sequence number that are at least lag old.
func (c *prefixCache) eventsFrom(from uint64, lag time.Duration) engine.CacheEvents {
	visible := time.Now().Add(-lag)
	result := engine.CacheEvents{Next: max(from, 1), Events: []engine.CacheEvent{}}
	for _, e := range c.events {
		if e.at.After(visible) {
			break
		}
		if e.event.Seq >= from {
			result.Events = append(result.Events, e.event)
			result.Next = e.event.Seq + 1
		}
	}
	return result
}

func (c *prefixCache) clear() {
	c.recency.Init()
	clear(c.blocks)
	c.events = nil
}
