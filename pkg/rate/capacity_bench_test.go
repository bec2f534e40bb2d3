package rate

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// byteCounter counts the bytes written to it.
type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// BenchmarkGrant measures one request and reply between a host and the
// coordinator, with the encoding that hosts use, and reports the bytes of both
// messages on a connection that is already open.
func BenchmarkGrant(b *testing.B) {
	for _, organisations := range []int{500, 1000, 2000, 4300} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			limits := func(model.OrganisationID) (Limits, bool) { return Limits{Rate: 10, Burst: 20}, true }
			coordinator := NewCoordinator(Acquisition{Fence: 1}, DefaultTerms(), limits)
			host := NewHost(HostKey{Host: "host-armenia-017", Incarnation: "01JABCDEFGHJKMNPQRSTVWXYZ0"})
			var bytes byteCounter
			encoder := gob.NewEncoder(&bytes)
			now := time.Unix(1000, 0)
			exchange := func(i int) {
				org := model.OrganisationID(fmt.Sprintf("organisation-%05d", i%organisations))
				now = now.Add(20 * time.Millisecond)
				host.RecordDemand(org, 1, now)
				if !host.Take(org, 1, 10, now) {
					host.AddPending(org, 1, now)
				}
				request := host.NextRequest(org, 1, now)
				reply := coordinator.Grant(&request, now)
				host.ApplyReply(org, reply, now, now)
				host.Take(org, 1, 10, now)
				if err := encoder.Encode(&request); err != nil {
					b.Fatal(err)
				}
				if err := encoder.Encode(&reply); err != nil {
					b.Fatal(err)
				}
			}
			for i := range organisations {
				exchange(i)
			}
			bytes = 0
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				exchange(i)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/exchange")
		})
	}
}
