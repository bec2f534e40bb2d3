package node

import (
	"net"
	"sync"
)

// limitedListener bounds the number of open connections; further ones wait in
// the kernel's accept queue.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn releases its slot when it is first closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// CloseWrite lets net/http finish a response before it closes a connection with
// unread input; without it the caller gets a reset instead of the response.
func (c *limitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the wrapped connection.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
