package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// attemptID returns a new id of a client attempt.
func attemptID() string { return fmt.Sprintf("9c41d07b%08x", attempts.Add(1)) }

// answer is what a client got to one attempt.
type answer struct {
	attempt string
	sentAt  time.Time
	status  int
	header  http.Header
	body    string
	// framed is set if a length or chunks mark the end of the body.
	framed bool
	// err is nil if the answer ended in good order.
	err error
}

// client sends one request after the other on a kept connection.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// dialTimeout is the time that clients allow a new connection.
const dialTimeout = time.Second

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request with a body and reads the answer.
func (c *client) send(method, target, body string, deadline time.Duration) answer {
	a := answer{attempt: attemptID()}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	a.sentAt = time.Now()
	_ = c.conn.SetDeadline(a.sentAt.Add(deadline + time.Second))
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nAuthorization: Token %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, target, hostName, a.attempt, key, deadline.Milliseconds(), len(body), body)
	if _, a.err = io.WriteString(c.conn, request); a.err != nil {
		c.close()
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	a.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	raw, err := io.ReadAll(resp.Body)
	a.body, a.err = string(raw), err
	if err != nil || resp.Close || !a.framed {
		c.close()
	}
	return a
}

// events returns the number of whole events in a body.
func (a answer) events() int { return strings.Count(a.body, "\n\n") }
