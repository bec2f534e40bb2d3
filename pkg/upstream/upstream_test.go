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
)

// backend answers each request on a connection by the next of its answers; an
// empty answer closes the connection.
func backend(t *testing.T, answers ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
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
					answer := <-next
					if answer == "" {
						return
					}
					_, _ = io.WriteString(conn, answer)
					if !strings.Contains(answer, "Content-Length") && !strings.Contains(answer, "chunked") {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func request(t *testing.T, address string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
	require.NoError(t, err)
	return req
}

func send(t *testing.T, p *Pool, address string) (*Response, *Conn) {
	t.Helper()
	conn, err := p.Get(t.Context(), address, false)
	require.NoError(t, err)
	resp, sent, err := conn.Send(t.Context(), request(t, address))
	require.NoError(t, err)
	require.True(t, sent)
	return resp, conn
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

func finish(t *testing.T, r *Response) {
	t.Helper()
	body, err := r.ReadAll(100)
	require.NoError(t, err)
	require.Equal(t, "hi", string(body))
	r.Release()
}

func TestConnectionIsReusedAfterAWholeAnswer(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := backend(t, ok, ok)
	resp, _ := send(t, p, address)
	finish(t, resp)
	resp, conn := send(t, p, address)
	finish(t, resp)
	assert.True(t, conn.Reused())
	assert.Equal(t, uint64(1), p.Opened())
}

func TestBytesAfterAWholeAnswerCondemnTheConnection(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := backend(t, ok+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", ok)
	resp, _ := send(t, p, address)
	finish(t, resp)
	time.Sleep(20 * time.Millisecond)
	resp, conn := send(t, p, address)
	finish(t, resp)
	assert.False(t, conn.Reused())
}

func TestConnectionThatTheServerClosedIsNotReused(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := backend(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi", ok)
	resp, _ := send(t, p, address)
	finish(t, resp)
	resp, conn := send(t, p, address)
	finish(t, resp)
	assert.False(t, conn.Reused())
}

func TestIdleLimitOfTheServerIsKept(t *testing.T) {
	s := DefaultSettings()
	s.IdleShare = 0.01
	p := NewPool(s)
	address := backend(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1, max=5\r\nContent-Length: 2\r\n\r\nhi", ok)
	resp, _ := send(t, p, address)
	finish(t, resp)
	time.Sleep(15 * time.Millisecond)
	resp, conn := send(t, p, address)
	finish(t, resp)
	assert.False(t, conn.Reused())
}

func TestAnswerWithoutLengthEndsItsConnection(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := backend(t, "HTTP/1.1 200 OK\r\n\r\nhi", ok)
	resp, _ := send(t, p, address)
	assert.False(t, resp.Framed())
	finish(t, resp)
	resp, conn := send(t, p, address)
	finish(t, resp)
	assert.False(t, conn.Reused())
}

func TestCutAnswerIsAnError(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := backend(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")
	conn, err := p.Get(t.Context(), address, false)
	require.NoError(t, err)
	resp, _, err := conn.Send(t.Context(), request(t, address))
	require.NoError(t, err)
	go func() { time.Sleep(20 * time.Millisecond); conn.Close() }()
	_, err = resp.ReadAll(100)
	assert.Error(t, err)
}

func TestClosedConnectionWithoutAnAnswerWasSent(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := backend(t, "")
	conn, err := p.Get(t.Context(), address, false)
	require.NoError(t, err)
	_, sent, err := conn.Send(t.Context(), request(t, address))
	assert.Error(t, err)
	assert.True(t, sent)
	assert.NotErrorIs(t, err, ErrClosedUnsent)
}

func TestRequestOverAConnectionThatIsClosedWasNotSent(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := backend(t, ok)
	conn, err := p.Get(t.Context(), address, false)
	require.NoError(t, err)
	conn.Close()
	_, sent, err := conn.Send(t.Context(), request(t, address))
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
	_, sent, err := conn.Send(ctx, request(t, address))
	assert.Error(t, err)
	assert.True(t, sent)
	assert.Less(t, time.Since(started), 2*time.Second)
}

func TestCondemnDiscardsOlderConnections(t *testing.T) {
	p := NewPool(DefaultSettings())
	address := backend(t, ok, ok, ok)
	first, _ := send(t, p, address)
	second, _ := send(t, p, address)
	finish(t, first)
	assert.Equal(t, 1, p.Condemn(address))
	finish(t, second)
	resp, conn := send(t, p, address)
	finish(t, resp)
	assert.False(t, conn.Reused())
}

func TestRefusalBeforeTheBodyWasReadIsSeen(t *testing.T) {
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

func TestRequestThatMustNotBeSentAgainTakesNoConnectionThatWasIdleForLong(t *testing.T) {
	s := DefaultSettings()
	s.OnceIdle = 10 * time.Millisecond
	p := NewPool(s)
	address := backend(t, ok, ok, ok)
	resp, _ := send(t, p, address)
	finish(t, resp)
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
