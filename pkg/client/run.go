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

// The wait before a repeat doubles from firstWait to lastWait, with jitter.
const (
	firstWait = 20 * time.Millisecond
	lastWait  = time.Second
)

// Order is one call of a plain service.
type Order struct {
	Service api.ServiceName
	Call    api.CallName
	// Method is the HTTP method towards the host; empty means POST.
	Method string
	// Body is the JSON body, or nil.
	Body []byte
	// Key is the idempotency key, a UUID version 7. Empty makes a new one; a caller
	// that may repeat the call after a restart sets and keeps its own.
	Key string
}

// Call calls a plain service and repeats it on other hosts until it has an
// answer or ctx ends. All tries carry the same idempotency key, so that a call
// which may not be repeated runs at most once.
//
// An error that holds an *api.Error tells by its Run field whether the call ran.
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
	m := message{
		method: order.Method, body: order.Body, key: order.Key, id: newID(),
		path: api.PathServices + url.PathEscape(string(order.Service)) + "/" + url.PathEscape(string(order.Call)),
	}
	var answer api.ServiceAnswer
	err := c.repeat(ctx, func(address api.Address) error {
		return c.attempt(ctx, address, m, func(body io.Reader) error {
			return json.NewDecoder(io.LimitReader(body, maxAnswer)).Decode(&answer)
		})
	})
	if err != nil {
		return nil, err
	}
	return &answer, nil
}

func newID() api.RequestID { return api.RequestID(uuid.NewString()) }

// repeat calls try with one host after the other until it succeeds, fails for
// good, or ctx ends. What a later try learns replaces an earlier failure, except
// that a request which may have run is never reported as not run.
func (c *Client) repeat(ctx context.Context, try func(api.Address) error) error {
	var last error
	unknown := false
	wait := firstWait
	for round := 0; ; {
		addresses, err := c.Addresses(ctx)
		if err != nil {
			last = prefer(last, err)
		}
		for _, address := range addresses {
			err := try(address)
			if err == nil {
				return nil
			}
			last = err
			unknown = unknown || mayHaveRun(err)
			if !c.again(address, err) {
				return verdict(last, unknown)
			}
			if ctx.Err() != nil {
				return verdict(last, unknown)
			}
		}
		if round++; round > 1 {
			c.expire()
		}
		if !sleep(ctx, jitter(max(wait, retryAfter(last)))) {
			return verdict(prefer(last, ctx.Err()), unknown)
		}
		wait = min(2*wait, lastWait)
	}
}

// again reports whether another try may follow err, and notes what failed.
func (c *Client) again(address api.Address, err error) bool {
	var failed *failure
	if !errors.As(err, &failed) {
		return false
	}
	if failed.answer == nil {
		c.punish(address)
		c.observe(failed.reason)
		return true
	}
	if !failed.answer.Repeatable {
		return false
	}
	switch failed.answer.Kind {
	case api.KindDraining, api.KindHostIsolated:
		c.punish(address)
	}
	c.observe(failed.reason)
	return true
}

// mayHaveRun reports whether the request of a failed try may have run.
func mayHaveRun(err error) bool {
	var failed *failure
	if !errors.As(err, &failed) {
		return false
	}
	if failed.answer != nil {
		return failed.answer.Run != api.RunNo
	}
	return failed.sent
}

// verdict returns the last failure as an *api.Error. A "not run" of the last try
// does not speak for an earlier one that may have run.
func verdict(last error, unknown bool) error {
	var failed *failure
	if !errors.As(last, &failed) {
		return last
	}
	answer := &api.Error{Kind: api.KindNoUpstream, Message: failed.Error(), Run: api.RunNo, Repeatable: true}
	if failed.answer != nil {
		copied := *failed.answer
		answer = &copied
	}
	if unknown && answer.Run == api.RunNo {
		answer.Run = api.RunUnknown
	}
	return answer
}

func prefer(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func retryAfter(err error) time.Duration {
	var failed *failure
	if errors.As(err, &failed) && failed.answer != nil {
		return time.Duration(failed.answer.RetryAfterMs) * time.Millisecond
	}
	return 0
}

func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// sleep waits for d and reports whether ctx is still open.
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
