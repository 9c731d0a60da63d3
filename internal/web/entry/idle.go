package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// IdleCloser closes callers' connections that exceed the idle timeout of the routing
// document. The timeout may change while connections are open.
type IdleCloser struct {
	// Timeout returns the idle timeout; 0 means no timeout.
	Timeout func() time.Duration

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// Track records a connection's state; it is the ConnState callback of an http.Server.
func (i *IdleCloser) Track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.idleSince == nil {
		i.idleSince = map[net.Conn]time.Time{}
	}
	if state == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// Sweep closes the connections that have exceeded the idle timeout.
func (i *IdleCloser) Sweep(now time.Time) {
	limit := i.Timeout()
	if limit <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.idleSince {
		if now.Sub(since) > limit {
			delete(i.idleSince, c)
			// A request that arrives during the close is not read.
			_ = c.Close()
		}
	}
}
