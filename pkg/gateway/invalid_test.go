package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// invalidStatuses are the status lines of responses that are not valid.
var invalidStatuses = []string{"000 X", "007 X", "099 X", "199 X", "600 X", "999 X", "000", "abc X", "20 X", ""}

// respondWithStatusLine responds to the first requests with a status line of an else valid
// response. It then keeps the connection open.
func respondWithStatusLine(line string) requestHandler {
	return func(b *backendServer, conn net.Conn, r *http.Request) {
		b.runs.Add(1)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Id: %s\r\nX-Seal: s\r\nX-Not-Run: 1\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n", line, r.Header.Get("X-Id"))
	}
}

// Guards against a panic of net/http, against statuses that callers do not know, and against
// the promise that a request has not run after a response that says nothing.
func TestInvalidStatusIsNotForwarded(t *testing.T) {
	for _, line := range invalidStatuses {
		for _, path := range []string{"/pay/", "/look/", "/say/", "/once/"} {
			t.Run(path+line, func(t *testing.T) {
				var servers []*backendServer
				var backends []placement.Backend
				for _, id := range []string{"a", "b", "c"} {
					server := startBackend(t, id, respondWithStatusLine(line))
					servers = append(servers, server)
					if path == "/pay/" || path == "/look/" {
						backends = append(backends, server.plain())
					} else {
						backends = append(backends, server.engine(placement.StageDecode))
					}
				}
				bed := newTestbed(t, nil, backends...)
				r := bed.do(t, "POST", path, "x", map[string]string{"X-Tokens": "10"})
				require.NoError(t, r.err, "the caller gets a response")
				assert.Equal(t, http.StatusBadGateway, r.status, r.body)
				assert.NotContains(t, r.body, "data: x")
				runs := int64(0)
				for _, s := range servers {
					runs += s.runs.Load()
				}
				attempts := bed.catalog.Load().Route("h", path).MaxAttempts
				if path == "/pay/" {
					attempts = 1
				}
				assert.EqualValues(t, attempts, runs, "a repeatable request is retried within its attempts, another one not at all")
				assert.Empty(t, bed.gateway.Suspects(), "an invalid response is no crash")
				signed := int64(0)
				if len(line) >= 3 && line[0] >= '0' && line[0] <= '9' && line[2] != ' ' {
					signed = 1
				}
				assert.Equal(t, signed, bed.usage.n.Load(), "a signed response shows that the request has run")
			})
		}
	}
}

// Guards against ending the retry of a repeatable request with the response of the first
// server.
func TestRequestIsRetriedAfterAnInvalidStatus(t *testing.T) {
	for _, line := range invalidStatuses {
		faulty := startBackend(t, "a", respondWithStatusLine(line))
		bed := newTestbed(t, nil, faulty.plain())
		second := startBackend(t, "b", respondOK("fine")).plain()
		second.DataCentre = "far"
		bed.fleet.Update(second)
		r := bed.do(t, "POST", "/look/", "x", nil)
		assert.Equal(t, http.StatusOK, r.status, line)
		assert.Equal(t, "fine", r.body)
		assert.EqualValues(t, 1, faulty.runs.Load())
	}
}

// Guards against retries beyond the retry budget after invalid responses.
func TestRetriesAfterInvalidStatusesTakeFromTheBudget(t *testing.T) {
	one, two := startBackend(t, "a", respondWithStatusLine("000 X")), startBackend(t, "b", respondWithStatusLine("000 X"))
	bed := newTestbed(t, func(s *Settings) { s.RetrySlack, s.RetryRatio = 0, 0 }, one.plain(), two.plain())
	assert.Equal(t, http.StatusBadGateway, bed.do(t, "POST", "/look/", "x", nil).status)
	assert.EqualValues(t, 1, one.runs.Load()+two.runs.Load())
}

// Guards against using the body of an invalid response to a prefill call, and against
// failing the request for it.
func TestInvalidStatusOfAPrefill(t *testing.T) {
	for _, line := range invalidStatuses {
		t.Run(line, func(t *testing.T) {
			prefiller := startBackend(t, "p", respondWithStatusLine(line))
			decoder := startBackend(t, "d", streamFrom(2, true))
			bed := newTestbed(t, nil, prefiller.engine(placement.StagePrefill), decoder.engine(placement.StageDecode))
			r := bed.do(t, "POST", "/say/", "x", map[string]string{"X-Tokens": "20000"})
			require.NoError(t, r.err)
			assert.Equal(t, http.StatusOK, r.status)
			assert.Equal(t, eventsUpTo(2), r.body)
			require.EqualValues(t, 1, prefiller.runs.Load())
			for _, request := range decoder.requests() {
				assert.Empty(t, request.Header.Get("X-Cache"))
			}
			assert.Empty(t, bed.gateway.Suspects(), "an invalid response is no crash")
		})
	}
}

// Guards against resuming a stream from an invalid response.
func TestInvalidStatusAsTheSecondResponseOfAStream(t *testing.T) {
	for _, line := range invalidStatuses {
		t.Run(line, func(t *testing.T) {
			body, err := resumedBy(t, "HTTP/1.1 "+line+"\r\nX-Id: %id%\r\nX-Seal: s\r\nContent-Length: 16\r\n\r\nid: 3\ndata: e3\n\n")
			assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", body)
			assert.Error(t, err, "the stream must not look complete")
		})
	}
}
