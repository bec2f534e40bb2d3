package callers

import (
	"net"
	"os"

	"github.com/rotisserie/eris"
)

// trackFD turns the file descriptor of an accepted socket into a tracked connection.
func (s *Server) trackFD(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "caller")
	c, err := net.FileConn(file)
	if closed := file.Close(); err == nil && closed != nil {
		err = closed
	}
	if err != nil {
		return nil, eris.Wrap(err, "create a connection from an accepted socket")
	}
	return s.track(c.(*net.TCPConn))
}
