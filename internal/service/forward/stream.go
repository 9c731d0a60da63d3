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
	// firstEventLimit is the least time after which a silent engine is left for another
	// one. Reading the longest prompts of a full batch takes about this long.
	firstEventLimit = 1200 * time.Millisecond
	// firstEventLatencies is the same in mean times to the first event.
	firstEventLatencies = 4
	// gapLimit is the least pause after which a stream is resumed on another engine.
	gapLimit = 1500 * time.Millisecond
	// gapTargets is the same in the route's longest pauses.
	gapTargets = 3
	// fetchTime is how long an engine that does not queue has to fetch its inputs: a few
	// results of 1.5 MB over links of 10 Gbit/s, beside others. Their room is given back
	// after it; an engine that comes too late says so, and they are made again.
	fetchTime = 150 * time.Millisecond
	// promptLatency is the mean time to the first event from which an engine is taken to queue.
	promptLatency = 800 * time.Millisecond
	// rankStep spreads the priorities of routes over the ranks of engines.
	rankStep = 2
	// maxRank is the last rank of engines.
	maxRank = 9
)

// stream serves a request that is answered by events.
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
			return s.end(fault.RetryAfter(fault.New(api.KindNoUpstream, "no engine of the service is ready"), busyWait))
		}
		if !c.takeAttempt() {
			return s.end(c.final(end(c.history), errors.New("the budget of repeats is used up")))
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
		return nil, fault.New(api.KindBadRequest, "the request names %d stages, the route has %d", len(c.request.Items), len(c.route.Stages))
	}
	prepared, err := c.Prepare(ctx, &Work{
		Request: c.request, Route: c.route, Snapshot: c.view.Snapshot, Rank: c.rank, Deadline: c.firstEvent(),
		Home: PrefixHome(c.candidates(), c.request, clock.Now()),
	})
	c.prepared = clock.Now().Sub(c.request.Received)
	return prepared, err
}

// streaming is a stream on its way.
type streaming struct {
	*call
	prepared *Prepared
	// released tells that the inputs are no longer kept.
	released atomic.Bool
	// last is the id of the last event that was passed on.
	last string
	// step is the difference of two ids in a row; 0 while it is not known.
	step int64
	// passed counts the events that were passed on.
	passed int
}

// errInputsGone tells that an input of the request no longer exists.
var errInputsGone = errors.New("an input of the request is gone")

// prepareAgain makes the inputs anew for another attempt.
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

// release tells that the engine has fetched its inputs.
func (s *streaming) release(prepared *Prepared) {
	if len(prepared.Inputs) > 0 {
		s.released.Store(true)
	}
	prepared.Release()
}

// end ends a stream without its last event: with an error where nothing was passed on
// yet, else by breaking the connection, so that the answer does not look complete.
func (s *streaming) end(err error) error {
	if !s.started {
		return err
	}
	s.Metrics.Counter("stream.aborted").Inc(1)
	return errors.Join(errAborted, err)
}

// try makes one attempt and passes its events on.
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
	if errors.Is(context.Cause(ctx), errSilent) {
		outcome = OutcomeFailed
	}
	s.Health.End(upstream, outcome, first, clock.Now())
	if first > 0 {
		s.Metrics.Histogram("engine.first_event").Update(first.Milliseconds())
	}
	return result, err
}

// mayMove reports whether a silent engine may be left for another one.
func (s *streaming) mayMove() bool {
	return s.route.Repeatable() && s.history.Ran+1 < s.route.MaxAttempts
}

func (s *streaming) firstLimit(upstream *fleet.Upstream) time.Duration {
	return max(firstEventLimit, firstEventLatencies*s.Health.Get(upstream).Latency)
}

// exchange sends the request and passes events on. It returns the time to the first
// event, 0 where there was none.
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

// notStreamed handles an answer that is not a stream.
func (s *streaming) notStreamed(x *exchange, result Result) (Result, time.Duration, error) {
	defer x.close()
	status := x.response.StatusCode
	err := errors.New("the engine answered " + strconv.Itoa(status))
	if result == ResultNotRun && status == http.StatusConflict {
		err = errInputsGone
	}
	if result != ResultServerError || s.started {
		if result == ResultServerError {
			result = ResultLost
		}
		return result, 0, err
	}
	// The engine's own failure is passed on only where no other may be tried; it counts as run.
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

// pass passes the events of an attempt on until its end. Nothing is written before
// the first whole event, so that an engine that breaks off earlier can be replaced.
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

// complete ends a stream whose last event was passed on.
func (s *streaming) complete(x *exchange, first time.Duration) error {
	if s.started {
		return nil
	}
	if first == 0 && s.request.LastEvent == "" && s.last == "" {
		return errors.New("the stream ended without an event")
	}
	// A stream that was resumed after its last event has nothing left to send.
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

// errOrder tells that the events of a resumed stream do not follow the ones before.
var errOrder = errors.New("the events do not follow the ones that were passed on")

// passEvent passes one event on where it follows the last one.
func (s *streaming) passEvent(x *exchange, e *event) error {
	if id, ok := e.number(); ok {
		last, known := (&event{id: s.last}).number()
		switch {
		case known && id <= last:
			return nil // already passed on
		case known && s.step > 0 && id-last != s.step:
			return errOrder
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

// errSilent tells that an engine sent nothing for too long.
var errSilent = errors.New("the engine is silent")

// progress ends an attempt that makes none.
type progress struct {
	// limit bounds the time to the first event.
	limit   time.Duration
	cancel  context.CancelCauseFunc
	enabled bool
	timer   *time.Timer
}

func (p *progress) start() {
	if p.enabled {
		p.timer = time.AfterFunc(p.limit, func() { p.cancel(errSilent) })
	}
}

// event notes an event and allows the next one the given time.
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
