// Package upstream pools connections to backend servers and sends one request at
// a time over each. It uses the codec of net/http but not its transport: the
// transport retries requests by itself and does not report whether any byte of a
// request was written. A gateway must know both to tell whether a failed request
// may have run.
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/membudget"
)

// Settings are the limits of connections to backend servers.
type Settings struct {
	// DialTimeout bounds the opening of a connection. Unit: duration. Default: 800ms,
	// which is below the shortest deadline of a plain service call.
	DialTimeout time.Duration
	// UserTimeout is the TCP_USER_TIMEOUT socket option, after which the kernel closes
	// a connection with unacknowledged data. Unit: duration. Default: 3s.
	UserTimeout time.Duration
	// IdleTimeout is the idle time after which a connection is closed. Unit: duration.
	// Default: 12s, since with many hosts and engines, a host sends to an engine only
	// every ten seconds.
	IdleTimeout time.Duration
	// MaxIdleNoRetry is the idle time up to which a connection is reused for a request
	// that must not be retried, since the server may have dropped a connection that was
	// idle for longer without notice. Unit: duration. Default: 2s.
	MaxIdleNoRetry time.Duration
	// KeepAliveShare is the fraction of the idle limit in a Keep-Alive header after
	// which a connection is closed. Default: 0.7.
	KeepAliveShare float64
	// MaxHeaderBytes bounds the header of a response, including the interim responses
	// before it. Unit: bytes. Default: 64 KiB, four times what callers may send.
	MaxHeaderBytes int
	// Memory pays for headers beyond their usual size. It may be nil.
	Memory *membudget.Budget
	// MaxIdleConnsPerAddress bounds the idle connections to one address. Default: 32.
	MaxIdleConnsPerAddress int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		DialTimeout:            800 * time.Millisecond,
		UserTimeout:            3 * time.Second,
		IdleTimeout:            12 * time.Second,
		MaxIdleNoRetry:         2 * time.Second,
		KeepAliveShare:         0.7,
		MaxHeaderBytes:         64 << 10,
		MaxIdleConnsPerAddress: 32,
	}
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	settings Settings
	dialer   net.Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
	// invalidatedAt has the time before which connections to an address count as
	// unreliable: those opened earlier are not reused.
	invalidatedAt map[string]time.Time
	opened        uint64
}

// NewPool returns an empty pool.
func NewPool(s Settings) *Pool {
	p := &Pool{settings: s, idle: map[string][]*Conn{}, invalidatedAt: map[string]time.Time{}}
	p.dialer = net.Dialer{Timeout: s.DialTimeout, KeepAlive: -1, Control: UserTimeout(s.UserTimeout)}
	return p
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Get returns an idle connection to the address or opens one. noRetry is set for a
// request that must not be retried.
func (p *Pool) Get(ctx context.Context, address string, noRetry bool) (*Conn, error) {
	now := time.Now()
	for {
		c := p.pop(address, now, noRetry)
		if c == nil {
			break
		}
		if c.healthy() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	return p.Open(ctx, address)
}

// Open opens a connection to the address. On it, no response can belong to a request that was
// sent before.
func (p *Pool) Open(ctx context.Context, address string) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "connect to backend server")
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(p, address, raw), nil
}

// pop removes and returns the most recently used connection that may be reused, nil if
// there is none.
func (p *Pool) pop(address string, now time.Time, noRetry bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		if noRetry && now.Sub(c.idleSince) > p.settings.MaxIdleNoRetry {
			// The remaining connections have been idle for longer.
			return nil
		}
		list[len(list)-1] = nil
		list = list[:len(list)-1]
		p.idle[address] = list
		if now.Before(c.idleUntil) && c.opened.After(p.invalidatedAt[address]) {
			return c
		}
		c.Close()
	}
	delete(p.idle, address)
	return nil
}

func (p *Pool) put(c *Conn) {
	now := time.Now()
	limit := p.settings.IdleTimeout
	if c.serverIdleLimit > 0 {
		limit = min(limit, time.Duration(p.settings.KeepAliveShare*float64(c.serverIdleLimit)))
	}
	c.idleSince, c.idleUntil = now, now.Add(limit)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if len(list) >= p.settings.MaxIdleConnsPerAddress || !c.opened.After(p.invalidatedAt[c.address]) {
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// Invalidate closes the idle connections to an address, and those in use when they are
// returned to the pool: after one of them has stopped responding, the others may have
// as well. It returns the number of idle connections that it closed.
func (p *Pool) Invalidate(address string) int {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.invalidatedAt[address] = time.Now()
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
	return len(list)
}

// Sweep closes connections that have been idle for too long, and drops invalidations that
// are older than a minute.
func (p *Pool) Sweep(now time.Time) {
	var old []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	for address, at := range p.invalidatedAt {
		if now.Sub(at) > time.Minute {
			delete(p.invalidatedAt, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*Conn{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.Close()
		}
	}
}
