package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/membudget"
)

// Guards against a host that runs out of memory, since the largest bodies that requests may
// have arrive at the same time.
func TestManyLargeBodiesTogetherAreBounded(t *testing.T) {
	// A host sets the memory limit of the Go runtime to 0.7 of its memory.
	const goMemoryLimit = smallHostBytes * 7 / 10
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(goMemoryLimit))
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			sink := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(100 * time.Millisecond)
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				w.Header().Set("X-Seal", "s")
			}))
			defer sink.Close()
			server := startBackend(t, "a", nil).plain()
			server.Address = sink.Listener.Addr().String()
			bed := newTestbed(t, nil, server)
			// Two hundred megabytes take more than the second of the route on a busy machine.
			bed.catalog.Load().Route("h", "/pay/").Timeout = time.Minute
			bed.gateway.deps.RequestMemory = membudget.New(smallHostBytes / 4)
			large := strings.Repeat("x", 2<<20)
			var mu sync.Mutex
			statuses := map[int]int{}
			heap := heapGrowthDuring(func() {
				var group sync.WaitGroup
				for i := range 100 {
					group.Go(func() {
						var body io.Reader = strings.NewReader(large)
						if chunked {
							body = io.MultiReader(body)
						}
						req, err := http.NewRequestWithContext(t.Context(), "POST", bed.server.URL+"/pay/", body)
						if err != nil {
							return
						}
						req.Host = "h"
						req.Header.Set("X-Id", fmt.Sprint("r", i))
						req.Header.Set("X-Key", "key")
						resp, err := http.DefaultTransport.RoundTrip(req)
						status := 0
						if err == nil {
							status = resp.StatusCode
							_ = resp.Body.Close()
						}
						mu.Lock()
						defer mu.Unlock()
						statuses[status]++
					})
				}
				group.Wait()
			})
			t.Logf("the heap grew by %d MiB, responses %v", heap>>20, statuses)
			assert.Less(t, heap, uint64(goMemoryLimit))
			assert.Positive(t, statuses[200])
			assert.Equal(t, 100, statuses[200]+statuses[503], "%v", statuses)
			assert.Eventually(t, func() bool { return bed.gateway.deps.RequestMemory.Used() == 0 }, time.Second, time.Millisecond)
			small := bed.do(t, "POST", "/pay/", strings.Repeat("x", 60<<10), map[string]string{"X-Id": "small"})
			assert.Equal(t, 200, small.status)
		})
	}
}
