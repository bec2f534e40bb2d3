// Package membudget bounds the memory that many requests use together for bytes from
// outside. A limit for each request is not enough: requests at a faulty server all reach
// theirs at the same time.
package membudget

import (
	"errors"
	"sync"
)

// ErrExhausted means that the bytes would exceed the budget.
var ErrExhausted = errors.New("the memory for bytes from outside is used up")

const (
	// SmallBytes is the size up to which a lease may use the whole budget. Usual bodies
	// are smaller, so that they are not refused beside a few that do not end.
	SmallBytes = 64 << 10
	// largeShare is the share of the budget that all leases together may have reached for
	// one of them to grow beyond SmallBytes.
	largeShare = 0.66
)

// Budget is a number of bytes that leases share. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// NewLease returns a lease without bytes. A nil budget gives leases without a limit.
func (b *Budget) NewLease() *Lease { return &Lease{budget: b} }

// Lease is the part of a budget that one request uses. Only one goroutine may use it at a
// time.
type Lease struct {
	budget *Budget
	held   int64
}

// Grow adds bytes to the lease. It must be called before the memory is allocated.
func (l *Lease) Grow(n int64) error {
	b := l.budget
	if b == nil {
		l.held += n
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limit
	if l.held+n > SmallBytes {
		limit = int64(largeShare * float64(b.limit))
	}
	if b.used+n > limit {
		return ErrExhausted
	}
	b.used += n
	l.held += n
	return nil
}

// GrowBuffer returns a copy of a buffer that the lease pays for, with a larger capacity. The
// old buffer is paid for until it is copied.
func (l *Lease) GrowBuffer(buf []byte, capacity int64) ([]byte, error) {
	if err := l.Grow(capacity); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, capacity), buf...)
	l.Shrink(int64(cap(buf)))
	return grown, nil
}

// Shrink returns bytes to the budget.
func (l *Lease) Shrink(n int64) {
	n = min(n, l.held)
	l.held -= n
	if l.budget == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.used -= n
}

// Free returns all bytes to the budget.
func (l *Lease) Free() { l.Shrink(l.held) }
