package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

const (
	// hostListInterval is the interval between reads of the platform's host list.
	hostListInterval = 5 * time.Second
	// hostListJoinGrace is how long after its join a host may be missing from the
	// host list, which lags behind.
	hostListJoinGrace = 30 * time.Second
	hostListTimeout   = 3 * time.Second
)

// updateMembership keeps this host a member and removes members that the platform
// no longer lists.
func (c *Control) updateMembership(now time.Time, s *state.Snapshot) {
	if !c.ready.Load() || c.leaving.Load() {
		return
	}
	row, member := c.member(s)
	switch {
	case !member:
		c.startJob("join", c.join)
	case !row.Established && c.tracker.Established(s):
		c.startJob("join", c.join)
	}
	if c.shouldRemoveUnlistedHosts(s) && c.throttle.allow("hosts", now, hostListInterval) {
		c.startJob("hosts", c.removeUnlistedHosts)
	}
}

// shouldRemoveUnlistedHosts reports whether this host removes members that are
// missing from the platform's host list. The holder of the checkpoint shard does.
// Hosts that cannot become established do too: when all hosts were replaced, no
// host holds a shard, and the old members must be removed before the new ones can
// be established.
func (c *Control) shouldRemoveUnlistedHosts(s *state.Snapshot) bool {
	if c.config.Fleet == nil {
		return false
	}
	if _, member := c.member(s); member && !c.tracker.Established(s) {
		return true
	}
	_, ok := c.Holds(state.CheckpointShard)
	return ok
}

// join appends a join record. The first one makes this host a member, the next one
// marks it as established. The append has no timeout, since a second record after
// an unknown result could be taken for the one that marks the host as established.
func (c *Control) join(ctx context.Context) {
	record, err := logrec.New(logrec.KindJoin, logrec.Join{
		PeerAddress: c.config.PeerAddress, Region: c.config.Region, DataCentre: c.config.DataCentre,
	})
	if err != nil {
		c.config.Logger.Error("encode join record", zap.Error(err))
		return
	}
	results, err := c.follower.AppendResults(ctx, record)
	if err != nil || results[0].Applied {
		return
	}
	if results[0].Reason == state.ReasonSuperseded && !c.leaving.Load() {
		c.config.Logger.Error("this host was superseded", zap.String("detail", results[0].Detail))
		c.stop(ErrSuperseded)
	}
}

// removeUnlistedHosts appends leave records for members that the platform no longer
// lists.
func (c *Control) removeUnlistedHosts(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	list, err := c.config.Fleet.Hosts(callCtx)
	if err != nil {
		c.config.Logger.Debug("host list", zap.Error(err))
		return
	}
	var records []logrec.Record
	for _, m := range unlistedMembers(c.Tables().Members(), list, c.config.Host) {
		record, err := logrec.New(logrec.KindLeave, logrec.Leave{Host: m.Host, Incarnation: m.Incarnation})
		if err != nil {
			continue
		}
		c.recordDecision(journal.KindAuthority, string(m.Host), "declared gone", "the platform no longer lists the host")
		records = append(records, record)
	}
	if len(records) > 0 {
		_, _ = c.follower.Append(callCtx, records...)
	}
}

// unlistedMembers returns the members that are missing from a host list, except
// those that joined shortly before it. A list without this host is not trusted.
func unlistedMembers(members []state.Member, list platform.HostList, self model.HostID) []state.Member {
	listed := func(h model.HostID) bool {
		return slices.ContainsFunc(list.Hosts, func(e platform.HostEntry) bool { return e.ID == h })
	}
	if !listed(self) {
		return nil
	}
	var gone []state.Member
	for _, m := range members {
		if !listed(m.Host) && m.JoinedMS+hostListJoinGrace.Milliseconds() < list.AsOfMS {
			gone = append(gone, m)
		}
	}
	return gone
}

// Leave renounces all shards and ends the membership with one log entry. The host
// keeps following the log afterwards and may finish its requests. Leave returns
// once the record is in the log or the context ends.
func (c *Control) Leave(ctx context.Context) error {
	c.leaving.Store(true)
	var records []logrec.Record
	err := c.runInLoop(ctx, func() {
		s := c.Tables()
		c.leaseManager.RenounceAll(s)
		c.renewLease(time.Now())
		for name, fence := range c.leaseManager.Renounced(s) {
			records = append(records, releaseRecord(name, fence))
		}
	})
	if err != nil {
		return err
	}
	leave, err := logrec.New(logrec.KindLeave, logrec.Leave{Host: c.config.Host, Incarnation: c.config.Incarnation})
	if err != nil {
		return err
	}
	_, err = c.follower.Append(ctx, append(records, leave)...)
	return err
}

func releaseRecord(name model.ShardName, fence model.Offset) logrec.Record {
	// The body is an empty struct, whose encoding cannot fail.
	record, _ := logrec.New(logrec.KindRelease, logrec.Release{})
	record.Shard, record.Fence = name, fence
	return record
}
