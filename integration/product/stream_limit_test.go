package product

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/integration/example"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin/enginesim"
)

// Guards against a limits.streams setting that is accepted and has no effect: a host
// with a limit of 4 open streams must reject further ones.
func TestStreamLimitOfHost(t *testing.T) {
	d, keys := start(t, example.Config{
		Example: example.Duelas, Limits: `"limits": {"streams": 4},`, Engine: enginesim.Config{DecodeStepMS: 20},
	})
	runControl(t, d.Hosts[0], "run", "change shop roble-centro hours always")
	key := keys["roble-1"]
	_, err := d.AwaitChat(timeoutContext(t), d.Hosts[0], key, d.ChatBody(false, 1, "lot"))
	require.NoError(t, err)
	responses := make([]example.Response, 8)
	var group sync.WaitGroup
	for i := range responses {
		group.Go(func() {
			responses[i], _ = d.Call(t.Context(), d.Hosts[0].Callers+chatPath, d.ChatBody(true, 100, "lot"), example.Header(key))
		})
	}
	group.Wait()
	served := 0
	for _, response := range responses {
		if response.Status == http.StatusOK {
			served++
			continue
		}
		requireRejected(t, http.StatusTooManyRequests, model.CodeTooManyStreams, response)
	}
	require.LessOrEqual(t, served, 4)
}
