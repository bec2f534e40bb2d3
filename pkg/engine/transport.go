package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingpath/redwingpath/pkg/upstream"
)

// TransportSettings holds the limits of connections to backend servers.
type TransportSettings struct {
	// DialTimeout bounds the establishment of a connection. Unit: duration. Default: 1s.
	DialTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT: a connection is closed when sent data
	// stays unacknowledged for that long. Unit: duration. Default: 5s.
	UserTimeout time.Duration
	// KeepAliveIdle is the idle time before the first TCP keep-alive probe.
	// Unit: duration. Default: 5s.
	KeepAliveIdle time.Duration
	// KeepAliveInterval is the time between probes. Unit: duration. Default: 2s.
	KeepAliveInterval time.Duration
	// KeepAliveCount is the number of unanswered probes after which a connection
	// is closed.
	// Unit: probes. Default: 3.
	KeepAliveCount int
	// IdlePerBackend bounds the pooled connections of one backend server.
	// Unit: connections. Default: 64.
	IdlePerBackend int
	// IdleTimeout is the idle time after which a pooled connection is closed. Unit: duration. Default: 60s.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the response header. Unit: bytes. Default: 32768.
	MaxHeaderBytes int64
}

// DefaultTransportSettings returns the defaults.
func DefaultTransportSettings() TransportSettings {
	return TransportSettings{
		DialTimeout:       time.Second,
		UserTimeout:       5 * time.Second,
		KeepAliveIdle:     5 * time.Second,
		KeepAliveInterval: 2 * time.Second,
		KeepAliveCount:    3,
		IdlePerBackend:    64,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    32 * 1024,
	}
}

// RetryMode selects whether net/http may retry a call on its own.
type RetryMode int

// Modes of Transports.Do.
const (
	// RetryIdempotent is for idempotent calls: they use pooled connections, and
	// net/http may send them again when a reused connection fails.
	RetryIdempotent RetryMode = iota
	// RetryUnsent calls use pooled connections, and net/http sends them again
	// only when no byte of them was written. Other retries are left to the
	// caller, which must know of each: a chat request may have crashed the
	// engine that read it.
	RetryUnsent
	// SendOnce calls use a new connection each and are never retried by net/http.
	SendOnce
)

// Transports opens, pools and discards connections to backend servers.
type Transports struct {
	settings TransportSettings
	dialer   net.Dialer
	pooled   *upstream.Transport
	unpooled *upstream.Transport

	mu       sync.Mutex
	backends map[string]*backendConns
}

// NewTransports returns transports without open connections.
func NewTransports(s TransportSettings) *Transports {
	t := &Transports{settings: s, backends: make(map[string]*backendConns)}
	t.dialer = net.Dialer{
		Timeout: s.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     s.KeepAliveIdle,
			Interval: s.KeepAliveInterval,
			Count:    s.KeepAliveCount,
		},
		Control: upstream.UserTimeout(s.UserTimeout),
	}
	t.pooled = upstream.NewTransport(t.newTransport())
	unpooled := t.newTransport()
	unpooled.DisableKeepAlives = true
	t.unpooled = upstream.NewTransport(unpooled)
	return t
}

// newTransport sets DialContext without ForceAttemptHTTP2, which keeps net/http
// on HTTP/1.1, so that a connection carries one call at a time.
func (t *Transports) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            t.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    t.settings.IdlePerBackend,
		IdleConnTimeout:        t.settings.IdleTimeout,
		MaxResponseHeaderBytes: t.settings.MaxHeaderBytes,
	}
}

func (t *Transports) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.trackConn(raw, address), nil
}

// Do sends a request and returns the response. onSend is called before the first
// byte of the request is written; it is not called when no connection could be
// established. It runs in GotConn, the last hook before net/http writes:
// WroteHeaders follows after bytes may have been sent, so a failed write would
// look as if nothing had been sent.
func (t *Transports) Do(req *http.Request, retry RetryMode, onSend func()) (*http.Response, error) {
	var current atomic.Pointer[trackedConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn := findTrackedConn(info.Conn); conn != nil {
				conn.uses.Add(1)
				current.Store(conn)
			}
			if onSend != nil {
				onSend()
			}
		},
		PutIdleConn: func(error) {
			if conn := current.Load(); conn != nil {
				conn.release()
			}
		},
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	switch retry {
	case SendOnce:
		// Without GetBody net/http cannot rewind the body, and it retries only
		// on reused connections.
		req.GetBody = nil
		return t.unpooled.RoundTrip(req)
	case RetryUnsent:
		req.GetBody = nil
		return t.pooled.RoundTrip(req)
	}
	// The header key without a value marks the request as idempotent for net/http
	// and is not sent.
	req.Header["X-Idempotency-Key"] = nil
	return t.pooled.RoundTrip(req)
}

// CloseIdle closes all pooled connections.
func (t *Transports) CloseIdle() {
	t.pooled.CloseIdleConnections()
	t.unpooled.CloseIdleConnections()
}
