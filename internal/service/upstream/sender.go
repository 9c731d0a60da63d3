package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"redwingloft/internal/helper/dial"
	"redwingloft/internal/helper/tracing"
	"redwingloft/pkg/api"
)

const (
	// bodyDrainTimeout and bodyDrainBytes limit how much of an unread response body is
	// read to make the connection reusable.
	bodyDrainTimeout = 100 * time.Millisecond
	bodyDrainBytes   = 4 << 10
)

// Reason classifies the failure of an attempt.
type Reason string

// The failure reasons. SendError.Written reports whether the upstream may have
// received the request.
const (
	ReasonDial     Reason = "dial_failed"
	ReasonNoAnswer Reason = "no_answer"
	ReasonStatus   Reason = "status"
	ReasonDraining Reason = "draining"
	ReasonSilent   Reason = "silent"
	ReasonBroken   Reason = "broken"
	ReasonCanceled Reason = "canceled"
	// ReasonReadFailed means that Attempt.Read returned an error although the body could be read.
	ReasonReadFailed Reason = "reader"
	// ReasonConnections means that the host has too many connections to upstreams.
	ReasonConnections Reason = "connections_full"
	// ReasonBuild means that Attempt.Build returned an error.
	ReasonBuild Reason = "build"
)

// errSilent is the cancel cause of attempts on silent connections.
var errSilent = errors.New("no data received on an open connection")

// SendError describes a failed attempt.
type SendError struct {
	Reason Reason
	// Written is true if a part of the request may have reached the upstream.
	Written bool
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	Cause  error
}

// Error returns the reason with the status or the cause.
func (e *SendError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("%s: upstream responded with status %d", e.Reason, e.Status)
	}
	return fmt.Sprintf("%s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// IsErrNotSent reports whether the request certainly did not reach the upstream.
func IsErrNotSent(err error) bool {
	var send *SendError
	return errors.As(err, &send) && !send.Written
}

// ReasonOf returns the reason of a failed attempt, or "" for any other error.
func ReasonOf(err error) Reason {
	var send *SendError
	if errors.As(err, &send) {
		return send.Reason
	}
	return ""
}

// Attempt is one request to one instance.
type Attempt struct {
	Instance *Instance
	// Build creates the request; base is "http://ip:port".
	Build func(ctx context.Context, base string) (*http.Request, error)
	// Read consumes the body of a 2xx response.
	Read func(status int, header http.Header, body io.Reader) error
	// Exclusive sends the request over a new connection. On a pooled connection that
	// breaks, net/http itself repeats a request with an Idempotency-Key, which must not
	// happen for a call that runs at most once. An exclusive attempt is not canceled
	// for a silent connection, because it can't be repeated elsewhere.
	Exclusive bool
	// AnyStatus passes responses of every status to Read. Only a drain notice for an
	// attempt that is not exclusive still fails with ReasonDraining.
	AnyStatus bool
	// Usage is set before Do returns; nil disables it.
	Usage *Usage
}

// Usage reports how long an attempt used the upstream. It is also set for failed attempts.
type Usage struct {
	// Elapsed is the time from the assignment of a connection to the request until
	// the end of the attempt; 0 if the request was not sent.
	Elapsed time.Duration
	// FirstByte is the time from the assignment of a connection until the first byte
	// of the body; 0 if none was received.
	FirstByte time.Duration
}

// Sender sends attempts over one connection pool per instance. The zero value is
// ready for use.
type Sender struct {
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	conns      connLimit
	mu         sync.Mutex
	inFlight   map[*inFlight]struct{}
	waitMeters map[api.GroupName]*waitMeters
}

// NewSender returns a sender that uses the system clock.
func NewSender() *Sender { return &Sender{} }

// SetMaxConns bounds the connections to all upstreams together; 0 means no limit. It must be called before the
// first attempt.
func (s *Sender) SetMaxConns(limit int) { s.conns.max = int64(limit) }

func (s *Sender) now() time.Time {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

// inFlight is an attempt in progress. Its times are stored in nanoseconds since start.
type inFlight struct {
	instance   *Instance
	waitMeters *waitMeters
	now        func() time.Time
	cancel     context.CancelCauseFunc
	start      time.Time
	// generation is nil for an exclusive attempt.
	generation *generation
	// sentAt is the time at which the request got a connection, plus one nanosecond;
	// 0 means not yet.
	sentAt atomic.Int64
	// firstByteAt is the time of the first byte of the body; 0 means not yet.
	firstByteAt atomic.Int64
	// waitingSince is the time at which the attempt began to wait for data, plus one
	// nanosecond; 0 means that it is not waiting.
	waitingSince atomic.Int64
	// probedAt is the time of the last probe for this attempt.
	probedAt atomic.Int64
	// newConnection is true if the connection was opened for this attempt.
	newConnection atomic.Bool
}

func (r *inFlight) elapsed() int64 { return int64(r.now().Sub(r.start)) + 1 }

func (r *inFlight) gotConn(info httptrace.GotConnInfo) {
	now := r.elapsed()
	r.newConnection.Store(!info.Reused)
	r.sentAt.Store(now)
	r.waitingSince.Store(now)
}

// beginRead records that the reader waits for data. The wait for the first byte
// begins when the request is sent.
func (r *inFlight) beginRead() {
	if r.firstByteAt.Load() != 0 {
		r.waitingSince.Store(r.elapsed())
	}
}

func (r *inFlight) endRead(n int, err error) {
	if n == 0 && err == nil {
		return
	}
	since, now := r.waitingSince.Swap(0), r.elapsed()
	if n == 0 {
		return
	}
	isFirst := r.firstByteAt.CompareAndSwap(0, now)
	if since != 0 {
		r.waitMeters.observe(isFirst, time.Duration(now-since))
	}
}

func (r *inFlight) usage() Usage {
	sentAt := r.sentAt.Load()
	if sentAt == 0 {
		return Usage{}
	}
	usage := Usage{Elapsed: time.Duration(r.elapsed() - sentAt)}
	if firstByteAt := r.firstByteAt.Load(); firstByteAt != 0 {
		usage.FirstByte = time.Duration(firstByteAt - sentAt)
	}
	return usage
}

// Do sends an attempt and reads the response. The returned error is a *SendError.
// When ctx is canceled, the connection is closed at once, so that the upstream
// stops working on the request.
func (s *Sender) Do(ctx context.Context, attempt Attempt) error {
	instance := attempt.Instance
	instance.Begin()
	defer instance.End()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	r := &inFlight{instance: instance, waitMeters: s.groupWaits(instance.Group), now: s.now, cancel: cancel, start: s.now()}
	transport, release := s.acquireTransport(r, attempt.Exclusive)
	defer release()
	failure := r.roundTrip(attemptCtx, transport, attempt)
	if attempt.Usage != nil {
		*attempt.Usage = r.usage()
	}
	if failure == nil {
		instance.recordSuccess(r.start)
		return nil
	}
	cancel(nil)
	if ctx.Err() != nil {
		failure.Reason = ReasonCanceled
	}
	instance.recordFailure(failure)
	return failure
}

// acquireTransport returns the transport of an attempt and a function to release it.
func (s *Sender) acquireTransport(r *inFlight, exclusive bool) (*http.Transport, func()) {
	if exclusive {
		transport := singleUseTransport(&s.conns)
		return transport, transport.CloseIdleConnections
	}
	r.generation = r.instance.pool.addAttempt(r, &s.conns)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == nil {
		s.inFlight = map[*inFlight]struct{}{}
	}
	s.inFlight[r] = struct{}{}
	return r.generation.transport, func() {
		r.generation.removeAttempt(r)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, r)
	}
}

// singleUseTransport returns a transport for one request on a new connection.
// net/http does not repeat requests on a connection that was not used before.
func singleUseTransport(limit *connLimit) *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout, Control: dial.BoundReceived}
	return newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := limit.dial(ctx, &dialer, network, address)
		if err != nil {
			return nil, err
		}
		return dial.ReportResets(raw), nil
	})
}

func (r *inFlight) roundTrip(ctx context.Context, transport *http.Transport, attempt Attempt) *SendError {
	trace := &httptrace.ClientTrace{GotConn: r.gotConn}
	request, err := attempt.Build(httptrace.WithClientTrace(ctx, trace), "http://"+string(r.instance.Address))
	if err != nil {
		return &SendError{Reason: ReasonBuild, Cause: err}
	}
	if parent := tracing.Parent(ctx); parent != "" {
		request.Header.Set(tracing.Header, parent)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return r.sendError(ctx, err, ReasonNoAnswer)
	}
	if response.StatusCode < http.StatusContinue {
		_ = response.Body.Close()
		return &SendError{Reason: ReasonBroken, Written: true, Cause: fmt.Errorf("invalid status %q", response.Status)}
	}
	draining := r.inspectHeaders(response)
	if draining && !attempt.Exclusive || !attempt.AnyStatus && response.StatusCode/100 != 2 {
		_ = response.Body.Close()
		return statusError(response, draining)
	}
	return r.readBody(ctx, response, attempt)
}

// inspectHeaders records the load report and the drain notice of a response. It
// reports whether the upstream refused the request because it is draining.
func (r *inFlight) inspectHeaders(response *http.Response) bool {
	if utilization, ok := parseLoad(response.Header); ok {
		r.instance.RecordLoad(utilization, r.now())
	}
	refused := isDrainRefusal(response)
	if refused || response.Header.Get("X-Draining") == "true" {
		r.instance.recordDrainNotice(r.start)
	}
	return refused
}

// isDrainRefusal reports whether a 503 response is a drain notice. "Connection:
// close" is not sufficient, because a server also closes the connection after a
// request whose body it did not read; a drain notice has Retry-After as well.
func isDrainRefusal(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Close && response.Header.Get("Retry-After") != ""
}

func (r *inFlight) readBody(ctx context.Context, response *http.Response, attempt Attempt) *SendError {
	tracked := &trackedBody{inner: response.Body, request: r}
	err := attempt.Read(response.StatusCode, response.Header, tracked)
	r.waitingSince.Store(0)
	if err == nil {
		r.releaseBody(tracked)
		return nil
	}
	_ = response.Body.Close()
	if tracked.err == nil {
		return r.sendError(ctx, err, ReasonReadFailed)
	}
	return r.sendError(ctx, err, ReasonBroken)
}

// releaseBody releases the connection of a successfully read response. A reader may
// stop at the terminal event of an event stream; the rest of the body is read in
// the background so that the caller does not wait for it.
func (r *inFlight) releaseBody(b *trackedBody) {
	if b.err != nil {
		_ = b.inner.Close()
		r.cancel(nil)
		return
	}
	go func() {
		timer := time.AfterFunc(bodyDrainTimeout, func() { r.cancel(nil) })
		_, _ = io.CopyN(io.Discard, b.inner, bodyDrainBytes)
		timer.Stop()
		_ = b.inner.Close()
		r.cancel(nil)
	}()
}

// sendError determines the reason of a failed exchange; fallback is used if no
// specific reason applies.
func (r *inFlight) sendError(ctx context.Context, err error, fallback Reason) *SendError {
	written := r.sentAt.Load() != 0
	reason := fallback
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		reason = ReasonSilent
	case errors.Is(err, errTooManyConns):
		reason = ReasonConnections
	case !written:
		reason = ReasonDial
	}
	return &SendError{Reason: reason, Written: written, Cause: err}
}

func statusError(response *http.Response, draining bool) *SendError {
	reason := ReasonStatus
	if draining {
		reason = ReasonDraining
	}
	return &SendError{Reason: reason, Written: true, Status: response.StatusCode}
}

// trackedBody is a response body that records the progress of its attempt.
type trackedBody struct {
	inner   io.ReadCloser
	request *inFlight
	// err is the result of the last read.
	err error
}

// Read reads from the response. The time between two reads is spent by the reader
// and not attributed to the upstream.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.request.beginRead()
	n, err := b.inner.Read(p)
	b.request.endRead(n, err)
	b.err = err
	return n, err
}

// recordSuccess records a successful attempt that began at start in the table.
func (i *Instance) recordSuccess(start time.Time) {
	if i.table != nil {
		i.table.recordSuccess(i, start)
	}
}

func (i *Instance) recordDrainNotice(start time.Time) {
	if i.table != nil {
		i.table.markDraining(i, CauseDrainNotice, start)
	}
}

// recordFailure records failures that indicate a problem of the upstream. Silent
// attempts are recorded when their stall is checked.
func (i *Instance) recordFailure(failure *SendError) {
	if i.table == nil {
		return
	}
	i.table.Metrics.Counter("attempt.failed." + string(failure.Reason)).Inc(1)
	switch failure.Reason {
	case ReasonDial, ReasonNoAnswer, ReasonBroken:
		i.table.recordFailure(i, failure.Reason)
	case ReasonStatus:
		if failure.Status >= http.StatusInternalServerError {
			i.table.recordFailure(i, failure.Reason)
		}
	}
}
