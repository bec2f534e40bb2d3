package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of ClientConfig.
const (
	// DefaultCallTimeout is well below the freshness limit of 3 s, so that
	// another peer can be asked in time.
	DefaultCallTimeout = time.Second
	// DefaultDialTimeout bounds a connection attempt, including its TLS handshake.
	DefaultDialTimeout = 700 * time.Millisecond
)

// ErrUnreachable means that no reply arrived. The peer may have executed the call.
var ErrUnreachable = errors.New("peer unreachable")

// ClientConfig configures a Client.
type ClientConfig struct {
	// TLS returns the configuration for connections to an address. A nil
	// function and a nil result mean plain TCP.
	TLS func(address string) *tls.Config
	// CallTimeout bounds a call, including the wait for a connection. 0 means
	// DefaultCallTimeout.
	CallTimeout time.Duration
	// DialTimeout bounds a connection attempt. 0 means DefaultDialTimeout.
	DialTimeout time.Duration
}

// Client calls other hosts. It keeps one connection per address and replaces
// it after a failure. It is safe for concurrent use.
type Client struct {
	config ClientConfig

	mu     sync.Mutex
	conns  map[string]*connection
	closed bool
}

// connection is an open connection or an attempt to open one. ready is closed at
// the end of the attempt.
type connection struct {
	ready  chan struct{}
	client *rpc.Client
	err    error
}

// NewClient returns a client without connections.
func NewClient(c ClientConfig) *Client {
	if c.CallTimeout <= 0 {
		c.CallTimeout = DefaultCallTimeout
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	return &Client{config: c, conns: map[string]*connection{}}
}

// Call calls an rpc method at an address. If no reply arrives in time, it closes the
// connection, which may no longer carry any data.
func Call[R any](ctx context.Context, c *Client, address, method string, args any) (R, error) {
	timeout := time.NewTimer(c.config.CallTimeout)
	defer timeout.Stop()
	var zero R
	conn, err := c.connect(ctx, address, timeout.C)
	if err != nil {
		return zero, err
	}
	// The reply is not read after a timeout, since net/rpc may still write it.
	reply := new(R)
	call := conn.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-timeout.C:
		c.discard(address, conn)
		return zero, eris.Wrapf(ErrUnreachable, "%s at %s: no answer in time", method, address)
	case <-ctx.Done():
		// The caller has cancelled; this says nothing about the connection.
		return zero, eris.Wrapf(ErrUnreachable, "%s at %s: %v", method, address, ctx.Err())
	}
	if call.Error == nil {
		return *reply, nil
	}
	var serverError rpc.ServerError
	if errors.As(call.Error, &serverError) {
		return zero, eris.Wrapf(call.Error, "%s at %s", method, address)
	}
	c.discard(address, conn)
	return zero, eris.Wrapf(ErrUnreachable, "%s at %s: %v", method, address, call.Error)
}

// Tail announces the position of the caller and requests log entries.
func (c *Client) Tail(ctx context.Context, address string, args TailArgs) (TailReply, error) {
	return Call[TailReply](ctx, c, address, methodTail, args)
}

// Vouch asks whether a peer can reach the log, and how far it has applied it.
func (c *Client) Vouch(ctx context.Context, address string, args VouchArgs) (VouchReply, error) {
	return Call[VouchReply](ctx, c, address, methodVouch, args)
}

// Status asks whether a host is live.
func (c *Client) Status(ctx context.Context, address string, args StatusArgs) (StatusReply, error) {
	return Call[StatusReply](ctx, c, address, methodStatus, args)
}

// Checkpoint requests the tables of a peer.
func (c *Client) Checkpoint(ctx context.Context, address string, args CheckpointArgs) (CheckpointReply, error) {
	return Call[CheckpointReply](ctx, c, address, methodCheckpoint, args)
}

// connect returns the connection to an address and opens one if there is none.
func (c *Client) connect(ctx context.Context, address string, timeout <-chan time.Time) (*connection, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, eris.Wrap(ErrUnreachable, "client is closed")
	}
	conn, ok := c.conns[address]
	if !ok {
		conn = &connection{ready: make(chan struct{})}
		c.conns[address] = conn
		go c.dial(address, conn)
	}
	c.mu.Unlock()
	select {
	case <-conn.ready:
	case <-timeout:
		return nil, eris.Wrapf(ErrUnreachable, "connect to %s: no answer in time", address)
	case <-ctx.Done():
		return nil, eris.Wrapf(ErrUnreachable, "connect to %s: %v", address, ctx.Err())
	}
	if conn.err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "connect to %s: %v", address, conn.err)
	}
	return conn, nil
}

func (c *Client) dial(address string, conn *connection) {
	defer close(conn.ready)
	ctx, cancel := context.WithTimeout(context.Background(), c.config.DialTimeout)
	defer cancel()
	raw, err := c.dialConn(ctx, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && c.closed {
		_ = raw.Close()
		err = net.ErrClosed
	}
	if err != nil {
		conn.err = err
		if c.conns[address] == conn {
			delete(c.conns, address)
		}
		return
	}
	conn.client = rpc.NewClient(&writeDeadlineConn{Conn: raw, timeout: c.config.CallTimeout})
}

func (c *Client) dialConn(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: keepAlivePeriod}
	config := c.tls(address)
	if config == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	tlsDialer := tls.Dialer{NetDialer: &dialer, Config: config}
	return tlsDialer.DialContext(ctx, "tcp", address)
}

func (c *Client) tls(address string) *tls.Config {
	if c.config.TLS == nil {
		return nil
	}
	return c.config.TLS(address)
}

// discard closes a connection. The next call to its address opens a new one.
func (c *Client) discard(address string, conn *connection) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.client.Close()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		select {
		case <-conn.ready:
			if conn.client != nil {
				_ = conn.client.Close()
			}
		default:
		}
	}
}
