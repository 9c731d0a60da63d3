package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/pkg/api"
)

// Codec encodes requests to upstreams and decodes their responses.
type Codec struct {
	// WriteRequestHeader writes the request line and the header fields of an attempt.
	WriteRequestHeader func(w *bufio.Writer, a *fleet.Attempt) error
	// DecodeReply decodes the protocol fields of a response header.
	DecodeReply func(response *http.Response) fleet.ResponseInfo
	// CopyResponseHeader copies the end-to-end header fields of a response.
	CopyResponseHeader func(to, from http.Header)
	// WriteInternalRequest writes a complete internal request to an upstream.
	WriteInternalRequest func(w *bufio.Writer, upstream *fleet.Upstream, path string, body []byte) error
}

const (
	// maxInlineBodyBytes is the size up to which a body is written before the response is
	// read. Upstreams may respond to a longer body before they have received all of it.
	maxInlineBodyBytes = 2 << 10
)

// SendState states how much of a request may have reached the upstream.
type SendState string

// The values of Sent.
const (
	// SentNothing: no connection was opened, so the request was not run.
	SentNothing SendState = "nothing"
	// SentSome: the upstream may have run the request.
	SentSome SendState = "some"
)

var errMismatchedResponse = errors.New("received only responses to other requests")

// exchange is one request and its response on a connection.
type exchange struct {
	pool     *Pool
	conn     *conn
	response *http.Response
	reply    fleet.ResponseInfo
	// written is set after the whole request has been written.
	written atomic.Bool
	// outOfSync is set if the connection carried a response to another request.
	outOfSync bool
	// reserved is the memory that is reserved for the body, in bytes.
	reserved int64
	stop     func() bool
}

// attemptError is the error of an attempt without a usable response.
type attemptError struct {
	sent  SendState
	cause error
}

func (e *attemptError) Error() string { return fmt.Sprintf("sent %s: %v", e.sent, e.cause) }

func (e *attemptError) Unwrap() error { return e.cause }

// start sends an attempt and reads the response header. The connection is closed when ctx
// is done.
func (p *Pool) start(ctx context.Context, codec *Codec, a *fleet.Attempt, reuse bool) (*exchange, error) {
	c, err := p.open(ctx, a.Upstream, reuse)
	if err != nil {
		return nil, &attemptError{SentNothing, err}
	}
	x := &exchange{pool: p, conn: c, stop: context.AfterFunc(ctx, func() { c.Close() })}
	write := func(w *bufio.Writer) error { return codec.WriteRequestHeader(w, a) }
	if err := x.send(write, a.Request.Body); err != nil {
		x.close()
		return nil, &attemptError{SentSome, err}
	}
	if err := x.readHeader(codec, a.Request.Method, a.Request.ID); err != nil {
		countLimit(p.Metrics, err)
		x.close()
		return nil, &attemptError{SentSome, err}
	}
	p.observe(a.Upstream, x.reply, x.reply.HasDigest || x.reply.NotRun)
	return x, nil
}

// observe records what a response states about its upstream. Only a genuine response shows that
// it names no rate limit, that it is leaving, or that it wants a pause.
func (p *Pool) observe(upstream *fleet.Upstream, reply fleet.ResponseInfo, genuine bool) {
	if reply.WrongUpstream {
		return
	}
	if genuine {
		p.observeLoad(upstream, reply)
	}
	if p.Throttle != nil && (reply.RateLimit != nil || genuine) {
		p.Throttle.Observe(upstream, reply.RateLimit, clock.Now())
	}
	p.Throttle.ObserveCold(upstream, reply.ColdLeft, reply.ColdErr, clock.Now())
	if genuine && reply.RetryAfter > 0 {
		p.Throttle.Pause(upstream, reply.RetryAfter, clock.Now())
	}
	if genuine && reply.Leaving && p.OnLeaving != nil {
		p.OnLeaving(upstream)
	}
}

// send writes the header and the body. A long body is written in the background.
func (x *exchange) send(writeHeader func(*bufio.Writer) error, body fleet.Body) error {
	w := bufio.NewWriterSize(x.conn, bufferSize)
	if err := writeHeader(w); err != nil {
		return err
	}
	if body.Len() <= maxInlineBodyBytes {
		for _, segment := range body {
			if _, err := w.Write(segment); err != nil {
				return err
			}
		}
		if err := w.Flush(); err != nil {
			return err
		}
		x.written.Store(true)
		return nil
	}
	if err := w.Flush(); err != nil {
		return err
	}
	// Writing consumes the list of segments, which a further attempt needs too.
	segments := net.Buffers(slices.Clone(body))
	go func() {
		if _, err := segments.WriteTo(x.conn.Conn); err == nil {
			x.written.Store(true)
		}
		// A write error is ignored: reading the response fails too, unless it came early.
	}()
	return nil
}

// readHeader reads the header of the response to the request with the given id. Responses
// with the id of another request are skipped.
func (x *exchange) readHeader(codec *Codec, method string, id api.RequestID) error {
	x.conn.bounded.limit(limitHead, maxHeadBytes)
	for skipped := 0; skipped <= maxSkippedResponses; {
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method})
		if err != nil {
			return fmt.Errorf("read response: %w", x.conn.bounded.reached(err))
		}
		if response.StatusCode < http.StatusContinue {
			return fmt.Errorf("read response: invalid status %q", response.Status)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		x.conn.bounded.unlimit()
		x.response, x.reply = response, codec.DecodeReply(response)
		if id == "" || x.reply.ID == id || (x.reply.ID == "" && !x.conn.used) {
			return nil
		}
		x.outOfSync = true
		skipped++
		x.conn.bounded.limit(limitSkippedBody, wireRatio*maxSkippedBodyBytes)
		if err := discard(response.Body, maxSkippedBodyBytes); err != nil {
			return fmt.Errorf("skip response to another request: %w", err)
		}
		x.conn.bounded.limit(limitHead, maxHeadBytes)
	}
	return errMismatchedResponse
}

// readAll reads the whole body of at most limit bytes. A response without a length is
// complete only if its connection was closed, not reset. The memory of the body is reserved
// until release is called.
func (x *exchange) readAll(limit int64) (fleet.Body, error) {
	x.conn.bounded.limit(limitBody, wireRatio*limit+maxHeadBytes)
	data, reserved, err := x.pool.readBody(x.response.Body, x.response.ContentLength, limit)
	x.conn.bounded.unlimit()
	x.reserved += reserved
	return data, err
}

// release returns the memory that is reserved for the body.
func (x *exchange) release() {
	x.pool.release(x.reserved)
	x.reserved = 0
}

// finish ends an exchange whose body was read completely. The connection returns to the
// pool if it is still in sync and the whole request was written. A connection that carried a
// refusal is closed: a copy of the refusal could be taken for that of a later request.
func (x *exchange) finish() {
	stopped := x.stop()
	if !stopped || x.outOfSync || x.reply.NotRun || x.reply.Leaving || x.response.Close || !x.written.Load() {
		x.conn.Close()
		return
	}
	x.pool.putIdle(x.conn, x.reply.IdleTimeout)
}

// close ends an exchange and closes its connection.
func (x *exchange) close() {
	x.stop()
	x.conn.Close()
}

// Call sends an internal request to an upstream and returns the response. The response
// carries no request id, so that a late response to another request on an idle connection
// can't be distinguished: set reuse only if the response does not matter.
func (p *Pool) Call(ctx context.Context, codec *Codec, upstream *fleet.Upstream, path string, body []byte, reuse bool) (*CallResponse, error) {
	c, err := p.open(ctx, upstream, reuse)
	if err != nil {
		return nil, &attemptError{SentNothing, err}
	}
	x := &exchange{pool: p, conn: c, stop: context.AfterFunc(ctx, func() { c.Close() })}
	reusable := false
	defer func() {
		if !reusable {
			x.close()
		}
	}()
	w := bufio.NewWriterSize(c, bufferSize)
	if err := codec.WriteInternalRequest(w, upstream, path, body); err != nil {
		return nil, &attemptError{SentSome, err}
	}
	if err := w.Flush(); err != nil {
		return nil, &attemptError{SentSome, err}
	}
	if err := x.readHeader(codec, http.MethodPost, ""); err != nil {
		countLimit(p.Metrics, err)
		return nil, &attemptError{SentSome, err}
	}
	own := x.reply.ID == "" || !c.used
	p.observe(upstream, x.reply, own && (x.reply.NotRun || x.response.StatusCode == http.StatusOK))
	data, err := x.readAll(maxCallResponseBytes)
	// The response to an internal request is decoded at once.
	x.release()
	if err != nil {
		countLimit(p.Metrics, err)
		return nil, &attemptError{SentSome, err}
	}
	if reuse {
		reusable = true
		x.written.Store(true)
		x.finish()
	}
	return &CallResponse{Status: x.response.StatusCode, Reply: x.reply, Body: data.Bytes()}, nil
}

// CallResponse is the response to an internal request.
type CallResponse struct {
	Status int
	Reply  fleet.ResponseInfo
	Body   []byte
}

// IsNotSent reports whether err means that nothing was sent to the upstream.
func IsNotSent(err error) bool {
	var failed *attemptError
	return errors.As(err, &failed) && failed.sent == SentNothing
}
