package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// keepAlivePeriod is the interval of the TCP keep-alive probes, which detect that the
// other side of a connection is gone.
const keepAlivePeriod = 5 * time.Second

// Server serves rpc calls of other hosts.
type Server struct {
	rpc *rpc.Server
	tls *tls.Config

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
	group    sync.WaitGroup
}

// NewServer returns a server for a handler. If the handler is nil, it serves only the
// services that Register adds; if the TLS configuration is nil, it uses plain TCP.
func NewServer(handler Handler, tlsConfig *tls.Config) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), tls: tlsConfig, conns: map[net.Conn]struct{}{}}
	if handler != nil {
		if err := s.Register(ServiceName, &service{handler: handler}); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Register adds an rpc service. It must be called before Serve.
func (s *Server) Register(name string, receiver any) error {
	return eris.Wrapf(s.rpc.RegisterName(name, receiver), "register rpc service %s", name)
}

// Listen opens the listener and returns its address.
func (s *Server) Listen(address string) (string, error) {
	config := net.ListenConfig{KeepAlive: keepAlivePeriod}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return "", eris.Wrap(err, "listen for peers")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	if s.tls != nil {
		s.listener = tls.NewListener(listener, s.tls)
	}
	return listener.Addr().String(), nil
}

// Serve serves calls until Close. Listen must have been called.
func (s *Server) Serve() error {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return eris.Wrap(err, "accept peer")
		}
		if !s.track(conn) {
			_ = conn.Close()
			return nil
		}
		go func() {
			defer s.untrack(conn)
			s.rpc.ServeConn(&writeDeadlineConn{Conn: conn, timeout: replyWriteTimeout})
		}()
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.group.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.group.Done()
}

// Close closes the listener and all connections and waits for their goroutines.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	var err error
	if s.listener != nil {
		err = s.listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
	return eris.Wrap(err, "close peer listener")
}

// service adapts a Handler to net/rpc.
type service struct {
	handler Handler
}

// Tail is the rpc method Peer.Tail.
func (s *service) Tail(args TailArgs, reply *TailReply) (err error) {
	*reply, err = s.handler.Tail(args)
	return err
}

// Vouch is the rpc method Peer.Vouch.
func (s *service) Vouch(args VouchArgs, reply *VouchReply) (err error) {
	*reply, err = s.handler.Vouch(args)
	return err
}

// Status is the rpc method Peer.Status.
func (s *service) Status(args StatusArgs, reply *StatusReply) (err error) {
	*reply, err = s.handler.Status(args)
	return err
}

// Checkpoint is the rpc method Peer.Checkpoint.
func (s *service) Checkpoint(args CheckpointArgs, reply *CheckpointReply) (err error) {
	*reply, err = s.handler.Checkpoint(args)
	return err
}
