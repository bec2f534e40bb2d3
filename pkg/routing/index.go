package routing

import (
	"slices"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Estimation of the prefix index's accuracy. A gap in the cache events lowers it
// only slightly, since most lost events report stored blocks; the token counts
// of responses are better evidence. Below minAccuracy, an engine would never be
// selected for its cache again.
const (
	accuracyFactorAfterGap = 0.998
	minAccuracy            = 0.3
	accuracyWeight         = 0.05
)

// CacheEvents applies an engine's cache events. A gap means that events were
// lost, which lowers the expected accuracy of the index.
func (t *Table) CacheEvents(id model.BackendID, events []engine.CacheEvent, gap bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return
	}
	if gap {
		e.cacheAccuracy = max(minAccuracy, e.cacheAccuracy*accuracyFactorAfterGap)
	}
	for _, event := range events {
		if event.Stored {
			t.touchBlock(e, event.Hash)
		} else {
			t.removeBlock(e, event.Hash)
		}
	}
}

// blockUse is one use of a block in the least-recently-used order. It is
// outdated once the block was used again.
type blockUse struct {
	hash uint64
	use  uint64
}

// touchBlock marks a block as just used and adds it to the index if needed. As
// in the engine itself, the least recently used blocks are evicted, so that
// blocks whose eviction events were lost do not stay in the index forever.
func (t *Table) touchBlock(e *entry, hash uint64) {
	limit := t.settings.CacheEntriesPerBackend
	if reported := e.backend.Load.CacheBlocksLimit; reported > 0 {
		limit = min(limit, reported)
	}
	_, known := e.cached[hash]
	for !known && len(e.cached) >= limit && len(e.blockUses) > 0 {
		oldest := e.blockUses[0]
		e.blockUses = e.blockUses[1:]
		if e.cached[oldest.hash] == oldest.use {
			t.removeBlock(e, oldest.hash)
		}
	}
	e.useCounter++
	e.cached[hash] = e.useCounter
	e.blockUses = append(e.blockUses, blockUse{hash, e.useCounter})
	if len(e.blockUses) > 4*limit {
		e.compactBlockUses()
	}
	if known {
		return
	}
	l := t.cacheHolders[hash]
	if l == nil {
		l = &list{}
		t.cacheHolders[hash] = l
	}
	l.add(e)
}

// compactBlockUses drops outdated uses.
func (e *entry) compactBlockUses() {
	e.blockUses = slices.DeleteFunc(e.blockUses, func(b blockUse) bool {
		return e.cached[b.hash] != b.use
	})
}

func (t *Table) removeBlock(e *entry, hash uint64) {
	if _, ok := e.cached[hash]; !ok {
		return
	}
	delete(e.cached, hash)
	l := t.cacheHolders[hash]
	l.remove(e)
	if len(l.members) == 0 {
		delete(t.cacheHolders, hash)
	}
}

// cachedTokens estimates how many tokens of the prompt the engine has cached.
func (e *entry) cachedTokens(r *Request) int {
	for i := len(r.Prefix) - 1; i >= 0; i-- {
		if _, ok := e.cached[r.Prefix[i]]; ok {
			tokens := float64((i+1)*engine.BlockTokens) * e.cacheAccuracy
			return min(int(tokens), r.PromptTokens)
		}
	}
	return 0
}

// confirmPrompt updates the index after an engine has processed a prompt. It
// compares the cached tokens that the engine counted with the expected ones.
func (t *Table) confirmPrompt(e *entry, r *Request, counted int) {
	known := 0
	for i := len(r.Prefix) - 1; i >= 0; i-- {
		if _, ok := e.cached[r.Prefix[i]]; ok {
			known = i + 1
			break
		}
	}
	blocks := counted / engine.BlockTokens
	if known > 0 {
		confirmed := min(1, float64(blocks)/float64(known))
		e.cacheAccuracy = max(minAccuracy, e.cacheAccuracy+accuracyWeight*(confirmed-e.cacheAccuracy))
	}
	// The engine has just processed the whole prompt, so all its full blocks are
	// cached now.
	t.touchPrefix(e, r)
}

// touchPrefix touches the blocks of a prompt from last to first, so that its
// first blocks, which other prompts share, are evicted last.
func (t *Table) touchPrefix(e *entry, r *Request) {
	for i := len(r.Prefix) - 1; i >= 0; i-- {
		t.touchBlock(e, r.Prefix[i])
	}
}
