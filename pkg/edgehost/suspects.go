package edgehost

import "sync"

// suspectBook adds up the crashes that peers saw, by request digest.
type suspectBook struct {
	mu    sync.Mutex
	peers map[string]map[string]int
}

func (b *suspectBook) take(host string, suspects map[string]int) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers == nil {
		b.peers = map[string]map[string]int{}
	}
	b.peers[host] = suspects
	sums := map[string]int{}
	for _, list := range b.peers {
		for digest, n := range list {
			sums[digest] += n
		}
	}
	return sums
}
