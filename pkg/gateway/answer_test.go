package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/placement"
)

// signedHead starts a response to a request. Its verb is the id of the request.
const signedHead = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n"

// reset makes the close of a connection reset it.
func reset(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// Guards against believing an earlier refusal that a faulty server writes once more
// before the response to the next request on the connection.
func TestEarlierRefusalIsNotBelievedAgain(t *testing.T) {
	refusals := map[string]string{
		"without an id":       "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"of the earlier id":   "HTTP/1.1 503 X\r\nX-Id: r0\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected":         "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
		"after an interim":    "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"200 without an id":   "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 7\r\n\r\nearlier",
		"success and refusal": "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, refusal := range refusals {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(name, pause), func(t *testing.T) {
				faulty := startBackend(t, "a", func(b *backendServer, conn net.Conn, r *http.Request) {
					if r.Header.Get("X-Id") == "r0" {
						status(503, "X-Not-Run: 1\r\n")(b, conn, r)
						return
					}
					b.runs.Add(1)
					_, _ = io.WriteString(conn, refusal)
					time.Sleep(pause)
					_, _ = fmt.Fprintf(conn, signedHead+"Content-Length: 4\r\n\r\npaid", r.Header.Get("X-Id"))
				})
				bed := newTestbed(t, nil, faulty.plain())
				assert.Equal(t, 503, bed.do(t, "POST", "/pay/", "x", map[string]string{"X-Id": "r0"}).status)
				r := bed.do(t, "POST", "/pay/", "x", map[string]string{"X-Id": "r1"})
				assert.Equal(t, http.StatusBadGateway, r.status, "the request has run")
				assert.NotContains(t, r.body, "earlier")
			})
		}
	}
}

// Guards against running a request at a second server after such a refusal. The first
// server has the only slots, so that it gets the request.
func TestEarlierRefusalDoesNotRepeatARequest(t *testing.T) {
	faulty := startBackend(t, "a", func(b *backendServer, conn net.Conn, r *http.Request) {
		if r.Header.Get("X-Id") == "r0" {
			respondOK("paid")(b, conn, r)
			return
		}
		b.runs.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	})
	bed := newTestbed(t, nil, faulty.plain())
	assert.Equal(t, 200, bed.do(t, "POST", "/pay/", "x", map[string]string{"X-Id": "r0"}).status)
	second := startBackend(t, "b", respondOK("paid"))
	busy := second.plain()
	bed.fleet.Update(busy)
	for range 3 * busy.Slots {
		request := placement.Request{Service: "plain", Exclude: []model.BackendID{"a"}}
		plan, ok := bed.fleet.Place(&request, time.Now())
		require.True(t, ok)
		bed.fleet.Send(plan, &request, time.Now())
	}
	assert.Equal(t, 502, bed.do(t, "POST", "/pay/", "x", map[string]string{"X-Id": "r1"}).status)
	assert.EqualValues(t, 2, faulty.runs.Load())
	assert.Zero(t, second.runs.Load())
}

// A refusal that names no request is believed as the first response on its connection.
func TestRefusalWithoutAnIDIsBelievedOnANewConnection(t *testing.T) {
	full := startBackend(t, "a", func(_ *backendServer, conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	})
	bed := newTestbed(t, nil, full.plain())
	assert.Equal(t, 503, bed.do(t, "POST", "/pay/", "x", nil).status)
	assert.Equal(t, 502, bed.do(t, "POST", "/pay/", "x", nil).status, "on the kept connection")
}

// cutAfter responds with the first n bytes of a response and closes or resets the
// connection.
func cutAfter(n int, resets bool, response func(id string) string) requestHandler {
	return func(b *backendServer, conn net.Conn, r *http.Request) {
		b.runs.Add(1)
		text := response(r.Header.Get("X-Id"))
		_, _ = io.WriteString(conn, text[:min(n, len(text))])
		if resets {
			time.Sleep(2 * time.Millisecond)
			reset(conn)
		}
		_ = conn.Close()
	}
}

// A response of a backend server that ends at any byte is forwarded only if it is whole.
func TestResponseCutAtEachByteIsNeverForwardedAsWhole(t *testing.T) {
	for name, response := range map[string]func(id string) string{
		"length": func(id string) string { return fmt.Sprintf(signedHead+"Content-Length: 5\r\n\r\nwhole", id) },
		"chunked": func(id string) string {
			return fmt.Sprintf(signedHead+"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", id)
		},
		"interim": func(id string) string {
			return fmt.Sprintf("HTTP/1.1 103 X\r\n\r\n"+signedHead+"Content-Length: 5\r\n\r\nwhole", id)
		},
	} {
		t.Run(name, func(t *testing.T) {
			size := len(response("r1"))
			for n := range size + 1 {
				server := startBackend(t, "a", cutAfter(n, false, response))
				bed := newTestbed(t, nil, server.plain())
				r := bed.do(t, "POST", "/pay/", "x", nil)
				if n == size {
					require.NoError(t, r.err)
					require.Equal(t, "whole", r.body)
					continue
				}
				require.Equal(t, http.StatusBadGateway, r.status, "after %d bytes", n)
			}
		})
	}
}

// rawResponse returns all bytes that the gateway writes to a caller, and how its
// connection ends.
func rawResponse(t *testing.T, bed *testbed, method, path string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", bed.server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\nX-Tokens: 10\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", method, path)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	text, err := io.ReadAll(conn)
	return string(text), err
}

// A body that ends with its connection gets a framing: without one, the end of the host would
// look like the end of the body.
func TestBodyWithoutAFramingGetsOne(t *testing.T) {
	for _, body := range []string{"", "half", "id: 1\ndata: x\n\n"} {
		for _, path := range []string{"/pay/", "/say/", "/once/"} {
			t.Run(path+body, func(t *testing.T) {
				server := startBackend(t, "a", cutAfter(1<<10, false, func(id string) string { return fmt.Sprintf(signedHead+"\r\n%s", id, body) }))
				bed := newTestbed(t, nil, server.plain(), server.engine(placement.StageDecode))
				if path == "/pay/" {
					bed.fleet.Update(server.plain())
				}
				text, err := rawResponse(t, bed, "POST", path)
				require.NoError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
				require.NoError(t, err)
				if resp.StatusCode != http.StatusOK {
					require.NotEqual(t, "/pay/", path)
					require.NotEqual(t, "id: 1\ndata: x\n\n", body)
					require.Equal(t, http.StatusBadGateway, resp.StatusCode, text)
					return
				}
				assert.True(t, resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, text)
				forwarded, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				assert.Equal(t, body, string(forwarded))
			})
		}
	}
}

func TestBodyWithoutAFramingThatIsResetIsNotForwardedAsWhole(t *testing.T) {
	server := startBackend(t, "a", cutAfter(1<<10, true, func(id string) string { return fmt.Sprintf(signedHead+"\r\nhalf", id) }))
	bed := newTestbed(t, nil, server.plain())
	text, _ := rawResponse(t, bed, "POST", "/pay/")
	assert.True(t, strings.HasPrefix(text, "HTTP/1.1 502"), text)

	server = startBackend(t, "a", cutAfter(1<<10, true, func(id string) string { return fmt.Sprintf(signedHead+"\r\nid: 1\ndata: x\n\n", id) }))
	bed = newTestbed(t, nil, server.engine(placement.StageDecode))
	text, _ = rawResponse(t, bed, "POST", "/once/")
	assert.Contains(t, text, "data: x")
	assert.False(t, strings.HasSuffix(text, "0\r\n\r\n"), "the caller's response does not end either")
}

// chunkedEvents responds with a head and events that are cut inside the next one.
func chunkedEvents(r *http.Request, first, last int) string {
	var text strings.Builder
	fmt.Fprintf(&text, signedHead+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
	for i := first; i <= last; i++ {
		event := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
	}
	return text.String()
}

// resumedBy returns the response to a stream whose first run breaks off after the event 2
// and whose other runs, at any engine, respond with the given text.
func resumedBy(t *testing.T, next string) (string, error) {
	var runs atomic.Int64
	do := func(b *backendServer, conn net.Conn, r *http.Request) {
		b.runs.Add(1)
		if runs.Add(1) == 1 {
			_, _ = io.WriteString(conn, chunkedEvents(r, 1, 2)+"9\r\nid: 3\nda")
		} else {
			_, _ = io.WriteString(conn, strings.ReplaceAll(next, "%id%", r.Header.Get("X-Id")))
		}
		_ = conn.Close()
	}
	one, two := startBackend(t, "a", do), startBackend(t, "b", do)
	bed := newTestbed(t, nil, one.engine(placement.StageDecode), two.engine(placement.StageDecode))
	text, _ := rawResponse(t, bed, "POST", "/say/")
	require.EqualValues(t, 2, runs.Load())
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// A stream that has begun contains events only, and looks complete only if a run has
// stated its end.
func TestErrorAsTheSecondResponseOfAStream(t *testing.T) {
	const begun = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
	head := strings.ReplaceAll(signedHead, "%s", "%id%")
	for name, next := range map[string]string{
		"error":                       "HTTP/1.1 500 X\r\nX-Id: %id%\r\nX-Seal: s\r\nContent-Length: 7\r\n\r\nfailure",
		"refusal":                     "HTTP/1.1 503 X\r\nX-Id: %id%\r\nX-Not-Run: 1\r\nContent-Length: 7\r\n\r\nfailure",
		"no answer":                   "",
		"half a head":                 "HTTP/1.1 200 OK\r\nX-Id: %id%\r\nX-Se",
		"error in place of events":    head + "Content-Length: 19\r\n\r\n{\"error\":\"failure\"}",
		"error as an event":           head + "Content-Length: 21\r\n\r\n{\"error\":\"failure\"}\n\n",
		"head of an error":            head + "\r\nHTTP/1.1 500 X\r\nContent-Length: 7\r\n\r\nfailure",
		"head of an error in a chunk": head + "Transfer-Encoding: chunked\r\n\r\n2f\r\nHTTP/1.1 500 X\r\nContent-Length: 7\r\n\r\nfailure\n\n\r\n0\r\n\r\n",
		"unsigned":                    "HTTP/1.1 200 OK\r\nX-Id: %id%\r\nContent-Length: 16\r\n\r\nid: 3\ndata: e3\n\n",
		"other request":               "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 16\r\n\r\nid: 3\ndata: e3\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := resumedBy(t, next)
			assert.Equal(t, begun, body)
			assert.Error(t, err, "the stream must not look complete")
		})
	}
	t.Run("end without a framing", func(t *testing.T) {
		body, err := resumedBy(t, head+"\r\n")
		assert.Equal(t, begun, body)
		assert.NoError(t, err, "the run may be whole")
	})
	t.Run("event without a framing", func(t *testing.T) {
		body, err := resumedBy(t, head+"\r\nid: 3\ndata: e3\n\n")
		assert.Equal(t, begun+"id: 3\ndata: e3\n\n", body)
		assert.NoError(t, err, "the run may be whole")
	})
	t.Run("end with a framing", func(t *testing.T) {
		body, err := resumedBy(t, head+"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		assert.Equal(t, begun, body)
		assert.NoError(t, err, "the engine states that no event follows")
	})
}
