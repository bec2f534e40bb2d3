// Package loopback chooses free loopback addresses for hosts that tests, soak tests and
// demos start on one machine.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// The ports are below the usual range of ephemeral ports. A port in that range could be
// taken by an outgoing connection, or chosen twice, before the host listens on it or
// while the host is down.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portCounter starts at a random value, so that concurrent processes rarely choose the
// same ports.
var portCounter atomic.Uint32

func init() { portCounter.Store(rand.Uint32N(portCount)) }

// Addresses returns n addresses on which nothing listens at the moment. A process gets no
// address twice before it has gone through all ports.
func Addresses(n int) ([]string, error) {
	var addresses []string
	for range portCount {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portCounter.Add(1)%portCount)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, eris.Wrap(err, "close the listener on a chosen port")
		}
		addresses = append(addresses, address)
	}
	return nil, eris.New("no free ports")
}

// Address returns one address, as Addresses does.
func Address() (string, error) {
	addresses, err := Addresses(1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}
