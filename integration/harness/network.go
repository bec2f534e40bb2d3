package harness

import (
	"sync"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Link is a group of connections of a host that can be cut together.
type Link string

// Links of a host.
const (
	LinkLog      Link = "log"      // to the platform's log
	LinkPlatform Link = "platform" // to the platform's other interfaces
	LinkPeers    Link = "peers"    // to and from other hosts
)

// Links lists all links of a host.
var Links = []Link{LinkLog, LinkPlatform, LinkPeers}

// Direction is a direction of traffic as seen from the host.
type Direction string

// Directions of a cut.
const (
	Both Direction = "both"
	In   Direction = "in"
	Out  Direction = "out"
)

// FailureMode is the failure mode of a cut connection.
type FailureMode string

// Failure modes of cut connections.
const (
	// Silent connections stay open but carry no data, as when packets are lost.
	Silent FailureMode = "silent"
	// Reset connections are reset, and so are new ones as soon as they open.
	Reset FailureMode = "reset"
)

// endpoint is a host's side of a link.
type endpoint struct {
	host model.HostID
	link Link
}

// cutState describes the cut of an endpoint.
type cutState struct {
	in, out bool
	reset   bool
}

// network holds the cuts of all links. Proxies consult it before they forward data.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	cuts    map[endpoint]cutState
	conns   map[*proxyConn]struct{}
	closed  bool
}

func newNetwork() *network {
	n := &network{cuts: map[endpoint]cutState{}, conns: map[*proxyConn]struct{}{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

func (n *network) cut(e endpoint, d Direction, m FailureMode) {
	n.mu.Lock()
	s := n.cuts[e]
	s.in = s.in || d != Out
	s.out = s.out || d != In
	s.reset = s.reset || m == Reset
	n.cuts[e] = s
	broken := n.connsToReset()
	n.changed.Broadcast()
	n.mu.Unlock()
	for _, c := range broken {
		c.close()
	}
}

func (n *network) heal(e endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, e)
	n.changed.Broadcast()
}

// connsToReset lists the connections that the cuts reset. The caller holds the lock.
func (n *network) connsToReset() []*proxyConn {
	var broken []*proxyConn
	for c := range n.conns {
		if n.isReset(c) {
			broken = append(broken, c)
		}
	}
	return broken
}

func (n *network) isReset(c *proxyConn) bool {
	return n.cuts[c.from].reset || n.cuts[c.to].reset
}

// blocked reports whether data between two endpoints is cut. The caller holds the lock.
func (n *network) blocked(from, to endpoint) bool {
	return n.cuts[from].out || n.cuts[to].in
}

// wait blocks while data between two endpoints is cut; it reports false if the
// connection was closed in the meantime.
func (n *network) wait(c *proxyConn, from, to endpoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.blocked(from, to) && !c.closed && !n.closed {
		n.changed.Wait()
	}
	return !c.closed && !n.closed
}

// add registers a connection; it reports false if a cut resets it at once.
func (n *network) add(c *proxyConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.isReset(c) {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

func (n *network) remove(c *proxyConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c.closed = true
	delete(n.conns, c)
	n.changed.Broadcast()
}

func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	var open []*proxyConn
	for c := range n.conns {
		open = append(open, c)
	}
	n.changed.Broadcast()
	n.mu.Unlock()
	for _, c := range open {
		c.close()
	}
}
