package node

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against more open connections than the limit, against closed connections
// that still count, and against an Accept that hangs after Close.
func TestLimitConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := limitConnections(inner, 1)
	accepted := make(chan net.Conn)
	ended := make(chan error, 1)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- conn
		}
	}()
	for range 2 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	first := <-accepted
	select {
	case <-accepted:
		t.Fatal("a second connection was accepted beyond the limit")
	case <-time.After(50 * time.Millisecond):
	}
	require.NoError(t, first.Close())
	require.Error(t, first.Close())
	<-accepted
	require.NoError(t, l.Close())
	require.Error(t, <-ended)
}
