package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// sendLateDuplicates responds to each request, and sends the same response a second time
// when the next request arrives on the connection. The duplicate follows the interim
// responses, if any, is sent in two parts, and precedes the response to that request.
func sendLateDuplicates(interim string, body func(r *http.Request) string) requestHandler {
	var mu sync.Mutex
	copies := map[net.Conn]string{}
	return func(b *backendServer, conn net.Conn, r *http.Request) {
		b.runs.Add(1)
		mu.Lock()
		late := copies[conn]
		text := body(r)
		whole := fmt.Sprintf(signedHeader+"Content-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(text), text)
		copies[conn] = whole
		mu.Unlock()
		if late != "" {
			late = interim + late
			_, _ = io.WriteString(conn, late[:len(late)/2])
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(conn, late[len(late)/2:])
		}
		_, _ = io.WriteString(conn, whole)
	}
}

func TestLateSecondCopyIsNeverTheAnswerToTheNextRequest(t *testing.T) {
	echo := func(r *http.Request) string { return "to " + r.Header.Get("X-Id") }
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for name, c := range map[string]struct{ method, path, interim string }{
		"read":                          {http.MethodGet, "/look/x", ""},
		"read after interim answers":    {http.MethodGet, "/look/x", interim},
		"payment":                       {http.MethodPost, "/pay/x", ""},
		"payment after interim answers": {http.MethodPost, "/pay/x", interim},
	} {
		t.Run(name, func(t *testing.T) {
			server := startBackend(t, "a", sendLateDuplicates(c.interim, echo))
			bed := newTestbed(t, nil, server.plain())
			for i := range 6 {
				id := fmt.Sprint("r", i)
				r := bed.do(t, c.method, c.path, "", map[string]string{"X-Id": id})
				assert.NoError(t, r.err)
				if r.status == http.StatusOK {
					assert.Equal(t, "to "+id, r.body)
					continue
				}
				// The request has run, so the response must not state the opposite.
				assert.Equal(t, http.StatusBadGateway, r.status)
				assert.Empty(t, r.header.Get("Retry-After"))
			}
			if c.method == http.MethodPost {
				assert.EqualValues(t, 6, server.runs.Load(), "each payment runs once")
			}
		})
	}
}

func TestLateSecondCopyOfAPromptIsNeverPartOfAStream(t *testing.T) {
	// The prefill engine handles all prompts over one connection.
	prefiller := startBackend(t, "p", sendLateDuplicates("", func(r *http.Request) string { return "handle-" + r.Header.Get("X-Id") }))
	decoder := startBackend(t, "d", streamFrom(2, true))
	bed := newTestbed(t, nil, prefiller.engine(placement.StagePrefill), decoder.engine(placement.StageDecode))
	for i := range 5 {
		id := fmt.Sprint("r", i)
		r := bed.do(t, http.MethodPost, "/say/x", "", map[string]string{"X-Id": id, "X-Tokens": "40000"})
		assert.NoError(t, r.err)
		assert.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", r.body)
	}
	for _, r := range decoder.requests() {
		if cache := r.Header.Get("X-Cache"); cache != "" {
			assert.Contains(t, cache, "handle-"+r.Header.Get("X-Id"), "a request uses the cache of its own prompt")
		}
	}
}
