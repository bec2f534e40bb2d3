package edgehost

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/catalog"
)

func TestReadinessNeedsNoHostHeader(t *testing.T) {
	b := newRegistryFixture()
	h := &Host{log: zap.NewNop(), registry: b.registry}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go h.serveReadiness(listener)
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	ask := func() int {
		_, err := io.WriteString(conn, "GET /ready HTTP/1.1\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		return resp.StatusCode
	}
	assert.Equal(t, 503, ask(), "no configuration is known")
	h.catalog.Store(catalog.New(catalog.Config{Version: 1}))
	assert.Equal(t, 503, ask(), "no backend server is known")
	b.put("x", 1, false, 0)
	assert.Equal(t, 200, ask())
	h.stopping.Store(true)
	assert.Equal(t, 503, ask())
}
