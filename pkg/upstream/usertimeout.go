package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for a net.Dialer that sets
// TCP_USER_TIMEOUT, after which data that is not acknowledged closes a connection.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
