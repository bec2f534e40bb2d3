package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/authority"
	"github.com/redwingpath/redwingpath/pkg/follower"
	"github.com/redwingpath/redwingpath/pkg/freshness"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/peer"
	"github.com/redwingpath/redwingpath/pkg/state"
)

const (
	// statusInterval is the interval between status requests to a watched host.
	// Half a second allows several attempts within the lease time of 3 s.
	statusInterval = 500 * time.Millisecond
	// vouchInterval is the interval between rounds of vouch requests while the
	// log is unreachable, or before this host is established.
	vouchInterval = 500 * time.Millisecond
	// joinVouchInterval replaces vouchInterval for a new member, so that hosts
	// that start together are established within the settle time.
	joinVouchInterval = 100 * time.Millisecond
	// joinVouchDuration is how long a new member uses joinVouchInterval.
	joinVouchDuration = 5 * time.Second
	// pullAfterAge is the time since the last known read of the log to its end
	// after which this host pulls entries from other hosts.
	pullAfterAge = time.Second
	pullInterval = 500 * time.Millisecond
	// announceInterval is the minimum time between two announcements of a host. It
	// bounds their traffic at the target number of hosts.
	announceInterval = 250 * time.Millisecond
)

// disseminate exchanges positions, log entries and vouches with other hosts.
func (c *Control) disseminate(now time.Time, s *state.Snapshot) {
	if c.config.Peers == nil {
		return
	}
	members := s.Members()
	c.pollWatchedHosts(now, s)
	if c.needsVouches(now, s) && c.throttle.allow("vouch", now, c.vouchInterval(now)) {
		for _, m := range members {
			c.collectVouch(m)
		}
	}
	if now.Sub(c.tracker.LogReadAt()) > pullAfterAge && c.throttle.allow("pull", now, pullInterval) {
		c.pullFromParentAndRandom(members, s)
	}
	if s.Offset()+1 != c.announcedNext && c.throttle.allow("announce", now, announceInterval) {
		c.announce(members, s)
	}
}

func hostIDs(members []state.Member) []model.HostID {
	hosts := make([]model.HostID, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

func (c *Control) vouchInterval(now time.Time) time.Duration {
	if now.Sub(c.memberSince) < joinVouchDuration {
		return joinVouchInterval
	}
	return vouchInterval
}

// needsVouches reports whether this host must request vouches from all members:
// it cannot reach the log, or it is a member that is not established yet.
func (c *Control) needsVouches(now time.Time, s *state.Snapshot) bool {
	if c.cannotReachLog(now) {
		return true
	}
	_, member := c.member(s)
	return member && !c.tracker.Established(s)
}

// pollWatchedHosts requests the status of the hosts whose liveness affects the
// claims of this host.
func (c *Control) pollWatchedHosts(now time.Time, s *state.Snapshot) {
	if _, member := c.member(s); !member || !c.throttle.allow("status", now, statusInterval) {
		return
	}
	watched := authority.HostsToWatch(c.authorityInput(now, s))
	next := make(map[model.HostID]authority.Liveness, len(watched))
	for _, h := range watched {
		l, ok := c.peers[h]
		if !ok {
			l = authority.Liveness{WatchedSince: now}
		}
		next[h] = l
		if m, ok := s.Member(h); ok {
			c.collectStatus(m)
		}
	}
	c.peers = next
}

func (c *Control) collectStatus(m state.Member) {
	c.startJob("status "+string(m.Host), func(ctx context.Context) {
		reply, err := c.config.Peers.Status(ctx, m.PeerAddress, peer.StatusArgs{Host: c.config.Host})
		if err != nil || reply.Host != m.Host || reply.Incarnation != m.Incarnation || reply.Leaving {
			return
		}
		// While this host cannot reach the log itself, a host that responds counts as
		// alive even if it cannot act.
		if reply.Able || !c.LogReachable() {
			_ = c.runInLoop(ctx, func() { c.recordAlive(m.Host, time.Now()) })
		}
	})
}

// recordAlive records a status reply of a watched host.
func (c *Control) recordAlive(h model.HostID, now time.Time) {
	l, ok := c.peers[h]
	if !ok {
		return
	}
	if l.LiveSince.IsZero() || now.Sub(l.LastAnswer) >= c.config.Rules.LeaseTime {
		l.LiveSince = now
	}
	l.LastAnswer = now
	c.peers[h] = l
}

func (c *Control) collectVouch(m state.Member) {
	if m.Host == c.config.Host {
		return
	}
	c.startJob("vouch "+string(m.Host), func(ctx context.Context) {
		response, err := c.requestVouch(ctx, m)
		if err != nil {
			return
		}
		_ = c.runInLoop(ctx, func() {
			c.tracker.RecordAnswer(response)
			if response.Offset > c.tables.Offset() {
				c.pull(m)
			}
			c.renewLease(time.Now())
		})
	})
}

// requestVouch requests a vouch from one member.
func (c *Control) requestVouch(ctx context.Context, m state.Member) (freshness.Response, error) {
	sent := time.Now()
	reply, err := c.config.Peers.Vouch(ctx, m.PeerAddress, peer.VouchArgs{Host: c.config.Host})
	if err != nil {
		return freshness.Response{}, err
	}
	if reply.Host != m.Host {
		return freshness.Response{}, eris.Errorf("%s responded at the address of %s", reply.Host, m.Host)
	}
	return freshness.Response{Host: reply.Host, Incarnation: reply.Incarnation, Sent: sent,
		CannotReachLog: reply.CannotReachLog, Offset: reply.Offset, Counts: reply.Counts}, nil
}

// pullFromParentAndRandom pulls from the parent in the tree and from a random
// member, so that losing one of them does not stop dissemination.
func (c *Control) pullFromParentAndRandom(members []state.Member, s *state.Snapshot) {
	if parent, ok := peer.NewTree(hostIDs(members)).Parent(c.config.Host); ok {
		if m, ok := s.Member(parent); ok {
			c.pull(m)
		}
	}
	if len(members) > 0 {
		c.pull(members[rand.IntN(len(members))])
	}
}

// pull requests log entries from a member until the end of what the member has.
func (c *Control) pull(m state.Member) {
	if m.Host == c.config.Host {
		return
	}
	c.startJob("pull "+string(m.Host), func(ctx context.Context) {
		for {
			more, err := c.pullBatch(ctx, m)
			if err != nil {
				c.config.Logger.Debug("pull tail", zap.String("peer", string(m.Host)), zap.Error(err))
			}
			if err != nil || !more {
				return
			}
		}
	})
}

// pullBatch requests one batch of entries. more reports whether the member has
// further ones.
func (c *Control) pullBatch(ctx context.Context, m state.Member) (more bool, err error) {
	sent := time.Now()
	want := max(c.follower.Next(), 1)
	reply, err := c.config.Peers.Tail(ctx, m.PeerAddress, peer.TailArgs{
		Host: c.config.Host, Incarnation: c.config.Incarnation, Next: want, Want: want,
	})
	if err != nil {
		return false, err
	}
	if reply.Dropped {
		return false, c.adoptPeerTables(ctx, m.PeerAddress)
	}
	contiguous, err := c.follower.DeliverFromPeer(ctx, follower.Batch{From: reply.From, Next: reply.Next, Entries: reply.Entries})
	if err != nil || !contiguous {
		return false, err
	}
	if !reply.AtEnd {
		return true, nil
	}
	if reply.HasRead {
		err = c.runInLoop(ctx, func() {
			c.tracker.RecordPeerTail(sent, reply.ReadAge)
			c.ready.Store(true)
			c.renewLease(time.Now())
		})
	}
	return false, err
}

// adoptPeerTables replaces the tables by those of a peer if the log is unreachable.
func (c *Control) adoptPeerTables(ctx context.Context, address string) error {
	if c.LogReachable() {
		return nil
	}
	tables, err := c.fetchTables(ctx, address)
	if err != nil {
		return err
	}
	return c.follower.ReplaceTables(ctx, tables)
}

func (c *Control) fetchTables(ctx context.Context, address string) (*state.Tables, error) {
	reply, err := c.config.Peers.Checkpoint(ctx, address, peer.CheckpointArgs{Host: c.config.Host})
	if err != nil {
		return nil, err
	}
	return state.RestoreCompressed(c.config.Tables, reply.Data)
}

// bootstrap fetches the initial tables from the first seed that responds.
func (c *Control) bootstrap(ctx context.Context) (*state.Tables, error) {
	err := eris.New("no seed address of another host is configured")
	if c.config.Peers == nil {
		return nil, err
	}
	for _, address := range c.config.Seeds {
		if address == c.config.PeerAddress {
			continue
		}
		var tables *state.Tables
		if tables, err = c.fetchTables(ctx, address); err == nil {
			return tables, nil
		}
	}
	return nil, err
}

// announce tells the children of this host in the tree that there are new entries.
func (c *Control) announce(members []state.Member, s *state.Snapshot) {
	next := s.Offset() + 1
	c.announcedNext = next
	for _, h := range peer.NewTree(hostIDs(members)).Children(c.config.Host) {
		m, ok := s.Member(h)
		if !ok {
			continue
		}
		c.startJob("announce "+string(h), func(ctx context.Context) {
			_, _ = c.config.Peers.Tail(ctx, m.PeerAddress, peer.TailArgs{
				Host: c.config.Host, Incarnation: c.config.Incarnation, Next: next,
			})
		})
	}
}
