package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/membudget"
)

// startBackend starts a server that sends the next of its responses for each request.
// An empty response closes the connection.
// noLimit gives leases without a limit.
var noLimit *membudget.Budget

func startBackend(t *testing.T, responses ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	next := make(chan string, len(responses))
	for _, a := range responses {
		next <- a
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					response := <-next
					if response == "" {
						return
					}
					_, _ = io.WriteString(conn, response)
					if !strings.Contains(response, "Content-Length") && !strings.Contains(response, "chunked") {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func newRequest(t *testing.T, address string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
	require.NoError(t, err)
	return req
}

func send(t *testing.T, p *Pool, address string) (*Response, *Conn) {
	t.Helper()
	conn, err := p.Get(t.Context(), address, false)
	require.NoError(t, err)
	resp, sent, err := conn.Send(t.Context(), newRequest(t, address))
	require.NoError(t, err)
	require.True(t, sent)
	return resp, conn
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

func readAndRelease(t *testing.T, r *Response) {
	t.Helper()
	body, err := r.ReadAll(100, noLimit.NewLease())
	require.NoError(t, err)
	require.Equal(t, "hi", string(body))
	r.Release()
}

func TestConnectionIsReusedAfterACompleteResponse(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := startBackend(t, okResponse, okResponse)
	resp, _ := send(t, p, address)
	readAndRelease(t, resp)
	resp, conn := send(t, p, address)
	readAndRelease(t, resp)
	assert.True(t, conn.Reused())
	assert.Equal(t, uint64(1), p.Opened())
}

func TestBytesAfterAWholeAnswerCondemnTheConnection(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := startBackend(t, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", okResponse)
	resp, _ := send(t, p, address)
	readAndRelease(t, resp)
	time.Sleep(20 * time.Millisecond)
	resp, conn := send(t, p, address)
	readAndRelease(t, resp)
	assert.False(t, conn.Reused())
}

func TestConnectionThatTheServerClosedIsNotReused(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := startBackend(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi", okResponse)
	resp, _ := send(t, p, address)
	readAndRelease(t, resp)
	resp, conn := send(t, p, address)
	readAndRelease(t, resp)
	assert.False(t, conn.Reused())
}

func TestIdleLimitOfTheServerIsObserved(t *testing.T) {
	s := DefaultSettings()
	s.KeepAliveShare = 0.01
	p := NewPool(s)
	address := startBackend(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1, max=5\r\nContent-Length: 2\r\n\r\nhi", okResponse)
	resp, _ := send(t, p, address)
	readAndRelease(t, resp)
	time.Sleep(15 * time.Millisecond)
	resp, conn := send(t, p, address)
	readAndRelease(t, resp)
	assert.False(t, conn.Reused())
}

func TestResponseWithoutALengthClosesItsConnection(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := startBackend(t, "HTTP/1.1 200 OK\r\n\r\nhi", okResponse)
	resp, _ := send(t, p, address)
	assert.False(t, resp.Framed())
	readAndRelease(t, resp)
	resp, conn := send(t, p, address)
	readAndRelease(t, resp)
	assert.False(t, conn.Reused())
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := startBackend(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")
	conn, err := p.Get(t.Context(), address, false)
	require.NoError(t, err)
	resp, _, err := conn.Send(t.Context(), newRequest(t, address))
	require.NoError(t, err)
	go func() { time.Sleep(20 * time.Millisecond); conn.Close() }()
	_, err = resp.ReadAll(100, noLimit.NewLease())
	assert.Error(t, err)
}

func TestConnectionClosedWithoutAResponseCountsAsSent(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := startBackend(t, "")
	conn, err := p.Get(t.Context(), address, false)
	require.NoError(t, err)
	_, sent, err := conn.Send(t.Context(), newRequest(t, address))
	assert.Error(t, err)
	assert.True(t, sent)
	assert.NotErrorIs(t, err, ErrClosedUnsent)
}

func TestRequestOverAClosedConnectionCountsAsNotSent(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := startBackend(t, okResponse)
	conn, err := p.Get(t.Context(), address, false)
	require.NoError(t, err)
	conn.Close()
	_, sent, err := conn.Send(t.Context(), newRequest(t, address))
	assert.ErrorIs(t, err, ErrClosedUnsent)
	assert.False(t, sent)
}

func TestEndOfTheContextEndsASend(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	p := NewPool(DefaultSettings())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	address := listener.Addr().String()
	conn, err := p.Get(ctx, address, false)
	require.NoError(t, err)
	started := time.Now()
	_, sent, err := conn.Send(ctx, newRequest(t, address))
	assert.Error(t, err)
	assert.True(t, sent)
	assert.Less(t, time.Since(started), 2*time.Second)
}

func TestInvalidateDiscardsOlderConnections(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := startBackend(t, okResponse, okResponse, okResponse)
	first, _ := send(t, p, address)
	second, _ := send(t, p, address)
	readAndRelease(t, first)
	assert.Equal(t, 1, p.Invalidate(address))
	readAndRelease(t, second)
	resp, conn := send(t, p, address)
	readAndRelease(t, resp)
	assert.False(t, conn.Reused())
}

func TestResponseBeforeTheBodyWasReadIsReturned(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 100))
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
	}()
	p := NewPool(DefaultSettings())
	address := listener.Addr().String()
	conn, err := p.Get(t.Context(), address, false)
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("x", 1<<20)))
	require.NoError(t, err)
	resp, _, err := conn.Send(t.Context(), req)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	resp.Abandon()
}

func TestRequestWithoutRetryAvoidsLongIdleConnections(t *testing.T) {
	s := DefaultSettings()
	s.MaxIdleNoRetry = 10 * time.Millisecond
	p := NewPool(s)
	address := startBackend(t, okResponse, okResponse, okResponse)
	resp, _ := send(t, p, address)
	readAndRelease(t, resp)
	time.Sleep(20 * time.Millisecond)
	once, err := p.Get(t.Context(), address, true)
	require.NoError(t, err)
	assert.False(t, once.Reused())
	again, err := p.Get(t.Context(), address, false)
	require.NoError(t, err)
	assert.True(t, again.Reused())
	once.Unused()
	soon, err := p.Get(t.Context(), address, true)
	require.NoError(t, err)
	assert.True(t, soon.Reused())
}
