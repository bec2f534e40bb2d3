package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport is an http.Transport that returns no invalid responses: a final status outside
// 200 to 599 is a StatusError, and the end of a connection does not mark the end of a body
// if the request could not be written completely.
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport that uses base, whose DialContext it replaces. Hooks of
// package httptrace get connections whose method NetConn returns the one that the former
// DialContext opened.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &uploadConn{Conn: raw, closed: make(chan struct{})}, nil
	}
	return &Transport{Transport: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var current atomic.Pointer[requestWrite]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			w := &requestWrite{done: make(chan struct{})}
			if conn := findUploadConn(info.Conn); conn != nil {
				conn.request.Store(w)
			}
			current.Store(w)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if w := current.Load(); w != nil {
				w.end.Do(func() { close(w.done) })
			}
		},
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if !ValidStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, &StatusError{StatusCode: resp.StatusCode, Header: resp.Header}
	}
	return resp, nil
}

// requestWrite is the write of a request by net/http.
type requestWrite struct {
	end  sync.Once
	done chan struct{}
}

// uploadConn is a connection whose end is an error if a request could not be written to it
// completely. net/http reads a response while it writes the request: a write that fails takes
// the pending error of the socket, so that a reset is then read as the end of the stream.
type uploadConn struct {
	net.Conn
	// request is the write of the latest request.
	request atomic.Pointer[requestWrite]
	closed  chan struct{}
	closing sync.Once
	// writing is held during a write. It guards writeErr, the error of a failed write.
	writing  sync.Mutex
	writeErr error
}

// findUploadConn returns the connection of that type within another one, nil if there is
// none.
func findUploadConn(conn net.Conn) *uploadConn {
	for {
		if c, ok := conn.(*uploadConn); ok {
			return c
		}
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapped.NetConn()
	}
}

// NetConn returns the underlying connection.
func (c *uploadConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *uploadConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *uploadConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if failure := c.awaitRequest(); failure != nil {
			err = unfinished(failure)
		}
	}
	return n, err
}

// awaitRequest waits until the latest request is written, and returns the error of a failed
// write. The server may end its response before it has read the request.
func (c *uploadConn) awaitRequest() error {
	if w := c.request.Load(); w != nil {
		select {
		case <-w.done:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// Close implements net.Conn.
func (c *uploadConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
