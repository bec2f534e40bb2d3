package authority

import (
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Defaults of Rules.
const (
	// DefaultLeaseTime is how long the holder of a shard may be unresponsive
	// before it is replaced.
	DefaultLeaseTime = 3 * time.Second
	// DefaultMaxTickGap is the longest time between two ticks that does not count
	// as a pause of the process. It must be shorter than the lease time.
	DefaultMaxTickGap = time.Second
	// DefaultRebalanceAfter is how long the preferred host of a shard must have
	// been responsive before the holder releases the shard to it.
	DefaultRebalanceAfter = 30 * time.Second
	// DefaultSettleTime is how long a new member waits before it claims shards,
	// so that hosts that start together see each other and share the shards.
	DefaultSettleTime = 1500 * time.Millisecond
	// maxWatchers bounds the live hosts that watch the holder of a shard: a host
	// does not watch it if at least this many live hosts rank higher for the
	// shard. This bounds the messages per host at the target size. If the holder
	// and all its watchers fail together, the platform's host list shows that the
	// holder is gone.
	maxWatchers = 3
)

// Rules holds the timing settings of the package. Zero fields take their
// defaults; see WithDefaults.
type Rules struct {
	LeaseTime      time.Duration
	MaxTickGap     time.Duration
	RebalanceAfter time.Duration
	SettleTime     time.Duration
}

// WithDefaults returns the rules with defaults for the fields that are not set.
func (r Rules) WithDefaults() Rules {
	if r.LeaseTime <= 0 {
		r.LeaseTime = DefaultLeaseTime
	}
	if r.MaxTickGap <= 0 {
		r.MaxTickGap = DefaultMaxTickGap
	}
	if r.RebalanceAfter <= 0 {
		r.RebalanceAfter = DefaultRebalanceAfter
	}
	if r.SettleTime <= 0 {
		r.SettleTime = DefaultSettleTime
	}
	return r
}

// Liveness is the state of another host as observed by this host.
type Liveness struct {
	// WatchedSince is when this host began to send queries to the other host. It
	// must be set.
	WatchedSince time.Time
	// LastAnswer is the time of the last response that shows the other host alive.
	// It is zero until the first one.
	LastAnswer time.Time
	// LiveSince is the time of the first such response after the last gap of at
	// least the lease time.
	LiveSince time.Time
}

// Host identifies this host, for which decisions are made.
type Host struct {
	Host        model.HostID
	Incarnation model.Incarnation
}

// Input is the data that decisions are based on.
type Input struct {
	Self  Host
	Rules Rules
	View  state.View
	// Peers holds the liveness of the watched hosts. Other hosts count as live.
	Peers map[model.HostID]Liveness
	Now   time.Time
}

// unresponsive reports whether a watched host has not responded for the lease
// time.
func (in *Input) unresponsive(h model.HostID) bool {
	if h == in.Self.Host {
		return false
	}
	l, ok := in.Peers[h]
	if !ok {
		return false
	}
	last := l.LastAnswer
	if l.WatchedSince.After(last) {
		last = l.WatchedSince
	}
	return in.Now.Sub(last) >= in.Rules.LeaseTime
}

// hasResponsivePeer reports whether any peer has responded within the lease time.
// Otherwise this host may itself be isolated, and its claims would only move
// shards away from working hosts.
func (in *Input) hasResponsivePeer() bool {
	for _, l := range in.Peers {
		if !l.LastAnswer.IsZero() && in.Now.Sub(l.LastAnswer) < in.Rules.LeaseTime {
			return true
		}
	}
	return false
}

// vacant reports whether a shard needs a new holder. With at most two members
// there is no third host that could show that this host is not isolated, so no
// responsive peer is required.
func (in *Input) vacant(s state.Shard, members []state.Member) bool {
	holds := func(m state.Member) bool { return m.Host == s.Host && m.Incarnation == s.Incarnation }
	if s.Host == "" || !slices.ContainsFunc(members, holds) {
		return true
	}
	return in.unresponsive(s.Host) && (len(members) <= 2 || in.hasResponsivePeer())
}

// Claims returns the claims that this host should write now. The caller must
// have checked that the host is an established member with a fresh view; see
// package freshness.
func Claims(in Input) []logrec.Claim {
	members := in.View.Members()
	var claims []logrec.Claim
	for _, name := range state.ShardNames(Regions(members)) {
		shard, _ := in.View.Shard(name)
		if !in.vacant(shard, members) {
			continue
		}
		live := slices.DeleteFunc(candidates(in.Self.Host, name, members), in.unresponsive)
		if best, _ := Preferred(name, live); best == in.Self.Host {
			claims = append(claims, logrec.Claim{Shard: name, Supersedes: shard.Fence})
		}
	}
	return claims
}

// HostsToWatch returns the hosts whose liveness this host needs to know for its
// claims and releases.
func HostsToWatch(in Input) []model.HostID {
	members := in.View.Members()
	var hosts []model.HostID
	for _, name := range state.ShardNames(Regions(members)) {
		shard, _ := in.View.Shard(name)
		shard.Name = name
		eligible := candidates(in.Self.Host, name, members)
		if shard.Host == in.Self.Host {
			if best, ok := Preferred(name, eligible); ok {
				hosts = append(hosts, best)
			}
			continue
		}
		claimsBefore, ok := in.claimsBefore(shard, eligible)
		if !ok {
			continue
		}
		hosts = append(hosts, claimsBefore...)
		if shard.Host != "" {
			hosts = append(hosts, shard.Host)
		}
	}
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	return slices.DeleteFunc(hosts, func(h model.HostID) bool { return h == in.Self.Host })
}

// claimsBefore lists the hosts that would claim a shard before this host if its
// holder failed. ok is false if this host need not watch the shard, because it
// may not hold it or enough of those hosts are live.
func (in *Input) claimsBefore(shard state.Shard, eligible []model.HostID) (hosts []model.HostID, ok bool) {
	if !slices.Contains(eligible, in.Self.Host) {
		return nil, false
	}
	ownWeight := rendezvousWeight(shard.Name, in.Self.Host)
	live := 0
	for _, h := range eligible {
		if h == shard.Host || h == in.Self.Host || rendezvousWeight(shard.Name, h) < ownWeight {
			continue
		}
		hosts = append(hosts, h)
		if !in.unresponsive(h) {
			live++
		}
		if live >= maxWatchers {
			return nil, false
		}
	}
	return hosts, true
}

// ShardToRelease picks a held shard to release to its preferred host, once that
// host has been live for RebalanceAfter. Hosts that joined later thus get their
// part of the shards. It picks one at a time, since a shard has no holder for a
// few seconds when it moves. Shards of organisations, whose holder coordinates
// rate limits, are not moved: a new coordinator may issue no grants for four
// seconds, during which callers within their rate would be rejected.
func ShardToRelease(in Input, held map[model.ShardName]model.Offset) (model.ShardName, bool) {
	members := in.View.Members()
	for _, name := range state.ShardNames(Regions(members)) {
		if _, ok := held[name]; !ok || state.IsOrgShard(name) {
			continue
		}
		best, ok := Preferred(name, candidates(in.Self.Host, name, members))
		if !ok || best == in.Self.Host || in.unresponsive(best) {
			continue
		}
		l, ok := in.Peers[best]
		if ok && !l.LiveSince.IsZero() && in.Now.Sub(l.LiveSince) >= in.Rules.RebalanceAfter {
			return name, true
		}
	}
	return "", false
}
