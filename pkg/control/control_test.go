package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/authority"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform/platformtest"
	"github.com/redwingpath/redwingpath/pkg/state"
	"github.com/redwingpath/redwingpath/pkg/usage"
)

func allShards() []model.ShardName { return state.ShardNames([]model.RegionID{"r"}) }

// awaitHolders waits until each shard has one holder and returns them.
func (c *cluster) awaitHolders(limit time.Duration) map[model.ShardName]model.HostID {
	c.t.Helper()
	found := map[model.ShardName]model.HostID{}
	c.await(limit, func() bool {
		for _, shard := range allShards() {
			holders := c.holders(shard)
			require.LessOrEqual(c.t, len(holders), 1, shard)
			if len(holders) != 1 {
				return false
			}
			found[shard] = holders[0]
		}
		return true
	})
	return found
}

// Guards against shards without a holder after a start, a crash or a graceful
// stop, and against shards that all stay on the first host.
func TestShardsFollowMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8, nil)
		c.awaitEstablished()
		spread := map[model.HostID]int{}
		holders := c.awaitHolders(5 * time.Second)
		for _, h := range holders {
			spread[h]++
		}
		require.GreaterOrEqual(t, len(spread), 5)
		time.Sleep(time.Minute)
		require.Equal(t, holders, c.awaitHolders(0), "nothing moves while the members stay")

		killed := holders["fleet/r"]
		c.stop(killed)
		require.NotEqual(t, killed, c.awaitHolders(8 * time.Second)["fleet/r"])

		leaver := c.awaitHolders(time.Second)["checkpoint"]
		require.NoError(t, c.hosts[leaver].Leave(t.Context()))
		for _, shard := range allShards() {
			_, ok := c.hosts[leaver].Holds(shard)
			require.False(t, ok)
		}
		require.NotEqual(t, leaver, c.awaitHolders(2 * time.Second)["checkpoint"])

		c.await(time.Minute, func() bool { return len(c.hosts[leaver].Tables().Members()) == 6 })
		require.Len(t, c.hosts[leaver].Tables().FailedMembers(), 1)
	})
}

// Guards against a process that acts under its old claims after a pause.
func TestPauseEndsAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		c.awaitEstablished()
		holder := c.hosts[c.awaitHolders(5 * time.Second)["fleet/r"]]
		fence, _ := holder.Holds("fleet/r")
		resumed := make(chan struct{})
		go func() {
			_ = holder.runInLoop(context.Background(), func() { time.Sleep(10 * time.Second) })
			_, ok := holder.Holds("fleet/r")
			require.False(t, ok, "authority right after a pause")
			close(resumed)
		}()
		time.Sleep(8 * time.Second)
		_, ok := holder.Holds("fleet/r")
		require.False(t, ok)
		others := c.holders("fleet/r")
		require.Len(t, others, 1)
		<-resumed
		time.Sleep(time.Second)
		dump, err := holder.Dump(t.Context())
		require.NoError(t, err)
		require.Equal(t, 1, dump.Pauses)
		if now, ok := holder.Holds("fleet/r"); ok {
			require.Greater(t, now, fence)
		}
	})
}

// Guards against conflicts that are not reported to the operator, or with the wrong
// winner.
func TestApplyConfigConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		c.awaitEstablished()
		first, err := c.hosts["h1"].ApplyConfig(t.Context(), "ana", []logrec.Change{organisation("o", 0, 1)})
		require.NoError(t, err)
		_, err = c.hosts["h2"].ApplyConfig(t.Context(), "ben", []logrec.Change{organisation("o", first.Offset, 2)})
		require.NoError(t, err)
		_, err = c.hosts["h3"].ApplyConfig(t.Context(), "cyd", []logrec.Change{organisation("o", first.Offset, 3)})
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "ben", conflict.Winner.Operator)
		_, err = c.hosts["h3"].ApplyConfig(t.Context(), "cyd", []logrec.Change{{Entity: logrec.EntityShop, ID: "s", Value: []byte(`{"id":"s","organisation":"o","time_zone":"No/Where"}`)}})
		require.True(t, isConflict(err))
	})
}

// Guards against hosts that serve from a stale view, and against hosts that stop
// during a log outage although a majority of members vouches for the outage.
func TestFreshnessUnderPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		c.awaitEstablished()
		all := []model.HostID{"h1", "h2", "h3", "h4", "h5"}

		c.partition(1, "h5")
		c.cutLog(true, "h5")
		time.Sleep(3 * time.Second)
		require.False(t, c.hosts["h5"].Fresh(), "an isolated host stops within 3 s")

		c.cutLog(true, all...)
		for range 60 {
			time.Sleep(time.Second)
			for _, id := range all[:4] {
				require.True(t, c.hosts[id].Fresh(), "%s is in the majority", id)
			}
			require.False(t, c.hosts["h5"].Fresh())
		}
		_, err := c.hosts["h1"].ApplyConfig(t.Context(), "ana", []logrec.Change{organisation("o", 0, 1)})
		require.ErrorIs(t, err, ErrNotAccepted)

		c.cutLog(false, "h5")
		time.Sleep(4 * time.Second)
		require.True(t, c.hosts["h5"].Fresh())
		_, err = c.hosts["h5"].ApplyConfig(t.Context(), "ana", []logrec.Change{organisation("o", 0, 1)})
		require.ErrorIs(t, err, ErrNotAccepted, "a host in a minority does not accept")

		c.partition(0, "h5")
		c.cutLog(true, "h1")
		c.cutLog(false, "h2", "h3", "h4")
		time.Sleep(4 * time.Second)
		_, err = c.hosts["h2"].ApplyConfig(t.Context(), "ana", []logrec.Change{organisation("o", 0, 1)})
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		_, _, ok := c.hosts["h1"].Tables().Organisation("o")
		require.True(t, ok, "a host without the log stays current through its peers")
		require.True(t, c.hosts["h1"].Fresh())
	})
}

// Guards against usage that is billed twice, with different figures, or not at
// all, when responses of the log and of the usage interface are lost and the
// holder of the shard is replaced.
func TestUsageIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		c.awaitEstablished()
		c.awaitHolders(5 * time.Second)
		accumulators := map[model.HostID]*usage.Accumulator{}
		ctx, cancel := context.WithCancel(t.Context())
		for id, h := range c.hosts {
			accumulators[id] = usage.NewAccumulator()
			flusher := usage.NewFlusher(accumulators[id], h.Writer(), 0, nil)
			go func() { _ = flusher.Run(ctx) }()
		}
		var sent int64
		for i := range 200 {
			for _, a := range accumulators {
				a.Add(logrec.UsageLine{Organisation: model.OrganisationID(rune('a' + i%7)), Pool: "p", Requests: 1})
				sent++
			}
			if i%10 == 0 {
				c.log.Set(func(l *platformtest.Log) { l.LoseResponses, l.DropAppends = 2, 1 })
			}
			if i == 100 {
				h := c.hosts[c.awaitHolders(10 * time.Second)["usage/1"]]
				_ = h.runInLoop(t.Context(), func() { time.Sleep(5 * time.Second) })
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		cancel()
		require.Equal(t, sent, c.usage.requests())
		require.Zero(t, c.usage.repeats)
		require.Empty(t, c.hosts["h1"].Tables().Unreported())
	})
}

// Guards against new hosts that cannot start once the log has dropped its first
// entries.
func TestNewHostStartsFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, func(c *Config) { c.CheckpointEvery = 10 * time.Second })
		c.awaitEstablished()
		_, err := c.hosts["h1"].ApplyConfig(t.Context(), "ana", []logrec.Change{organisation("o", 0, 1)})
		require.NoError(t, err)
		time.Sleep(30 * time.Second)
		last := c.hosts["h1"].Tables().LastCheckpoint()
		require.NotZero(t, last.AsOf)
		c.log.DropBefore(last.AsOf + 1)
		late := c.startHost("h4", "01B")
		c.awaitEstablished()
		_, _, ok := late.Tables().Organisation("o")
		require.True(t, ok)
	})
}

// Guards against a restart of all hosts after which no host may claim shards,
// and against two processes under one host name.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		c.awaitEstablished()
		old := c.hosts["h1"]
		for _, id := range []model.HostID{"h2", "h3"} {
			c.stop(id)
			c.startHost(id, "01B")
		}
		c.startHost("h1", "01B")
		require.ErrorIs(t, <-old.done, ErrSuperseded)
		old.done <- nil
		c.awaitEstablished()
		c.awaitHolders(10 * time.Second)
	})
}

// Guards against hosts that wait forever for members that no longer exist
// after all hosts were replaced.
func TestReplacementOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		c.awaitEstablished()
		for _, id := range []model.HostID{"h1", "h2", "h3"} {
			c.stop(id)
		}
		for _, id := range []model.HostID{"n1", "n2", "n3"} {
			c.startHost(id, "01B")
		}
		time.Sleep(state.FailedMemberTTL / 2)
		require.Empty(t, c.holders("fleet/r"), "the old members may still be alive somewhere")
		require.True(t, c.hosts["n1"].Fresh())
		// Log time advances only with entries.
		for range 12 {
			time.Sleep(time.Minute)
			r, err := logrec.New(logrec.KindCrash, logrec.Crash{Digest: "d"})
			require.NoError(t, err)
			_, err = c.hosts["n1"].Writer().Append(t.Context(), r)
			require.NoError(t, err)
		}
		c.awaitEstablished()
		c.awaitHolders(10 * time.Second)
	})
}

// Guards against shards that never move from the first host, and against
// moving rate coordinators, which would reject callers within their rate.
func TestShardsSpreadOverLaterHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, nil)
		c.awaitHolders(5 * time.Second)
		for _, id := range []model.HostID{"h2", "h3", "h4"} {
			c.startHost(id, "01A")
		}
		c.awaitEstablished()
		time.Sleep(time.Minute)
		for shard, holder := range c.awaitHolders(time.Second) {
			want, _ := authority.Preferred(shard, []model.HostID{"h1", "h2", "h3", "h4"})
			if state.IsOrgShard(shard) {
				want = "h1"
			}
			require.Equal(t, want, holder, shard)
		}
	})
}

// Guards against a host that reports to be ready but does not accept the changes of
// an operator yet.
func TestReadyHostAcceptsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, nil)
		c.awaitEstablished()
		h := c.startHost("late", "01A")
		for range 200 {
			if ready, _ := h.Health(); ready {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		ready, reason := h.Health()
		require.True(t, ready, reason)
		_, err := h.ApplyConfig(t.Context(), "ana", []logrec.Change{organisation("o", 0, 1)})
		require.NoError(t, err)
	})
}

func TestHostThatNoMajorityHasAnsweredIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, nil)
		c.awaitEstablished()
		c.partition(1, "late")
		h := c.startHost("late", "01A")
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			ready, _ := h.Health()
			require.False(t, ready)
		}
		require.True(t, h.Ready(), "it has read the log")
		_, reason := h.Health()
		require.NotEmpty(t, reason)
	})
}
