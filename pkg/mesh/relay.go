package mesh

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hostsPerRelay is the number of hosts for which a data centre has one relay. A relay
// sends about 50 KB/s to each of them, which a link of 10 Mbit/s can carry.
const hostsPerRelay = 16

// selectRelays returns the relays among the hosts of one data centre: those with the
// most bandwidth. All hosts that know the same members select the same relays.
func selectRelays(hosts []Member) []Member {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Bandwidth, a.Bandwidth), cmp.Compare(hostHash(a.Host), hostHash(b.Host)))
	})
	return ranked[:(len(ranked)+hostsPerRelay-1)/hostsPerRelay]
}

// hostHash orders hosts of equal bandwidth. It is independent of the order of names,
// which decides the turns for other work.
func hostHash(host string) uint64 { return xxhash.Sum64String(host) }

// chooseRelay returns the relay that a host uses, by rendezvous hashing: when the
// relays change, few hosts change theirs. It returns false if there are no relays.
func chooseRelay(host string, relays []Member) (Member, bool) {
	var chosen Member
	most := uint64(0)
	for _, r := range relays {
		if weight := xxhash.Sum64String(host + "\x00" + r.Host); weight >= most {
			chosen, most = r, weight
		}
	}
	return chosen, len(relays) > 0
}
