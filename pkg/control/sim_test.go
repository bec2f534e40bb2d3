package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/authority"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/peer"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/platform/platformtest"
)

// cluster is a set of hosts with one log and a network that tests can partition.
type cluster struct {
	t     *testing.T
	log   *platformtest.Log
	usage *usageStore
	fleet *hostList

	mu      sync.Mutex
	hosts   map[model.HostID]*simHost
	groups  map[model.HostID]int
	logDown map[model.HostID]bool
	// tailDown holds hosts whose requests for entries are lost, as if large
	// replies did not get through.
	tailDown  map[model.HostID]bool
	configure func(*Config)
	// random, if set, delays peer messages by up to 200 ms and loses a fifth of
	// them.
	random *rand.Rand
	// alterVouch changes the replies to vouch requests, to show that a check
	// detects it.
	alterVouch func(*peer.VouchReply)
}

type simHost struct {
	*Control
	id     model.HostID
	cancel context.CancelFunc
	done   chan error
}

func newCluster(t *testing.T, hosts int, change func(*Config)) *cluster {
	c := &cluster{t: t, log: platformtest.NewLog(), usage: &usageStore{}, fleet: &hostList{},
		hosts: map[model.HostID]*simHost{}, groups: map[model.HostID]int{}, logDown: map[model.HostID]bool{}, tailDown: map[model.HostID]bool{}, configure: change}
	for i := range hosts {
		c.startHost(model.HostID(fmt.Sprintf("h%d", i+1)), "01A")
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			h.kill()
		}
	})
	return c
}

func (c *cluster) startHost(id model.HostID, incarnation model.Incarnation) *simHost {
	config := Config{Host: id, Incarnation: incarnation, Region: "r", DataCentre: "d", PeerAddress: string(id),
		Log: &simLog{cluster: c, host: id}, Peers: &simPeers{cluster: c, host: id}, Usage: c.usage, Fleet: c.fleet,
		Rules: authority.Rules{RebalanceAfter: 5 * time.Second}, UsageWindow: 2 * time.Second}
	if c.configure != nil {
		c.configure(&config)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &simHost{Control: New(config), id: id, cancel: cancel, done: make(chan error, 1)}
	c.mu.Lock()
	c.hosts[id] = h
	c.mu.Unlock()
	c.fleet.add(id)
	go func() { h.done <- h.Run(ctx) }()
	return h
}

func (h *simHost) kill() {
	h.cancel()
	<-h.done
	h.done <- nil
}

// stop kills a host and removes it from the network and the platform's list.
func (c *cluster) stop(id model.HostID) {
	c.hosts[id].kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hosts, id)
	c.fleet.remove(id)
}

// partition assigns hosts to a group. Hosts of different groups do not reach each
// other.
func (c *cluster) partition(group int, ids ...model.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.groups[id] = group
	}
}

// cutLog makes the log unreachable for hosts, or reachable again.
func (c *cluster) cutLog(cut bool, ids ...model.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.logDown[id] = cut
	}
}

func (c *cluster) logCut(id model.HostID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logDown[id]
}

func (c *cluster) tailCut(id model.HostID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tailDown[id]
}

// cutTail makes requests of a host for entries fail or succeed again.
func (c *cluster) cutTail(cut bool, id model.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tailDown[id] = cut
}

// reach returns the host at an address if the network lets the caller reach it.
func (c *cluster) reach(from model.HostID, address string) (*simHost, error) {
	c.mu.Lock()
	if c.random != nil {
		delay, lost := time.Duration(c.random.IntN(200))*time.Millisecond, c.random.IntN(5) == 0
		c.mu.Unlock()
		time.Sleep(delay)
		if lost {
			return nil, eris.Wrap(peer.ErrUnreachable, "lost")
		}
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	h, ok := c.hosts[model.HostID(address)]
	if !ok || c.groups[from] != c.groups[h.id] {
		return nil, eris.Wrap(peer.ErrUnreachable, address)
	}
	return h, nil
}

// holders returns the hosts that consider themselves the holder of a shard.
func (c *cluster) holders(shard model.ShardName) []model.HostID {
	var found []model.HostID
	for id, h := range c.hosts {
		if _, ok := h.Holds(shard); ok {
			found = append(found, id)
		}
	}
	return found
}

func (c *cluster) awaitEstablished() {
	c.t.Helper()
	c.await(20*time.Second, func() bool {
		for _, h := range c.hosts {
			for _, m := range h.Tables().Members() {
				if !m.Established {
					return false
				}
			}
			if len(h.Tables().Members()) != len(c.hosts) || !h.Fresh() {
				return false
			}
		}
		return true
	})
}

func (c *cluster) await(limit time.Duration, condition func() bool) {
	c.t.Helper()
	for range int(limit/(50*time.Millisecond)) + 1 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(c.t, "condition not met", "after %v", limit)
}

func organisation(id string, expect model.Offset, rate float64) logrec.Change {
	return logrec.Change{Entity: logrec.EntityOrganisation, ID: id, Expect: expect,
		Value: []byte(fmt.Sprintf(`{"id":%q,"rate":%g}`, id, rate))}
}

type simLog struct {
	cluster *cluster
	host    model.HostID
}

func (l *simLog) Append(ctx context.Context, data []byte) (model.Offset, error) {
	if l.cluster.logCut(l.host) {
		return 0, eris.Wrap(platform.ErrUnavailable, "cut")
	}
	return l.cluster.log.Append(ctx, data)
}

func (l *simLog) Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (platform.ReadResponse, error) {
	if l.cluster.logCut(l.host) {
		return platform.ReadResponse{}, eris.Wrap(platform.ErrUnavailable, "cut")
	}
	r, err := l.cluster.log.Read(ctx, from, limit, wait)
	if l.cluster.logCut(l.host) {
		return platform.ReadResponse{}, eris.Wrap(platform.ErrUnavailable, "cut")
	}
	return r, err
}

type simPeers struct {
	cluster *cluster
	host    model.HostID
}

func (p *simPeers) Tail(_ context.Context, a string, args peer.TailArgs) (r peer.TailReply, err error) {
	h, err := p.cluster.reach(p.host, a)
	if err != nil {
		return r, err
	}
	if p.cluster.tailCut(p.host) {
		return r, eris.Wrap(peer.ErrUnreachable, "tail lost")
	}
	return h.Control.Tail(args)
}

func (p *simPeers) Vouch(_ context.Context, a string, args peer.VouchArgs) (r peer.VouchReply, err error) {
	h, err := p.cluster.reach(p.host, a)
	if err != nil {
		return r, err
	}
	r, err = h.Control.Vouch(args)
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if p.cluster.alterVouch != nil {
		p.cluster.alterVouch(&r)
	}
	return r, err
}

func (p *simPeers) Status(_ context.Context, a string, args peer.StatusArgs) (r peer.StatusReply, err error) {
	h, err := p.cluster.reach(p.host, a)
	if err != nil {
		return r, err
	}
	return h.Control.Status(args)
}

func (p *simPeers) Checkpoint(_ context.Context, a string, args peer.CheckpointArgs) (r peer.CheckpointReply, err error) {
	h, err := p.cluster.reach(p.host, a)
	if err != nil {
		return r, err
	}
	return h.Control.Checkpoint(args)
}

// hostList is the host list of the platform.
type hostList struct {
	platform.Fleet
	mu    sync.Mutex
	hosts []model.HostID
}

func (l *hostList) add(id model.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = append(l.hosts, id)
}

func (l *hostList) remove(id model.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []model.HostID
	for _, h := range l.hosts {
		if h != id {
			kept = append(kept, h)
		}
	}
	l.hosts = kept
}

func (l *hostList) Hosts(context.Context) (platform.HostList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := platform.HostList{AsOfMS: time.Now().UnixMilli()}
	for _, h := range l.hosts {
		list.Hosts = append(list.Hosts, platform.HostEntry{ID: h})
	}
	return list, nil
}

// usageStore is the usage interface of the platform. It loses every other response.
type usageStore struct {
	mu      sync.Mutex
	calls   int
	reports map[string]platform.UsageReport
	repeats int
}

func (u *usageStore) Report(_ context.Context, r platform.UsageReport) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.reports == nil {
		u.reports = map[string]platform.UsageReport{}
	}
	if _, ok := u.reports[r.ReportID]; ok {
		u.repeats++
	}
	u.reports[r.ReportID] = r
	u.calls++
	if u.calls%2 == 1 {
		return eris.Wrap(platform.ErrUnavailable, "response lost")
	}
	return nil
}

func (u *usageStore) ReportStatus(_ context.Context, id string) (platform.UsageReport, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, ok := u.reports[id]
	if !ok {
		return r, eris.Wrap(platform.ErrUnknown, id)
	}
	return r, nil
}

func (u *usageStore) requests() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	var n int64
	for _, r := range u.reports {
		for _, l := range r.Lines {
			n += l.Requests
		}
	}
	return n
}

var isConflict = func(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}
