package peer

import (
	"net"
	"time"
)

// replyWriteTimeout bounds each write of a server, so that a connection that no
// longer carries data does not block its goroutines forever.
const replyWriteTimeout = 10 * time.Second

// writeDeadlineConn sets a deadline for each write. net/rpc writes requests in the
// goroutine of the caller, where a full send buffer would block without limit.
type writeDeadlineConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn.
func (c *writeDeadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
