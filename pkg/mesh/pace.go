package mesh

import "time"

// Intervals of exchanges. With up to about a hundred hosts, the interval of exchanges
// with a relay is about the prefill time of a prompt. With more hosts the intervals grow,
// so that the rate of messages that a host receives doesn't grow with the number of
// hosts.
const (
	// minDirectInterval is the shortest interval of exchanges with a peer while hosts
	// exchange directly.
	minDirectInterval = 100 * time.Millisecond
	// directIntervalPerPeer lengthens the interval with the number of peers, so that a
	// host sends at most 100 messages/s.
	directIntervalPerPeer = 10 * time.Millisecond
	// minRelayInterval is the shortest interval of exchanges with a relay, about the
	// prefill time of a prompt.
	minRelayInterval = 100 * time.Millisecond
	// relayIntervalPerHost lengthens the interval with the number of hosts, so that a
	// host receives at most 1,000 updates/s until the interval reaches maxRelayInterval.
	relayIntervalPerHost = time.Millisecond
	// maxRelayInterval keeps updates recent enough for quotas.
	maxRelayInterval = 400 * time.Millisecond
	// roundsPerUpdate is the number of rounds after which a host has received most
	// updates: three rounds for the path through two relays, less half a round.
	roundsPerUpdate = 2.5
	// minCountsInterval is the shortest interval of messages with usage counts.
	minCountsInterval = 600 * time.Millisecond
	// countsIntervalPerHost lengthens the interval with the number of hosts, so that
	// the holder of the duties receives at most 150 of these messages/s until the
	// interval reaches maxCountsInterval.
	countsIntervalPerHost = 7 * time.Millisecond
	// maxCountsInterval lets all counts of a window arrive well before its report is
	// due.
	maxCountsInterval = 2 * time.Second
)

// One in this many updates through relays is full. A full update corrects what a host
// missed, within 0.4 s. With long rounds only one in eight is full, since the next
// request of an organisation also corrects its sum of admitted work.
const (
	minFullUpdatePeriod = 4
	maxFullUpdatePeriod = 8
)

// fullUpdatePeriod returns the interval, in updates, at which a host sends a full update
// through relays.
func fullUpdatePeriod(hosts int) uint64 {
	if relayInterval(hosts) >= 2*minRelayInterval {
		return maxFullUpdatePeriod
	}
	return minFullUpdatePeriod
}

// directInterval returns the interval of exchanges with each of a number of peers.
func directInterval(peers int) time.Duration {
	return max(minDirectInterval, time.Duration(peers)*directIntervalPerPeer)
}

// relayInterval returns the interval of exchanges with a relay among a number of hosts.
func relayInterval(hosts int) time.Duration {
	return min(max(minRelayInterval, time.Duration(hosts)*relayIntervalPerHost), maxRelayInterval)
}

// countsInterval returns the interval of messages with usage counts among a number of
// hosts.
func countsInterval(hosts int) time.Duration {
	return min(max(minCountsInterval, time.Duration(hosts)*countsIntervalPerHost), maxCountsInterval)
}

// relayedUpdateInterval returns the time in which a host receives most updates of a
// number of hosts through relays.
func relayedUpdateInterval(hosts int) time.Duration {
	return time.Duration(roundsPerUpdate * float64(relayInterval(hosts)))
}
