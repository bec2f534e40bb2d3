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

// TransportSettings are the limits of connections to backend servers.
type TransportSettings struct {
	// DialTimeout bounds the opening of a connection. Unit: duration. Default: 1s.
	DialTimeout time.Duration
	// UserTimeout is TCP_USER_TIMEOUT, after which unacknowledged data closes
	// a connection. Unit: duration. Default: 5s.
	UserTimeout time.Duration
	// KeepAliveIdle is the idle time before the first TCP keep-alive probe.
	// Unit: duration. Default: 5s.
	KeepAliveIdle time.Duration
	// KeepAliveInterval is the time between probes. Unit: duration. Default: 2s.
	KeepAliveInterval time.Duration
	// KeepAliveCount is the number of lost probes that closes a connection.
	// Unit: probes. Default: 3.
	KeepAliveCount int
	// IdlePerBackend bounds the pooled connections of one backend server.
	// Unit: connections. Default: 64.
	IdlePerBackend int
	// IdleTimeout closes pooled connections. Unit: duration. Default: 60s.
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

// Repeat tells whether a call may be sent again by the transport itself.
type Repeat int

// Modes of Transports.Do.
const (
	// RepeatSafe calls use pooled connections, and net/http may send them again
	// when a reused connection fails.
	RepeatSafe Repeat = iota
	// RepeatUnsent calls use pooled connections, and net/http sends them again
	// only when no byte of them was written. The caller decides on more: a chat
	// request that crashed an engine must not reach it again unseen.
	RepeatUnsent
	// SendOnce calls use a connection of their own, over which net/http never
	// sends anything twice.
	SendOnce
)

// Transports opens, pools and discards connections to backend servers.
type Transports struct {
	settings TransportSettings
	dialer   net.Dialer
	pooled   *http.Transport
	once     *http.Transport

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
	t.pooled = t.newTransport()
	t.once = t.newTransport()
	t.once.DisableKeepAlives = true
	return t
}

// newTransport sets DialContext without ForceAttemptHTTP2, which keeps net/http
// on HTTP/1.1: one connection carries one call at a time.
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
	return t.track(raw, address), nil
}

// Do sends a request and returns the response. onSend is called with no byte of
// the request written yet; it is not called when no connection could be had.
// GotConn is the last hook before net/http writes: WroteHeaders comes after
// bytes may have left, so a failed write would look like one that never began.
func (t *Transports) Do(req *http.Request, repeat Repeat, onSend func()) (*http.Response, error) {
	var current atomic.Pointer[trackedConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*trackedConn); ok {
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
	switch repeat {
	case SendOnce:
		// Without GetBody net/http has nothing to send a second time, and only
		// reused connections make it try.
		req.GetBody = nil
		return t.once.RoundTrip(req)
	case RepeatUnsent:
		req.GetBody = nil
		return t.pooled.RoundTrip(req)
	}
	// A key without a value marks the request as idempotent for net/http and is
	// not sent.
	req.Header["X-Idempotency-Key"] = nil
	return t.pooled.RoundTrip(req)
}

// CloseIdle closes all pooled connections.
func (t *Transports) CloseIdle() {
	t.pooled.CloseIdleConnections()
	t.once.CloseIdleConnections()
}
