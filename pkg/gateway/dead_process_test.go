package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/placement"
)

// pausingRun sends the events up to last, and the last one only after release is closed.
func pausingRun(unframed bool, last int, release <-chan struct{}) requestHandler {
	return func(b *backendServer, conn net.Conn, r *http.Request) {
		b.runs.Add(1)
		streamRun{unframed: unframed, last: last - 1, end: keepOpen}.write(conn, r)
		<-release
		text := eventText(last)
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)
		}
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
}

// requestOver sends a request in a version of HTTP and returns its connection.
func requestOver(t *testing.T, bed *testbed, version, path string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", bed.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\nX-Tokens: 10\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path, version)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	return conn
}

// Guards against a stream that looks whole when the host that forwards it is killed: the kernel
// then closes the caller's connection in good order.
func TestEndOfTheHostIsNotTheEndOfAStream(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, unframed := range []bool{true, false} {
			for _, path := range []string{"/say/", "/once/"} {
				t.Run(fmt.Sprint(version, path, "unframed ", unframed), func(t *testing.T) {
					release := make(chan struct{})
					defer close(release)
					server := startBackend(t, "a", pausingRun(unframed, 4, release))
					bed := newTestbed(t, nil, server.engine(placement.StageDecode))
					conn := requestOver(t, bed, version, path)
					require.Eventually(t, func() bool { return server.runs.Load() == 1 }, 3*time.Second, time.Millisecond)
					time.Sleep(50 * time.Millisecond)
					bed.server.CloseClientConnections()
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err == nil {
						_, err = io.ReadAll(resp.Body)
					}
					assert.Error(t, err, "the stream looks whole")
				})
			}
		}
	}
}

// A caller that knows no chunks gets the whole stream with its length.
func TestStreamForHTTP10HasALength(t *testing.T) {
	for _, unframed := range []bool{true, false} {
		release := make(chan struct{})
		close(release)
		server := startBackend(t, "a", pausingRun(unframed, 4, release))
		bed := newTestbed(t, nil, server.engine(placement.StageDecode))
		resp, err := http.ReadResponse(bufio.NewReader(requestOver(t, bed, "HTTP/1.0", "/say/")), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.Equal(t, eventsUpTo(4), string(body))
		assert.EqualValues(t, len(body), resp.ContentLength)
		assert.Equal(t, "s", resp.Header.Get("X-Seal"))
	}
}

// A stream for HTTP/1.0 that cannot be completed gets a failure without any part of it.
func TestBrokenStreamForHTTP10IsAFailure(t *testing.T) {
	server := startBackend(t, "a", func(b *backendServer, conn net.Conn, r *http.Request) {
		streamRun{last: 3, end: insideEvent}.write(conn, r)
	})
	bed := newTestbed(t, nil, server.engine(placement.StageDecode))
	resp, err := http.ReadResponse(bufio.NewReader(requestOver(t, bed, "HTTP/1.0", "/once/")), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, resp.StatusCode)
	assert.Empty(t, body)
	assert.Empty(t, resp.Header.Get("X-Seal"))
}

// Guards against a part of an answer that looks whole, since its server has crashed: the
// kernel closes its connections in good order.
func TestAnswerThatEndsWithItsServerIsNotWhole(t *testing.T) {
	for name, status := range map[string]string{"success": "200 OK", "failure": "500 X"} {
		t.Run(name, func(t *testing.T) {
			crash := func(b *backendServer, conn net.Conn, r *http.Request) {
				b.runs.Add(1)
				_, _ = io.WriteString(conn, strings.Replace(fmt.Sprintf(signedHead+"\r\nhalf", r.Header.Get("X-Id")), "200 OK", status, 1))
				_ = b.listener.Close()
				_ = conn.Close()
			}
			server := startBackend(t, "a", crash)
			bed := newTestbed(t, nil, server.plain())
			r := bed.do(t, "POST", "/pay/", "x", nil)
			assert.Equal(t, http.StatusBadGateway, r.status)
			assert.Empty(t, r.body)
			engine := startBackend(t, "e", crash)
			bed = newTestbed(t, nil, engine.engine(placement.StageDecode))
			r = bed.do(t, "POST", "/once/", "x", nil)
			assert.Equal(t, http.StatusBadGateway, r.status)
			assert.Empty(t, r.body)
		})
	}
}
