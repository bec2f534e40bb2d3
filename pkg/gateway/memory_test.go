package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a request that is sent although no engine has memory for it, and against a
// status that tells the caller that it is wrong at any time.
func TestRequestLargerThanEveryEngineIsRefused(t *testing.T) {
	server := startBackend(t, "e", func(*backendServer, net.Conn, *http.Request) {
		t.Error("the request was sent")
	})
	engine := decodeEngine(server)
	engine.Engine.LimitMemory = true
	b := newTestbed(t, nil, engine)
	r := b.do(t, http.MethodPost, "/say/", "", map[string]string{"X-Tokens": "100001"})
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.NotEmpty(t, r.header.Get("Retry-After"))

	c := &call{g: b.gateway}
	c.placementRequest.Service, c.placementRequest.PromptTokens = "model", 100001
	rejected := c.rejectTooLarge()
	assert.Contains(t, rejected.reason, "100001")
	assert.Contains(t, rejected.reason, "100000")
}
