package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for a net.Dialer that sets TCP_USER_TIMEOUT,
// after which the kernel closes a connection with unacknowledged data.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockErr
	}
}
