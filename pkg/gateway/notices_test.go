package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Guards against prefill calls to an engine that has stated in the response to one that it is
// leaving or wants no requests.
func TestPrefillEngineThatStatesANoticeIsLeftAlone(t *testing.T) {
	for name, head := range map[string]string{
		"leaving": "HTTP/1.1 200 OK\r\nX-Leaving: 1\r\n", "pause": "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Pause: 1m\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			prefiller := startBackend(t, "p", func(_ *backendServer, conn net.Conn, r *http.Request) {
				_, _ = fmt.Fprintf(conn, head+"X-Id: %s\r\nContent-Length: 6\r\n\r\nhandle", r.Header.Get("X-Id"))
			})
			decoder := startBackend(t, "d", streamFrom(2, true))
			bed := newTestbed(t, nil, prefiller.engine(placement.StagePrefill), decoder.engine(placement.StageDecode))
			for range 4 {
				r := bed.do(t, "POST", "/once/", "x", map[string]string{"X-Tokens": "20000"})
				assert.Equal(t, http.StatusOK, r.status)
			}
			assert.Len(t, prefiller.requests(), 1)
		})
	}
}

// A response of another server at the address states nothing about the server that was meant.
func TestNoticeOfAnotherServerAtTheAddressIsIgnored(t *testing.T) {
	server := startBackend(t, "a", status(421, "X-Leaving: 1\r\nX-Pause: 1m\r\n"))
	bed := newTestbed(t, nil, server.plain())
	assert.Equal(t, http.StatusServiceUnavailable, bed.do(t, "POST", "/pay/", "x", nil).status)
	assert.True(t, bed.fleet.Usable("a"))
}

// What can't be served is refused at once, with the end of the pause as the time to return.
func TestCallersReturnAfterThePauseOfTheOnlyServer(t *testing.T) {
	server := startBackend(t, "a", status(503, "X-Not-Run: 1\r\nX-Pause: 3s\r\n"))
	bed := newTestbed(t, nil, server.plain())
	for range 2 {
		r := bed.do(t, "POST", "/pay/", "x", nil)
		assert.Equal(t, http.StatusServiceUnavailable, r.status)
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		assert.NoError(t, err)
		assert.Greater(t, after, 2.5)
	}
	assert.Len(t, server.requests(), 1)
}
