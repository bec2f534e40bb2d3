package authority

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecisions measures the decisions of one host for small and target
// numbers of hosts. In operation, Claims runs every 50 ms, HostsToWatch every
// 500 ms and ShardToRelease every 2 s.
func BenchmarkDecisions(b *testing.B) {
	for _, hosts := range []int{8, 340} {
		tables := members(b, hosts)
		now := time.Now()
		claimAll(b, tables, hosts, nil, now)
		in := input(tables, "h0", now)
		held := NewLeaseManager(in.Self, in.Rules).heldInTables(in.View)
		b.Run(fmt.Sprintf("claims/hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				Claims(in)
			}
		})
		b.Run(fmt.Sprintf("watch/hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				HostsToWatch(in)
			}
		})
		b.Run(fmt.Sprintf("release/hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				ShardToRelease(in, held)
			}
		})
	}
}
