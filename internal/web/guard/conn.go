package guard

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"redwingloft/internal/service/memory"
)

// Conn is a guarded connection. It expires by its read deadline. A read either returns bytes of a
// request or fails at the deadline, so that no request is read from a connection that is closed.
type Conn struct {
	net.Conn
	memory *memory.Account

	mu sync.Mutex
	// serving is true from the time at which the header of a request is complete until its response is.
	serving bool
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
	// evicted is set if the connection is closed although a request head may have begun to arrive.
	// Bytes that arrive later are not read.
	evicted bool
	// headLost is set if the rest of a request head was not read for that reason.
	headLost bool
	// closed is set once the connection has been closed to make room. No request on it is served.
	closed bool
	// headSince is when the connection was accepted, or the first byte of the next request was read.
	headSince time.Time
	// headBytes and headLines are the numbers of bytes and lines read of the present request head, head
	// holds the memory that they take in excess of freeHeadBytes and freeHeadLines.
	headBytes, headLines int64
	head                 *memory.Holder
	// begun is set once bytes were read.
	begun bool
	// mayMultiplex is set if the server speaks HTTP/2 without TLS.
	mayMultiplex bool
	// multiplexed is set if the connection uses HTTP/2. It is idle while it has no requests: what is read
	// then are mostly frames of the connection.
	multiplexed bool
	// encrypted is set if the connection uses TLS.
	encrypted bool
	// pipelined is set once bytes of another request have arrived before the response to the one before it.
	pipelined bool
	// discardSince is since when the rest of a refused body is discarded; zero otherwise.
	discardSince time.Time
	// bodyOpen is set until the end of a request body was read. bodySince is when its reading began, bodyBytes
	// the number of bytes read since then and lastRead the time of the last ones. interrupted is set once its
	// reading was ended to make room.
	bodyOpen    bool
	interrupted bool
	bodySince   time.Time
	bodyBytes   int64
	lastRead    time.Time
}

const (
	// freeHeadBytes is the part of a request head that counts as part of its connection.
	freeHeadBytes = 8 << 10
	// headRatio is the memory that is reserved for each further byte: a line is collected in a buffer
	// and then copied.
	headRatio = 2
	// freeHeadLines is the number of lines of a request head that count as part of its connection.
	freeHeadLines = 64
	// headLineBytes is the memory that is reserved for each further line, beside its bytes: an entry in the
	// map of fields and its list of values, and the same in the map of those that are forwarded.
	headLineBytes = 256
)

// headSize returns the memory to reserve for a part of a request head.
func headSize(size, lines int64) int64 {
	return headRatio*max(size-freeHeadBytes, 0) + headLineBytes*max(lines-freeHeadLines, 0)
}

// headEnd ends a request head.
var headEnd = []byte("\r\n\r\n")

// countLines returns the number of lines in a part of a request head, without those after its end.
func countLines(data []byte) int64 {
	if end := bytes.Index(data, headEnd); end >= 0 {
		data = data[:end]
	}
	return int64(bytes.Count(data, []byte{'\n'}))
}

// multiplexedPreface begins a connection that uses HTTP/2 without TLS.
const multiplexedPreface = "PRI * HTTP/2.0"

type connKey struct{}

// ConnContext is the ConnContext callback of a server whose listener is guarded.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(c))
}

// ConnOf returns the guarded connection of a request, or nil.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// unwrap returns the guarded connection under a connection, which may use TLS, or nil.
func unwrap(c net.Conn) *Conn {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	guarded, _ := c.(*Conn)
	return guarded
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n], len(p)) {
		// The server closes the connection without a response, as no request has arrived.
		n, err = 0, os.ErrDeadlineExceeded
	}
	if err != nil && n == 0 {
		c.loseHead()
	}
	return n, err
}

// loseHead records that the rest of a request head is not read, because the connection gives way.
func (c *Conn) loseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headLost = c.evicted && !c.multiplexed
}

// Write implements net.Conn. The server takes a head that is lost in the middle of a line for a malformed one,
// and would tell the caller so.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	lost := c.headLost
	c.mu.Unlock()
	if lost {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// received records that bytes of a request were read into a buffer of a size. They may have been read just
// before the connection expired. It returns false if the connection gives way to others.
func (c *Conn) received(data []byte, buffer int) bool {
	c.mu.Lock()
	now := time.Now()
	c.lastRead = now
	if !c.begun {
		c.begun, c.multiplexed = true, c.mayMultiplex && bytes.HasPrefix(data, []byte(multiplexedPreface))
	}
	if c.serving {
		c.bodyBytes += int64(len(data))
		// While a request is served, the server reads a single byte, to notice that the caller leaves.
		if !c.bodyOpen && !c.multiplexed && (buffer == 1 || c.encrypted) {
			c.pipelined = true
		}
		c.mu.Unlock()
		return true
	}
	if c.evicted || c.multiplexed {
		defer c.mu.Unlock()
		return !c.evicted
	}
	n := int64(len(data))
	if !c.idleSince.IsZero() {
		c.headSince, c.idleSince = now, time.Time{}
	}
	c.revive()
	before := headSize(c.headBytes, c.headLines)
	c.headBytes += n
	c.headLines += countLines(data)
	size := headSize(c.headBytes, c.headLines) - before
	c.mu.Unlock()
	if size == 0 || c.memory == nil || c.growHead(size) {
		return true
	}
	c.evictHead()
	return false
}

// growHead reserves memory for a long request head.
func (c *Conn) growHead(size int64) bool {
	now := time.Now()
	if c.head == nil {
		c.head = c.memory.Open("", now, c.evictHead)
	}
	return c.head.Grow(size, now) == nil
}

// releaseHead returns the memory of the request head. It is called between two requests.
func (c *Conn) releaseHead() {
	if c.head != nil {
		c.head.Release()
		c.head = nil
	}
}

// evictHead closes a connection whose request head is not complete.
func (c *Conn) evictHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serving {
		c.evicted = true
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}

// revive restores the read deadline of an expired connection. The caller holds mu.
func (c *Conn) revive() {
	if !c.expired && !c.evicted || c.closed {
		return
	}
	c.expired, c.evicted = false, false
	// An error means that the connection is closed, which the next read reports.
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.expired || c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *Conn) becomeIdle(timeout time.Duration) {
	c.releaseHead()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.serving, c.betweenRequests, c.idleSince, c.timeout = false, true, now, timeout
	c.headSince, c.headBytes, c.headLines, c.discardSince = now, 0, 0, time.Time{}
	c.bodyOpen, c.interrupted = false, false
}

func (c *Conn) becomeActive() {
	if c.head != nil {
		// If the head was evicted, it was complete before, and its memory is in use a little longer.
		_ = c.head.Complete()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleSince.IsZero() && !c.multiplexed {
		// The whole head was read together with the request before.
		c.pipelined = true
	}
	c.serving, c.betweenRequests, c.idleSince = true, false, time.Time{}
	// The whole header may have been read together with the request before.
	c.revive()
}

// setEncrypted records that the connection uses TLS, with HTTP/2 if it is multiplexed.
func (c *Conn) setEncrypted(multiplexed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.encrypted, c.multiplexed = true, multiplexed
}

// isPipelined reports whether requests were sent without waiting for the responses to those before them.
func (c *Conn) isPipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pipelined
}

// beginDiscard is called before the rest of a refused body is discarded. The connection may be nil.
func (c *Conn) beginDiscard() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discardSince = time.Now()
}

// isClosed reports whether the connection has been closed to make room.
func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *Conn) isBetweenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.betweenRequests
}

// guardedBody is a request body. Its connection can give way until its end was read, also while the server
// reads what a handler has left.
type guardedBody struct {
	io.ReadCloser
	conn *Conn
}

// guardBody returns a request whose connection can give way until its body is complete. It is a copy if there is
// a body: the server has to find its own in the request that it passes, to know what a handler has left.
func (c *Conn) guardBody(r *http.Request) *http.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.ContentLength == 0 || c.multiplexed {
		return r
	}
	now := time.Now()
	c.bodyOpen, c.bodySince, c.bodyBytes, c.lastRead = true, now, 0, now
	guarded := *r
	guarded.Body = &guardedBody{r.Body, c}
	return &guarded
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.mu.Lock()
		defer b.conn.mu.Unlock()
		b.conn.bodyOpen = false
	}
	return n, err
}

// expire ends the reading of an idle connection that due selects, upon which the server closes it.
// It reports whether it did.
func (c *Conn) expire(due func(idleSince time.Time, timeout time.Duration) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || c.expired || c.evicted || !due(c.idleSince, c.timeout) {
		return false
	}
	c.expired = true
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(pastDeadline)
	return true
}

// standing is what a connection is used for.
type standing string

const (
	// standingBusy: a request is being served.
	standingBusy standing = "busy"
	// standingUnfinished: no request head is complete yet.
	standingUnfinished standing = "unfinished_head"
	standingIdle       standing = "idle"
	// standingBody: a request body arrives.
	standingBody standing = "stalled_body"
	// standingRefused: the rest of the body of a refused request is discarded.
	standingRefused standing = "refused_body"
	// standingLeaving: the connection is about to be closed.
	standingLeaving standing = "leaving"
)

// minBodyRate is the rate, in bytes a second, below which a body counts as stalled although some of it arrives.
// Callers on slow mobile links send several times as much.
const minBodyRate = 4 << 10

// bodyStalledSince returns since when the bytes of a body have not arrived: none at all, or fewer than at
// minBodyRate. The caller holds mu.
func (c *Conn) bodyStalledSince() time.Time {
	due := c.bodySince.Add(time.Duration(float64(c.bodyBytes) / minBodyRate * float64(time.Second)))
	if due.Before(c.lastRead) {
		return due
	}
	return c.lastRead
}

// state returns the standing of a connection and since when it has it, or since when the bytes of a body have
// not arrived.
func (c *Conn) state() (standing, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.expired || c.evicted:
		return standingLeaving, time.Time{}
	case c.serving && !c.discardSince.IsZero() && !c.multiplexed:
		return standingRefused, c.discardSince
	case c.serving && c.interrupted:
		return standingLeaving, time.Time{}
	case c.serving && c.bodyOpen:
		return standingBody, c.bodyStalledSince()
	case c.serving:
		return standingBusy, time.Time{}
	case !c.idleSince.IsZero():
		return standingIdle, c.idleSince
	case c.multiplexed:
		return standingBusy, time.Time{}
	default:
		return standingUnfinished, c.headSince
	}
}

// giveWay makes a connection leave if it still has a standing. It reports whether the connection leaves, and
// whether it is closed already. A stalled body gets its refusal first, unless mustClose is set.
func (c *Conn) giveWay(as standing, since time.Time, mustClose bool) (leaves, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.expired || c.evicted:
		return false, false
	case as == standingBody && c.serving && c.bodyOpen && c.bodyStalledSince().Equal(since):
		if !mustClose {
			// The read fails, and its request is refused.
			c.interrupted = true
			_ = c.Conn.SetReadDeadline(pastDeadline)
			return true, false
		}
	case as == standingIdle && !c.serving && c.idleSince.Equal(since),
		as == standingUnfinished && !c.serving && c.idleSince.IsZero(),
		as == standingRefused && c.serving && c.discardSince.Equal(since):
	default:
		return false, false
	}
	c.evicted, c.closed = true, true
	// Close returns once the descriptor is free.
	_ = c.Conn.Close()
	return true, true
}
