// Package usage accumulates the usage of requests and flushes it to the log as
// numbered batches.
package usage

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// shardCount is the number of shards that concurrent calls of Add spread over.
// With 16 shards, goroutines rarely wait for each other's lock at a few thousand
// requests/s.
const shardCount = 16

type lineKey struct {
	organisation model.OrganisationID
	pool         model.PoolName
}

type shard struct {
	mu    sync.Mutex
	lines map[lineKey]logrec.UsageLine
	// The padding prevents false sharing of cache lines between shards.
	_ [64]byte
}

// Accumulator adds up usage. Add is safe for concurrent use and drops nothing:
// memory is bounded by the number of organisations and pools.
type Accumulator struct {
	shards [shardCount]shard
}

// NewAccumulator returns an empty accumulator.
func NewAccumulator() *Accumulator {
	a := &Accumulator{}
	for i := range a.shards {
		a.shards[i].lines = map[lineKey]logrec.UsageLine{}
	}
	return a
}

// Add adds a line to the sums of its organisation and pool.
func (a *Accumulator) Add(line logrec.UsageLine) {
	s := &a.shards[rand.IntN(shardCount)]
	s.mu.Lock()
	defer s.mu.Unlock()
	add(s.lines, line)
}

func add(lines map[lineKey]logrec.UsageLine, line logrec.UsageLine) {
	key := lineKey{organisation: line.Organisation, pool: line.Pool}
	sum := lines[key]
	sum.Organisation, sum.Pool = line.Organisation, line.Pool
	sum.Requests += line.Requests
	sum.PromptTokens += line.PromptTokens
	sum.CachedTokens += line.CachedTokens
	sum.OutputTokens += line.OutputTokens
	lines[key] = sum
}

// drain removes and returns all lines, ordered by organisation and pool.
func (a *Accumulator) drain() []logrec.UsageLine {
	sums := map[lineKey]logrec.UsageLine{}
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		taken := s.lines
		s.lines = make(map[lineKey]logrec.UsageLine, len(taken))
		s.mu.Unlock()
		for _, line := range taken {
			add(sums, line)
		}
	}
	lines := make([]logrec.UsageLine, 0, len(sums))
	for _, line := range sums {
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(x, y logrec.UsageLine) int {
		return cmp.Or(cmp.Compare(x.Organisation, y.Organisation), cmp.Compare(x.Pool, y.Pool))
	})
	return lines
}
