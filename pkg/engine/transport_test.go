package engine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// rawServer responds to the first request on each connection and closes the
// connection without a response after reading the second one.
type rawServer struct {
	net.Listener
	received atomic.Int32
	workers  sync.WaitGroup
}

func newRawServer(t *testing.T) *rawServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{Listener: listener}
	s.workers.Go(s.accept)
	t.Cleanup(func() {
		_ = s.Close()
		s.workers.Wait()
	})
	return s
}

func (s *rawServer) accept() {
	for {
		conn, err := s.Accept()
		if err != nil {
			return
		}
		s.workers.Go(func() { s.serve(conn) })
	}
}

func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.received.Add(1)
		if !first {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func (s *rawServer) post(t *testing.T, transports *Transports, retry RetryMode) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+s.Addr().String()+"/payouts", strings.NewReader("{}"))
	require.NoError(t, err)
	req.Header.Set(HeaderIdempotencyKey, "k1")
	resp, err := transports.Do(req, retry, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// Guards against net/http sending a call a second time when the server closes a
// reused connection after reading the call. RetryIdempotent shows that the setup
// provokes the retry: 2 calls arrive as 3 requests.
func TestNoResend(t *testing.T) {
	copies := func(retry RetryMode) int32 {
		s := newRawServer(t)
		transports := NewTransports(DefaultTransportSettings())
		defer transports.CloseIdle()
		for range 2 {
			_ = s.post(t, transports, retry)
		}
		return s.received.Load()
	}
	require.Equal(t, int32(2), copies(SendOnce))
	require.Equal(t, int32(2), copies(RetryUnsent))
	require.Equal(t, int32(3), copies(RetryIdempotent))
}

// partialWriteConn writes half of the data and returns an error.
type partialWriteConn struct {
	net.Conn
	onWrite func()
}

func (c *partialWriteConn) Write(p []byte) (int, error) {
	c.onWrite()
	n, _ := c.Conn.Write(p[:len(p)/2])
	return n, errors.New("connection broke during the write")
}

// Guards against treating a request as unsent after some of its bytes were sent:
// onSend must be called before the first write. The WroteHeaders hook is not
// suitable, since it is not called when a write fails after sending some bytes.
func TestOnSendPrecedesWrite(t *testing.T) {
	s := newRawServer(t)
	transports := NewTransports(DefaultTransportSettings())
	defer transports.CloseIdle()
	var sending, wroteHeaders, sentBeforeWrite, wrote atomic.Bool
	dial := transports.unpooled.DialContext
	transports.unpooled.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return &partialWriteConn{Conn: conn, onWrite: func() {
			wrote.Store(true)
			sentBeforeWrite.Store(sending.Load())
		}}, err
	}
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{WroteHeaders: func() { wroteHeaders.Store(true) }})
	// The body is larger than the write buffer, so the header is sent together
	// with the start of the body.
	body := strings.NewReader(strings.Repeat("x", 64*1024))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr().String()+"/", body)
	require.NoError(t, err)
	req.Header.Set("X-Long", strings.Repeat("y", 8*1024))
	_, err = transports.Do(req, SendOnce, func() { sending.Store(true) })
	require.Error(t, err)
	require.True(t, wrote.Load() && sentBeforeWrite.Load())
	require.False(t, wroteHeaders.Load())

	sending.Store(false)
	_ = s.Close()
	require.Error(t, s.post(t, transports, SendOnce))
	require.False(t, sending.Load(), "nothing is sent without a connection")
}

// Guards against reusing connections that were opened before a backend server
// stopped responding, and against closing newer ones.
func TestDiscardOpenedBefore(t *testing.T) {
	s := newRawServer(t)
	transports := NewTransports(DefaultTransportSettings())
	defer transports.CloseIdle()
	address := s.Addr().String()
	require.NoError(t, s.post(t, transports, RetryIdempotent))
	require.Equal(t, 1, transports.OpenConnections(address))
	require.Equal(t, 5000, userTimeout(t, transports, address))
	require.Eventually(t, func() bool {
		transports.mu.Lock()
		defer transports.mu.Unlock()
		for conn := range transports.backends[address].open {
			return conn.uses.Load() == 0
		}
		return false
	}, time.Second, time.Millisecond)
	require.False(t, transports.LastReadTime(address).IsZero())
	require.Zero(t, transports.DiscardOpenedBefore(address, time.Now().Add(-time.Minute)))
	require.Equal(t, 1, transports.OpenConnections(address))
	require.Equal(t, 1, transports.DiscardOpenedBefore(address, time.Now()))
	require.Zero(t, transports.OpenConnections(address))
	require.NoError(t, s.post(t, transports, RetryIdempotent), "a new connection works")
}

// userTimeout returns the TCP_USER_TIMEOUT of a connection in milliseconds.
func userTimeout(t *testing.T, transports *Transports, address string) (millis int) {
	transports.mu.Lock()
	defer transports.mu.Unlock()
	for conn := range transports.backends[address].open {
		raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, raw.Control(func(fd uintptr) {
			millis, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}))
		require.NoError(t, err)
	}
	return millis
}
