package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedConn is a connection from which a fixed text is read before it ends.
type scriptedConn struct {
	net.Conn
	text *bytes.Reader
}

func (c scriptedConn) Read(p []byte) (int, error)      { return c.text.Read(p) }
func (c scriptedConn) Write(p []byte) (int, error)     { return len(p), nil }
func (c scriptedConn) Close() error                    { return nil }
func (c scriptedConn) SetDeadline(time.Time) error     { return nil }
func (c scriptedConn) SetReadDeadline(time.Time) error { return nil }

// wholeResponse is a response that was read to its end.
type wholeResponse struct {
	status int
	header http.Header
	body   string
	framed bool
}

// readScripted returns the response in a text, nil if it is not whole.
func readScripted(t *testing.T, text []byte) *wholeResponse {
	conn := newConn(NewPool(DefaultSettings()), "a", scriptedConn{text: bytes.NewReader(text)})
	req, err := http.NewRequest(http.MethodPost, "http://a/", nil)
	require.NoError(t, err)
	resp, _, err := conn.Send(context.Background(), req)
	if err != nil {
		return nil
	}
	body, err := resp.ReadAll(1<<20, noLimit.NewLease())
	if err != nil {
		return nil
	}
	return &wholeResponse{status: resp.StatusCode, header: resp.Header, body: string(body), framed: resp.Framed()}
}

// A response with a framing is whole or not: if it is whole before the text ends, what
// follows does not change it. So no cut of a longer response passes for a whole one. The
// head of a response without a framing does not change either.
func FuzzCutResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nwhole\r\n0\r\nX: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nwithout a length",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nold", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nshort", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nlong",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) > 512 {
			return
		}
		var before *wholeResponse
		for n := range len(text) + 1 {
			now := readScripted(t, text[:n])
			if before != nil && before.framed {
				require.Equal(t, before, now, "after %d bytes", n)
			}
			if before != nil && !before.framed {
				require.NotNil(t, now, "after %d bytes", n)
				require.Equal(t, before.header, now.header, "after %d bytes", n)
			}
			before = now
		}
	})
}

func TestHeadCutAtEachByteIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n",
		"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for n := range len(head) {
			require.Nil(t, readScripted(t, []byte(head[:n])), "%q", head[:n])
		}
		require.NotNil(t, readScripted(t, []byte(head)))
	}
}
