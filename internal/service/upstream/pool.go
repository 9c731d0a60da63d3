package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"redwingloft/internal/helper/dial"
)

const (
	// dialTimeout limits the time to connect; upstreams are at most a region away.
	dialTimeout = 500 * time.Millisecond
	// maxIdleConns limits the idle connections to one upstream.
	maxIdleConns = 64
	// idleTimeout limits how long a connection stays idle.
	idleTimeout = 30 * time.Second
)

// pool holds the connections to one instance. The zero value is ready for use.
type pool struct {
	mu sync.Mutex
	// current is used by new attempts; nil until the first one.
	current *generation
	// probing is true while a stalled attempt of the instance is being checked.
	probing atomic.Bool
}

// generation is an HTTP transport to an upstream with the attempts that use it. If
// its connections go silent, it is replaced as a whole.
type generation struct {
	transport *http.Transport
	limit     *connLimit

	mu       sync.Mutex
	attempts map[*inFlight]struct{}
	conns    map[*connection]struct{}
}

// addAttempt adds an attempt to the current generation, creating one if necessary.
func (p *pool) addAttempt(r *inFlight, limit *connLimit) *generation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = newGeneration(r.now, limit)
		limit.add(p.current.transport)
	}
	p.current.mu.Lock()
	defer p.current.mu.Unlock()
	p.current.attempts[r] = struct{}{}
	return p.current
}

// retire cancels every attempt of a generation. The next attempt creates a new one.
func (p *pool) retire(g *generation, cause error) {
	p.mu.Lock()
	if p.current == g {
		p.current = nil
	}
	p.mu.Unlock()
	g.limit.remove(g.transport)
	g.retire(cause)
}

// closeIdle closes idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.current.transport.CloseIdleConnections()
	}
}

func newGeneration(now func() time.Time, limit *connLimit) *generation {
	g := &generation{limit: limit, attempts: map[*inFlight]struct{}{}, conns: map[*connection]struct{}{}}
	dialer := &net.Dialer{Timeout: dialTimeout, Control: dial.BoundReceived}
	g.transport = newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := limit.dial(ctx, dialer, network, address)
		if err != nil {
			return nil, err
		}
		return g.track(dial.ReportResets(raw), now), nil
	})
	return g
}

// newTransport keeps connections alive even if it is used for a single request: for
// a request that asks to close the connection, the server responds with
// "Connection: close", which would look like part of a drain notice.
func newTransport(connect func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext: connect, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: dial.MaxHeaderBytes,
	}
}

func (g *generation) removeAttempt(r *inFlight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.attempts, r)
}

func (g *generation) retire(cause error) {
	g.mu.Lock()
	for r := range g.attempts {
		r.cancel(cause)
	}
	g.mu.Unlock()
	g.transport.CloseIdleConnections()
}

// hasActiveConnection reports whether a connection that was opened before
// openedBefore has received data after readAfter, which shows that existing
// connections still work.
func (g *generation) hasActiveConnection(openedBefore, readAfter time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.created.Before(openedBefore) && c.lastReadTime().After(readAfter) {
			return true
		}
	}
	return false
}

// connection is a network connection that records when it last received data.
type connection struct {
	net.Conn
	generation *generation
	now        func() time.Time
	created    time.Time
	// lastReadOffset is the time from created to the last received data.
	lastReadOffset atomic.Int64
}

func (g *generation) track(raw net.Conn, now func() time.Time) *connection {
	c := &connection{Conn: raw, generation: g, now: now, created: now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	return c
}

// Read reads from the connection and records the time of received data.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReadOffset.Store(int64(c.now().Sub(c.created)))
	}
	return n, err
}

// Close closes the connection and removes it from its generation.
func (c *connection) Close() error {
	c.generation.mu.Lock()
	delete(c.generation.conns, c)
	c.generation.mu.Unlock()
	return c.Conn.Close()
}

func (c *connection) lastReadTime() time.Time {
	return c.created.Add(time.Duration(c.lastReadOffset.Load()))
}
