package memory

import (
	"context"
	"sync"
	"time"
)

// Lease collects what is reserved for one request in progress, until it ends. A nil Lease reserves nothing and
// has no limit. It is safe for concurrent use.
type Lease struct {
	account *Account

	mu   sync.Mutex
	size int64
	// ended is set by Release; nothing is reserved from then on.
	ended bool
}

// NewLease returns an empty lease.
func (a *Account) NewLease() *Lease { return &Lease{account: a} }

// Reserve reserves further bytes. It returns ErrFull if there is no room for them.
func (l *Lease) Reserve(size int64) error {
	if l == nil || l.account == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil
	}
	if !l.account.Reserve(size, time.Now()) {
		return ErrFull
	}
	l.size += size
	return nil
}

// Release returns all bytes of the lease.
func (l *Lease) Release() {
	if l == nil || l.account == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.account.Return(l.size)
	l.size = 0
}

type leaseKey struct{}

// WithLease returns a context that carries a lease.
func WithLease(ctx context.Context, l *Lease) context.Context {
	return context.WithValue(ctx, leaseKey{}, l)
}

// LeaseOf returns the lease of a context, or nil.
func LeaseOf(ctx context.Context) *Lease {
	l, _ := ctx.Value(leaseKey{}).(*Lease)
	return l
}
