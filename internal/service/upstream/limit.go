package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// errTooManyConns is returned by a dial that would exceed the bound of connections.
var errTooManyConns = errors.New("the host has too many connections to upstreams")

// connLimit bounds the connections to all upstreams together, idle ones included. The zero value has no limit.
type connLimit struct {
	// max is the largest number of connections; 0 means no limit.
	max  int64
	open atomic.Int64

	mu sync.Mutex
	// transports are those that may have idle connections.
	transports map[*http.Transport]struct{}
}

func (l *connLimit) add(t *http.Transport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.transports == nil {
		l.transports = map[*http.Transport]struct{}{}
	}
	l.transports[t] = struct{}{}
}

func (l *connLimit) remove(t *http.Transport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.transports, t)
}

// dial opens a connection. If there are too many, it closes all idle ones first; a transport can't close a
// single one.
func (l *connLimit) dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	if !l.reserve() {
		l.closeIdle()
		if !l.reserve() {
			return nil, errTooManyConns
		}
	}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		l.open.Add(-1)
		return nil, err
	}
	return &limitedConn{TCPConn: raw.(*net.TCPConn), limit: l}, nil
}

func (l *connLimit) reserve() bool {
	if l.open.Add(1) <= l.max || l.max <= 0 {
		return true
	}
	l.open.Add(-1)
	return false
}

func (l *connLimit) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for t := range l.transports {
		t.CloseIdleConnections()
	}
}

// limitedConn is a connection that counts toward a limit until it is closed.
type limitedConn struct {
	*net.TCPConn
	limit *connLimit
	once  sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.once.Do(func() { c.limit.open.Add(-1) })
	return c.TCPConn.Close()
}
