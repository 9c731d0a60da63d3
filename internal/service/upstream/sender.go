package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// dialTimeout bounds a new connection; upstreams are at most a region away.
const dialTimeout = 500 * time.Millisecond

// Reason tells why an attempt failed.
type Reason string

// The reasons. Only ReasonDial is certain not to have reached the upstream.
const (
	ReasonDial     Reason = "dial_failed"
	ReasonNoAnswer Reason = "no_answer"
	ReasonStatus   Reason = "status"
	ReasonDraining Reason = "draining"
	ReasonSilent   Reason = "silent"
	ReasonBroken   Reason = "broken"
	ReasonCanceled Reason = "canceled"
)

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

// Attempt is one request to one instance.
type Attempt struct {
	Instance *Instance
	// Build makes the request; base is "http://ip:port".
	Build func(ctx context.Context, base string) (*http.Request, error)
	// Read consumes the body of a 2xx answer.
	Read func(status int, header http.Header, body io.Reader) error
	// Exclusive asks for a new connection of its own. net/http repeats a request
	// with an Idempotency-Key by itself on a pooled connection that breaks, which a
	// call that runs at most once does not allow.
	Exclusive bool
	// AnyStatus passes answers of every status to Read.
	AnyStatus bool
}

// Sender sends attempts over its connection pools.
type Sender struct {
	pooled    http.Transport
	exclusive http.Transport
}

// NewSender returns a sender with its connection pools.
func NewSender() *Sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Sender{
		pooled: http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
			DisableCompression: true,
		},
		exclusive: http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true},
	}
}

// Do sends one attempt and reads its answer. It returns a *SendError.
func (s *Sender) Do(ctx context.Context, attempt Attempt) error {
	attempt.Instance.inFlight.Add(1)
	defer attempt.Instance.inFlight.Add(-1)
	written := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { written.Store(true) }}
	request, err := attempt.Build(httptrace.WithClientTrace(ctx, trace), "http://"+string(attempt.Instance.Address))
	if err != nil {
		return &SendError{Reason: ReasonBroken, Cause: err}
	}
	transport := &s.pooled
	if attempt.Exclusive {
		transport = &s.exclusive
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return s.failure(ctx, err, written.Load())
	}
	defer response.Body.Close()
	if !attempt.AnyStatus && response.StatusCode/100 != 2 {
		return statusError(response)
	}
	if err := attempt.Read(response.StatusCode, response.Header, response.Body); err != nil {
		return s.readFailure(ctx, err)
	}
	return nil
}

func (s *Sender) failure(ctx context.Context, err error, written bool) error {
	reason := ReasonNoAnswer
	switch {
	case !written:
		reason = ReasonDial
	case ctx.Err() != nil:
		reason = ReasonCanceled
	}
	return &SendError{Reason: reason, Written: written, Cause: err}
}

func (s *Sender) readFailure(ctx context.Context, err error) error {
	reason := ReasonBroken
	if ctx.Err() != nil {
		reason = ReasonCanceled
	}
	return &SendError{Reason: reason, Written: true, Cause: err}
}

func statusError(response *http.Response) error {
	reason := ReasonStatus
	if response.StatusCode == http.StatusServiceUnavailable && response.Close {
		reason = ReasonDraining
	}
	return &SendError{Reason: reason, Written: true, Status: response.StatusCode}
}
