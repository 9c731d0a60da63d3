// Package guard protects the listeners of a host from clients that don't send or read as they should: it
// bounds the connections of each listener, closes idle ones, and accounts for long request heads.
package guard

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/memory"
)

// Caller is the name of the listener of callers.
const Caller = "caller"

// Guard bounds the connections of a listener and closes those that exceed the idle timeout, which may
// change while connections are open. It closes none on which a complete request is being
// served. Set the exported fields before use.
type Guard struct {
	// Name is the name of the listener in logs.
	Name string
	// Timeout returns the idle timeout; 0 means no timeout. A nil Timeout is the same.
	Timeout func() time.Duration
	Metrics *metric.Set
	// MaxConns bounds the open connections; 0 means no limit.
	MaxConns int
	// Total bounds the connections of several guards together; it may be nil. Guaranteed is the number of
	// connections that this one may have nevertheless.
	Total      *Total
	Guaranteed int
	// Stall is how long bytes of a head or body may not arrive until their connection is closed if there are
	// too many.
	Stall time.Duration
	// Memory accounts for long request heads; it may be nil.
	Memory *memory.Account
	// Refusals logs the connections that are closed because there are too many.
	Refusals *RefusalLog
	// Encrypted is set if the connections use TLS, so that refused ones are closed without a response.
	Encrypted bool
	// SetRetryAfter sets the time to retry in the header of a refusal.
	SetRetryAfter func(header http.Header, wait time.Duration)

	// server is the server that the guard protects; nil if it was not passed to Protect.
	server *http.Server

	mu sync.Mutex
	// open holds the connections of Listener that are not closed.
	open map[*Conn]struct{}
	// refused counts the connections that are open only until their callers have read a refusal.
	refused int
}

// Protect makes a server use the guard. Its listener must be one of Listener.
func (g *Guard) Protect(server *http.Server) {
	server.ConnState, server.ConnContext = g.Track, ConnContext
	g.server = server
	server.Handler = g.handler(server.Handler)
}

// handler returns a handler that serves no request whose connection was closed while its head was read. A
// connection with pipelined requests is never idle, and so can't give way while it is open: if there are
// many connections, it is closed after the response.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r); c != nil {
			if c.isClosed() {
				panic(http.ErrAbortHandler)
			}
			if c.isPipelined() && g.isCrowded() {
				g.Metrics.Counter("clients.closed_pipelined").Inc(1)
				closeAfterResponse(w, r)
			}
			r = c.guardBody(r)
		}
		next.ServeHTTP(w, r)
	})
}

// mayMultiplex reports whether connections without TLS may use HTTP/2. The server is not changed once it runs.
func (g *Guard) mayMultiplex() bool {
	return g.server != nil && g.server.Protocols != nil && g.server.Protocols.UnencryptedHTTP2()
}

func (g *Guard) timeout() time.Duration {
	if g.Timeout == nil {
		return 0
	}
	return g.Timeout()
}

// Track records a connection's state.
func (g *Guard) Track(c net.Conn, state http.ConnState) {
	tracked := unwrap(c)
	if tracked == nil {
		return
	}
	if encrypted, ok := c.(*tls.Conn); ok && state == http.StateActive {
		tracked.setEncrypted(encrypted.ConnectionState().NegotiatedProtocol == "h2")
	}
	switch state {
	case http.StateIdle:
		tracked.becomeIdle(g.timeout())
	case http.StateActive:
		tracked.becomeActive()
	case http.StateClosed, http.StateHijacked:
		tracked.releaseHead()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.remove(tracked)
	}
}

// Sweep closes the connections that have exceeded the idle timeout. A shorter timeout applies to
// connections that become idle after the change: callers may still rely on the one before.
func (g *Guard) Sweep(now time.Time) {
	limit := g.timeout()
	if limit <= 0 {
		return
	}
	closed := 0
	for _, c := range g.connections() {
		if c.expire(func(idleSince time.Time, timeoutThen time.Duration) bool {
			return now.Sub(idleSince) > max(limit, timeoutThen)
		}) {
			closed++
		}
	}
	if closed > 0 && g.Metrics != nil {
		g.Metrics.Counter("caller.idle_closed").Inc(int64(closed))
	}
}

// closeIdlePollInterval is the interval at which CloseIdle checks the connections.
const closeIdlePollInterval = 2 * time.Millisecond

// CloseIdle closes all idle connections and waits, but not longer than ctx, until the requests that
// are being read are in progress. It is used once responses no longer keep their connections open.
func (g *Guard) CloseIdle(ctx context.Context) {
	ticker := time.NewTicker(closeIdlePollInterval)
	defer ticker.Stop()
	for {
		waiting := false
		for _, c := range g.connections() {
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

func (g *Guard) connections() []*Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*Conn, 0, len(g.open))
	for c := range g.open {
		list = append(list, c)
	}
	return list
}
