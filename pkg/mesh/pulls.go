package mesh

import (
	"sync"
	"time"
)

// pullPatience is how long a pull may take before the records are requested from another
// peer as well. Most pulls take milliseconds; a peer that is frozen or cut off sends nothing
// until pullTimeout.
const pullPatience = 300 * time.Millisecond

// pulls are the pulls in progress. It is safe for concurrent use.
type pulls struct {
	mu sync.Mutex
	// began is when the pulls in progress began, by topic and peer.
	began map[string]map[string]time.Time
}

// begin reports whether a topic is to be pulled from a peer now: no pull from the peer is in
// progress, and none from another peer that began less than pullPatience ago. If so, the pull
// is in progress until end.
func (p *pulls) begin(topic, host string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, busy := p.began[topic][host]; busy {
		return false
	}
	for _, began := range p.began[topic] {
		if now.Sub(began) < pullPatience {
			return false
		}
	}
	if p.began == nil {
		p.began = map[string]map[string]time.Time{}
	}
	if p.began[topic] == nil {
		p.began[topic] = map[string]time.Time{}
	}
	p.began[topic][host] = now
	return true
}

func (p *pulls) end(topic, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.began[topic], host)
}
