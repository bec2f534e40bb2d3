package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/platform/platformtest"
)

// BenchmarkTick measures ticks at the target number of hosts. The time that ticks
// see advances by 50 ms between them; divide the time of a tick by 50 ms for its
// share of a core.
func BenchmarkTick(b *testing.B) {
	for _, hosts := range []int{8, 340} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			c := New(Config{Host: "h0", Incarnation: "i", Region: "r0", Log: platformtest.NewLog()})
			for i := range hosts {
				join := logrec.Join{Region: model.RegionID(fmt.Sprint("r", i%5)), PeerAddress: "a"}
				for range 2 {
					applyTo(b, c, model.HostID(fmt.Sprint("h", i)), logrec.KindJoin, join)
				}
			}
			for _, name := range []model.ShardName{"fleet/r0", "org/1", "usage/1"} {
				applyTo(b, c, "h0", logrec.KindClaim, logrec.Claim{Shard: name})
			}
			c.publishSnapshot()
			now := time.Now()
			c.tracker.RecordLogRead(now.Add(time.Hour))
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(DefaultTickInterval)
				c.tick(now)
			}
		})
	}
}

func applyTo(b *testing.B, c *Control, host model.HostID, kind logrec.Kind, body any) {
	r, err := logrec.New(kind, body)
	require.NoError(b, err)
	r.ID, r.Host, r.Incarnation = ulid.Make().String(), host, "i"
	data, err := logrec.Encode([]logrec.Record{r})
	require.NoError(b, err)
	offset := c.tables.Offset() + 1
	c.tables.Apply(offset, platform.LogEntry{Offset: offset, TimeMS: time.Now().UnixMilli(), Data: data})
}
