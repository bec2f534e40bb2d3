package usage

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// fault is the fault injected into one append.
type fault int

const (
	noFault fault = iota
	loseResponse
	loseRecord
	// delayRecord delivers the record after the next append.
	delayRecord
)

// faultyLog applies records to tables and injects the given faults in order.
type faultyLog struct {
	tables  *state.Tables
	faults  []fault
	delayed []logrec.Record
	// reassignSequences gives each append a new sequence number, like a flusher
	// that does not keep the number of a batch when it retries.
	reassignSequences bool
	lastSequence      uint64
}

func (l *faultyLog) AppendResults(_ context.Context, records ...logrec.Record) ([]state.Result, error) {
	r := records[0]
	r.ID, r.Host, r.Incarnation = ulid.Make().String(), "h", "i"
	if l.reassignSequences {
		body, _ := logrec.DecodeBody[logrec.UsageBatch](&r)
		l.lastSequence++
		body.Sequence = l.lastSequence
		changed, _ := logrec.New(r.Kind, body)
		r.Body = changed.Body
	}
	next := noFault
	if len(l.faults) > 0 {
		next, l.faults = l.faults[0], l.faults[1:]
	}
	switch next {
	case loseRecord:
		return nil, eris.Wrap(platform.ErrUnavailable, "lost")
	case delayRecord:
		l.delayed = append(l.delayed, r)
		return nil, eris.Wrap(platform.ErrUnavailable, "lost")
	}
	result := l.apply(r)
	for _, delayed := range l.delayed {
		l.apply(delayed)
	}
	l.delayed = nil
	if next == loseResponse {
		return nil, eris.Wrap(platform.ErrUnavailable, "response lost")
	}
	return []state.Result{result}, nil
}

func (l *faultyLog) apply(r logrec.Record) state.Result {
	data, _ := logrec.Encode([]logrec.Record{r})
	offset := l.tables.Offset() + 1
	return l.tables.Apply(offset, platform.LogEntry{Offset: offset, TimeMS: time.Now().UnixMilli(), Data: data})[0]
}

func (l *faultyLog) totals() (requests, tokens int64) {
	for n := range state.UsageShardCount {
		for _, line := range l.tables.Snapshot().OpenUsage(model.ShardName(fmt.Sprintf("usage/%d", n))) {
			requests += line.Requests
			tokens += line.OutputTokens
		}
	}
	return requests, tokens
}

// flushUnderFaults adds random usage and flushes it under random faults. It returns
// an error if the totals in the tables differ from what was added.
func flushUnderFaults(t *rapid.T, reassignSequences bool) error {
	faults := rapid.SliceOfN(rapid.Map(rapid.IntRange(int(noFault), int(delayRecord)), func(i int) fault { return fault(i) }), 0, 6).Draw(t, "faults")
	log := &faultyLog{tables: state.New(state.Options{}), faults: faults, reassignSequences: reassignSequences}
	a := NewAccumulator()
	f := NewFlusher(a, log, 0, nil)
	f.retryInterval = 0
	var requests, tokens int64
	for range rapid.IntRange(1, 4).Draw(t, "flushes") {
		for range rapid.IntRange(0, 1200).Draw(t, "lines") {
			line := logrec.UsageLine{Organisation: model.OrganisationID(fmt.Sprint(requests % 700)), Pool: "p", Requests: 1, OutputTokens: requests}
			a.Add(line)
			requests++
			tokens += line.OutputTokens
		}
		if err := f.Flush(t.Context()); err != nil {
			return err
		}
	}
	if r, n := log.totals(); r != requests || n != tokens {
		return fmt.Errorf("added %d requests and %d tokens, but the tables hold %d and %d", requests, tokens, r, n)
	}
	return nil
}

// Guards against counting usage twice or losing it when responses or records are
// lost or records are delayed.
func TestFiguresSurviveFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { require.NoError(t, flushUnderFaults(t, false)) })
}

// Checks that flushUnderFaults detects a flusher that does not keep the sequence
// number of a batch.
func TestFiguresCheckDetectsReassignedSequences(t *testing.T) {
	failed := 0
	rapid.Check(t, func(t *rapid.T) {
		if flushUnderFaults(t, true) != nil {
			failed++
		}
	})
	require.NotZero(t, failed)
}

// Guards against losing lines while additions and flushes run concurrently.
func TestConcurrentAdds(t *testing.T) {
	log := &faultyLog{tables: state.New(state.Options{})}
	a := NewAccumulator()
	f := NewFlusher(a, log, time.Millisecond, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var flushing, adding sync.WaitGroup
	flushing.Go(func() { _ = f.Run(ctx) })
	for range 8 {
		adding.Go(func() {
			for range 5000 {
				a.Add(logrec.UsageLine{Organisation: "o", Pool: "p", Requests: 1})
			}
		})
	}
	adding.Wait()
	cancel()
	flushing.Wait()
	require.NoError(t, f.Flush(t.Context()))
	requests, _ := log.totals()
	require.EqualValues(t, 40000, requests)
}

// Guards against an invalid batch that blocks all later ones.
func TestInvalidBatchIsSkipped(t *testing.T) {
	log := &faultyLog{tables: state.New(state.Options{})}
	a := NewAccumulator()
	f := NewFlusher(a, log, 0, nil)
	a.Add(logrec.UsageLine{Organisation: "o", Requests: -1})
	require.NoError(t, f.Flush(t.Context()))
	a.Add(logrec.UsageLine{Organisation: "o", Requests: 3})
	require.NoError(t, f.Flush(t.Context()))
	requests, _ := log.totals()
	require.EqualValues(t, 3, requests)
	require.EqualValues(t, 1, f.InvalidBatches())
}
