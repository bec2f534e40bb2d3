package usage

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/follower"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/pause"
	"github.com/redwingpath/redwingpath/pkg/state"
)

const (
	// DefaultFlushInterval is the time between two flushes. It bounds the loss when a
	// host is killed, since usage that is not flushed is lost.
	DefaultFlushInterval = time.Second
	// maxBatchLines keeps a batch well below the size of a log entry.
	maxBatchLines = 500
	// defaultRetryInterval is the time between two attempts for one batch.
	defaultRetryInterval = 250 * time.Millisecond
)

// errNotApplied means that a batch has to be appended again.
var errNotApplied = errors.New("usage batch was not applied")

// Flusher writes the usage that an Accumulator holds to the log. Batches have
// sequence numbers and are appended one after the other. A batch keeps its number
// and lines until it is known to be applied, so that it is applied exactly once.
type Flusher struct {
	accumulator    *Accumulator
	appender       follower.Appender
	logger         *zap.Logger
	interval       time.Duration
	retryInterval  time.Duration
	invalidBatches atomic.Uint64

	mu       sync.Mutex
	sequence uint64
	pending  []logrec.UsageBatch
}

// NewFlusher returns a flusher for one incarnation of a host. An interval of 0
// means DefaultFlushInterval.
func NewFlusher(a *Accumulator, appender follower.Appender, interval time.Duration, logger *zap.Logger) *Flusher {
	if interval <= 0 {
		interval = DefaultFlushInterval
	}
	if logger == nil {
		logger = zap.NewNop()
	}
	return &Flusher{accumulator: a, appender: appender, interval: interval, retryInterval: defaultRetryInterval, logger: logger}
}

// Run flushes periodically until the context ends. Usage added after the last
// flush stays in the accumulator; call Flush to write it.
func (f *Flusher) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := f.Flush(ctx); err != nil && ctx.Err() == nil {
				f.logger.Warn("usage flush", zap.Error(err))
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Flush writes all usage that was added before the call. It returns when all of it
// is applied or the context ends; in that case the rest stays for the next flush.
func (f *Flusher) Flush(ctx context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.batchAccumulated()
	for len(f.pending) > 0 {
		err := f.appendBatch(ctx, &f.pending[0])
		if ctx.Err() != nil {
			return eris.Wrap(ctx.Err(), "flush usage")
		}
		if err != nil {
			f.logger.Debug("append of usage batch failed; retrying", zap.Uint64("sequence", f.pending[0].Sequence), zap.Error(err))
			if err := pause.For(ctx, f.retryInterval); err != nil {
				return eris.Wrap(err, "flush usage")
			}
			continue
		}
		f.pending = f.pending[1:]
	}
	return nil
}

// InvalidBatches returns the number of batches that were rejected as invalid.
func (f *Flusher) InvalidBatches() uint64 { return f.invalidBatches.Load() }

// batchAccumulated moves the accumulated lines into batches with sequence numbers.
func (f *Flusher) batchAccumulated() {
	lines := f.accumulator.drain()
	for len(lines) > 0 {
		n := min(len(lines), maxBatchLines)
		f.sequence++
		f.pending = append(f.pending, logrec.UsageBatch{Sequence: f.sequence, Lines: lines[:n]})
		lines = lines[n:]
	}
}

// appendBatch appends one batch. It returns nil if the batch needs no further
// attempt, because it is applied or invalid.
func (f *Flusher) appendBatch(ctx context.Context, batch *logrec.UsageBatch) error {
	record, err := logrec.New(logrec.KindUsageBatch, batch)
	if err != nil {
		return err
	}
	results, err := f.appender.AppendResults(ctx, record)
	if err != nil {
		return err
	}
	r := results[0]
	switch {
	case r.Applied:
		return nil
	case r.Reason == state.ReasonSequence:
		// All earlier batches are applied, so this number is not ahead of the
		// sequence: an earlier attempt for this batch was applied.
		return nil
	case r.Reason == state.ReasonInvalid:
		f.invalidBatches.Add(1)
		f.logger.Error("usage batch is invalid", zap.String("detail", r.Detail))
		// The number of an invalid batch is not consumed; the next batch must use it.
		f.renumber()
		return nil
	default:
		return eris.Wrapf(errNotApplied, "%s", r.Reason)
	}
}

// renumber moves the batches after the first down by one sequence number.
func (f *Flusher) renumber() {
	for i := 1; i < len(f.pending); i++ {
		f.pending[i].Sequence--
	}
	f.sequence--
}
