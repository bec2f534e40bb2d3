package product

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/integration/example"
)

// Guards against rejections of requests within the rate while a planned restart moves
// shards between hosts: the design allows under 0.1% wrongly rejected requests.
func TestRateDuringPlannedRestart(t *testing.T) {
	d, keys := start(t, example.Config{Example: example.Duelas})
	runControl(t, d.Hosts[0], "run", "change shop roble-centro hours always; change org muebles-roble rate 6 burst 24")
	key, body := keys["roble-1"], d.ChatBody(false, 1, "lot")
	_, err := d.AwaitChat(timeoutContext(t), d.Hosts[0], key, body)
	require.NoError(t, err)
	// Wait until the shards have moved to the hosts that joined and their new rate
	// coordinators issue grants.
	time.Sleep(6 * time.Second)
	restarted := make(chan error, 1)
	go func() {
		h := d.Hosts[1]
		_ = h.Process.Terminate()
		if err := h.Process.Wait(stopTimeout); err != nil {
			restarted <- err
			return
		}
		restarted <- h.Start()
	}()
	// 2.5 requests/s are under half of the rate. One host may use the whole rate.
	rejected := 0
	for range 20 {
		response, err := d.Call(timeoutContext(t), d.Hosts[0].Callers+chatPath, body, example.Header(key))
		require.NoError(t, err)
		if response.Status == http.StatusTooManyRequests {
			rejected++
		}
		time.Sleep(400 * time.Millisecond)
	}
	require.NoError(t, <-restarted)
	require.Zero(t, rejected, "of 20 requests within the rate")
}
