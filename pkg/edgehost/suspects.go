package edgehost

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// suspectRetention is how long the counts of a process that has ended are kept after their
// last change. Callers that retry a request that crashes servers do so within a minute.
const suspectRetention = time.Minute

// peerSuspects sums up the crashes of backend servers that peers have observed, by the
// digest of the request that is suspected to cause them. The crashes that a process has
// seen stay in the sums when its host restarts.
type peerSuspects struct {
	mu    sync.Mutex
	peers map[string]*processSuspects
	// ended are processes that others have replaced.
	ended []*processSuspects
	sums  map[string]int
}

// processSuspects are the counts of one process of a peer.
type processSuspects struct {
	incarnation string
	counts      map[string]int
	changedAt   time.Time
}

// update replaces the counts of a peer's process and returns the changed sums only, since
// peers send their counts many times a second, mostly unchanged.
func (p *peerSuspects) update(host, incarnation string, suspects map[string]int, now time.Time) (changed map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[host]
	if peer != nil && peer.incarnation != incarnation {
		p.ended = append(p.ended, peer)
		delete(p.peers, host)
		peer = nil
	}
	if i := slices.IndexFunc(p.ended, func(e *processSuspects) bool { return e.incarnation == incarnation }); peer == nil && i >= 0 {
		// A late update of a process that has ended does not count its crashes again.
		peer = p.ended[i]
		p.ended = slices.Delete(p.ended, i, i+1)
		p.peers[host] = peer
	}
	if peer == nil && len(suspects) == 0 && len(p.ended) == 0 {
		return nil
	}
	if p.peers == nil {
		p.peers, p.sums = map[string]*processSuspects{}, map[string]int{}
	}
	changed = map[string]int{}
	p.expire(changed, now)
	if peer == nil {
		if len(suspects) == 0 {
			return changed
		}
		peer = &processSuspects{incarnation: incarnation}
		p.peers[host] = peer
	}
	if !maps.Equal(peer.counts, suspects) {
		peer.changedAt = now
	}
	for digest, n := range suspects {
		p.add(changed, digest, n-peer.counts[digest])
	}
	for digest, n := range peer.counts {
		if _, still := suspects[digest]; !still {
			p.add(changed, digest, -n)
		}
	}
	peer.counts = suspects
	if len(suspects) == 0 {
		delete(p.peers, host)
	}
	return changed
}

// add adds to a sum and records it as changed. The caller holds p.mu.
func (p *peerSuspects) add(changed map[string]int, digest string, difference int) {
	if difference == 0 {
		return
	}
	p.sums[digest] += difference
	changed[digest] = p.sums[digest]
	if p.sums[digest] == 0 {
		delete(p.sums, digest)
	}
}

// expire removes the counts of processes that have ended and not counted for the retention
// time. The caller holds p.mu.
func (p *peerSuspects) expire(changed map[string]int, now time.Time) {
	kept := p.ended[:0]
	for _, process := range p.ended {
		if now.Sub(process.changedAt) <= suspectRetention {
			kept = append(kept, process)
			continue
		}
		for digest, n := range process.counts {
			p.add(changed, digest, -n)
		}
	}
	clear(p.ended[len(kept):])
	p.ended = kept
}
