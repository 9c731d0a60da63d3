package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/memory"
)

// ConnTracker closes callers' connections that exceed the idle timeout of the routing document,
// which may change while connections are open, and bounds their number. It closes none on which a
// request is being served. Set the exported fields before use.
type ConnTracker struct {
	// Timeout returns the idle timeout; 0 means no timeout.
	Timeout func() time.Duration
	Metrics *metric.Set
	// MaxConns bounds the open connections; 0 means no limit.
	MaxConns int
	// Stall is how long a body may not arrive until its connection is closed if there are too many.
	Stall time.Duration
	// Memory accounts for long request heads; it may be nil.
	Memory *memory.Account
	// Refusals logs the connections that are closed because there are too many.
	Refusals *RefusalLog

	mu sync.Mutex
	// open holds the connections of Listener that are not closed.
	open map[*callerConn]struct{}
	// refused counts the connections that are open only until their callers have read a refusal.
	refused int
}

// Track records a connection's state.
func (i *ConnTracker) Track(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		tracked.becomeIdle(i.Timeout())
	case http.StateActive:
		tracked.becomeActive()
	case http.StateClosed, http.StateHijacked:
		tracked.releaseHead()
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.open, tracked)
	}
}

// Sweep closes the connections that have exceeded the idle timeout. A shorter timeout applies to
// connections that become idle after the change: callers may still rely on the one before.
func (i *ConnTracker) Sweep(now time.Time) {
	limit := i.Timeout()
	if limit <= 0 {
		return
	}
	closed := 0
	for _, c := range i.connections() {
		if c.expire(func(idleSince time.Time, timeoutThen time.Duration) bool {
			return now.Sub(idleSince) > max(limit, timeoutThen)
		}) {
			closed++
		}
	}
	if closed > 0 && i.Metrics != nil {
		i.Metrics.Counter("caller.idle_closed").Inc(int64(closed))
	}
}

// closeIdlePollInterval is the interval at which CloseIdle checks the connections.
const closeIdlePollInterval = 2 * time.Millisecond

// CloseIdle closes all idle connections and waits, but not longer than ctx, until the requests that
// are being read are in progress. It is used once responses no longer keep their connections open.
func (i *ConnTracker) CloseIdle(ctx context.Context) {
	ticker := time.NewTicker(closeIdlePollInterval)
	defer ticker.Stop()
	for {
		waiting := false
		for _, c := range i.connections() {
			c.expire(func(time.Time, time.Duration) bool { return true })
			waiting = waiting || c.isBetweenRequests()
		}
		if !waiting {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (i *ConnTracker) connections() []*callerConn {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := make([]*callerConn, 0, len(i.open))
	for c := range i.open {
		list = append(list, c)
	}
	return list
}
