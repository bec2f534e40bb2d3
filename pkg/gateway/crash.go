package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// crashRetention is how long a crash counts against a request. Callers that retry such
// a request do so within a minute.
const crashRetention = time.Minute

// crashes counts the backend server crashes during requests, by request digest.
type crashes struct {
	mu     sync.Mutex
	counts map[string]crashCount
}

type crashCount struct {
	local, peers int
	updatedAt    time.Time
}

func newCrashes() *crashes { return &crashes{counts: map[string]crashCount{}} }

func (k *crashes) add(digest string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.counts[digest]
	c.local++
	c.updatedAt = now
	k.counts[digest] = c
}

func (k *crashes) count(digest string, now time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.counts[digest]
	if !ok || now.Sub(c.updatedAt) > crashRetention {
		return 0
	}
	return c.local + c.peers
}

// Suspects returns the crashes that this host has seen, by request digest.
func (g *Gateway) Suspects() map[string]int {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	now := time.Now()
	suspects := map[string]int{}
	for digest, c := range g.crashes.counts {
		if now.Sub(c.updatedAt) > crashRetention {
			delete(g.crashes.counts, digest)
			continue
		}
		if c.local > 0 {
			suspects[digest] = c.local
		}
	}
	return suspects
}

// SetPeerSuspects sets the sums of the crashes that all peers have seen, by request
// digest.
func (g *Gateway) SetPeerSuspects(sums map[string]int) {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	now := time.Now()
	for digest, n := range sums {
		c := g.crashes.counts[digest]
		if n != c.peers {
			c.updatedAt = now
		}
		c.peers = n
		g.crashes.counts[digest] = c
	}
}

// crashSuspect computes the digest of the request and reports whether requests with this
// digest have reached the crash limit.
func (c *call) crashSuspect() bool {
	h := xxhash.New()
	_, _ = h.WriteString(c.r.RequestURI)
	_, _ = h.WriteString("\x00" + string(c.orgID()) + "\x00")
	_, _ = h.Write(c.body)
	c.digest = strconv.FormatUint(h.Sum64(), 36)
	return c.g.crashes.count(c.digest, c.arrived) >= c.g.settings.CrashLimit
}
