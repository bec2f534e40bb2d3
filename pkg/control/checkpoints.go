package control

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// checkpointTimeout bounds the writing of one checkpoint. After a timeout a later
// tick starts a new checkpoint.
const checkpointTimeout = 2 * time.Minute

// checkpointIfDue writes a checkpoint if this host holds the checkpoint shard and
// the last one is old. The first checkpoint is due one interval after the first
// join, so that an empty log gets none.
func (c *Control) checkpointIfDue(s *state.Snapshot) {
	fence, ok := c.Holds(state.CheckpointShard)
	if !ok || !c.checkpointDue(s) {
		return
	}
	c.startJob("checkpoint", func(ctx context.Context) {
		if err := c.writeCheckpoint(ctx, s, fence); err != nil {
			c.config.Logger.Warn("checkpoint failed", zap.Error(err))
		}
	})
}

func (c *Control) checkpointDue(s *state.Snapshot) bool {
	last := s.LastCheckpoint()
	since := last.TimeMS
	if last.AsOf == 0 {
		for _, m := range s.Members() {
			if since == 0 || m.JoinedMS < since {
				since = m.JoinedMS
			}
		}
	}
	return since != 0 && s.Offset() > last.AsOf+1 && c.Now().UnixMilli()-since >= c.config.CheckpointEvery.Milliseconds()
}

// writeCheckpoint appends the checkpoint records one at a time, each small enough
// for a log entry, and stops at the first record that is void.
func (c *Control) writeCheckpoint(ctx context.Context, s *state.Snapshot, fence model.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	records, err := state.CheckpointRecords(s, ulid.Make().String(), fence)
	if err != nil {
		return err
	}
	for _, r := range records {
		results, err := c.follower.AppendResults(ctx, r)
		if err != nil {
			return err
		}
		if !results[0].Applied {
			return nil
		}
	}
	c.config.Logger.Info("checkpoint written", zap.Uint64("as_of", uint64(s.Offset())), zap.Int("records", len(records)))
	return nil
}
