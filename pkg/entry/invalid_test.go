package entry

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

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// rawServer responds to each request with the same bytes as soon as it has its header, and
// then resets the connection. It goes on accepting connections.
type rawServer struct {
	url      string
	requests atomic.Int64
}

// startRawServer starts a server whose response has the verb %id% for the id of the request.
// reads is set if it reads the body of a request before it resets the connection.
func startRawServer(t *testing.T, response string, reads bool) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{url: "http://" + listener.Addr().String()}
	var serving atomic.Int64
	t.Cleanup(func() {
		_ = listener.Close()
		require.Eventually(t, func() bool { return serving.Load() == 0 }, 5*time.Second, time.Millisecond)
	})
	serving.Add(1)
	go func() {
		defer serving.Add(-1)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Add(1)
			go func() {
				defer serving.Add(-1)
				s.serve(conn, response, reads)
			}()
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, response string, reads bool) {
	if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		s.requests.Add(1)
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, "%id%", req.Header.Get(engine.HeaderRequestID)))
		if reads {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		time.Sleep(20 * time.Millisecond)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// upload sends a request with a long body. err is set if the response does not look
// complete.
func (h *testHost) upload(t *testing.T, path string, size int, chunked bool, key string) (status int, body string, err error) {
	t.Helper()
	req := h.request("POST", path, strings.Repeat("x", size))
	if chunked {
		req.ContentLength = -1
	}
	if key != "" {
		req.Header.Set(headerIdempotencyKey, key)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

const rawHead = "HTTP/1.1 200 OK\r\n" + engine.HeaderRequestID + ": %id%\r\nContent-Type: text/plain\r\n"

// Guards against forwarding a part of a response as the whole when its server resets the
// connection during the upload.
func TestUnframedServiceResponseToAFailedUploadIsNotForwardedAsWhole(t *testing.T) {
	const longest = 8 << 20
	for _, size := range []int{64 << 10, longest - 1, longest} {
		for _, chunked := range []bool{false, true} {
			for _, c := range []struct{ path, key string }{{"/orders/1", ""}, {"/orders/1", "k"}, {"/stock/1", ""}, {"/public/1", ""}} {
				t.Run(fmt.Sprint(c.path, c.key, size, chunked), func(t *testing.T) {
					h := newTestHost(t, nil)
					for _, id := range []model.BackendID{"p1", "p2"} {
						h.router.add(model.PoolService, id, startRawServer(t, rawHead+"\r\npart", false).url)
					}
					status, body, err := h.upload(t, c.path, size, chunked, c.key)
					if err != nil {
						// The response had begun and was broken off.
						return
					}
					assert.Equal(t, http.StatusBadGateway, status, body)
					assert.NotEqual(t, model.NotRun, errorOf(t, body).Ran)
				})
			}
		}
	}
}

// Guards against a panic of net/http, against statuses that callers do not know, and against
// the promise that a call has not run after a response that says nothing.
func TestInvalidServiceStatusIsNotForwarded(t *testing.T) {
	for _, line := range []string{"000 X", "007 X", "099 X", "101 X", "199 X", "600 X", "999 X", "000", "abc X", "20 X", ""} {
		for _, c := range []struct {
			path, key string
			requests  int64
		}{{"/orders/1", "", 1}, {"/orders/1", "k", 1}, {"/stock/1", "", int64(DefaultSettings().MaxAttempts)}} {
			t.Run(c.path+c.key+line, func(t *testing.T) {
				h := newTestHost(t, nil)
				response := strings.Replace(rawHead, "200 OK", line, 1) + "Content-Length: 4\r\n\r\nbody"
				one, two := startRawServer(t, response, true), startRawServer(t, response, true)
				h.router.add(model.PoolService, "p1", one.url)
				h.router.add(model.PoolService, "p2", two.url)
				status, body, err := h.upload(t, c.path, 10, false, c.key)
				require.NoError(t, err, "the caller gets a response")
				assert.Equal(t, http.StatusBadGateway, status, body)
				assert.Equal(t, model.RanUnknown, errorOf(t, body).Ran)
				requests := one.requests.Load() + two.requests.Load()
				if c.path == "/stock/1" {
					// net/http repeats an idempotent request itself after bytes that are no response.
					assert.GreaterOrEqual(t, requests, c.requests)
				} else {
					assert.Equal(t, c.requests, requests)
				}
			})
		}
	}
}

// Guards against ending the retry of an idempotent call with an invalid response.
func TestIdempotentCallIsRetriedAfterAnInvalidStatus(t *testing.T) {
	for _, line := range []string{"000 X", "600 X", "abc X"} {
		h := newTestHost(t, nil)
		faulty := startRawServer(t, strings.Replace(rawHead, "200 OK", line, 1)+"Content-Length: 4\r\n\r\nbody", true)
		h.router.add(model.PoolService, "p1", faulty.url)
		h.router.add(model.PoolService, "p2", newTestService(t).URL)
		resp, _ := h.do(t, "POST", "/stock/1", "x")
		assert.Equal(t, http.StatusCreated, resp.StatusCode, line)
	}
}

// Guards against forwarding anything of a chat response with an invalid status.
func TestInvalidChatStatusIsNotForwarded(t *testing.T) {
	for _, line := range []string{"000 X", "007 X", "199 X", "600 X", "999 X", "abc X", ""} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprint(line, stream), func(t *testing.T) {
				h := newTestHost(t, nil)
				response := strings.Replace(rawHead, "200 OK", line, 1) + "Content-Length: 4\r\n\r\nbody"
				for _, id := range []model.BackendID{"e1", "e2"} {
					h.router.add(model.PoolEngine, id, startRawServer(t, response, true).url)
				}
				resp, body := h.do(t, "POST", chatPath, chatBody(3, stream))
				assert.Equal(t, http.StatusBadGateway, resp.StatusCode, body)
				assert.Equal(t, model.RanUnknown, errorOf(t, body).Ran)
			})
		}
	}
}

// Guards against a panic of net/http when an earlier version has recorded the response of a
// call with an invalid status.
func TestRecordedOutcomeWithAnInvalidStatus(t *testing.T) {
	for _, status := range []int{0, 7, 99, 600} {
		h := newTestHost(t, nil)
		h.router.add(model.PoolService, "p1", newTestService(t).URL)
		resp, body := h.postWithKey(t, "{}")
		require.Equal(t, http.StatusCreated, resp.StatusCode, body)
		h.waitIdle(t)
		h.view.mu.Lock()
		for at, entry := range h.view.idempotency {
			entry.Outcome.Status = status
			h.view.idempotency[at] = entry
		}
		h.view.mu.Unlock()
		resp, body = h.postWithKey(t, "{}")
		assert.Equal(t, http.StatusConflict, resp.StatusCode, body)
		assert.Equal(t, model.WasRun, errorOf(t, body).Ran)
	}
}
