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

	"redwingloft/internal/helper/tracing"
	"redwingloft/pkg/api"
)

const (
	// drainTimeout and drainBytes bound the rest of an answer that its reader did
	// not need; reading it lets the connection be used again.
	drainTimeout = 100 * time.Millisecond
	drainBytes   = 4 << 10
)

// Reason tells why an attempt failed.
type Reason string

// The reasons. Written of the SendError tells whether the upstream may have received the request.
const (
	ReasonDial     Reason = "dial_failed"
	ReasonNoAnswer Reason = "no_answer"
	ReasonStatus   Reason = "status"
	ReasonDraining Reason = "draining"
	ReasonSilent   Reason = "silent"
	ReasonBroken   Reason = "broken"
	ReasonCanceled Reason = "canceled"
	// ReasonReader means that Attempt.Read gave up while the answer arrived well.
	ReasonReader Reason = "reader"
	// ReasonBuild means that Attempt.Build failed.
	ReasonBuild Reason = "build"
)

// errSilent ends the attempts of a retired generation.
var errSilent = errors.New("the connection went silent")

// SendError is returned for a failed attempt.
type SendError struct {
	Reason Reason
	// Written is true where a part of the request may have reached the upstream.
	Written bool
	// Status is the HTTP status, or 0 where there was no answer.
	Status int
	Cause  error
}

// Error describes the failure.
func (e *SendError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("%s: the upstream answered %d", e.Reason, e.Status)
	}
	return fmt.Sprintf("%s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// IsErrNotSent reports whether it is certain that the upstream received nothing.
func IsErrNotSent(err error) bool {
	var send *SendError
	return errors.As(err, &send) && !send.Written
}

// ReasonOf returns the reason of a failed attempt, or "" for another error.
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
	// Build makes the request; base is "http://ip:port".
	Build func(ctx context.Context, base string) (*http.Request, error)
	// Read consumes the body of a 2xx answer.
	Read func(status int, header http.Header, body io.Reader) error
	// Exclusive asks for a new connection of its own. net/http repeats a request
	// with an Idempotency-Key by itself on a pooled connection that breaks, which a
	// call that runs at most once does not allow. Such an attempt is not ended for
	// silence, because it can't be repeated elsewhere.
	Exclusive bool
	// AnyStatus passes answers of every status to Read, except a drain notice for
	// an attempt that is not exclusive, which fails with ReasonDraining.
	AnyStatus bool
	// Usage is filled before Do returns; nil asks for none.
	Usage *Usage
}

// Usage tells what an attempt took of the upstream, also where it failed.
type Usage struct {
	// Occupied is the time from the hand-over of the request to a connection to
	// the end of the attempt; 0 where the request was not sent.
	Occupied time.Duration
	// FirstByte is the time from the hand-over to the first byte of the body; 0 where none came.
	FirstByte time.Duration
}

// Sender sends attempts over one connection pool for each instance. The zero value works.
type Sender struct {
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	mu      sync.Mutex
	running map[*running]struct{}
	gaps    map[api.GroupName]*gaps
}

// NewSender returns a sender.
func NewSender() *Sender { return &Sender{} }

func (s *Sender) now() time.Time {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

// running is one attempt under way.
type running struct {
	instance *Instance
	gaps     *gaps
	now      func() time.Time
	cancel   context.CancelCauseFunc
	start    time.Time
	// generation is nil for an exclusive attempt.
	generation *generation
	// sent is the time after start at which a connection took the request, plus
	// one nanosecond; 0 means not yet.
	sent atomic.Int64
	// first is the time after start of the first byte of the body; 0 means not yet.
	first atomic.Int64
	// waiting is the time after start since which the attempt waits for data,
	// plus one nanosecond; 0 means that it does not wait.
	waiting atomic.Int64
	// examined is the time after start of the last probe for this attempt.
	examined atomic.Int64
	// fresh is true where the connection was made for this attempt.
	fresh atomic.Bool
}

func (r *running) elapsed() int64 { return int64(r.now().Sub(r.start)) + 1 }

func (r *running) connected(info httptrace.GotConnInfo) {
	now := r.elapsed()
	r.fresh.Store(!info.Reused)
	r.sent.Store(now)
	r.waiting.Store(now)
}

// beginRead notes that the reader waits for data. Before the first byte the wait
// lasts since the request was sent.
func (r *running) beginRead() {
	if r.first.Load() != 0 {
		r.waiting.Store(r.elapsed())
	}
}

func (r *running) endRead(n int, err error) {
	if n == 0 && err == nil {
		return
	}
	since, now := r.waiting.Swap(0), r.elapsed()
	if n == 0 {
		return
	}
	isFirst := r.first.CompareAndSwap(0, now)
	if since != 0 {
		r.gaps.observe(isFirst, time.Duration(now-since))
	}
}

func (r *running) usage() Usage {
	sent := r.sent.Load()
	if sent == 0 {
		return Usage{}
	}
	usage := Usage{Occupied: time.Duration(r.elapsed() - sent)}
	if first := r.first.Load(); first != 0 {
		usage.FirstByte = time.Duration(first - sent)
	}
	return usage
}

// Do sends one attempt and reads its answer. It returns a *SendError. When ctx
// ends, the connection closes at once, which tells the upstream to stop.
func (s *Sender) Do(ctx context.Context, attempt Attempt) error {
	instance := attempt.Instance
	instance.Begin()
	defer instance.End()
	inner, cancel := context.WithCancelCause(ctx)
	r := &running{instance: instance, gaps: s.groupGaps(instance.Group), now: s.now, cancel: cancel, start: s.now()}
	transport, release := s.connect(r, attempt.Exclusive)
	defer release()
	failure := r.exchange(inner, transport, attempt)
	if attempt.Usage != nil {
		*attempt.Usage = r.usage()
	}
	if failure == nil {
		instance.succeeded(r.start)
		return nil
	}
	cancel(nil)
	if ctx.Err() != nil {
		failure.Reason = ReasonCanceled
	}
	instance.failed(failure)
	return failure
}

// connect chooses the transport of an attempt.
func (s *Sender) connect(r *running, exclusive bool) (*http.Transport, func()) {
	if exclusive {
		transport := singleTransport()
		return transport, transport.CloseIdleConnections
	}
	r.generation = r.instance.pool.join(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = map[*running]struct{}{}
	}
	s.running[r] = struct{}{}
	return r.generation.transport, func() {
		r.generation.leave(r)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, r)
	}
}

// singleTransport serves one request on a new connection. net/http repeats no
// request on a connection that was not used before.
func singleTransport() *http.Transport {
	return newTransport((&net.Dialer{Timeout: dialTimeout}).DialContext)
}

func (r *running) exchange(ctx context.Context, transport *http.Transport, attempt Attempt) *SendError {
	trace := &httptrace.ClientTrace{GotConn: r.connected}
	request, err := attempt.Build(httptrace.WithClientTrace(ctx, trace), "http://"+string(r.instance.Address))
	if err != nil {
		return &SendError{Reason: ReasonBuild, Cause: err}
	}
	if parent := tracing.Parent(ctx); parent != "" {
		request.Header.Set(tracing.Header, parent)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return r.failure(ctx, err, ReasonNoAnswer)
	}
	draining := r.inspect(response)
	if draining && !attempt.Exclusive || !attempt.AnyStatus && response.StatusCode/100 != 2 {
		_ = response.Body.Close()
		return statusError(response, draining)
	}
	return r.read(ctx, response, attempt)
}

// inspect takes over the load report and the drain notice of an answer. It
// reports whether the answer refuses the request because the upstream drains.
func (r *running) inspect(response *http.Response) bool {
	if utilization, ok := parseLoad(response.Header); ok {
		r.instance.Report(utilization, r.now())
	}
	refused := isDrainRefusal(response)
	if refused || response.Header.Get("X-Draining") == "true" {
		r.instance.noticed(r.start)
	}
	return refused
}

// isDrainRefusal tells a drain notice from other answers with status 503. A
// server also closes the connection after a request whose body it did not read,
// so Retry-After is needed besides.
func isDrainRefusal(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Close && response.Header.Get("Retry-After") != ""
}

func (r *running) read(ctx context.Context, response *http.Response, attempt Attempt) *SendError {
	tracked := &body{inner: response.Body, run: r}
	err := attempt.Read(response.StatusCode, response.Header, tracked)
	r.waiting.Store(0)
	if err == nil {
		r.finish(tracked)
		return nil
	}
	_ = response.Body.Close()
	if tracked.err == nil {
		return r.failure(ctx, err, ReasonReader)
	}
	return r.failure(ctx, err, ReasonBroken)
}

// finish releases the connection of a whole answer. Event streams end with a
// terminal event; the end of the body that follows is read apart from the caller.
func (r *running) finish(b *body) {
	if b.err != nil {
		_ = b.inner.Close()
		r.cancel(nil)
		return
	}
	go func() {
		limit := time.AfterFunc(drainTimeout, func() { r.cancel(nil) })
		_, _ = io.CopyN(io.Discard, b.inner, drainBytes)
		limit.Stop()
		_ = b.inner.Close()
		r.cancel(nil)
	}()
}

// failure finds the reason of a failed exchange; otherwise applies where nothing else is known.
func (r *running) failure(ctx context.Context, err error, otherwise Reason) *SendError {
	written := r.sent.Load() != 0
	reason := otherwise
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		reason = ReasonSilent
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

// body tracks the progress of an answer.
type body struct {
	inner io.ReadCloser
	run   *running
	// err is what the last read returned.
	err error
}

// Read reads from the answer. Time that the reader spends between two reads is
// not counted against the upstream.
func (b *body) Read(p []byte) (int, error) {
	b.run.beginRead()
	n, err := b.inner.Read(p)
	b.run.endRead(n, err)
	b.err = err
	return n, err
}

// succeeded, failed and noticed pass what an attempt showed to the table.
func (i *Instance) succeeded(start time.Time) {
	if i.table != nil {
		i.table.succeeded(i, start)
	}
}

func (i *Instance) noticed(start time.Time) {
	if i.table != nil {
		i.table.leave(i, CauseNotice, start)
	}
}

// failed records the failure where it says something about the upstream. A
// silent attempt was recorded with the probe of its stall.
func (i *Instance) failed(failure *SendError) {
	if i.table == nil {
		return
	}
	i.table.Metrics.Counter("attempt.failed." + string(failure.Reason)).Inc(1)
	switch failure.Reason {
	case ReasonDial, ReasonNoAnswer, ReasonBroken:
		i.table.failed(i, failure.Reason)
	case ReasonStatus:
		if failure.Status >= http.StatusInternalServerError {
			i.table.failed(i, failure.Reason)
		}
	}
}
