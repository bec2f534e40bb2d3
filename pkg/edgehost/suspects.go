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
func (b *peerSuspects) update(host string, suspects map[string]int) (changed map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.peers[host]
	if len(before) == 0 && len(suspects) == 0 {
		return nil
	}
	if b.peers == nil {
		b.peers, b.sums = map[string]map[string]int{}, map[string]int{}
	}
	changed = map[string]int{}
	add := func(digest string, difference int) {
		if difference == 0 {
			return
		}
		b.sums[digest] += difference
		changed[digest] = b.sums[digest]
		if b.sums[digest] == 0 {
			delete(b.sums, digest)
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
	b.peers[host] = suspects
	if len(suspects) == 0 {
		delete(b.peers, host)
	}
	return changed
}
