package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"redwingloft/internal/helper/metric"
)

// IdleCloser closes callers' connections that exceed the idle timeout of the routing document,
// which may change while connections are open. It closes none on which a request has begun to
// arrive. Set the exported fields before use.
type IdleCloser struct {
	// Timeout returns the idle timeout; 0 means no timeout.
	Timeout func() time.Duration
	Metrics *metric.Set

	mu sync.Mutex
	// open holds the connections of Listener that are not closed.
	open map[*callerConn]struct{}
}

// Listener returns a listener whose connections are tracked. Track must be the ConnState callback
// of its server.
func (i *IdleCloser) Listener(l net.Listener) net.Listener { return &trackedListener{l, i} }

type trackedListener struct {
	net.Listener
	closer *IdleCloser
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &callerConn{Conn: c}
	l.closer.mu.Lock()
	defer l.closer.mu.Unlock()
	if l.closer.open == nil {
		l.closer.open = map[*callerConn]struct{}{}
	}
	l.closer.open[tracked] = struct{}{}
	return tracked, nil
}

// Track records a connection's state.
func (i *IdleCloser) Track(c net.Conn, state http.ConnState) {
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
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.open, tracked)
	}
}

// Sweep closes the connections that have exceeded the idle timeout. A shorter timeout applies to
// connections that become idle after the change: callers may still rely on the one before.
func (i *IdleCloser) Sweep(now time.Time) {
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
func (i *IdleCloser) CloseIdle(ctx context.Context) {
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

func (i *IdleCloser) connections() []*callerConn {
	i.mu.Lock()
	defer i.mu.Unlock()
	list := make([]*callerConn, 0, len(i.open))
	for c := range i.open {
		list = append(list, c)
	}
	return list
}

// callerConn is a connection that expires by its read deadline. A read either returns bytes of a
// request or fails at the deadline, so that no request is read from a connection that is closed.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// betweenRequests is true from the end of a request until the header of the next one is complete.
	betweenRequests bool
	// idleSince is the end of the last request; zero once bytes of the next one were read.
	idleSince time.Time
	// timeout is the idle timeout at idleSince.
	timeout time.Duration
	// expired is set while the read deadline lies in the past; readDeadline is then the one that the
	// server has set.
	expired      bool
	readDeadline time.Time
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received()
	}
	return n, err
}

// received records that bytes of a request were read. They may have been read just before the
// connection expired.
func (c *callerConn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	c.revive()
}

// revive restores the read deadline of an expired connection. The caller holds mu.
func (c *callerConn) revive() {
	if !c.expired {
		return
	}
	c.expired = false
	// An error means that the connection is closed, which the next read reports.
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *callerConn) becomeIdle(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.betweenRequests, c.idleSince, c.timeout = true, time.Now(), timeout
}

func (c *callerConn) becomeActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.betweenRequests, c.idleSince = false, time.Time{}
	// The whole header may have been read together with the request before.
	c.revive()
}

func (c *callerConn) isBetweenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.betweenRequests
}

// expire ends the reading of an idle connection that due selects, upon which the server closes it.
// It reports whether it did.
func (c *callerConn) expire(due func(idleSince time.Time, timeout time.Duration) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || c.expired || !due(c.idleSince, c.timeout) {
		return false
	}
	c.expired = true
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}
