// Package callers runs the HTTP server for callers and shuts it down without dropping
// requests that have arrived.
//
// http.Server.Shutdown is not sufficient: it resets connections that the kernel has
// accepted and the server has not, and closes keep-alive connections on which a request
// has arrived that is not read yet, or whose header is read in part.
package callers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// keepAliveGrace is how long a keep-alive connection must have been idle before a
	// stop closes it. It covers the time until net/http processes bytes that it has
	// read together with the previous request.
	keepAliveGrace = 100 * time.Millisecond
	// newConnGrace is the same for a new connection, whose first request is expected.
	newConnGrace = time.Second
	// stopPollInterval is the interval between checks of the connections during a stop.
	stopPollInterval = 10 * time.Millisecond
)

// Server is an HTTP server on one address with a graceful stop.
type Server struct {
	server   *http.Server
	listener *net.TCPListener
	// wrapped is the listener with the layers added by wrap.
	wrapped net.Listener
	// serveDone is closed when Serve returns.
	serveDone chan struct{}
	// backlog passes to Serve the connections that only the kernel had accepted when
	// the listener was closed. It is closed after the last one.
	backlog      chan net.Conn
	closeBacklog sync.Once

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listen opens a listener on an address; Serve accepts its connections. Listen sets the
// server's ConnState. wrap adds layers such as TLS to the listener and may be nil. The
// connections of a layer must return the underlying connection from NetConn.
func Listen(address string, server *http.Server, wrap func(net.Listener) net.Listener) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	s := &Server{
		server: server, listener: listener.(*net.TCPListener), serveDone: make(chan struct{}),
		backlog: make(chan net.Conn), conns: map[*conn]struct{}{},
	}
	server.ConnState = s.connStateChanged
	s.wrapped = trackingListener{s}
	if wrap != nil {
		s.wrapped = wrap(s.wrapped)
	}
	return s, nil
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts and serves connections until Stop or Close. It returns an error if it
// ends for another reason.
func (s *Server) Serve() error {
	defer close(s.serveDone)
	err := s.server.Serve(s.wrapped)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "accept callers")
}

// Stop closes the listener, serves the requests that have arrived, and closes each
// connection once it is idle. Connections that are still in use at the deadline are
// closed by force; Stop returns their number.
func (s *Server) Stop(deadline time.Time) (int, error) {
	listenerErr := s.closeListener(deadline)
	left := s.closeIdle(time.Now())
	for left > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPollInterval)
		left = s.closeIdle(time.Now())
	}
	return left, errors.Join(listenerErr, s.Close())
}

// Close stops serving and closes all connections immediately.
func (s *Server) Close() error {
	s.closeBacklog.Do(func() { close(s.backlog) })
	return eris.Wrap(s.server.Close(), "close the connections of callers")
}

// closeListener closes the listener and passes to Serve the connections that only the
// kernel has accepted. They are tracked before they are passed on, so that Stop waits for
// them.
func (s *Server) closeListener(deadline time.Time) error {
	waiting, errs := s.acceptBacklog()
	if err := s.listener.Close(); err != nil {
		errs = errors.Join(errs, eris.Wrap(err, "close the listener for callers"))
	}
	defer s.closeBacklog.Do(func() { close(s.backlog) })
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for i, c := range waiting {
		select {
		case s.backlog <- c:
			continue
		case <-s.serveDone:
		case <-timer.C:
		}
		for _, c := range waiting[i:] {
			errs = errors.Join(errs, c.Close())
		}
		return errors.Join(errs, eris.Errorf("%d accepted connections were not served", len(waiting)-i))
	}
	return errs
}

// acceptBacklog accepts the connections in the kernel's backlog without blocking.
func (s *Server) acceptBacklog() ([]net.Conn, error) {
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "get the raw socket of the listener for callers")
	}
	var waiting []net.Conn
	var errs error
	err = raw.Control(func(fd uintptr) {
		for {
			n, _, e := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case e == nil:
				c, err := s.trackFD(n)
				if err != nil {
					errs = errors.Join(errs, err)
					continue
				}
				waiting = append(waiting, c)
			case errors.Is(e, unix.EINTR), errors.Is(e, unix.ECONNABORTED):
			case errors.Is(e, unix.EAGAIN):
				return
			default:
				errs = errors.Join(errs, eris.Wrap(e, "accept the connections in the backlog"))
				return
			}
		}
	})
	return waiting, errors.Join(errs, err)
}

// closeIdle closes the idle connections and returns the number of the others.
func (s *Server) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for c := range s.conns {
		if !c.closeIfIdle(now) {
			left++
			continue
		}
		delete(s.conns, c)
	}
	return left
}

// track adds an accepted connection to the open connections.
func (s *Server) track(tcp *net.TCPConn) (net.Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, eris.Wrap(err, "get the raw socket of an accepted connection")
	}
	c := &conn{TCPConn: tcp, raw: raw}
	c.startGrace(newConnGrace)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c, nil
}

// connStateChanged is the ConnState callback of the http.Server.
func (s *Server) connStateChanged(nc net.Conn, state http.ConnState) {
	c := underlyingConn(nc)
	if c == nil {
		return
	}
	switch state {
	case http.StateIdle:
		c.startGrace(keepAliveGrace)
	case http.StateActive:
		c.markActive()
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// underlyingConn returns the tracked connection below the layers, nil if there is none.
func underlyingConn(nc net.Conn) *conn {
	for {
		switch c := nc.(type) {
		case *conn:
			return c
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// trackingListener is the listener of the http.Server. It tracks the connections that it
// accepts and returns those of the backlog after the TCP listener was closed.
type trackingListener struct{ *Server }

// Accept implements net.Listener.
func (a trackingListener) Accept() (net.Conn, error) {
	c, err := a.listener.AcceptTCP()
	if err == nil {
		return a.track(c)
	}
	if errors.Is(err, net.ErrClosed) {
		if c, ok := <-a.backlog; ok {
			return c, nil
		}
	}
	return nil, err
}

// Close implements net.Listener.
func (a trackingListener) Close() error {
	if err := a.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Addr implements net.Listener.
func (a trackingListener) Addr() net.Addr { return a.listener.Addr() }

// conn is a tracked connection of a caller.
type conn struct {
	*net.TCPConn
	raw syscall.RawConn

	mu sync.Mutex
	// idleAt is the time from which the connection counts as idle unless a byte
	// arrives earlier; zero while a request is read or served.
	idleAt time.Time
	// closing is set once the connection was found idle; reads then fail.
	closing bool
}

// Read implements net.Conn. It reads from the socket and resets idleAt under one lock, so
// that closeIfIdle always sees received bytes, either in the kernel or by idleAt.
func (c *conn) Read(p []byte) (int, error) {
	n, err := 0, error(nil)
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closing {
			err = net.ErrClosed
			return true
		}
		for {
			n, err = unix.Read(int(fd), p)
			if !errors.Is(err, unix.EINTR) {
				break
			}
		}
		if n > 0 {
			c.idleAt = time.Time{}
		}
		return !errors.Is(err, unix.EAGAIN)
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// startGrace starts the grace period after which the connection counts as idle.
func (c *conn) startGrace(span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleAt = time.Now().Add(span)
}

// markActive marks a connection that has a request.
func (c *conn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleAt = time.Time{}
}

// closeIfIdle closes the connection if it is idle and no byte waits in the kernel.
func (c *conn) closeIfIdle(now time.Time) bool {
	if !c.stopReadingIfIdle(now) {
		return false
	}
	// Called without the lock, since Close waits for a read in progress, which takes
	// the lock. The reader gets an error and net/http drops the connection.
	_ = c.Close()
	return true
}

// stopReadingIfIdle makes further reads fail if the connection is idle, and reports
// whether it is.
func (c *conn) stopReadingIfIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleAt.IsZero() || now.Before(c.idleAt) {
		return false
	}
	waiting := 0
	err := c.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			waiting = n
		}
	})
	if err == nil && waiting > 0 {
		return false
	}
	// Control fails only if the socket is closed already.
	c.closing = true
	return true
}
