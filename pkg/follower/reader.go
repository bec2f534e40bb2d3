package follower

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/pause"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// readLoop starts from initial tables and then follows the log.
func (f *Follower) readLoop(ctx context.Context) error {
	backoff := minBackoff
	for {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			backoff = minBackoff
			continue
		}
		f.config.Logger.Debug("log read failed", zap.Error(err))
		if err := pause.For(ctx, backoff); err != nil {
			return err
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

// step does one read, or starts the follower if that has not succeeded yet.
func (f *Follower) step(ctx context.Context) error {
	if err := f.deliverySem.Acquire(ctx, 1); err != nil {
		return eris.Wrap(err, "wait for another delivery")
	}
	started, from := f.started, f.next
	f.deliverySem.Release(1)
	if !started {
		return f.start(ctx)
	}
	err := f.readOnce(ctx, from)
	if errors.Is(err, platform.ErrDropped) {
		return f.restoreFromLog(ctx)
	}
	return err
}

// readOnce reads and delivers one batch.
func (f *Follower) readOnce(ctx context.Context, from model.Offset) error {
	sent := time.Now()
	response, err := f.config.Log.Read(ctx, from, maxReadEntries, f.config.ReadWait)
	if err != nil {
		if f.deliverySem.Acquire(ctx, 1) == nil {
			f.atEnd = false
			f.deliverySem.Release(1)
		}
		return err
	}
	f.recordResponse()
	batch := batchOf(from, response)
	if err := f.deliverySem.Acquire(ctx, 1); err != nil {
		return eris.Wrap(err, "wait for another delivery")
	}
	defer f.deliverySem.Release(1)
	if batch.From > f.next {
		return nil
	}
	if err := f.apply(ctx, batch); err != nil {
		return err
	}
	// A log server that lags behind reports an end before this host's position.
	// Such a read does not show that the end was reached either.
	if batch.Next != response.Next {
		f.atEnd = false
		return nil
	}
	f.recordEndOfLog(sent, batch.Entries)
	return nil
}

// batchOf returns a response as a batch with the offsets that it covers.
func batchOf(from model.Offset, r platform.ReadResponse) Batch {
	b := Batch{From: from, Next: from, Entries: r.Entries}
	if n := len(r.Entries); n > 0 {
		b.Next = r.Entries[n-1].Offset + 1
	}
	return b
}

func (f *Follower) recordResponse() {
	now := time.Now()
	f.lastResponse.Store(&now)
}

// recordEndOfLog records that a read reached the end of the log.
func (f *Follower) recordEndOfLog(sent time.Time, entries []platform.LogEntry) {
	if n := len(entries); n > 0 && f.atEnd {
		// The previous read reached the end too, so the entries were appended
		// just now.
		f.clockSkew.Store(entries[n-1].TimeMS - time.Now().UnixMilli())
	}
	f.atEnd = true
	f.mu.Lock()
	if sent.After(f.endReadAt) {
		f.endReadAt = sent
	}
	f.mu.Unlock()
	f.wakeAppender()
	f.config.Sink.RecordLogRead(sent)
}

// start sets the initial tables: empty ones if the log is short enough for a
// full replay, otherwise those of the newest complete checkpoint, or those of a
// peer if the log is unavailable.
func (f *Follower) start(ctx context.Context) error {
	response, err := f.config.Log.Read(ctx, 1, 1, 0)
	switch {
	case err == nil:
		f.recordResponse()
		if response.Next <= maxReplayEntries {
			return f.startFrom(ctx, state.New(f.config.Tables))
		}
	case errors.Is(err, platform.ErrDropped):
	default:
		return f.startFromPeer(ctx, err)
	}
	return f.restoreFromLog(ctx)
}

func (f *Follower) startFromPeer(ctx context.Context, cause error) error {
	if f.config.Bootstrap == nil {
		return cause
	}
	tables, err := f.config.Bootstrap(ctx)
	if err != nil {
		return eris.Wrapf(err, "start from a peer, since the log cannot be read (%v)", cause)
	}
	return f.startFrom(ctx, tables)
}

// ReplaceTables replaces the tables by newer ones of a peer. It is used if neither the
// log nor the peers still have the entries in between.
func (f *Follower) ReplaceTables(ctx context.Context, tables *state.Tables) error {
	return f.startFrom(ctx, tables)
}

func (f *Follower) startFrom(ctx context.Context, tables *state.Tables) error {
	if err := f.deliverySem.Acquire(ctx, 1); err != nil {
		return eris.Wrap(err, "wait for another delivery")
	}
	defer f.deliverySem.Release(1)
	if f.started && tables.Offset() < f.next {
		// Entries from peers have advanced this host past the tables meanwhile.
		return nil
	}
	if err := f.config.Sink.Restore(ctx, tables); err != nil {
		return err
	}
	f.setNext(tables.Offset() + 1)
	f.started = true
	return nil
}

// restoreFromLog searches the log backwards for the newest complete checkpoint and
// restores it. Without a checkpoint it starts from empty tables, if the log still
// has its first entry.
func (f *Follower) restoreFromLog(ctx context.Context) error {
	first, next, err := f.logBounds(ctx)
	if err != nil {
		return err
	}
	collector := state.NewCollector()
	for high := next; high > first; {
		low := first
		if high > first+maxReadEntries {
			low = high - maxReadEntries
		}
		if err := f.collectCheckpoints(ctx, collector, low, high); err != nil {
			return err
		}
		tables, err := collector.Restore(f.config.Tables)
		if err == nil {
			f.config.Logger.Info("restored from checkpoint", zap.Uint64("offset", uint64(tables.Offset())))
			return f.startFrom(ctx, tables)
		}
		high = low
	}
	if first <= 1 {
		return f.startFrom(ctx, state.New(f.config.Tables))
	}
	return eris.Wrapf(state.ErrNoCheckpoint, "log starts at offset %d", first)
}

// logBounds returns the first offset that the log still has and the next one to
// be appended.
func (f *Follower) logBounds(ctx context.Context) (first, next model.Offset, err error) {
	response, err := f.config.Log.Read(ctx, 1, 1, 0)
	if errors.Is(err, platform.ErrDropped) {
		first = response.First
		response, err = f.config.Log.Read(ctx, first, 1, 0)
	}
	if err != nil {
		return 0, 0, err
	}
	f.recordResponse()
	return max(first, response.First, 1), response.Next, nil
}

// collectCheckpoints adds the entries with offsets in [low, high) to a
// collector.
func (f *Follower) collectCheckpoints(ctx context.Context, c *state.Collector, low, high model.Offset) error {
	for low < high {
		response, err := f.config.Log.Read(ctx, low, maxReadEntries, 0)
		if err != nil {
			return err
		}
		f.recordResponse()
		if len(response.Entries) == 0 {
			return nil
		}
		for _, e := range response.Entries {
			if e.Offset < high {
				c.Add(e)
			}
		}
		low = batchOf(low, response).Next
	}
	return nil
}
