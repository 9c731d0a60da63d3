package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Idle closes callers' connections that are idle for longer than the routing document
// allows. The limit may change while connections are open.
type Idle struct {
	// Limit returns the longest idle time; 0 means no limit.
	Limit func() time.Duration

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// Track notes a change of a connection's state; it is the ConnState of a server.
func (i *Idle) Track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.since == nil {
		i.since = map[net.Conn]time.Time{}
	}
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// Sweep closes the connections that are idle for too long.
func (i *Idle) Sweep(now time.Time) {
	limit := i.Limit()
	if limit <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			delete(i.since, c)
			// A request that crosses the close was not read.
			_ = c.Close()
		}
	}
}
