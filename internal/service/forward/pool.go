// Package forward passes callers' requests on to upstreams and their answers back.
// It keeps the connections, chooses the upstream, and decides what is repeated.
package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/dial"
	"redwingloft/pkg/api"
)

const (
	// defaultIdleLife is how long a connection is kept where the upstream does not say
	// when it closes idle ones.
	defaultIdleLife = 2 * time.Second
	// idleMargin is taken off the life that an upstream states, for the way of the request.
	idleMargin = time.Second
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 4
	// bufferSize holds the head of a request or of an answer.
	bufferSize = 4 << 10
)

// Pool keeps connections to upstreams. The zero value works after Dial is set.
type Pool struct {
	Dial dial.Func
	// IdleLimit returns how many idle connections to an upstream this host may keep; nil
	// means maxIdle.
	IdleLimit func(upstream *fleet.Upstream) int

	mu   sync.Mutex
	idle map[endpoint][]*conn
}

// idleShare is the part of an upstream's connections that idle ones of all hosts may
// take. An upstream resets connections beyond its limit, also those of requests.
const idleShare = 0.5

// IdleShare returns how many idle connections one of hosts may keep to an upstream that
// accepts limit connections from all; 0 means that it states no limit.
func IdleShare(limit, hosts int) int {
	if limit <= 0 {
		return maxIdle
	}
	return min(int(idleShare*float64(limit)/float64(max(hosts, 1))), maxIdle)
}

// endpoint names one incarnation at one address: an address may be given to another upstream.
type endpoint struct {
	incarnation fleet.Incarnation
	address     api.Address
}

func endpointOf(u *fleet.Upstream) endpoint { return endpoint{u.Incarnation(), u.Address} }

// conn is one connection. It serves one request at a time.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	endpoint endpoint
	// until is when an idle connection is no longer used.
	until time.Time
	// idleLimit is how many connections like it may be kept.
	idleLimit int
	// used tells that an earlier request was answered on the connection.
	used bool
}

// open returns a connection to an upstream, an idle one only where reuse is true.
func (p *Pool) open(ctx context.Context, upstream *fleet.Upstream, reuse bool) (*conn, error) {
	if reuse {
		if kept := p.take(endpointOf(upstream)); kept != nil {
			return kept, nil
		}
	}
	raw, err := p.Dial(ctx, "tcp", string(upstream.Address))
	if err != nil {
		return nil, err
	}
	limit := maxIdle
	if p.IdleLimit != nil {
		limit = p.IdleLimit(upstream)
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize), endpoint: endpointOf(upstream), idleLimit: limit}, nil
}

func (p *Pool) take(to endpoint) *conn {
	for {
		p.mu.Lock()
		list := p.idle[to]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		kept := list[len(list)-1]
		p.idle[to] = list[:len(list)-1]
		p.mu.Unlock()
		if clock.Now().Before(kept.until) && kept.quiet() {
			return kept
		}
		kept.Close()
	}
}

// put keeps a connection whose answer was read to its end.
func (p *Pool) put(c *conn, stated time.Duration) {
	life := defaultIdleLife
	if stated > 0 {
		life = stated - idleMargin
	}
	if life <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.used, c.until = true, clock.Now().Add(life)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[endpoint][]*conn{}
	}
	if len(p.idle[c.endpoint]) >= c.idleLimit {
		c.Close()
		return
	}
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
}

// Sweep closes the idle connections whose life is over.
func (p *Pool) Sweep(time.Time) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, to)
		} else {
			p.idle[to] = kept
		}
	}
}

// quiet reports whether an idle connection is open and has nothing to read. Bytes
// that arrived between two requests belong to no request.
func (c *conn) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// drain reads a body to its end, up to limit bytes.
func drain(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return errTooLong
	}
	return err
}
