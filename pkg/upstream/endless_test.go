package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startEndlessBackend starts a server that sends the start of a response and then repeats
// a text until the connection is closed. It counts the bytes that it has sent.
func startEndlessBackend(t *testing.T, start, again string) (address string, sent *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	sent = &atomic.Int64{}
	block := strings.Repeat(again, 1+4096/len(again))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request := make([]byte, 4096)
				if _, err := conn.Read(request); err != nil {
					return
				}
				text := start
				for {
					n, err := io.WriteString(conn, text)
					sent.Add(int64(n))
					if err != nil {
						return
					}
					text = block
				}
			}()
		}
	}()
	return listener.Addr().String(), sent
}

// maxSocketBufferBytes bounds the unread bytes in the socket buffers of the kernel.
const maxSocketBufferBytes = 16 << 20

func TestEndlessHeadersEndTheConnection(t *testing.T) {
	for name, c := range map[string]struct{ start, again string }{
		"fields":          {"HTTP/1.1 200 OK\r\n", "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
		"one field":       {"HTTP/1.1 200 OK\r\nX-Filler: ", "a"},
		"status line":     {"HTTP/1.1 200 ", "a"},
		"interim answers": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no answer":       {"", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := startEndlessBackend(t, c.start, c.again)
			p := NewPool(DefaultSettings())
			conn, err := p.Get(t.Context(), address, false)
			require.NoError(t, err)
			began := time.Now()
			_, wasSent, err := conn.Send(t.Context(), newRequest(t, address))
			require.Error(t, err)
			assert.True(t, wasSent, "the request may have run")
			assert.Less(t, time.Since(began), 5*time.Second)
			assert.Less(t, sent.Load(), int64(maxSocketBufferBytes))
			assert.Zero(t, len(p.idle[address]))
		})
	}
}

func TestHeaderBelowTheLimitPasses(t *testing.T) {
	long := "X-Filler: " + strings.Repeat("a", 40<<10) + "\r\n"
	address := startBackend(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"+long+"Content-Length: 2\r\n\r\nhi", okResponse)
	p := NewPool(DefaultSettings())
	for range 2 {
		resp, _ := send(t, p, address)
		readAndRelease(t, resp)
	}
	assert.EqualValues(t, 1, p.Opened(), "the limit applies to each response separately")
}

func TestEndlessBodiesEndTheConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ start, again string }{
		"no length":       {head + "\r\n", "a"},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"chunk extension": {head + "Transfer-Encoding: chunked\r\n\r\n1;x=", "a"},
		"chunk size":      {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer":         {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: a\r\n"},
		"long length":     {head + "Content-Length: 9000000000000\r\n\r\n", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := startEndlessBackend(t, c.start, c.again)
			p := NewPool(DefaultSettings())
			resp, _ := send(t, p, address)
			began := time.Now()
			_, err := resp.ReadAll(1<<20, noLimit.NewLease())
			require.Error(t, err)
			resp.Abandon()
			assert.Less(t, time.Since(began), 5*time.Second)
			assert.Less(t, sent.Load(), int64(maxSocketBufferBytes))
			assert.Zero(t, len(p.idle[address]))
		})
	}
}

func FuzzAnswerHead(f *testing.F) {
	for _, seed := range []string{okResponse, "HTTP/1.1 100 Continue\r\n\r\n" + okResponse, "HTTP/1.1 200 OK\r\nX: ", "\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 199 X\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 600 X\r\n\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, response string) {
		ours, theirs := net.Pipe()
		go func() {
			go func() { _, _ = io.Copy(io.Discard, theirs) }()
			_, _ = io.WriteString(theirs, response)
			_ = theirs.Close()
		}()
		p := NewPool(DefaultSettings())
		conn := newConn(p, "a", ours)
		req, err := http.NewRequest(http.MethodGet, "http://a/", nil)
		require.NoError(t, err)
		resp, _, err := conn.Send(t.Context(), req)
		if err != nil {
			return
		}
		assert.True(t, ValidStatus(resp.StatusCode), resp.StatusCode)
		if body, err := resp.ReadAll(1<<20, noLimit.NewLease()); err == nil {
			assert.LessOrEqual(t, len(body), len(response))
		}
		resp.Abandon()
	})
}
