package peer

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// fixedHandler responds with fixed values; a Status call from "slow" hangs.
type fixedHandler struct {
	release chan struct{}
}

func (h *fixedHandler) Tail(a TailArgs) (TailReply, error) {
	return TailReply{From: a.Want, Next: a.Want + 1, HasRead: true, ReadAge: time.Second}, nil
}
func (h *fixedHandler) Vouch(VouchArgs) (VouchReply, error) {
	return VouchReply{Host: "h", CannotReachLog: true, Offset: 7, Counts: true}, nil
}
func (h *fixedHandler) Status(a StatusArgs) (StatusReply, error) {
	if a.Host == "slow" {
		<-h.release
	}
	return StatusReply{Host: "h"}, nil
}
func (h *fixedHandler) Checkpoint(CheckpointArgs) (CheckpointReply, error) {
	return CheckpointReply{Data: []byte("x")}, nil
}

// Adder is an rpc service of another package.
type Adder struct{}

// Add is an rpc method.
func (Adder) Add(n int, reply *int) error {
	*reply = n + 1
	return nil
}

func startServer(t *testing.T, config *tls.Config) (*Server, string) {
	t.Helper()
	h := &fixedHandler{release: make(chan struct{})}
	s, err := NewServer(h, config)
	require.NoError(t, err)
	require.NoError(t, s.Register("Adder", Adder{}))
	bound, err := s.Listen("127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() {
		close(h.release)
		_ = s.Close()
		require.NoError(t, <-done)
	})
	return s, bound
}

// Guards against messages that lose fields and against services of other
// packages that cannot be reached.
func TestCalls(t *testing.T) {
	_, address := startServer(t, nil)
	c := NewClient(ClientConfig{})
	defer c.Close()
	tail, err := c.Tail(t.Context(), address, TailArgs{Want: 3})
	require.NoError(t, err)
	require.Equal(t, TailReply{From: 3, Next: 4, HasRead: true, ReadAge: time.Second}, tail)
	vouch, err := c.Vouch(t.Context(), address, VouchArgs{})
	require.NoError(t, err)
	require.True(t, vouch.CannotReachLog && vouch.Counts)
	sum, err := Call[int](t.Context(), c, address, "Adder.Add", 1)
	require.NoError(t, err)
	require.Equal(t, 2, sum)
}

// Guards against peers that communicate without TLS although it is configured.
func TestTLS(t *testing.T) {
	tlsServer := httptest.NewTLSServer(nil)
	defer tlsServer.Close()
	_, address := startServer(t, &tls.Config{Certificates: tlsServer.TLS.Certificates})
	roots := tlsServer.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	trustingClient := NewClient(ClientConfig{TLS: func(string) *tls.Config { return &tls.Config{RootCAs: roots, ServerName: "127.0.0.1"} }})
	defer trustingClient.Close()
	_, err := trustingClient.Status(t.Context(), address, StatusArgs{})
	require.NoError(t, err)
	for _, config := range []*tls.Config{nil, {}} {
		c := NewClient(ClientConfig{TLS: func(string) *tls.Config { return config }, CallTimeout: 200 * time.Millisecond})
		_, err := c.Status(t.Context(), address, StatusArgs{})
		require.ErrorIs(t, err, ErrUnreachable)
		c.Close()
	}
}

// Guards against a hanging peer that blocks its callers, and against a client
// that keeps using a broken connection.
func TestHangingPeerTimesOutAndReconnects(t *testing.T) {
	_, address := startServer(t, nil)
	c := NewClient(ClientConfig{CallTimeout: 50 * time.Millisecond})
	defer c.Close()
	_, err := c.Status(t.Context(), address, StatusArgs{Host: "slow"})
	require.ErrorIs(t, err, ErrUnreachable)
	require.Eventually(t, func() bool {
		_, err := c.Status(t.Context(), address, StatusArgs{})
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
}

// Guards against a call that blocks on a peer that accepts connections but reads
// nothing.
func TestSilentPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	c := NewClient(ClientConfig{CallTimeout: 50 * time.Millisecond})
	defer c.Close()
	start := time.Now()
	_, err = c.Tail(t.Context(), listener.Addr().String(), TailArgs{})
	require.ErrorIs(t, err, ErrUnreachable)
	require.Less(t, time.Since(start), 5*time.Second)
}

// Guards against hosts that are not connected to the root, so that no other host
// announces new log entries to them.
func TestTreeReachesAllHosts(t *testing.T) {
	var hosts []model.HostID
	for i := range 340 {
		hosts = append(hosts, model.HostID(rune('a'+i%26))+model.HostID(rune('0'+i/26)))
	}
	tree := NewTree(hosts)
	reached := map[model.HostID]bool{tree.order[0]: true}
	for _, h := range tree.order {
		require.True(t, reached[h])
		require.LessOrEqual(t, len(tree.Children(h)), Fanout)
		for _, child := range tree.Children(h) {
			reached[child] = true
			parent, ok := tree.Parent(child)
			require.True(t, ok)
			require.Equal(t, h, parent)
		}
	}
	require.Len(t, reached, len(hosts))
}
