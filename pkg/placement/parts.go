package placement

import "container/list"

// partCache is an LRU model of the prompt parts in an engine's KV cache, bounded by the
// size of the cache.
type partCache struct {
	limitTokens int
	usedTokens  int
	lru         *list.List
	byPart      map[uint64]*list.Element
}

// add records that the engine has just processed a prompt. Parts are inserted last to
// first, so that the leading parts, which other prompts share, are evicted last.
func (c *partCache) add(parts []Part) {
	if c.byPart == nil {
		c.byPart = map[uint64]*list.Element{}
		c.lru = list.New()
	}
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.byPart[p.ID]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.byPart[p.ID] = c.lru.PushFront(p)
		c.usedTokens += p.Tokens
	}
	for c.usedTokens > c.limitTokens && c.lru.Len() > 0 {
		last := c.lru.Back()
		p := c.lru.Remove(last).(Part)
		delete(c.byPart, p.ID)
		c.usedTokens -= p.Tokens
	}
}

// holds reports whether a part is cached.
func (c *partCache) holds(p Part) bool { return c.byPart[p.ID] != nil }

// prefixTokens returns the number of tokens in the leading parts that are cached.
func (c *partCache) prefixTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		if c.byPart[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}
