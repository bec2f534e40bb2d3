package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Guards against a request that is refused since the engines without a pace would serve it
// too late, while a paced one would serve it in time.
func TestRequestIsNotRefusedBecauseOfAPace(t *testing.T) {
	busy, paced := startBackend(t, "busy", streamFrom(3, true)), startBackend(t, "paced", streamFrom(3, true))
	b := paced.engine(placement.StageDecode)
	b.Start = &placement.StartTraits{FindPace: true}
	bed := newTestbed(t, nil, busy.engine(placement.StageDecode), b)
	var hosts []string
	for i := range 20 {
		hosts = append(hosts, fmt.Sprint("host-", i))
	}
	pace := []placement.LimitStatement{{Backend: b.ID, PerSecond: 2, Observed: true}}
	// The host is none of the users of the paced engine.
	for _, self := range hosts {
		bed.fleet.SetLiveHosts(self, hosts)
		bed.fleet.HandleLimits(pace, time.Now())
		plan, ok := bed.fleet.Place(&placement.Request{Service: "model"}, time.Now())
		require.True(t, ok)
		if string(plan.Run.ID) == "busy" {
			break
		}
	}
	const backlogMS = 4000
	bed.fleet.HandleReport("peer", placement.Report{Sends: []placement.Send{{Backend: "busy", WorkMS: backlogMS}}}, time.Now())
	got := bed.do(t, http.MethodPost, "/say/x", "", nil)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Len(t, paced.requests(), 1)
}
