package platformsoak

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to a target and misbehaves on request.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	delay time.Duration
	conns map[*proxied]struct{}
}

type proxied struct {
	client, server net.Conn
	mu             sync.Mutex
	// silent connections carry nothing any more; oneWay ones carry no answers.
	silent, oneWay bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[*proxied]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
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
	c := &proxied{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	go p.copy(c, client, server, false)
	p.copy(c, server, client, true)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

const proxyBuffer = 16 << 10

func (p *proxy) copy(c *proxied, from, to net.Conn, answers bool) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		c.mu.Lock()
		drop := c.silent || c.oneWay && answers
		c.mu.Unlock()
		if drop {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// each does something with the open connections.
func (p *proxy) each(do func(c *proxied)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		do(c)
	}
}

// silence makes the open connections carry nothing for good; new ones work.
func (p *proxy) silence() {
	p.each(func(c *proxied) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.silent = true
	})
}

// loseAnswers makes the open connections carry requests only.
func (p *proxy) loseAnswers() {
	p.each(func(c *proxied) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.oneWay = true
	})
}

func (p *proxy) reset() {
	p.each(func(c *proxied) {
		if t, ok := c.client.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_, _ = c.client.Close(), c.server.Close()
	})
}
