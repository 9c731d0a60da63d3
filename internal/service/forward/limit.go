package forward

import (
	"errors"
	"fmt"
	"io"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/metric"
)

// Limits on what is read from an upstream for one response. A response that exceeds one of
// them ends its connection, and the attempt counts as failed and possibly run.
const (
	// maxHeadBytes bounds the status line and header fields of a response, with the
	// informational responses before it.
	maxHeadBytes = 64 << 10
	// maxBufferedBytes bounds a non-streaming response. It is buffered, so that a truncated
	// response is not forwarded and the request can be retried.
	maxBufferedBytes = 8 << 20
	// maxCallResponseBytes bounds the response body of an internal request.
	maxCallResponseBytes = 1 << 20
	// wireRatio is the number of bytes that may be read from a connection for each byte that
	// a body may have. An upstream may send a body in chunks of one byte.
	wireRatio = 2
	// maxSkippedResponses bounds the responses to other requests that are skipped on a connection.
	maxSkippedResponses = 2
	// maxSkippedBodyBytes bounds the body of a skipped response.
	maxSkippedBodyBytes = 1 << 20
	// maxEventBytes bounds the size of one event, with the comments before it.
	maxEventBytes = 1 << 20
)

// limitName names a limit in errors and counters.
type limitName string

// The limits that a response can exceed.
const (
	limitHead        limitName = "response_head"
	limitBody        limitName = "response_body"
	limitSkippedBody limitName = "skipped_body"
	limitEvent       limitName = "event"
	limitBuffer      limitName = "response_buffer"
)

// limitError is the error of a response that exceeds a limit.
type limitError struct {
	name limitName
	// limit is in bytes.
	limit int64
}

func (e *limitError) Error() string {
	return fmt.Sprintf("the response exceeds the limit %s of %d bytes", e.name, e.limit)
}

// countLimit counts an error that is caused by a limit.
func countLimit(metrics *metric.Set, err error) {
	var exceeded *limitError
	if errors.As(err, &exceeded) {
		metrics.Counter("limit." + string(exceeded.name)).Inc(1)
	}
}

// boundedReader reads from a connection and can limit the bytes of a part of a response. The
// zero value with a connection has no limit.
type boundedReader struct {
	conn io.Reader
	// exceeded is the error at the limit; nil means no limit. left is the number of bytes
	// that remain until then.
	exceeded *limitError
	left     int64
}

// limit allows at most the given number of further bytes.
func (r *boundedReader) limit(name limitName, bytes int64) {
	r.exceeded, r.left = &limitError{name, bytes}, bytes
}

// unlimit removes the limit.
func (r *boundedReader) unlimit() { r.exceeded = nil }

// reached returns the error of the limit if no byte is left, and err otherwise. A parser may
// report the cut instead of its cause.
func (r *boundedReader) reached(err error) error {
	if r.exceeded != nil && r.left <= 0 {
		return r.exceeded
	}
	return err
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.exceeded == nil {
		return r.conn.Read(p)
	}
	if r.left <= 0 {
		return 0, r.exceeded
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// reserve reserves memory for a response and reports whether there is room in the account.
func (p *Pool) reserve(size int64) bool {
	if p.Memory != nil && !p.Memory.Reserve(size, time.Now()) {
		return false
	}
	p.buffered.Add(size)
	return true
}

// release returns reserved memory.
func (p *Pool) release(size int64) {
	p.buffered.Add(-size)
	if p.Memory != nil {
		p.Memory.Return(size)
	}
}

// bufferLimit is the error of a response for which there is no memory.
func (p *Pool) bufferLimit() error { return &limitError{limitBuffer, p.Memory.Limit} }

// readBody reads a body of at most limit bytes. It returns the size of the memory that it has
// reserved, which the caller releases once it no longer needs the body.
func (p *Pool) readBody(body io.Reader, length, limit int64) (data fleet.Body, reserved int64, err error) {
	data, err = fleet.ReadBody(body, length, limit, func(size int64) error {
		if !p.reserve(size) {
			return p.bufferLimit()
		}
		reserved += size
		return nil
	})
	if errors.Is(err, fleet.ErrBodyTooLarge) {
		err = &limitError{limitBody, limit}
	}
	return data, reserved, err
}
