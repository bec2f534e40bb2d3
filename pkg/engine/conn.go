package engine

import (
	"net"
	"sync/atomic"
	"time"
)

// backendConns holds the open connections to one address.
type backendConns struct {
	open map[*trackedConn]struct{}
	// lastRead is when data was last read from any connection, in Unix nanoseconds.
	lastRead atomic.Int64
}

// trackedConn is a connection that records when it was opened and whether a call
// uses it.
type trackedConn struct {
	net.Conn
	owner   *Transports
	backend *backendConns
	address string
	opened  time.Time
	// uses is the number of calls that use the connection. It is a counter and
	// not a flag, since the pool may assign the connection to the next call
	// before it reports the end of the previous one.
	uses atomic.Int32
	// discarded connections are closed instead of being returned to the pool.
	discarded atomic.Bool
	closed    atomic.Bool
}

// findTrackedConn returns the tracked connection within one of net/http, nil if there is
// none.
func findTrackedConn(conn net.Conn) *trackedConn {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	tracked, _ := conn.(*trackedConn)
	return tracked
}

func (t *Transports) trackConn(raw net.Conn, address string) *trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	backend := t.backends[address]
	if backend == nil {
		backend = &backendConns{open: make(map[*trackedConn]struct{})}
		t.backends[address] = backend
	}
	conn := &trackedConn{Conn: raw, owner: t, backend: backend, address: address, opened: time.Now()}
	backend.open[conn] = struct{}{}
	return conn
}

// Read implements net.Conn and records the time at which data arrived.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.backend.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	if !c.closed.Swap(true) {
		c.owner.untrack(c)
	}
	return c.Conn.Close()
}

// release ends one use and closes the connection if it is unused and discarded.
func (c *trackedConn) release() {
	if c.uses.Add(-1) == 0 && c.discarded.Load() {
		_ = c.Close()
	}
}

func (t *Transports) untrack(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(c.backend.open, c)
	if len(c.backend.open) == 0 {
		delete(t.backends, c.address)
	}
}

// LastReadTime returns when data was last read from the address. It returns the zero
// time when no connection is open or none has received data.
func (t *Transports) LastReadTime(address string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	backend := t.backends[address]
	if backend == nil || backend.lastRead.Load() == 0 {
		return time.Time{}
	}
	return time.Unix(0, backend.lastRead.Load())
}

// DiscardOpenedBefore closes the idle connections to the address that were
// opened before a time, and returns their number. Connections in use are closed
// at the end of their call instead of being returned to the pool.
func (t *Transports) DiscardOpenedBefore(address string, at time.Time) int {
	idle := t.markOpenedBefore(address, at)
	for _, conn := range idle {
		_ = conn.Close()
	}
	return len(idle)
}

// markOpenedBefore marks the connections as discarded and returns the idle ones.
func (t *Transports) markOpenedBefore(address string, at time.Time) []*trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	backend := t.backends[address]
	if backend == nil {
		return nil
	}
	var idle []*trackedConn
	for conn := range backend.open {
		if !conn.opened.Before(at) {
			continue
		}
		conn.discarded.Store(true)
		if conn.uses.Load() <= 0 {
			idle = append(idle, conn)
		}
	}
	return idle
}

// OpenConnections returns the number of open connections to an address.
func (t *Transports) OpenConnections(address string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if backend := t.backends[address]; backend != nil {
		return len(backend.open)
	}
	return 0
}
