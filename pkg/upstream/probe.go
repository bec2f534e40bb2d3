package upstream

import (
	"context"
	"errors"
	"syscall"
)

// Refuses opens a connection to an address and reports whether the address refused it,
// as it does while no server listens there. An established connection is kept for the
// next request.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	p.put(newConn(p, address, raw))
	return false
}
