package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/membudget"
)

// Buffer sizes of a connection. The header and a short body of a request fit in one
// write.
const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 8 << 10
)

// ErrClosedUnsent means that the connection failed before any byte of the request was
// written, so that the request has not run.
var ErrClosedUnsent = errors.New("connection failed before the request was sent")

// Conn is a connection to a backend server. Only one goroutine may use it at a time,
// except for Close.
type Conn struct {
	pool      *Pool
	address   string
	raw       net.Conn
	header    headerReader
	reader    *bufio.Reader
	writer    *bufio.Writer
	written   countingWriter
	opened    time.Time
	idleSince time.Time
	idleUntil time.Time
	// serverIdleLimit is the idle limit in the backend server's Keep-Alive header, 0 if
	// there is none.
	serverIdleLimit time.Duration
	reused          bool
	closed          atomic.Bool
}

// countingWriter counts the bytes written to the socket.
type countingWriter struct {
	raw net.Conn
	n   int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.raw.Write(p)
	w.n += int64(n)
	return n, err
}

func newConn(p *Pool, address string, raw net.Conn) *Conn {
	c := &Conn{pool: p, address: address, raw: raw, opened: time.Now()}
	c.written.raw = raw
	c.header.raw = raw
	c.reader = bufio.NewReaderSize(&c.header, readBufferBytes)
	c.writer = bufio.NewWriterSize(&c.written, writeBufferBytes)
	return c
}

// Reused reports whether Get took the connection from the pool instead of opening it.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection. It may be called more than once and concurrently.
func (c *Conn) Close() {
	if !c.closed.Swap(true) {
		_ = c.raw.Close()
	}
}

// Unused returns the connection to the pool. Nothing may have been sent over it since Get.
func (c *Conn) Unused() { c.pool.put(c) }

// healthy reports whether an idle connection is open and has no bytes pending. Bytes
// after a complete response belong to no request.
func (c *Conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = e == syscall.EAGAIN
		return true
	})
	return err == nil && healthy
}

// Response is the response of a backend server. The caller must either read the body to
// its end and then call Release, or call Abandon.
type Response struct {
	*http.Response
	conn *Conn
	stop func() bool
}

// Send writes a request and reads the header of the response. When ctx is done, the
// connection is closed. sent reports whether any byte was written to the socket.
func (c *Conn) Send(ctx context.Context, req *http.Request) (resp *Response, sent bool, err error) {
	stop := context.AfterFunc(ctx, c.Close)
	before := c.written.n
	writeErr := req.Write(c.writer)
	if writeErr == nil {
		writeErr = c.writer.Flush()
	}
	sent = c.written.n > before
	if writeErr != nil && !sent {
		stop()
		c.Close()
		return nil, false, eris.Wrap(ErrClosedUnsent, writeErr.Error())
	}
	// A backend server may refuse a long request before it has read all of it, so that
	// a response may be readable although the write failed.
	c.header.begin(c.pool.settings)
	response, err := http.ReadResponse(c.reader, req)
	for err == nil && interim(response) {
		response, err = http.ReadResponse(c.reader, req)
	}
	c.header.end()
	if err != nil {
		stop()
		c.Close()
		switch {
		case writeErr != nil:
			err = writeErr
		case c.header.err == nil:
			err = eris.Wrap(ErrInvalid, err.Error())
		}
		return nil, sent, eris.Wrap(err, "read the answer")
	}
	r := &Response{Response: response, conn: c, stop: stop}
	if !ValidStatus(response.StatusCode) {
		r.Abandon()
		return nil, sent, eris.Wrap(&StatusError{StatusCode: r.StatusCode, Header: r.Header}, "read the answer")
	}
	if writeErr != nil {
		response.Close = true
		if !r.Framed() {
			response.Body = &unfinishedBody{ReadCloser: response.Body, cause: writeErr}
		}
	}
	c.readKeepAlive(response.Header)
	return r, sent, nil
}

// readKeepAlive sets the idle limit from the Keep-Alive header of a response.
func (c *Conn) readKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			c.serverIdleLimit = max(time.Duration(seconds)*time.Second, time.Millisecond)
		}
	}
}

// Release returns the connection to the pool after the body was read to its end. It
// closes the connection instead if the server announced that, if the context is done,
// if only the end of the connection marks the end of the body, or if further bytes are
// pending.
func (r *Response) Release() {
	live := r.stop()
	if !live || r.Response.Close || !r.Framed() || r.conn.reader.Buffered() > 0 || r.conn.closed.Load() {
		r.conn.Close()
		return
	}
	r.conn.pool.put(r.conn)
}

func (r *Response) chunked() bool {
	return len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
}

// Framed reports whether the end of the body is marked other than by the end of the
// connection. An unframed body is not known to be complete.
func (r *Response) Framed() bool { return r.ContentLength >= 0 || r.chunked() || r.bodiless() }

// bodiless reports whether the status or the method of the request rules out a body.
func (r *Response) bodiless() bool {
	return r.StatusCode == http.StatusNoContent || r.StatusCode == http.StatusNotModified ||
		r.Request != nil && r.Request.Method == http.MethodHead
}

// FirstOnConnection reports whether no earlier request was sent over the connection, so
// that the response cannot be a late copy of an earlier one.
func (r *Response) FirstOnConnection() bool { return !r.conn.reused }

// Abandon closes the connection instead of returning it to the pool.
func (r *Response) Abandon() {
	r.stop()
	r.conn.Close()
}

// firstReadBytes is the size of the first buffer for a body, which holds most bodies.
const firstReadBytes = 4 << 10

// ReadAll reads the body, which may have at most limit bytes. The lease pays for the buffer;
// it keeps what the returned body uses.
func (r *Response) ReadAll(limit int64, memory *membudget.Lease) ([]byte, error) {
	largest := limit + 1
	if r.ContentLength >= 0 {
		// The last byte is for the read that returns io.EOF.
		largest = min(largest, r.ContentLength+1)
	}
	var body []byte
	fail := func(err error) ([]byte, error) {
		memory.Shrink(int64(cap(body)))
		return nil, eris.Wrap(err, "read the answer's body")
	}
	for {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), firstReadBytes), largest)
			if size == int64(cap(body)) {
				return fail(eris.Errorf("the response is larger than %d bytes", limit))
			}
			grown, err := memory.GrowBuffer(body, size)
			if err != nil {
				return fail(err)
			}
			body = grown
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) > limit {
			return fail(eris.Errorf("the response is larger than %d bytes", limit))
		}
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return fail(err)
		}
	}
}

// Discard reads the body to its end without keeping it. It may have at most limit bytes.
func (r *Response) Discard(limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, limit+1))
	if err != nil {
		return eris.Wrap(err, "read the answer's body")
	}
	if n > limit {
		return eris.Errorf("the response is larger than %d bytes", limit)
	}
	return nil
}
