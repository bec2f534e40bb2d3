package control

import (
	"context"
	"time"

	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// maxEntriesPerCommand is the maximum number of entries that one command applies, so
// that a long replay does not delay ticks.
const maxEntriesPerCommand = 32

// Deliver implements follower.Sink.
func (c *Control) Deliver(ctx context.Context, entries []platform.LogEntry) ([]state.Result, error) {
	var results []state.Result
	for len(entries) > 0 {
		part := entries[:min(maxEntriesPerCommand, len(entries))]
		entries = entries[len(part):]
		err := c.runInLoop(ctx, func() {
			for _, e := range part {
				applied := c.tables.Apply(e.Offset, e)
				results = append(results, applied...)
				if c.config.OnEntryApplied != nil {
					c.config.OnEntryApplied(e, applied)
				}
			}
			c.recent.add(part)
			c.publishSnapshot()
		})
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// Restore implements follower.Sink.
func (c *Control) Restore(ctx context.Context, tables *state.Tables) error {
	return c.runInLoop(ctx, func() {
		c.replaceTables(tables)
		c.recent.reset(tables.Offset() + 1)
	})
}

// RecordLogRead implements follower.Sink.
func (c *Control) RecordLogRead(sent time.Time) {
	_ = c.runInLoop(c.runCtx, func() {
		c.tracker.RecordLogRead(sent)
		c.ready.Store(true)
		c.renewLease(time.Now())
	})
}
