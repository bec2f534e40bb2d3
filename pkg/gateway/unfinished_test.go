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

// startResetter starts a server that responds once it has the header of a request, reads no
// more and resets the connection. The verb of the response is the id of the request. It goes
// on accepting connections.
func startResetter(t *testing.T, id, response string) *backendServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	b := &backendServer{id: id, address: listener.Addr().String(), listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					b.runs.Add(1)
					_, _ = io.WriteString(conn, strings.ReplaceAll(response, "%s", r.Header.Get("X-Id")))
					time.Sleep(20 * time.Millisecond)
				}
				reset(conn)
				_ = conn.Close()
			}()
		}
	}()
	return b
}

// upload sends a request with a long body over a connection of its own and returns the
// response and whether it looks complete. size is -1 for a body without a length.
func upload(t *testing.T, bed *testbed, path string, size int, chunked bool) (status int, body string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", bed.server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	go func() {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\nX-Tokens: 20000\r\n", path)
		text := strings.Repeat("x", size)
		if chunked {
			_, _ = fmt.Fprintf(conn, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, text)
			return
		}
		_, _ = fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", size, text)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

const (
	// longestBody is the longest request body that the testbed accepts.
	longestBody = 4 << 20
	// heldBody fits the socket buffers, so that its write does not fail.
	heldBody = 64 << 10
)

// Guards against forwarding a part of a response as the whole when its server resets the
// connection during the upload.
func TestUnframedResponseToAFailedUploadIsNotForwardedAsWhole(t *testing.T) {
	for _, size := range []int{heldBody, longestBody - 1, longestBody} {
		for _, chunked := range []bool{false, true} {
			for _, path := range []string{"/pay/", "/look/", "/say/", "/once/"} {
				t.Run(fmt.Sprint(path, size, chunked), func(t *testing.T) {
					var backends []placement.Backend
					for _, id := range []string{"a", "b"} {
						server := startResetter(t, id, signedHead+"\r\nid: 1\ndata: part\n\n")
						if path == "/pay/" || path == "/look/" {
							backends = append(backends, server.plain())
						} else {
							backends = append(backends, server.engine(placement.StageDecode))
						}
					}
					bed := newTestbed(t, nil, backends...)
					status, body, err := upload(t, bed, path, size, chunked)
					if path == "/say/" || path == "/once/" {
						// The part may be forwarded; the stream then breaks off.
						assert.True(t, err != nil || status == http.StatusBadGateway, "%d %q", status, body)
						return
					}
					require.NoError(t, err)
					assert.Equal(t, http.StatusBadGateway, status, body)
					assert.NotContains(t, body, "part")
				})
			}
		}
	}
}

// Guards against rejecting the complete response of a server that refuses a long upload.
func TestFramedResponseToAFailedUploadIsForwarded(t *testing.T) {
	for _, size := range []int{heldBody, longestBody} {
		for _, path := range []string{"/pay/", "/look/", "/say/", "/once/"} {
			t.Run(fmt.Sprint(path, size), func(t *testing.T) {
				server := startResetter(t, "a", "HTTP/1.1 413 X\r\nX-Id: %s\r\nX-Seal: s\r\nContent-Length: 8\r\n\r\ntoo long")
				bed := newTestbed(t, nil, server.plain(), server.engine(placement.StageDecode))
				if path == "/pay/" || path == "/look/" {
					bed.fleet.Update(server.plain())
				}
				status, body, err := upload(t, bed, path, size, false)
				require.NoError(t, err)
				assert.Equal(t, http.StatusRequestEntityTooLarge, status)
				assert.Equal(t, "too long", body)
			})
		}
	}
}

// Guards against storing a part of a prefill's response as the handle of a KV cache.
func TestUnframedPrefillResponseToAFailedUploadIsNoHandle(t *testing.T) {
	prefiller := startResetter(t, "p", "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nhand")
	decoder := startBackend(t, "d", streamFrom(2, true))
	bed := newTestbed(t, nil, prefiller.engine(placement.StagePrefill), decoder.engine(placement.StageDecode))
	status, body, err := upload(t, bed, "/say/", longestBody, false)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, eventsUpTo(2), body)
	require.EqualValues(t, 1, prefiller.runs.Load(), "the prompt was to be read at the prefill engine")
	for _, r := range decoder.requests() {
		assert.Empty(t, r.Header.Get("X-Cache"))
	}
}

// Guards against waiting beyond the deadline for a server that responds early and then
// neither reads the upload nor closes the connection, and against forwarding its response.
func TestServerThatRespondsEarlyAndStopsReading(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = fmt.Fprintf(conn, signedHead+"\r\npart", r.Header.Get("X-Id"))
				}
				<-ended
			}()
		}
	}()
	server := &backendServer{id: "a", address: listener.Addr().String()}
	bed := newTestbed(t, nil, server.plain())
	began := time.Now()
	status, body, err := upload(t, bed, "/pay/", longestBody, false)
	require.NoError(t, err)
	assert.Equal(t, http.StatusGatewayTimeout, status)
	assert.NotContains(t, body, "part")
	assert.Less(t, time.Since(began), 2*time.Second, "the route allows one second")
}
