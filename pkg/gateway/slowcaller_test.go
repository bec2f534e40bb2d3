package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// Guards against taking a caller that reads slowly for a silent engine.
func TestStreamToASlowCallerStaysAtItsEngine(t *testing.T) {
	const events, size = 100, 128 << 10
	// A busy machine delays the events of the engine by a part of the timeout.
	const stallTimeout = 400 * time.Millisecond
	log := &workLog{}
	large := func(b *backendServer, conn net.Conn, r *http.Request) {
		defer func() { _ = conn.Close() }()
		b.runs.Add(1)
		defer log.begin(conn)()
		_, _ = fmt.Fprintf(conn, signedHead+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
		after, _ := strconv.Atoi(r.Header.Get("X-After"))
		for i := after + 1; i <= events; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", size))
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	first, second := startBackend(t, "a", large), startBackend(t, "b", large)
	bed := newTestbed(t, func(s *Settings) {
		s.EventGapTimeout, s.MinStallTimeout, s.StallTimeoutFactor = stallTimeout, stallTimeout, 0
	}, first.engine(placement.StageDecode), far(second.engine(placement.StageDecode)))
	conn, err := net.Dial("tcp", bed.server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(size))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(8*time.Second)))
	_, err = io.WriteString(conn, "POST /say/ HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\nX-Tokens: 10\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	time.Sleep(3 * stallTimeout)
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Equal(t, events, strings.Count(string(raw), "id: "))
	assert.EqualValues(t, 1, first.runs.Load())
	assert.Zero(t, second.runs.Load(), "the engine isn't silent")
}
