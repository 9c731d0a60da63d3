package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// maxBufferedBytes bounds a non-streaming response. It is buffered, so that a truncated
	// response is not forwarded and the request can be retried.
	maxPlainAnswer = 8 << 20
	// attemptObjectiveFactor is the time limit of an attempt that can be retried, in
	// response-time objectives of the route.
	attemptObjectives = 2
	// attemptLatencyFactor is the same limit in mean latencies of the upstream, for routes
	// whose objective is shorter than the usual response time. The larger limit applies.
	attemptLatencies = 4
)

// serveBuffered serves a request whose response is forwarded as a whole.
func (c *call) plain(ctx context.Context) error {
	var last *wholeAnswer
	for {
		upstream := LeastBusy(c.candidates(), c.request.ID, c.exclude, clock.Now())
		if upstream == nil {
			return fault.RetryAfter(fault.New(api.KindNoUpstream, "the service has no ready upstream"), busyWait)
		}
		if !c.takeAttempt() {
			return c.deliverLast(last, errors.New("retry budget exhausted"))
		}
		answer, result, err := c.tryPlain(ctx, upstream)
		c.history.Add(result)
		c.exclude[upstream.ID] = true
		if answer != nil {
			last = answer
		}
		action := Next(c.route, c.history, result, c.left())
		if ctx.Err() != nil && action == ActionRetry {
			action = end(c.history)
		}
		if result != ResultAnswered {
			c.attempted(upstream, result, action, err)
		}
		switch action {
		case ActionDeliver:
			return c.deliver(answer)
		case ActionRetry:
			c.Metrics.Counter("retry." + string(result)).Inc(1)
		default:
			return c.deliverLast(last, err)
		}
	}
}

// bufferedResponse is an upstream's response that was read completely.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// tryBuffered makes one attempt and records its outcome.
func (c *call) tryPlain(ctx context.Context, upstream *fleet.Upstream) (*wholeAnswer, Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.attemptLimit(upstream))
	defer cancel()
	began := clock.Now()
	c.Health.Begin(upstream, 0)
	answer, result, err := c.exchangePlain(ctx, upstream)
	now := clock.Now()
	c.Health.End(upstream, c.outcomeOf(ctx, result), now.Sub(began), now)
	return answer, result, err
}

// attemptTimeout returns the time limit of an attempt: the time left, or less if another
// upstream could be tried.
func (c *call) attemptLimit(upstream *fleet.Upstream) time.Duration {
	left := c.left()
	if !c.route.Repeatable() || c.history.Ran+1 >= c.route.MaxAttempts || c.route.Objective == 0 {
		return left
	}
	limit := max(attemptObjectives*c.route.Objective, attemptLatencies*c.Health.Get(upstream).Latency)
	return min(limit, left)
}

func (c *call) exchangePlain(ctx context.Context, upstream *fleet.Upstream) (*wholeAnswer, Result, error) {
	// Requests that must not run twice never reuse an idle connection: if it is already
	// dead, it is unknown whether the request was run.
	x, err := c.Pool.start(ctx, &c.Codec, c.attempt(upstream), c.route.Repeatable())
	if err != nil {
		if NotSent(err) {
			return nil, ResultNotSent, err
		}
		return nil, ResultLost, err
	}
	body, err := x.readAll(maxPlainAnswer)
	if err != nil {
		x.close()
		return nil, ResultLost, err
	}
	x.finish()
	result := classify(x.response.StatusCode, x.reply)
	if result == ResultNotRun || result == ResultLost {
		return nil, result, errors.New("upstream responded with status " + strconv.Itoa(x.response.StatusCode))
	}
	return &wholeAnswer{x.response.StatusCode, x.response.Header, body}, result, nil
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
	return OutcomeFailed
}

// deliverLast forwards the last complete response. Returns an error if there is none.
func (c *call) deliverLast(last *wholeAnswer, cause error) error {
	if last != nil {
		return c.deliver(last)
	}
	return c.final(end(c.history), cause)
}

// deliver forwards a complete response to the caller.
func (c *call) deliver(a *wholeAnswer) error {
	header := c.answer.Header()
	c.Codec.AnswerHeader(header, a.header)
	keepUntyped(header)
	if c.request.Method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.started, c.status = true, a.status
	c.answer.WriteHeader(a.status)
	if _, err := c.answer.Write(a.body); err != nil && c.request.Method != http.MethodHead {
		return errAborted
	}
	return nil
}

// disableContentTypeSniffing prevents net/http from adding a Content-Type if the upstream
// sent none.
func keepUntyped(header http.Header) {
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil
	}
}
