package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds a new connection; upstreams are at most a region away.
	dialTimeout = 500 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 64
	// idleTimeout bounds the time for which a connection stays idle.
	idleTimeout = 30 * time.Second
)

// pool holds the connections of one instance. The zero value works.
type pool struct {
	mu sync.Mutex
	// current takes new attempts; nil until the first one.
	current *generation
	// probing is true while a stall of the instance is examined.
	probing atomic.Bool
}

// generation is one transport of an upstream with the attempts on it.
type generation struct {
	transport *http.Transport

	mu       sync.Mutex
	attempts map[*running]struct{}
	conns    map[*connection]struct{}
}

// join adds an attempt to the current generation, which it makes where there is none.
func (p *pool) join(r *running) *generation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		p.current = newGeneration(r.now)
	}
	p.current.mu.Lock()
	defer p.current.mu.Unlock()
	p.current.attempts[r] = struct{}{}
	return p.current
}

// retire ends a generation with every attempt on it. The next attempt makes a new one.
func (p *pool) retire(g *generation, cause error) {
	p.mu.Lock()
	if p.current == g {
		p.current = nil
	}
	p.mu.Unlock()
	g.retire(cause)
}

// closeIdle closes the connections that no attempt uses.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.current.transport.CloseIdleConnections()
	}
}

func newGeneration(now func() time.Time) *generation {
	g := &generation{attempts: map[*running]struct{}{}, conns: map[*connection]struct{}{}}
	dialer := &net.Dialer{Timeout: dialTimeout}
	g.transport = newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return g.track(raw, now), nil
	})
	return g
}

// newTransport keeps connections alive, also where it serves a single request:
// a request that asks to close makes the server answer "Connection: close",
// which would look like a part of a drain notice.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

func (g *generation) leave(r *running) {
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

// lively reports whether a connection that was open before opened has received
// data after recent. Such a connection shows that open connections work.
func (g *generation) lively(opened, recent time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.created.Before(opened) && c.lastRead().After(recent) {
			return true
		}
	}
	return false
}

// connection notes when it last received data.
type connection struct {
	net.Conn
	generation *generation
	now        func() time.Time
	created    time.Time
	// read is the time of the last data after created.
	read atomic.Int64
}

func (g *generation) track(raw net.Conn, now func() time.Time) *connection {
	c := &connection{Conn: raw, generation: g, now: now, created: now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	return c
}

// Read reads from the connection.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read.Store(int64(c.now().Sub(c.created)))
	}
	return n, err
}

// Close closes the connection.
func (c *connection) Close() error {
	c.generation.mu.Lock()
	delete(c.generation.conns, c)
	c.generation.mu.Unlock()
	return c.Conn.Close()
}

func (c *connection) lastRead() time.Time { return c.created.Add(time.Duration(c.read.Load())) }
