package harness

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

var testEndpoint = endpoint{"h1", LinkLog}

func dialThroughProxy(t *testing.T, target string) (*network, net.Conn) {
	t.Helper()
	n := newNetwork()
	r, err := startProxy(n, target, endpoint{"", LinkLog}, func(net.Conn) endpoint { return testEndpoint })
	require.NoError(t, err)
	t.Cleanup(func() { r.close(); n.close() })
	c, err := net.Dial("tcp4", r.address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return n, c
}

func roundTrip(c net.Conn, wait time.Duration) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.Read(make([]byte, 1))
	return err
}

// Guards against a silent cut that closes connections, and against a heal after which
// data is lost that a real network would deliver late.
func TestSilentCutDelaysData(t *testing.T) {
	for _, d := range []Direction{Both, In, Out} {
		t.Run(string(d), func(t *testing.T) {
			n, c := dialThroughProxy(t, echoServer(t))
			require.NoError(t, roundTrip(c, time.Second))
			n.cut(testEndpoint, d, Silent)
			require.ErrorIs(t, roundTrip(c, 100*time.Millisecond), os.ErrDeadlineExceeded)
			n.heal(testEndpoint)
			require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Second)))
			_, err := c.Read(make([]byte, 1))
			require.NoError(t, err)
		})
	}
}

// Guards against a reset cut that leaves connections open.
func TestResetCutClosesConnections(t *testing.T) {
	n, c := dialThroughProxy(t, echoServer(t))
	require.NoError(t, roundTrip(c, time.Second))
	n.cut(testEndpoint, Both, Reset)
	err := roundTrip(c, time.Second)
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// Guards against cuts that affect the wrong host, since all hosts share one address.
func TestSocketOwnerFindsProcess(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	accepted, err := l.Accept()
	require.NoError(t, err)
	require.Equal(t, os.Getpid(), socketOwner(accepted, []int{1, os.Getpid()}))
	require.Zero(t, socketOwner(accepted, []int{1}))
}
