package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// minFirstEventTimeout is the shortest timeout for the first event before another engine
	// is tried. The prefill of the longest prompts in a full batch takes about this long.
	firstEventLimit = 1200 * time.Millisecond
	// firstEventLatencyFactor is the same timeout in mean times to the first event.
	firstEventLatencies = 4
	// minGapTimeout is the shortest gap between events after which a stream is resumed on
	// another engine.
	gapLimit = 1500 * time.Millisecond
	// gapFactor is the same timeout in maximum gaps of the route.
	gapTargets = 3
	// inputFetchTime is how long an engine without a queue has to fetch its inputs: a few
	// results of 1.5 MB over shared links of 10 Gbit/s. Their memory is released after it.
	// An engine that fetches later reports a conflict, and the stages are run again.
	fetchTime = 150 * time.Millisecond
	// queueingLatency is the mean time to the first event from which an engine is assumed to
	// queue requests.
	promptLatency = 800 * time.Millisecond
	// rankStep is the number of engine ranks per priority level of routes.
	rankStep = 2
	// maxRank is the lowest priority that engines accept.
	maxRank = 9
)

// serveStream serves a request whose response is an event stream.
func (c *call) stream(ctx context.Context) error {
	prepared, err := c.prepare(ctx)
	if err != nil {
		return err
	}
	defer func() { prepared.Release() }()
	s := &streaming{call: c, prepared: prepared, last: c.request.LastEvent}
	for {
		candidates := c.candidates()
		upstream := PlaceGeneration(candidates, c.request, prepared.Home, c.exclude, clock.Now())
		if upstream == nil {
			return s.end(fault.RetryAfter(fault.New(api.KindNoUpstream, "the service has no ready engine"), busyWait))
		}
		if !c.takeAttempt() {
			return s.end(c.final(end(c.history), errors.New("retry budget exhausted")))
		}
		result, err := s.try(ctx, upstream)
		c.history.Add(result)
		if result == ResultAnswered {
			return nil
		}
		c.exclude[upstream.ID] = true
		action := Next(c.route, c.history, result, c.left())
		if ctx.Err() != nil && action == ActionRetry {
			action = end(c.history)
		}
		c.attempted(upstream, result, action, err)
		if action != ActionRetry {
			return s.end(c.final(end(c.history), err))
		}
		c.Metrics.Counter("retry." + string(result)).Inc(1)
		if errors.Is(err, errInputsGone) || s.released.Load() {
			if err := s.prepareAgain(ctx); err != nil {
				return s.end(err)
			}
			prepared = s.prepared
		}
	}
}

// prepare runs the stages of the request.
func (c *call) prepare(ctx context.Context) (*Prepared, error) {
	items := 0
	for _, count := range c.request.Items {
		items += count
	}
	if len(c.route.Stages) == 0 || items == 0 {
		return &Prepared{Release: func() {}}, nil
	}
	if len(c.request.Items) != len(c.route.Stages) {
		return nil, fault.New(api.KindBadRequest, "request has items for %d stages, but the route has %d", len(c.request.Items), len(c.route.Stages))
	}
	prepared, err := c.Prepare(ctx, &Work{
		Request: c.request, Route: c.route, Snapshot: c.view.Snapshot, Rank: c.rank, Deadline: c.firstEvent(),
		Home: PrefixHome(c.candidates(), c.request, clock.Now()),
	})
	c.prepared = clock.Now().Sub(c.request.Received)
	return prepared, err
}

// streamCall is the state of a streaming request while it is served.
type streaming struct {
	*call
	prepared *Prepared
	// released is set after the inputs were released.
	released atomic.Bool
	// lastEventID is the id of the last forwarded event.
	last string
	// idStep is the difference between consecutive event ids; 0 until it is known.
	step int64
	// forwarded counts the forwarded events.
	passed int
}

// errInputsGone is returned if an input no longer existed when the engine fetched it.
var errInputsGone = errors.New("an input of the request no longer exists")

// rerunStages runs the stages again to get inputs for another attempt.
func (s *streaming) prepareAgain(ctx context.Context) error {
	s.prepared.Release()
	prepared, err := s.prepare(ctx)
	if err != nil {
		s.prepared = &Prepared{Release: func() {}}
		return err
	}
	s.prepared = prepared
	s.released.Store(false)
	return nil
}

// release frees the inputs after the engine has fetched them.
func (s *streaming) release(prepared *Prepared) {
	if len(prepared.Inputs) > 0 {
		s.released.Store(true)
	}
	prepared.Release()
}

// fail ends an incomplete stream. It returns err if no response was started, and else an
// error that closes the connection, so that the response does not look complete.
func (s *streaming) end(err error) error {
	if !s.started {
		return err
	}
	s.Metrics.Counter("stream.aborted").Inc(1)
	return errors.Join(errAborted, err)
}

// tryUpstream makes one attempt and forwards its events.
func (s *streaming) try(ctx context.Context, upstream *fleet.Upstream) (Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	tokens := s.request.PromptTokens
	s.Health.Begin(upstream, tokens)
	progress := &progress{limit: s.firstLimit(upstream), cancel: cancel, enabled: s.mayMove()}
	progress.start()
	defer progress.stop()
	result, first, err := s.exchange(ctx, upstream, progress)
	if first == 0 {
		s.Health.Prefilled(upstream, tokens)
	}
	outcome := s.outcomeOf(ctx, result)
	if errors.Is(context.Cause(ctx), errStalled) {
		outcome = OutcomeFailed
	}
	s.Health.End(upstream, outcome, first, clock.Now())
	if first > 0 {
		s.Metrics.Histogram("engine.first_event").Update(first.Milliseconds())
	}
	return result, err
}

// canSwitchEngine reports whether the stream may continue on another engine.
func (s *streaming) mayMove() bool {
	return s.route.Repeatable() && s.history.Ran+1 < s.route.MaxAttempts
}

func (s *streaming) firstLimit(upstream *fleet.Upstream) time.Duration {
	return max(firstEventLimit, firstEventLatencies*s.Health.Get(upstream).Latency)
}

// exchange sends the request and forwards events. It returns the time to the first event,
// 0 if there was none.
func (s *streaming) exchange(ctx context.Context, upstream *fleet.Upstream, progress *progress) (Result, time.Duration, error) {
	attempt := s.attempt(upstream)
	attempt.LastEvent, attempt.Inputs = s.last, s.prepared.Inputs
	attempt.Ranked, attempt.Rank = true, min(max(s.rank, 0)*rankStep, maxRank)
	began := clock.Now()
	if len(attempt.Inputs) > 0 && s.Health.Get(upstream).Latency < promptLatency {
		prepared := s.prepared
		fetched := time.AfterFunc(fetchTime, func() { s.release(prepared) })
		defer fetched.Stop()
	}
	x, err := s.Pool.start(ctx, &s.Codec, attempt, s.route.Repeatable())
	if err != nil {
		if NotSent(err) {
			return ResultNotSent, 0, err
		}
		return ResultLost, 0, err
	}
	if result := classify(x.response.StatusCode, x.reply); result != ResultAnswered {
		return s.notStreamed(x, result)
	}
	first, err := s.pass(x, progress, began, upstream)
	if err == nil {
		x.finish()
		return ResultAnswered, first, nil
	}
	x.close()
	return ResultLost, first, err
}

// handleNonStream handles a response that is not an event stream.
func (s *streaming) notStreamed(x *exchange, result Result) (Result, time.Duration, error) {
	defer x.close()
	status := x.response.StatusCode
	err := errors.New("engine responded with status " + strconv.Itoa(status))
	if result == ResultNotRun && status == http.StatusConflict {
		err = errInputsGone
	}
	if result != ResultServerError || s.started {
		if result == ResultServerError {
			result = ResultLost
		}
		return result, 0, err
	}
	// An error response is forwarded only if no other engine may be tried. The attempt
	// counts as run.
	if s.mayMove() {
		return ResultLost, 0, err
	}
	body, readErr := x.readAll(maxPlainAnswer)
	if readErr != nil {
		return ResultLost, 0, readErr
	}
	if err := s.deliver(&wholeAnswer{status, x.response.Header, body}); err != nil {
		return ResultLost, 0, err
	}
	return ResultAnswered, 0, nil
}

// forwardEvents forwards the events of an attempt until the stream ends. Nothing is written
// before the first complete event, so that another engine can be tried until then.
func (s *streaming) pass(x *exchange, progress *progress, began time.Time, upstream *fleet.Upstream) (time.Duration, error) {
	reader := newEventReader(x.response.Body)
	var first time.Duration
	for {
		e, err := reader.next()
		if err == io.EOF {
			return first, s.complete(x, first)
		}
		if err != nil {
			return first, err
		}
		if first == 0 {
			first = max(clock.Now().Sub(began), 1)
			s.Health.Prefilled(upstream, s.request.PromptTokens)
			s.release(s.prepared)
		}
		progress.event(max(gapLimit, gapTargets*s.route.MaxGap))
		if err := s.passEvent(x, &e); err != nil {
			return first, err
		}
	}
}

// complete ends a stream after its last event was forwarded.
func (s *streaming) complete(x *exchange, first time.Duration) error {
	if s.started {
		return nil
	}
	if first == 0 && s.request.LastEvent == "" && s.last == "" {
		return errors.New("stream ended without an event")
	}
	// A stream that is resumed after its last event is empty.
	s.startAnswer(x)
	return nil
}

func (s *streaming) startAnswer(x *exchange) {
	header := s.answer.Header()
	s.Codec.AnswerHeader(header, x.response.Header)
	keepUntyped(header)
	s.started, s.status = true, x.response.StatusCode
	s.answer.WriteHeader(s.status)
}

// errEventGap is returned if a resumed stream skips events.
var errEventGap = errors.New("event ids are not consecutive")

// forwardEvent forwards an event. Events that were already forwarded are dropped, and a gap
// in the ids is an error.
func (s *streaming) passEvent(x *exchange, e *event) error {
	if id, ok := e.number(); ok {
		last, known := (&event{id: s.last}).number()
		switch {
		case known && id <= last:
			return nil // already forwarded
		case known && s.step > 0 && id-last != s.step:
			return errEventGap
		case known && s.passed > 0 && s.step == 0:
			s.step = id - last
		}
	}
	if !s.started {
		s.startAnswer(x)
	}
	if _, err := s.answer.Write(e.raw); err != nil {
		return err
	}
	if err := http.NewResponseController(s.answer).Flush(); err != nil {
		return err
	}
	s.passed++
	if e.id != "" {
		s.last = e.id
	}
	return nil
}

// errStalled is the cancel cause of an attempt whose engine stopped sending events.
var errStalled = errors.New("engine sent no event in time")

// stallTimer cancels an attempt that receives no event in time.
type progress struct {
	// firstTimeout bounds the time to the first event.
	limit   time.Duration
	cancel  context.CancelCauseFunc
	enabled bool
	timer   *time.Timer
}

func (p *progress) start() {
	if p.enabled {
		p.timer = time.AfterFunc(p.limit, func() { p.cancel(errStalled) })
	}
}

// reset sets the timeout for the next event.
func (p *progress) event(limit time.Duration) {
	if p.timer != nil {
		p.timer.Reset(limit)
	}
}

func (p *progress) stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}
