package mesh

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hostsPerRelay is the number of hosts of a data centre for which it has one relay.
// A relay sends each of them some 50 KB a second, so that a link of 10 Mbit/s
// carries them.
const hostsPerRelay = 16

// relaysOf picks the relays among the hosts of one data centre: those with the
// most bandwidth. All hosts that know the same members pick the same ones.
func relaysOf(hosts []Member) []Member {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Bandwidth, a.Bandwidth), cmp.Compare(spread(a.Host), spread(b.Host)))
	})
	return ranked[:(len(ranked)+hostsPerRelay-1)/hostsPerRelay]
}

// spread orders hosts independently of their names, by which they take turns for
// other work.
func spread(host string) uint64 { return xxhash.Sum64String(host) }

// relayFor picks the relay that a host uses, so that few hosts change theirs when
// the relays change.
func relayFor(host string, relays []Member) (Member, bool) {
	var chosen Member
	most := uint64(0)
	for _, r := range relays {
		if weight := xxhash.Sum64String(host + "\x00" + r.Host); weight >= most {
			chosen, most = r, weight
		}
	}
	return chosen, len(relays) > 0
}
