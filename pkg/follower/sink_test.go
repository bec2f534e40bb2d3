package follower

import (
	"context"
	"sync"
	"time"

	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// tableSink is a Sink that applies entries to tables.
type tableSink struct {
	mu        sync.Mutex
	tables    *state.Tables
	readTimes []time.Time
	restores  int
}

func newTableSink() *tableSink { return &tableSink{tables: state.New(state.Options{})} }

func (s *tableSink) Deliver(_ context.Context, entries []platform.LogEntry) ([]state.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var results []state.Result
	for _, e := range entries {
		results = append(results, s.tables.Apply(e.Offset, e)...)
	}
	return results, nil
}

func (s *tableSink) Restore(_ context.Context, t *state.Tables) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables = t
	s.restores++
	return nil
}

func (s *tableSink) RecordLogRead(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readTimes = append(s.readTimes, sent)
}

func (s *tableSink) view() *state.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables.Snapshot()
}

func (s *tableSink) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.readTimes)
}
