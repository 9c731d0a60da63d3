package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
)

const (
	// stallObjectiveFactor is the time after which an attempt is replaced, in response-time
	// objectives of the route.
	stallObjectiveFactor = 2
	// stallLatencyFactor is the same time in mean latencies of the upstream, for routes whose
	// objective is shorter than the usual response time. The longer time applies.
	stallLatencyFactor = 4
	// stallUsualFactor is the same time in usual response times of the service. Up to it an upstream
	// may be slow: one request in a hundred takes five times as long, and a slow machine five times
	// as long for it. A replacement would gain nothing and take a slot of another upstream.
	stallUsualFactor = 25
	// stallLeftDivisor bounds that time to a third of the time until the deadline, so that enough
	// remains for a replacement.
	stallLeftDivisor = 3
)

// serveBuffered serves a request whose response is forwarded as a whole.
func (c *call) serveBuffered(ctx context.Context) error {
	var last *bufferedResponse
	defer func() {
		if last != nil {
			last.release()
		}
	}()
	defer c.dropReplacement()
	for {
		upstream, err := c.nextUpstream(c.leastLoaded)
		if err != nil {
			return c.deliverOrFail(last, err)
		}
		response, result, err := c.tryBuffered(ctx, upstream)
		c.history.Add(result)
		c.exclude[upstream.ID] = true
		if response != nil {
			if last != nil {
				last.release()
			}
			last = response
		}
		action := NextAction(c.route, c.history, result, c.attemptTime())
		if ctx.Err() != nil && action == ActionRetry {
			action = finalAction(c.history)
		}
		if result != ResultAnswered {
			c.logFailedAttempt(upstream, result, action, err)
		}
		switch action {
		case ActionDeliver:
			return c.deliver(response)
		case ActionRetry:
			c.Metrics.Counter("retry." + string(result)).Inc(1)
		default:
			return c.deliverLast(last, err)
		}
	}
}

// leastLoaded returns the candidate for the next attempt.
func (c *call) leastLoaded(candidates []Candidate) *fleet.Upstream {
	if c.route.Repeatable() {
		return LeastLoaded(candidates, c.request.ID, c.exclude, clock.Now())
	}
	return LeastLoadedForOrder(candidates, c.request.ID, c.exclude, clock.Now())
}

// bufferedResponse is an upstream's response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   fleet.Body
	// release returns the memory of the body.
	release func()
}

// tryBuffered makes one attempt and records its outcome.
func (c *call) tryBuffered(ctx context.Context, upstream *fleet.Upstream) (*bufferedResponse, Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	startTime := clock.Now()
	c.Health.Begin(upstream, 0)
	var stall *stallTimer
	if c.route.Objective > 0 && c.mayRepeat() {
		stall = c.newStallTimer(upstream, time.Time{}, cancel, func(context.Context, time.Time) (*replacement, error) {
			return c.secureUpstream(upstream, c.leastLoaded)
		})
		stall.onStalled = func() { c.Health.Late(upstream, clock.Now().Sub(startTime), clock.Now()) }
	}
	stall.start(c.stallTimeout(upstream))
	response, result, err := c.exchangeBuffered(ctx, upstream)
	c.replacement = stall.stop()
	switch result {
	case ResultAnswered:
		c.recordEnd(0)
	case ResultLost:
		c.recordLoss(ctx, upstream, 0, startTime, err)
	}
	now := clock.Now()
	c.Health.End(upstream, c.outcomeOf(ctx, result), now.Sub(startTime), now)
	return response, result, err
}

// stallTimeout returns the time after which an attempt is replaced.
func (c *call) stallTimeout(upstream *fleet.Upstream) time.Duration {
	health := c.Health.Get(upstream)
	return stallAfter(c.route, &health, c.left())
}

// stallAfter returns the time after which an attempt with the given health of its upstream is replaced,
// if left remains until the deadline.
func stallAfter(route *fleet.Route, health *Health, left time.Duration) time.Duration {
	timeout := max(stallObjectiveFactor*route.Objective, stallLatencyFactor*health.Latency)
	if health.Service == nil {
		return timeout
	}
	return max(timeout, min(stallUsualFactor*health.Service.Usual, left/stallLeftDivisor))
}

func (c *call) exchangeBuffered(ctx context.Context, upstream *fleet.Upstream) (*bufferedResponse, Result, error) {
	x, err := c.Pool.start(ctx, &c.Codec, c.newAttempt(upstream), c.mayReuse())
	if err != nil {
		if IsNotSent(err) {
			return nil, ResultNotSent, err
		}
		return nil, ResultLost, err
	}
	body, err := x.readAll(maxBufferedBytes)
	if err != nil {
		countLimit(c.Metrics, err)
		x.release()
		x.close()
		return nil, ResultLost, err
	}
	x.finish()
	result := classify(x.response.StatusCode, x.reply)
	if result == ResultNotRun || result == ResultLost {
		x.release()
		return nil, result, errors.New("upstream responded with status " + strconv.Itoa(x.response.StatusCode))
	}
	return &bufferedResponse{x.response.StatusCode, x.response.Header, body, x.release}, result, nil
}

// outcomeOf returns the outcome that a result has for the health of the upstream.
func (c *call) outcomeOf(ctx context.Context, result Result) Outcome {
	switch result {
	case ResultAnswered:
		return OutcomeAnswered
	case ResultNotRun:
		return OutcomeRefused
	case ResultNotSent:
		if errors.Is(ctx.Err(), context.Canceled) {
			return OutcomeCancelled
		}
		return OutcomeUnreachable
	case ResultServerError:
		return OutcomeFailed
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return OutcomeCancelled
	}
	return OutcomeLost
}

// deliverOrFail forwards the last complete response. If there is none, it returns the reason why
// there is no further attempt.
func (c *call) deliverOrFail(last *bufferedResponse, reason error) error {
	if last != nil {
		return c.deliver(last)
	}
	return reason
}

// deliverLast forwards the last complete response. Returns an error if there is none.
func (c *call) deliverLast(last *bufferedResponse, cause error) error {
	if last != nil {
		return c.deliver(last)
	}
	return c.finalError(finalAction(c.history), cause)
}

// deliver forwards a complete response to the caller.
func (c *call) deliver(response *bufferedResponse) error {
	header := c.writer.Header()
	c.Codec.CopyResponseHeader(header, response.header)
	disableContentTypeSniffing(header)
	if c.request.Method != http.MethodHead && response.status != http.StatusNoContent && response.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(response.body.Len(), 10))
	}
	c.started, c.status = true, response.status
	c.keepAfterDrain()
	c.writer.WriteHeader(response.status)
	if c.request.Method == http.MethodHead {
		return nil
	}
	for _, segment := range response.body {
		if err := c.writeCaller(segment); err != nil {
			return errAborted
		}
	}
	return nil
}

// disableContentTypeSniffing prevents net/http from adding a Content-Type if the upstream
// sent none.
func disableContentTypeSniffing(header http.Header) {
	if _, found := header["Content-Type"]; !found {
		header["Content-Type"] = nil
	}
}
