package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/freshness"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/peer"
)

// acceptedChange is a change whose acceptance was reported to an operator.
type acceptedChange struct {
	offset model.Offset
	at     time.Time
}

// faultInjector applies random partitions, outages, restarts, joins and changes to a
// cluster, and checks that no fresh host lacks a change that was accepted longer ago
// than the freshness limit.
type faultInjector struct {
	*cluster
	random   *rand.Rand
	mu       sync.Mutex
	accepted []acceptedChange
	serial   int
	// pauses lets steps block the control goroutine of a host for up to 4 s.
	pauses bool
}

// pauseLoop blocks the control goroutine of a host, as the scheduler of a busy
// machine may.
func (c *faultInjector) pauseLoop(h *simHost) {
	length := time.Duration(c.random.IntN(4000)) * time.Millisecond
	go func() { _ = h.runInLoop(context.Background(), func() { time.Sleep(length) }) }()
}

func (c *faultInjector) applyNewChange(h *simHost) {
	c.serial++
	id := fmt.Sprintf("o%d", c.serial)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		r, err := h.ApplyConfig(ctx, "ana", []logrec.Change{organisation(id, 0, 1)})
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.accepted = append(c.accepted, acceptedChange{offset: r.Offset, at: time.Now()})
		}
	}()
}

func (c *faultInjector) acceptedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.accepted)
}

func (c *faultInjector) anyHost() *simHost {
	ids := c.fleet.hosts
	return c.hosts[ids[c.random.IntN(len(ids))]]
}

func (c *faultInjector) step() {
	h := c.anyHost()
	if c.pauses && c.random.IntN(6) == 0 {
		c.pauseLoop(h)
		return
	}
	switch c.random.IntN(14) {
	case 0, 1:
		c.partition(c.random.IntN(2), h.id)
	case 2, 3:
		c.cutLog(c.random.IntN(2) == 0, h.id)
	case 4:
		cut := c.random.IntN(2) == 0
		c.cutLog(cut, c.fleet.hosts...)
	case 5:
		c.partition(0, c.fleet.hosts...)
	case 6:
		c.serial++
		c.stop(h.id)
		c.startHost(h.id, model.Incarnation(fmt.Sprintf("01B%04d", c.serial)))
	case 7:
		if len(c.fleet.hosts) < 7 {
			c.serial++
			c.startHost(model.HostID(fmt.Sprintf("n%d", c.serial)), "01A")
		}
	case 8, 9:
		c.cutTail(c.random.IntN(2) == 0, h.id)
	default:
		c.applyNewChange(h)
	}
}

// check returns an error if a fresh host lacks a change that was accepted longer ago
// than the freshness limit.
func (c *faultInjector) check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, h := range c.hosts {
		if !h.Fresh() {
			continue
		}
		for _, a := range c.accepted {
			if now.Sub(a.at) > freshness.Limit && h.Tables().Offset() < a.offset {
				return fmt.Errorf("%s is fresh at offset %d, %v after offset %d was accepted",
					h.id, h.Tables().Offset(), now.Sub(a.at), a.offset)
			}
		}
	}
	return nil
}

func runRandomFaults(t *testing.T, seed uint64, pauses bool) (accepted int, err error) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := &faultInjector{cluster: newCluster(t, 3+int(seed%3), nil), random: random, pauses: pauses}
		c.awaitEstablished()
		c.cluster.mu.Lock()
		c.cluster.random = rand.New(rand.NewPCG(seed, 2))
		c.cluster.mu.Unlock()
		for range 40 {
			c.step()
			for range 1 + random.IntN(15) {
				time.Sleep(100 * time.Millisecond)
				if err == nil {
					err = c.check()
				}
			}
		}
		time.Sleep(5 * time.Second)
		accepted = c.acceptedCount()
	})
	return accepted, err
}

// Guards against a revoked key that still works somewhere more than 3 s after
// the operator was told that the revocation is accepted.
func TestFreshHostsHaveAcceptedChanges(t *testing.T) {
	total := 0
	for seed := range uint64(8) {
		accepted, err := runRandomFaults(t, seed, false)
		require.NoError(t, err, "seed %d", seed)
		total += accepted
	}
	require.Greater(t, total, 8)
}

// runStraggler makes a host miss an accepted change. Then the log becomes unreachable
// for all hosts, and the others respond to vouch requests of that host although it gets
// no entries from them.
func runStraggler(t *testing.T, alter func(*peer.VouchReply)) (err error) {
	synctest.Test(t, func(t *testing.T) {
		c := &faultInjector{cluster: newCluster(t, 5, nil)}
		c.awaitEstablished()
		c.cutLog(true, "h5")
		c.partition(1, "h5")
		c.cutTail(true, "h5")
		c.applyNewChange(c.hosts["h1"])
		time.Sleep(time.Second)
		require.Equal(t, 1, c.acceptedCount())
		c.cluster.mu.Lock()
		c.alterVouch = alter
		c.cluster.mu.Unlock()
		c.cutLog(true, "h1", "h2", "h3", "h4")
		c.partition(0, "h5")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if err == nil {
				err = c.check()
			}
		}
	})
	return err
}

func TestStragglerIsNotFresh(t *testing.T) {
	require.NoError(t, runStraggler(t, nil))
}

func TestFreshnessCheckDetectsIgnoredOffsets(t *testing.T) {
	require.Error(t, runStraggler(t, func(r *peer.VouchReply) { r.Offset = 0 }))
}

// Guards against fresh hosts that lack an accepted change when control goroutines
// pause at any time, also while peers and the log reader deliver entries to them.
func TestFreshHostsHaveAcceptedChangesAfterPauses(t *testing.T) {
	total := 0
	for seed := range uint64(8) {
		accepted, err := runRandomFaults(t, 100+seed, true)
		require.NoError(t, err, "seed %d", 100+seed)
		total += accepted
	}
	require.Greater(t, total, 8)
}
