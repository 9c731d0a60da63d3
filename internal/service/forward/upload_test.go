package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	wire "redwingloft/platform"
)

// longBody is a request body that is still being written when its upstream answers. It is longer than the
// buffers of the kernel.
var longBody = fleet.Body{make([]byte, 24<<20)}

// earlyAnswers holds a response without a length and the part of it that a caller gets, by kind of route.
var earlyAnswers = map[fleet.Kind]string{
	fleet.KindIdempotent:    "part",
	fleet.KindNonIdempotent: "part",
	fleet.KindStreaming:     "id: 1\ndata: a\n\n",
}

// writeEarly writes a response without a length.
func writeEarly(c net.Conn, request *http.Request, body string) {
	fmt.Fprint(c, strings.ReplaceAll(okHead, "ID", request.Header.Get(wire.HeaderRequestID)), "\r\n", body)
}

// lateReader is a connection whose reads, but for the first one, wait for the end of the write of a body. The
// kernel reports a reset once only, so that they see a regular end after a write that has failed.
type lateReader struct {
	net.Conn
	reads   atomic.Int64
	written chan struct{}
	once    sync.Once
}

func (c *lateReader) Read(p []byte) (int, error) {
	if c.reads.Add(1) > 1 {
		<-c.written
	}
	return c.Conn.Read(p)
}

func (c *lateReader) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if len(p) == len(longBody[0]) {
		c.once.Do(func() { close(c.written) })
	}
	return n, err
}

func (c *lateReader) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// TestResetDuringUpload guards against a part of a response without a length that reaches the caller as the
// whole one because the write of the request has noticed the reset, so that the read sees a regular end.
func TestResetDuringUpload(t *testing.T) {
	for kind, part := range earlyAnswers {
		t.Run(string(kind), func(t *testing.T) {
			f := newFixture(t, fleet.Route{Kind: kind}, respondOK)
			connect := f.Pool.Dial
			f.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := connect(ctx, network, address)
				return &lateReader{Conn: c, written: make(chan struct{})}, err
			}
			f.upstreams[0].HandleEarly = func(c net.Conn, request *http.Request) {
				writeEarly(c, request, part)
				_, _ = io.CopyN(io.Discard, request.Body, 64<<10)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			recorder, err := f.serve(t, func(r *fleet.Request) { r.Body = longBody })
			assert.Assert(t, err != nil, "a part looks complete: %q", recorder.Body)
			assert.Equal(t, IsAborted(err), kind == fleet.KindStreaming, "%v", err)
		})
	}
}

// TestEarlyAnswerDuringUpload guards against a complete response without a length that is lost or held back
// because its upstream closes its side before it has read the request.
func TestEarlyAnswerDuringUpload(t *testing.T) {
	const slowRead = 2 * time.Second
	for kind, answer := range earlyAnswers {
		t.Run(string(kind), func(t *testing.T) {
			f := newFixture(t, fleet.Route{Kind: kind}, respondOK)
			f.upstreams[0].HandleEarly = func(c net.Conn, request *http.Request) {
				writeEarly(c, request, answer)
				_ = c.(*net.TCPConn).CloseWrite()
				time.Sleep(slowRead)
				_, _ = io.Copy(io.Discard, request.Body)
			}
			started := time.Now()
			recorder, err := f.serve(t, func(r *fleet.Request) { r.Body = longBody })
			assert.NilError(t, err)
			assert.Equal(t, recorder.Body.String(), answer)
			assert.Assert(t, time.Since(started) < slowRead, "the response was held back")
		})
	}
}
