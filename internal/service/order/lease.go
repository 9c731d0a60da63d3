package order

import (
	"context"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

const (
	// leaseUsePeriod is how long a host attaches new records to one lease. The lease outlives
	// the retention by this period, so that each record is kept for the retention.
	leaseUsePeriod = time.Hour
	// leaseMargin covers the time between the choice of a lease and the write, for example if
	// the host is paused in between. An order is sent only within its deadline of at most 10
	// minutes.
	leaseMargin = 30 * time.Minute
)

// lease is the lease to which this host attaches its records. The zero value requests one on
// first use.
type lease struct {
	mu sync.Mutex
	id store.LeaseID
	// requestedAt is the time just before the lease was requested, by the monotonic clock.
	requestedAt time.Time
	// grantDone is closed when the current request for a lease ends; nil if there is none.
	grantDone chan struct{}
}

// get returns a lease that lives at least for the retention, and requests a new one if needed.
func (l *lease) get(ctx context.Context, c *Coordinator) (store.LeaseID, error) {
	for {
		l.mu.Lock()
		if l.id != 0 && c.now().Sub(l.requestedAt) < leaseUsePeriod {
			defer l.mu.Unlock()
			return l.id, nil
		}
		wait := l.grantDone
		if wait == nil {
			l.grantDone = make(chan struct{})
			l.mu.Unlock()
			return l.grant(ctx, c)
		}
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return 0, store.ErrUnavailable.Wrap(ctx.Err(), "timed out waiting for a lease")
		}
	}
}

func (l *lease) grant(ctx context.Context, c *Coordinator) (store.LeaseID, error) {
	start := c.now()
	id, err := c.claims.Grant(ctx, c.retention()+leaseUsePeriod+leaseMargin)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.id, l.requestedAt = id, start
		c.count("leases")
	}
	close(l.grantDone)
	l.grantDone = nil
	return id, err
}

// invalidate discards a lease that the store no longer knows.
func (l *lease) invalidate(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
