package platformsoak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target and injects network faults.
type proxy struct {
	target string

	mu       sync.Mutex
	listener net.Listener
	delay    time.Duration
	// pausedUntil is when a pause of all connections ends.
	pausedUntil time.Time
	conns       map[*proxyConn]struct{}
}

// proxyConn is one proxied connection.
type proxyConn struct {
	client, server net.Conn
	mu             sync.Mutex
	// silent connections drop all data; requestsOnly ones drop responses.
	silent, requestsOnly bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[*proxyConn]struct{}{}}
	go p.accept(listener)
	return p, nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxyConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	go p.copy(c, client, server, false)
	p.copy(c, server, client, true)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

const proxyBufferBytes = 16 << 10

// copy forwards data in one direction; responses is true for data from the target.
func (p *proxy) copy(c *proxyConn, from, to net.Conn, responses bool) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && !errors.Is(err, io.EOF) {
				// A reset reaches the other side as one.
				_ = tcp.SetLinger(0)
			}
			return
		}
		p.mu.Lock()
		delay := max(p.delay, time.Until(p.pausedUntil))
		p.mu.Unlock()
		time.Sleep(delay)
		c.mu.Lock()
		drop := c.silent || c.requestsOnly && responses
		c.mu.Unlock()
		if drop {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// setDelay delays the forwarding of each block of data.
func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// forEachConn calls do with each open connection.
func (p *proxy) forEachConn(do func(c *proxyConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		do(c)
	}
}

// pause holds up all data for a while, as a sound server that falls silent does.
func (p *proxy) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = time.Now().Add(d)
}

// crash refuses new connections for a while.
func (p *proxy) crash(downTime time.Duration) {
	address := p.address()
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	time.AfterFunc(downTime, func() {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.listener = listener
		p.mu.Unlock()
		go p.accept(listener)
	})
}

// silence makes the open connections drop all data from now on; new ones work.
func (p *proxy) silence() {
	p.forEachConn(func(c *proxyConn) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.silent = true
	})
}

// dropResponses makes the open connections drop responses but forward requests.
func (p *proxy) dropResponses() {
	p.forEachConn(func(c *proxyConn) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.requestsOnly = true
	})
}

// reset closes the open connections with a TCP reset.
func (p *proxy) reset() {
	p.forEachConn(func(c *proxyConn) {
		if t, ok := c.client.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_, _ = c.client.Close(), c.server.Close()
	})
}
