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
	// maxPlainAnswer bounds the answer of a plain service. It is held until it is whole,
	// so that a broken one is never passed on and may be asked for again.
	maxPlainAnswer = 8 << 20
	// attemptObjectives is how many response-time objectives a repeatable attempt may
	// take while another one is allowed.
	attemptObjectives = 2
	// attemptLatencies does the same in mean latencies of the upstream, for routes whose
	// objective is short against the work.
	attemptLatencies = 4
)

// plain serves a request with one whole answer.
func (c *call) plain(ctx context.Context) error {
	var last *wholeAnswer
	for {
		upstream := LeastBusy(c.candidates(), c.request.ID, c.exclude, clock.Now())
		if upstream == nil {
			return fault.RetryAfter(fault.New(api.KindNoUpstream, "no upstream of the service is ready"), busyWait)
		}
		if !c.takeAttempt() {
			return c.deliverLast(last, errors.New("the budget of repeats is used up"))
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

// wholeAnswer is an upstream's answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// tryPlain makes one attempt.
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

// attemptLimit returns how long an attempt may take: all that is left, or less where
// another upstream may be asked.
func (c *call) attemptLimit(upstream *fleet.Upstream) time.Duration {
	left := c.left()
	if !c.route.Repeatable() || c.history.Ran+1 >= c.route.MaxAttempts || c.route.Objective == 0 {
		return left
	}
	limit := max(attemptObjectives*c.route.Objective, attemptLatencies*c.Health.Get(upstream).Latency)
	return min(limit, left)
}

func (c *call) exchangePlain(ctx context.Context, upstream *fleet.Upstream) (*wholeAnswer, Result, error) {
	// A request that may run once only never goes out on a connection that idled: it
	// may be dead, and then nobody knows whether the request has run.
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
		return nil, result, errors.New("the upstream answered " + strconv.Itoa(x.response.StatusCode))
	}
	return &wholeAnswer{x.response.StatusCode, x.response.Header, body}, result, nil
}

// outcomeOf tells what a result says of the upstream.
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

// deliverLast passes on the last whole answer, or the error where there is none.
func (c *call) deliverLast(last *wholeAnswer, cause error) error {
	if last != nil {
		return c.deliver(last)
	}
	return c.final(end(c.history), cause)
}

// deliver passes a whole answer on.
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

// keepUntyped keeps net/http from guessing a content type that the upstream did not give.
func keepUntyped(header http.Header) {
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil
	}
}
