package edgehost

import "sync"

// peerSuspects sums up the crashes of backend servers that peers have observed, by the
// digest of the request that is suspected to cause them.
type peerSuspects struct {
	mu    sync.Mutex
	peers map[string]map[string]int
	sums  map[string]int
}

// update replaces the counts of a peer and returns the changed sums only, since peers
// send their counts many times a second, mostly unchanged.
func (p *peerSuspects) update(host string, suspects map[string]int) (changed map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.peers[host]
	if len(before) == 0 && len(suspects) == 0 {
		return nil
	}
	if p.peers == nil {
		p.peers, p.sums = map[string]map[string]int{}, map[string]int{}
	}
	changed = map[string]int{}
	add := func(digest string, difference int) {
		if difference == 0 {
			return
		}
		p.sums[digest] += difference
		changed[digest] = p.sums[digest]
		if p.sums[digest] == 0 {
			delete(p.sums, digest)
		}
	}
	for digest, n := range suspects {
		add(digest, n-before[digest])
	}
	for digest, n := range before {
		if _, still := suspects[digest]; !still {
			add(digest, -n)
		}
	}
	p.peers[host] = suspects
	if len(suspects) == 0 {
		delete(p.peers, host)
	}
	return changed
}
