package upstream

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
)

// startEarlyResponder starts a server that responds as soon as it has the header of a
// request. It then reads up to readOn bytes of the body and closes the connection with a
// reset.
func startEarlyResponder(t *testing.T, response string, readOn int64) string {
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
					time.Sleep(20 * time.Millisecond)
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// upload sends a body and returns the response's body.
func upload(t *testing.T, address string, size int) (string, error) {
	t.Helper()
	p := NewPool(DefaultSettings())
	conn, err := p.Get(t.Context(), address, false)
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("x", size)))
	require.NoError(t, err)
	resp, sent, err := conn.Send(t.Context(), req)
	require.True(t, sent)
	if err != nil {
		return "", err
	}
	body, err := resp.ReadAll(1<<20, noLimit.NewLease())
	if err == nil {
		resp.Release()
		return string(body), nil
	}
	resp.Abandon()
	return "", err
}

// uploadSizes go up to the longest body that hosts accept.
var uploadSizes = []int{0, 100, 16 << 10, 256 << 10, 1 << 20, 4<<20 - 1, 4 << 20}

// Guards against taking a part of a body for the whole when the server resets the
// connection: after a failed write, the kernel reports the reset as the end of the stream.
func TestUnframedResponseToAFailedUploadIsIncomplete(t *testing.T) {
	for _, size := range uploadSizes {
		for _, readOn := range []int64{0, int64(size) / 2} {
			t.Run(fmt.Sprint(size, "/", readOn), func(t *testing.T) {
				address := startEarlyResponder(t, "HTTP/1.1 200 OK\r\n\r\npart", readOn)
				for range 5 {
					body, err := upload(t, address, size)
					assert.Error(t, err, "%q was taken for a whole body", body)
				}
			})
		}
	}
}

// Guards against rejecting the complete response of a server that refuses a long upload.
func TestFramedResponseToAFailedUploadIsValid(t *testing.T) {
	for name, response := range map[string]string{
		"length": "HTTP/1.1 413 Too Long\r\nContent-Length: 4\r\n\r\nlong",
		"chunks": "HTTP/1.1 413 Too Long\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlong\r\n0\r\n\r\n",
	} {
		for _, size := range uploadSizes {
			t.Run(fmt.Sprint(name, "/", size), func(t *testing.T) {
				body, err := upload(t, startEarlyResponder(t, response, 0), size)
				require.NoError(t, err)
				assert.Equal(t, "long", body)
			})
		}
	}
}

// Guards against rejecting an unframed response that is sent before the server has read the
// whole upload.
func TestUnframedResponseBeforeTheEndOfTheUploadIsValid(t *testing.T) {
	for _, size := range uploadSizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
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
					_, _ = io.Copy(io.Discard, req.Body)
				}
				_ = conn.Close()
			}()
			body, err := upload(t, listener.Addr().String(), size)
			require.NoError(t, err)
			assert.Equal(t, "whole", body)
		})
	}
}

// Guards against taking an unframed body for a whole one when the server ends it in good
// order but resets the connection before the upload is written.
func TestUnframedResponseOfAServerThatClosesBothWaysIsIncomplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(20 * time.Millisecond)
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	_, err = upload(t, listener.Addr().String(), 4<<20)
	assert.ErrorIs(t, err, ErrRequestNotWritten)
}
