package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// crashKept is how long a crash counts against a request. Callers that send such
// a request again do so within a minute.
const crashKept = time.Minute

// crashes counts the crashes that were seen during requests of a digest.
type crashes struct {
	mu     sync.Mutex
	counts map[string]crashCount
}

type crashCount struct {
	own, heard int
	at         time.Time
}

func newCrashes() *crashes { return &crashes{counts: map[string]crashCount{}} }

func (k *crashes) add(digest string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.counts[digest]
	c.own++
	c.at = now
	k.counts[digest] = c
}

func (k *crashes) count(digest string, now time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.counts[digest]
	if !ok || now.Sub(c.at) > crashKept {
		return 0
	}
	return c.own + c.heard
}

// Suspects lists the digests with the crashes that this host saw.
func (g *Gateway) Suspects() map[string]int {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	now := time.Now()
	suspects := map[string]int{}
	for digest, c := range g.crashes.counts {
		if now.Sub(c.at) > crashKept {
			delete(g.crashes.counts, digest)
			continue
		}
		if c.own > 0 {
			suspects[digest] = c.own
		}
	}
	return suspects
}

// HearSuspects takes the crashes that all peers saw.
func (g *Gateway) HearSuspects(sums map[string]int) {
	g.crashes.mu.Lock()
	defer g.crashes.mu.Unlock()
	now := time.Now()
	for digest, n := range sums {
		c := g.crashes.counts[digest]
		if n != c.heard {
			c.at = now
		}
		c.heard = n
		g.crashes.counts[digest] = c
	}
}

// crashSuspect tells whether the request has crashed too many backend servers.
func (c *call) crashSuspect() bool {
	h := xxhash.New()
	_, _ = h.WriteString(c.r.RequestURI)
	_, _ = h.WriteString("\x00" + string(c.orgID()) + "\x00")
	_, _ = h.Write(c.body)
	c.digest = strconv.FormatUint(h.Sum64(), 36)
	return c.g.crashes.count(c.digest, c.arrived) >= c.g.settings.CrashLimit
}
