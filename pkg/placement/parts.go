package placement

import "container/list"

// partCache predicts which parts of prompts an engine keeps: the most recently
// used ones that fit its memory.
type partCache struct {
	limit  int
	used   int
	order  *list.List
	byPart map[uint64]*list.Element
}

// add notes that an engine has just processed a prompt. The first parts, which
// other prompts share, make room last.
func (c *partCache) add(parts []Part) {
	if c.byPart == nil {
		c.byPart = map[uint64]*list.Element{}
		c.order = list.New()
	}
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.byPart[p.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.byPart[p.ID] = c.order.PushFront(p)
		c.used += p.Tokens
	}
	for c.used > c.limit && c.order.Len() > 0 {
		last := c.order.Back()
		p := c.order.Remove(last).(Part)
		delete(c.byPart, p.ID)
		c.used -= p.Tokens
	}
}

// prefix counts the tokens of the leading parts that are kept.
func (c *partCache) prefix(parts []Part) int {
	n := 0
	for _, p := range parts {
		if c.byPart[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}
