// Package loopback picks loopback addresses for hosts that tests, soaks and demos
// start on one machine.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Ports are below the usual range of ephemeral ports: a port in that range could be
// taken by an outgoing connection, or given twice, between its choice and the start
// of the host, or while the host is down.
const (
	firstPort = 10_000
	portCount = 20_000
)

// nextPort begins at random, so that processes that run at a time rarely meet.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// Addresses picks addresses on which nothing listens now. No address is given twice
// in a process until all ports were given.
func Addresses(n int) ([]string, error) {
	var addresses []string
	for range portCount {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, eris.Wrap(err, "give a port back")
		}
		addresses = append(addresses, address)
	}
	return nil, eris.New("no free ports")
}

// Address picks one address.
func Address() (string, error) {
	addresses, err := Addresses(1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}
