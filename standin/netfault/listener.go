// Package netfault provides a loopback listener whose open connections can be
// made silent or reset, as a failing machine or network does.
package netfault

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Listener accepts connections that can be silenced or reset later.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listen listens on a loopback address; port 0 picks a free one.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return &Listener{Listener: l, conns: map[*conn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: c, listener: l}
	l.mu.Lock()
	l.conns[wrapped] = struct{}{}
	l.mu.Unlock()
	return wrapped, nil
}

// Silence stops the data in both directions of all connections that are open now,
// without closing them, and returns their number. Connections opened later work.
func (l *Listener) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// Reset closes all open connections with a TCP reset.
func (l *Listener) Reset() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.reset()
	}
}

// conn is a connection that its listener can silence or reset.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
}

// Read implements net.Conn. A silent connection discards the data that arrives.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			c.closeAfterReadError(err)
			return 0, err
		}
	}
}

// Write implements net.Conn. A silent connection discards the data written to it.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The peer of a silent connection sees no close
// until the listener is reset.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.untrack()
	return c.Conn.Close()
}

// closeAfterReadError frees the descriptor of a silent connection after a read error
// that shows that its peer has closed it. An expired deadline does not show this,
// since net/http sets one to interrupt a read.
func (c *conn) closeAfterReadError(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.reset()
	}
}

func (c *conn) reset() {
	c.untrack()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}

func (c *conn) untrack() {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
}
