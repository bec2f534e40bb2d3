package authority

import (
	"fmt"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// members returns tables with the given number of established members in two
// regions.
func members(t require.TestingT, hosts int) *state.Tables {
	tables := state.New(state.Options{})
	for i := range hosts {
		join := logrec.Join{Region: model.RegionID([]string{"a", "b"}[i%2])}
		write(t, tables, hostName(i), logrec.KindJoin, join)
		write(t, tables, hostName(i), logrec.KindJoin, join)
	}
	return tables
}

func hostName(i int) model.HostID { return model.HostID(fmt.Sprintf("h%d", i)) }

func write(t require.TestingT, tables *state.Tables, host model.HostID, kind logrec.Kind, body any) state.Result {
	r, err := logrec.New(kind, body)
	require.NoError(t, err)
	r.ID, r.Host, r.Incarnation = ulid.Make().String(), host, "i"
	data, err := logrec.Encode([]logrec.Record{r})
	require.NoError(t, err)
	offset := tables.Offset() + 1
	return tables.Apply(offset, platform.LogEntry{Offset: offset, TimeMS: time.Now().UnixMilli(), Data: data})[0]
}

func input(tables *state.Tables, self model.HostID, now time.Time) Input {
	return Input{Self: Host{Host: self, Incarnation: "i"}, Rules: Rules{}.WithDefaults(), View: tables.Snapshot(), Now: now}
}

// claimAll lets all hosts decide on claims from the same view, writes the claims
// and returns their number.
func claimAll(t require.TestingT, tables *state.Tables, hosts int, peers map[model.HostID]Liveness, now time.Time) int {
	type wanted struct {
		host  model.HostID
		claim logrec.Claim
	}
	var all []wanted
	for i := range hosts {
		in := input(tables, hostName(i), now)
		in.Peers = peers
		if in.unresponsive(in.Self.Host) {
			continue
		}
		for _, c := range Claims(in) {
			all = append(all, wanted{host: in.Self.Host, claim: c})
		}
	}
	for _, w := range all {
		write(t, tables, w.host, logrec.KindClaim, w.claim)
	}
	return len(all)
}

// Guards against shards that no host or several hosts claim, and against fleet
// shards that a host of another region holds.
func TestEachVacantShardIsClaimedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 12).Draw(t, "hosts")
		tables := members(t, hosts)
		now := time.Now()
		shards := state.ShardNames([]model.RegionID{"a", "b"})
		require.Equal(t, len(shards), claimAll(t, tables, hosts, nil, now))
		require.Zero(t, claimAll(t, tables, hosts, nil, now))
		for _, m := range tables.Snapshot().Members() {
			if s, _ := tables.Snapshot().Shard(state.FleetShard(m.Region)); s.Host == m.Host {
				region, _ := state.FleetRegion(s.Name)
				require.Equal(t, region, m.Region)
			}
		}
		if hosts < 5 {
			return
		}
		// One host stops responding, as observed by all others.
		dead := hostName(rapid.IntRange(0, hosts-1).Draw(t, "dead"))
		peers := map[model.HostID]Liveness{}
		for i := range hosts {
			peers[hostName(i)] = Liveness{WatchedSince: now.Add(-time.Minute), LastAnswer: now}
		}
		peers[dead] = Liveness{WatchedSince: now.Add(-time.Minute), LastAnswer: now.Add(-DefaultLeaseTime)}
		for i := range hosts {
			if hostName(i) != dead {
				in := input(tables, hostName(i), now)
				in.Peers = peers
				for _, c := range Claims(in) {
					require.True(t, write(t, tables, hostName(i), logrec.KindClaim, c).Applied)
				}
			}
		}
		for _, s := range tables.Snapshot().Shards() {
			require.NotEqual(t, dead, s.Host)
		}
	})
}

// Guards against an isolated host that claims the shards of other hosts.
func TestIsolatedHostDoesNotClaim(t *testing.T) {
	tables := members(t, 5)
	now := time.Now()
	claimAll(t, tables, 5, nil, now)
	in := input(tables, "h0", now)
	in.Peers = map[model.HostID]Liveness{}
	for i := range 5 {
		in.Peers[hostName(i)] = Liveness{WatchedSince: now.Add(-time.Minute)}
	}
	require.Empty(t, Claims(in))
}

// Guards against a lease that stays valid after a pause of the process, after the
// loss of the shard, or while the view is out of date.
func TestLease(t *testing.T) {
	tables := members(t, 2)
	now := time.Now()
	claimAll(t, tables, 2, nil, now)
	var held state.Shard
	for _, s := range tables.Snapshot().Shards() {
		if s.Host == "h0" {
			held = s
		}
	}
	leases := NewLeaseManager(Host{Host: "h0", Incarnation: "i"}, Rules{})
	fresh := now.Add(time.Hour)
	may := func(at time.Time, freshUntil time.Time) bool {
		fence, ok := leases.Lease(tables.Snapshot(), freshUntil).May(held.Name, at)
		return ok && fence == held.Fence
	}
	require.False(t, leases.Tick(now, tables.Snapshot()))
	require.True(t, may(now, fresh))
	require.False(t, may(now.Add(DefaultMaxTickGap), fresh), "the next tick is late")
	require.False(t, may(now.Add(time.Millisecond), now), "the view is out of date")
	require.True(t, leases.Tick(now.Add(2*DefaultMaxTickGap), tables.Snapshot()))
	require.False(t, may(now.Add(2*DefaultMaxTickGap), fresh), "given up after a pause")
	require.Contains(t, leases.Renounced(tables.Snapshot()), held.Name)
	result := write(t, tables, "h0", logrec.KindClaim, logrec.Claim{Shard: held.Name, Supersedes: held.Fence})
	held.Fence = result.Offset
	require.True(t, may(now.Add(2*DefaultMaxTickGap), fresh), "a new claim is valid again")
	write(t, tables, "h1", logrec.KindClaim, logrec.Claim{Shard: held.Name, Supersedes: held.Fence})
	require.False(t, may(now.Add(2*DefaultMaxTickGap), fresh), "another host holds it")
}
