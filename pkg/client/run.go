package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"redwingloft/pkg/api"
)

// The backoff before a retry doubles from minBackoff to maxBackoff, with jitter.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Order is one call of an HTTP service.
type Order struct {
	Service api.ServiceName
	Call    api.CallName
	// Method is the HTTP method towards the host; empty means POST.
	Method string
	// Body is the JSON body, or nil.
	Body []byte
	// Key is the idempotency key, a UUID version 7. If empty, a key is generated; a
	// caller that may retry the call after a restart sets and stores its own.
	Key string
}

// Call calls an HTTP service and retries on other hosts until it gets a
// response or ctx ends. All attempts carry the same idempotency key, so that a
// non-idempotent call is executed at most once.
//
// The Run field of a returned *api.Error states whether the call was executed.
func (c *Client) Call(ctx context.Context, order Order) (*api.ServiceAnswer, error) {
	if order.Key == "" {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		order.Key = key.String()
	}
	if order.Method == "" {
		order.Method = http.MethodPost
	}
	out := outgoingRequest{
		method: order.Method, body: order.Body, key: order.Key, id: newID(),
		path: api.PathServices + url.PathEscape(string(order.Service)) + "/" + url.PathEscape(string(order.Call)),
	}
	var response api.ServiceAnswer
	err := c.retry(ctx, func(address api.Address) error {
		return c.attempt(ctx, address, out, func(body io.Reader) error {
			return json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&response)
		})
	})
	if err != nil {
		return nil, err
	}
	return &response, nil
}

func newID() api.RequestID { return api.RequestID(uuid.NewString()) }

// retry calls attempt with one host after the other until it succeeds, fails
// permanently, or ctx ends. It returns the error of the last attempt, except that
// a request which may have been executed is never reported as not executed.
func (c *Client) retry(ctx context.Context, attempt func(api.Address) error) error {
	var lastErr error
	unknown := false
	backoff := minBackoff
	for round := 0; ; {
		addresses, err := c.Addresses(ctx)
		if err != nil {
			lastErr = firstError(lastErr, err)
		}
		for _, address := range addresses {
			err := attempt(address)
			if err == nil {
				return nil
			}
			lastErr = err
			unknown = unknown || mayHaveRun(err)
			if !c.shouldRetry(address, err) {
				return finalError(lastErr, unknown)
			}
			if ctx.Err() != nil {
				return finalError(lastErr, unknown)
			}
		}
		if round++; round > 1 {
			c.expireList()
		}
		if !sleep(ctx, jitter(max(backoff, retryAfter(lastErr)))) {
			return finalError(firstError(lastErr, ctx.Err()), unknown)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// shouldRetry reports whether err permits another attempt, and marks a host that failed.
func (c *Client) shouldRetry(address api.Address, err error) bool {
	var failed *failure
	if !errors.As(err, &failed) {
		return false
	}
	if failed.apiError == nil {
		c.markFailed(address)
		c.observeRetry(failed.reason)
		return true
	}
	if !failed.apiError.Repeatable {
		return false
	}
	switch failed.apiError.Kind {
	case api.KindDraining, api.KindHostIsolated:
		c.markFailed(address)
	}
	c.observeRetry(failed.reason)
	return true
}

// mayHaveRun reports whether the request of a failed attempt may have been executed.
func mayHaveRun(err error) bool {
	var failed *failure
	if !errors.As(err, &failed) {
		return false
	}
	if failed.apiError != nil {
		return failed.apiError.Run != api.RunNo
	}
	return failed.sent
}

// finalError returns the last failure as an *api.Error. If an earlier attempt may have
// been executed (unknown), a last run state of RunNo becomes RunUnknown.
func finalError(lastErr error, unknown bool) error {
	var failed *failure
	if !errors.As(lastErr, &failed) {
		return lastErr
	}
	apiErr := &api.Error{Kind: api.KindNoUpstream, Message: failed.Error(), Run: api.RunNo, Repeatable: true}
	if failed.apiError != nil {
		copied := *failed.apiError
		apiErr = &copied
	}
	if unknown && apiErr.Run == api.RunNo {
		apiErr.Run = api.RunUnknown
	}
	return apiErr
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func retryAfter(err error) time.Duration {
	var failed *failure
	if errors.As(err, &failed) && failed.apiError != nil {
		return time.Duration(failed.apiError.RetryAfterMs) * time.Millisecond
	}
	return 0
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
