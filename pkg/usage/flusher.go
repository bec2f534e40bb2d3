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
	// DefaultFlushEvery is the time between two flushes. What a killed host had
	// not flushed is lost, so it bounds the loss.
	DefaultFlushEvery = time.Second
	// maxBatchLines keeps a batch well below the size of a log entry.
	maxBatchLines = 500
	// defaultRetryAfter is the time between two attempts for one batch.
	defaultRetryAfter = 250 * time.Millisecond
)

// errUndecided means that a batch has to be sent again.
var errUndecided = errors.New("batch is undecided")

// Flusher writes what an Accumulator holds to the log. Batches are numbered
// and written one after the other; a batch keeps its number and figures until
// it is known to count, so that it counts once.
type Flusher struct {
	accumulator *Accumulator
	appender    follower.Appender
	logger      *zap.Logger
	every       time.Duration
	retryAfter  time.Duration
	refused     atomic.Uint64

	mu       sync.Mutex
	sequence uint64
	pending  []logrec.UsageBatch
}

// NewFlusher returns a flusher for one incarnation of a host. An interval of 0
// means DefaultFlushEvery.
func NewFlusher(a *Accumulator, appender follower.Appender, every time.Duration, logger *zap.Logger) *Flusher {
	if every <= 0 {
		every = DefaultFlushEvery
	}
	if logger == nil {
		logger = zap.NewNop()
	}
	return &Flusher{accumulator: a, appender: appender, every: every, retryAfter: defaultRetryAfter, logger: logger}
}

// Run flushes until the context ends. Call Flush afterwards for the rest.
func (f *Flusher) Run(ctx context.Context) error {
	ticker := time.NewTicker(f.every)
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

// Flush writes everything that was added before the call. It returns when all
// of it counts or the context ends; the rest stays for the next flush.
func (f *Flusher) Flush(ctx context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prepare()
	for len(f.pending) > 0 {
		err := f.write(ctx, &f.pending[0])
		if ctx.Err() != nil {
			return eris.Wrap(ctx.Err(), "flush usage")
		}
		if err != nil {
			f.logger.Debug("usage batch", zap.Uint64("sequence", f.pending[0].Sequence), zap.Error(err))
			if err := pause.For(ctx, f.retryAfter); err != nil {
				return eris.Wrap(err, "flush usage")
			}
			continue
		}
		f.pending = f.pending[1:]
	}
	return nil
}

// Refused counts batches that the log holds to be invalid.
func (f *Flusher) Refused() uint64 { return f.refused.Load() }

// prepare turns the accumulated lines into numbered batches.
func (f *Flusher) prepare() {
	lines := f.accumulator.take()
	for len(lines) > 0 {
		n := min(len(lines), maxBatchLines)
		f.sequence++
		f.pending = append(f.pending, logrec.UsageBatch{Sequence: f.sequence, Lines: lines[:n]})
		lines = lines[n:]
	}
}

// write appends one batch. It returns nil once the batch counts.
func (f *Flusher) write(ctx context.Context, batch *logrec.UsageBatch) error {
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
		// All earlier batches count, so an earlier copy of this one counts too.
		return nil
	case r.Reason == state.ReasonInvalid:
		f.refused.Add(1)
		f.logger.Error("usage batch is invalid", zap.String("detail", r.Detail))
		// Its number stays free, so that the next batch must take it.
		f.renumber()
		return nil
	default:
		return eris.Wrapf(errUndecided, "%s", r.Reason)
	}
}

// renumber gives the batches after the first its number and on.
func (f *Flusher) renumber() {
	for i := 1; i < len(f.pending); i++ {
		f.pending[i].Sequence--
	}
	f.sequence--
}
