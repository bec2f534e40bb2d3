// Package authority decides which shards a host claims and releases, and whether
// it may act as the holder of a shard. It does no I/O and reads no clock: callers
// pass the tables and the time.
package authority

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// rendezvousWeight is the weight of a host for a shard in rendezvous hashing. The
// host with the highest weight is the preferred one.
func rendezvousWeight(shard model.ShardName, host model.HostID) uint64 {
	var buffer [128]byte
	key := append(buffer[:0], shard...)
	key = append(key, 0)
	key = append(key, host...)
	return xxhash.Sum64(key)
}

// Preferred returns the preferred host of a shard among the given ones. ok is
// false if there are none.
func Preferred(shard model.ShardName, hosts []model.HostID) (best model.HostID, ok bool) {
	var highest uint64
	for _, h := range hosts {
		w := rendezvousWeight(shard, h)
		if !ok || w > highest || (w == highest && h < best) {
			best, highest, ok = h, w, true
		}
	}
	return best, ok
}

// candidates lists the members that may hold a shard: established members and
// this host, and for a fleet shard only those of its region.
func candidates(self model.HostID, shard model.ShardName, members []state.Member) []model.HostID {
	var hosts []model.HostID
	for _, m := range members {
		if !m.Established && m.Host != self {
			continue
		}
		region, ok := state.FleetRegion(shard)
		if !ok || region == m.Region {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// Regions lists the regions of the members, sorted and without duplicates.
func Regions(members []state.Member) []model.RegionID {
	var regions []model.RegionID
	for _, m := range members {
		if !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	slices.Sort(regions)
	return regions
}
