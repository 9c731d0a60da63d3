// Package forward proxies callers' requests to upstreams. It pools connections, selects
// upstreams and decides which requests are retried.
package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/dial"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/service/throttle"
	"redwingloft/pkg/api"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the upstream does not
	// state its own idle timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that an upstream states, to
	// allow for the transit time of a request.
	idleTimeoutMargin = time.Second
	// maxIdleConns bounds the idle connections to one upstream.
	maxIdleConns = 4
	// bufferSize is large enough for the header of most requests and responses.
	bufferSize = 4 << 10
)

// Pool keeps idle connections to upstreams for reuse. Set Dial before use.
type Pool struct {
	Dial dial.Func
	// IdleLimit returns how many idle connections to an upstream this host may keep; nil
	// means maxIdleConns.
	IdleLimit func(upstream *fleet.Upstream) int
	// Memory accounts for the responses that are held in memory; nil means no limit.
	Memory *memory.Account
	// Metrics counts the responses that exceed a limit, by limit; it may be nil.
	Metrics *metric.Set
	// Throttle holds the rate limits that upstreams name; it may be nil.
	Throttle *throttle.Table
	// OnLeaving is called for each response in which an upstream announces its shutdown; it may
	// be nil. The caller of the request has not received the response yet.
	OnLeaving func(upstream *fleet.Upstream)
	// Health records the load that upstreams report; it may be nil.
	Health *HealthTable
	// Log has a line for each upstream with an invalid report; it may be nil.
	Log *log.Logger

	invalidLoads invalidLoads
	// buffered is the size of the response bodies that are held in memory.
	buffered atomic.Int64

	mu   sync.Mutex
	idle map[endpoint][]*conn
}

// idleShare is the part of an upstream's connection limit that idle connections of all
// hosts may use. An upstream resets connections above its limit, even those in use.
const idleShare = 0.5

// IdleConnLimit returns how many idle connections each of the given number of hosts may keep
// to an upstream that accepts limit connections in total; 0 means no stated limit.
func IdleConnLimit(limit, hosts int) int {
	if limit <= 0 {
		return maxIdleConns
	}
	return min(int(idleShare*float64(limit)/float64(max(hosts, 1))), maxIdleConns)
}

// endpoint identifies an incarnation at an address. Addresses may be reassigned to other
// upstreams.
type endpoint struct {
	incarnation fleet.Incarnation
	address     api.Address
}

func endpointOf(u *fleet.Upstream) endpoint { return endpoint{u.Incarnation(), u.Address} }

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	// reader reads from bounded, which limits the parts of a response.
	reader   *bufio.Reader
	bounded  *boundedReader
	endpoint endpoint
	// expiresAt is the time after which the idle connection is not reused.
	expiresAt time.Time
	// idleLimit is the number of idle connections that may be kept to the endpoint.
	idleLimit int
	// used is set after a request was served on the connection.
	used bool
}

// open returns a connection to an upstream. An idle connection is used only if reuse is set.
func (p *Pool) open(ctx context.Context, upstream *fleet.Upstream, reuse bool) (*conn, error) {
	if reuse {
		if kept := p.takeIdle(endpointOf(upstream)); kept != nil {
			return kept, nil
		}
	}
	raw, err := p.Dial(ctx, "tcp", string(upstream.Address))
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.Throttle.ObserveRefused(upstream, clock.Now())
	}
	if err != nil {
		return nil, err
	}
	limit := maxIdleConns
	if p.IdleLimit != nil {
		limit = p.IdleLimit(upstream)
	}
	bounded := &boundedReader{conn: dial.ReportResets(raw)}
	return &conn{Conn: raw, bounded: bounded, reader: bufio.NewReaderSize(bounded, bufferSize), endpoint: endpointOf(upstream), idleLimit: limit}, nil
}

func (p *Pool) takeIdle(to endpoint) *conn {
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
		if clock.Now().Before(kept.expiresAt) && kept.reusable() {
			return kept
		}
		kept.Close()
	}
}

// putIdle keeps a connection whose last response was read completely. idleTimeout is the
// timeout that the upstream states; 0 means none.
func (p *Pool) putIdle(c *conn, idleTimeout time.Duration) {
	lifetime := defaultIdleTimeout
	if idleTimeout > 0 {
		lifetime = idleTimeout - idleTimeoutMargin
	}
	if lifetime <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.used, c.expiresAt = true, clock.Now().Add(lifetime)
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

// Sweep closes expired idle connections.
func (p *Pool) Sweep(time.Time) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
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

// reusable reports whether an idle connection is open and has no unread bytes. Bytes that
// arrive between two requests belong to neither.
func (c *conn) reusable() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var buffer [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}

// discard discards a body of at most limit bytes.
func discard(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return &limitError{limitSkippedBody, limit}
	}
	return err
}
