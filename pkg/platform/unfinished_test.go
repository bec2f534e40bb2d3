package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startResetter starts a platform that responds once it has the header of a call and resets
// the connection without reading the body.
func startResetter(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, response)
					time.Sleep(20 * time.Millisecond)
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against taking a call for accepted that could not be sent completely.
func TestResponseWithoutAFramingToAFailedCall(t *testing.T) {
	c := NewClient(ClientConfig{Address: startResetter(t, "HTTP/1.1 200 OK\r\n\r\n{}")})
	for range 10 {
		err := c.Report(t.Context(), UsageReport{ReportID: strings.Repeat("x", 8<<20)})
		require.ErrorIs(t, err, ErrUnavailable, "the outcome is unknown")
	}
}

// Guards against taking an invalid status for a refusal or a success.
func TestInvalidStatusIsUnavailable(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "abc"} {
		c := NewClient(ClientConfig{Address: startResetter(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")})
		require.ErrorIs(t, c.Report(t.Context(), UsageReport{}), ErrUnavailable, status)
	}
}
