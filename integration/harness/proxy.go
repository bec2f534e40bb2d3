package harness

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// proxy forwards TCP connections to a target unless a cut blocks them.
type proxy struct {
	listener net.Listener
	network  *network
	target   string
	// to is the endpoint behind the target.
	to endpoint
	// from returns the endpoint that opened a connection.
	from func(net.Conn) endpoint
}

// startProxy starts a proxy on a free loopback port.
func startProxy(n *network, target string, to endpoint, from func(net.Conn) endpoint) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for proxied connections")
	}
	p := &proxy{listener: l, network: n, target: target, to: to, from: from}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// proxyConn is one proxied connection.
type proxyConn struct {
	network        *network
	client, server net.Conn
	from, to       endpoint
	// closed is guarded by the network's lock.
	closed bool
	once   sync.Once
}

func (p *proxy) serve(client net.Conn) {
	c := &proxyConn{network: p.network, client: client, from: p.from(client), to: p.to}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(client)
		return
	}
	c.server = server
	if !p.network.add(c) {
		c.close()
		return
	}
	go c.copy(server, client, c.to, c.from)
	c.copy(client, server, c.from, c.to)
}

const copyBufferBytes = 32 << 10

// copy forwards data in one direction. Data for a cut direction is held back, like
// unacknowledged packets, and delivered late if the cut is healed.
func (c *proxyConn) copy(src, dst net.Conn, from, to endpoint) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !c.forward(dst, buffer[:n], from, to) {
			return
		}
		if err != nil {
			c.propagateClose(from, to)
			return
		}
	}
}

func (c *proxyConn) forward(dst net.Conn, data []byte, from, to endpoint) bool {
	if !c.network.wait(c, from, to) {
		return false
	}
	if _, err := dst.Write(data); err != nil {
		c.close()
		return false
	}
	return true
}

// propagateClose closes the other side too, unless a cut hides the close from it.
func (c *proxyConn) propagateClose(from, to endpoint) {
	if c.network.wait(c, from, to) {
		c.close()
	}
}

func (c *proxyConn) close() {
	c.once.Do(func() {
		c.network.remove(c)
		reset(c.client)
		if c.server != nil {
			reset(c.server)
		}
	})
}

// reset closes a connection with a TCP reset, so that the peer notices at once.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
