package engine

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

	"github.com/redwingpath/redwingpath/pkg/upstream"
)

// startEarlyResponder starts a server that responds as soon as it has the header of a
// request, reads up to readOn bytes of the body, pauses and resets the connection.
func startEarlyResponder(t *testing.T, response string, readOn int64, pause time.Duration) string {
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
				reader := bufio.NewReader(conn)
				if req, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, response)
					_, _ = io.CopyN(io.Discard, req.Body, readOn)
					time.Sleep(pause)
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

func post(t *testing.T, transports *Transports, address string, retry RetryMode, size int) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address, strings.NewReader(strings.Repeat("x", size)))
	require.NoError(t, err)
	resp, err := transports.Do(req, retry, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// longestBody is the longest body of a call that hosts forward.
const longestBody = 8 << 20

// Guards against taking a part of a body for the whole when the server resets the
// connection during the upload: after a failed write, the kernel reports the reset as the
// end of the stream.
func TestUnframedResponseToAFailedUploadIsIncomplete(t *testing.T) {
	transports := NewTransports(DefaultTransportSettings())
	t.Cleanup(transports.CloseIdle)
	for _, retry := range []RetryMode{RetryIdempotent, RetryUnsent, SendOnce} {
		for _, size := range []int{0, 64 << 10, 1 << 20, longestBody - 1, longestBody} {
			for _, readOn := range []int64{0, int64(size) / 2} {
				for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
					t.Run(fmt.Sprint(retry, "/", size, "/", readOn, "/", pause), func(t *testing.T) {
						address := startEarlyResponder(t, "HTTP/1.1 200 OK\r\n\r\npart", readOn, pause)
						for range 5 {
							body, err := post(t, transports, address, retry, size)
							assert.Error(t, err, "%q was taken for a whole body", body)
						}
					})
				}
			}
		}
	}
}

// Guards against rejecting a response that is complete when the upload fails.
func TestFramedResponseToAnUploadThatFailsLaterIsValid(t *testing.T) {
	transports := NewTransports(DefaultTransportSettings())
	t.Cleanup(transports.CloseIdle)
	for _, size := range []int{0, 64 << 10, longestBody} {
		address := startEarlyResponder(t, "HTTP/1.1 413 X\r\nContent-Length: 8\r\n\r\ntoo long", 0, 50*time.Millisecond)
		body, err := post(t, transports, address, SendOnce, size)
		require.NoError(t, err)
		assert.Equal(t, "too long", body)
	}
}

// Guards against rejecting an unframed response that is sent before the server has read the
// whole upload, also if it ends before.
func TestUnframedResponseBeforeTheEndOfTheUploadIsValid(t *testing.T) {
	transports := NewTransports(DefaultTransportSettings())
	t.Cleanup(transports.CloseIdle)
	for _, endsFirst := range []bool{false, true} {
		for _, size := range []int{0, 64 << 10, longestBody} {
			t.Run(fmt.Sprint(endsFirst, size), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				t.Cleanup(func() { _ = listener.Close() })
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
						if endsFirst {
							_ = conn.(*net.TCPConn).CloseWrite()
							time.Sleep(20 * time.Millisecond)
						}
						_, _ = io.Copy(io.Discard, req.Body)
					}
					_ = conn.Close()
				}()
				body, err := post(t, transports, "http://"+listener.Addr().String(), SendOnce, size)
				require.NoError(t, err)
				assert.Equal(t, "whole", body)
			})
		}
	}
}

// Guards against passing on a status that net/http cannot write, and against taking it for
// a valid response.
func TestResponseWithAnInvalidStatusIsAnError(t *testing.T) {
	transports := NewTransports(DefaultTransportSettings())
	t.Cleanup(transports.CloseIdle)
	for _, status := range []string{"000 X", "007 X", "099 X", "101 X", "600 X", "999 X"} {
		for _, retry := range []RetryMode{RetryIdempotent, RetryUnsent, SendOnce} {
			address := startEarlyResponder(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nhi", 4, 20*time.Millisecond)
			_, err := post(t, transports, address, retry, 4)
			assert.ErrorIs(t, err, upstream.ErrInvalid, status)
		}
	}
	for _, status := range []string{"199 X", "abc X", "20 X", ""} {
		address := startEarlyResponder(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nhi", 4, 20*time.Millisecond)
		_, err := post(t, transports, address, SendOnce, 4)
		assert.Error(t, err, status)
	}
}
