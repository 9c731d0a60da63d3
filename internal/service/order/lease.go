package order

import (
	"context"
	"sync"
	"time"

	"redwingloft/internal/data/store"
)

const (
	// leasePeriod is the time for which a host attaches records to one lease. A lease
	// lives for longer than the retention by one period, so each record lives for the
	// retention.
	leasePeriod = time.Hour
	// leaseSlack covers the time between the choice of a lease and the write, as in a
	// host that is paused in between; an order is sent only within its deadline of at
	// most 10 minutes.
	leaseSlack = 30 * time.Minute
)

// lease is the lease of the records that this host writes. The zero value has none yet.
type lease struct {
	mu sync.Mutex
	id store.LeaseID
	// granted is the time before the request of the lease, by the monotonic clock.
	granted time.Time
	// pending is closed when the grant under way has ended; nil means that none is.
	pending chan struct{}
}

// get returns a lease that lives for at least the retention, and grants one where needed.
func (l *lease) get(ctx context.Context, d *Desk) (store.LeaseID, error) {
	for {
		l.mu.Lock()
		if l.id != 0 && d.now().Sub(l.granted) < leasePeriod {
			defer l.mu.Unlock()
			return l.id, nil
		}
		wait := l.pending
		if wait == nil {
			l.pending = make(chan struct{})
			l.mu.Unlock()
			return l.grant(ctx, d)
		}
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return 0, store.ErrUnavailable.Wrap(ctx.Err(), "no lease was granted in time")
		}
	}
}

func (l *lease) grant(ctx context.Context, d *Desk) (store.LeaseID, error) {
	start := d.now()
	id, err := d.claims.Grant(ctx, d.retention()+leasePeriod+leaseSlack)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.id, l.granted = id, start
		d.count("leases")
	}
	close(l.pending)
	l.pending = nil
	return id, err
}

// forget drops a lease that the service no longer knows.
func (l *lease) forget(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
