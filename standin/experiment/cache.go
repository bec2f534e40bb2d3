package experiment

import (
	"container/list"

	"github.com/redwingpath/redwingpath/pkg/engine"
)

// prefixCache is an engine's prefix cache, an LRU cache of blocks.
type prefixCache struct {
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
	// events are the cache events since the last call of takeEvents.
	events []engine.CacheEvent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// match returns the number of leading blocks of a prefix that are cached.
func (c *prefixCache) match(prefix []uint64) int {
	for i, hash := range prefix {
		if _, ok := c.blocks[hash]; !ok {
			return i
		}
	}
	return len(prefix)
}

// store adds all blocks of a prompt and evicts the least recently used blocks
// over the limit.
func (c *prefixCache) store(prefix []uint64) {
	// Blocks are added in reverse order, so that the end of a prefix is evicted
	// before its beginning.
	for i := len(prefix) - 1; i >= 0; i-- {
		hash := prefix[i]
		if e, ok := c.blocks[hash]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		c.events = append(c.events, engine.CacheEvent{Hash: hash, Stored: true})
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		hash := c.order.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		c.events = append(c.events, engine.CacheEvent{Hash: hash})
	}
}

func (c *prefixCache) takeEvents() []engine.CacheEvent {
	events := c.events
	c.events = nil
	return events
}
