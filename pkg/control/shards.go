package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/authority"
	"github.com/redwingpath/redwingpath/pkg/journal"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

const (
	// rebalanceInterval is the minimum time between two shards that a host hands
	// over for rebalancing.
	rebalanceInterval = 2 * time.Second
	// shardAppendTimeout bounds the append of claims and releases. The next tick
	// decides again.
	shardAppendTimeout = 5 * time.Second
)

// updateShards claims shards without a holder, releases renounced ones and hands
// over a shard that another host should hold.
func (c *Control) updateShards(now time.Time, s *state.Snapshot) {
	_, member := c.member(s)
	if !member {
		c.memberSince = time.Time{}
		return
	}
	if c.memberSince.IsZero() {
		c.memberSince = now
	}
	if c.cannotReachLog(now) {
		return
	}
	if renounced := c.leaseManager.Renounced(s); len(renounced) > 0 && !c.leaving.Load() {
		var records []logrec.Record
		for name, fence := range renounced {
			records = append(records, releaseRecord(name, fence))
		}
		c.startJob("release", func(ctx context.Context) { c.appendShardRecords(ctx, records) })
		return
	}
	if c.leaving.Load() || !c.Fresh() || !c.tracker.Established(s) {
		return
	}
	if now.Sub(c.memberSince) < c.config.Rules.SettleTime {
		return
	}
	in := c.authorityInput(now, s)
	if claims := authority.Claims(in); len(claims) > 0 {
		c.claim(claims)
		return
	}
	if !c.throttle.allow("rebalance", now, rebalanceInterval) {
		return
	}
	if name, ok := authority.ShardToRelease(in, c.lease.Load().Held()); ok {
		fence := c.lease.Load().Held()[name]
		c.leaseManager.Renounce(name, fence)
		c.renewLease(now)
		c.recordDecision(journal.KindAuthority, string(name), "handed over", "another live host is preferred for the shard")
	}
}

func (c *Control) claim(claims []logrec.Claim) {
	var records []logrec.Record
	for _, claim := range claims {
		record, err := logrec.New(logrec.KindClaim, claim)
		if err != nil {
			continue
		}
		records = append(records, record)
	}
	c.startJob("claim", func(ctx context.Context) {
		for i, result := range c.appendShardRecords(ctx, records) {
			decision := "claimed"
			if !result.Applied {
				decision = "claim lost"
			}
			c.recordDecision(journal.KindAuthority, string(claims[i].Shard), decision, result.Detail)
		}
	})
}

func (c *Control) appendShardRecords(ctx context.Context, records []logrec.Record) []state.Result {
	ctx, cancel := context.WithTimeout(ctx, shardAppendTimeout)
	defer cancel()
	results, err := c.follower.AppendResults(ctx, records...)
	if err != nil {
		c.config.Logger.Debug("append shard records", zap.Error(err))
	}
	return results
}

// RenewClaim claims a held shard again, which gives it a higher fencing token.
// Engines that check fencing tokens then refuse orders with the old one.
func (c *Control) RenewClaim(ctx context.Context, shard model.ShardName) (model.Offset, error) {
	fence, ok := c.Holds(shard)
	if !ok {
		return 0, eris.Errorf("this host does not hold %s", shard)
	}
	record, err := logrec.New(logrec.KindClaim, logrec.Claim{Shard: shard, Supersedes: fence})
	if err != nil {
		return 0, err
	}
	results, err := c.follower.AppendResults(ctx, record)
	if err != nil {
		return 0, err
	}
	if !results[0].Applied {
		return 0, eris.Errorf("claim of %s: %s", shard, results[0].Reason)
	}
	c.recordDecision(journal.KindAuthority, string(shard), "claim renewed", "an order under the old fencing number has an unknown result")
	return results[0].Offset, nil
}
