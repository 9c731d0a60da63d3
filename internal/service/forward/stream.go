package forward

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
)

const (
	// minFirstEventTimeout is the shortest timeout for the first event before another engine
	// is tried. The prefill of the longest prompts in a full batch takes about this long.
	minFirstEventTimeout = 1200 * time.Millisecond
	// firstEventLatencyFactor is the same timeout in mean times to the first event.
	firstEventLatencyFactor = 4
	// minGapTimeout is the shortest gap between events after which a stream is resumed on
	// another engine.
	minGapTimeout = 1500 * time.Millisecond
	// gapFactor is the same timeout in maximum gaps of the route.
	gapFactor = 3
	// inputFetchTime is how long an engine without a queue has to fetch its inputs: a few
	// results of 1.5 MB over shared links of 10 Gbit/s. Their memory is released after it.
	// An engine that fetches later reports a conflict, and the stages are run again.
	inputFetchTime = 150 * time.Millisecond
	// queueingLatency is the mean time to the first event from which an engine is assumed to
	// queue requests.
	queueingLatency = 800 * time.Millisecond
)

// serveStream serves a request whose response is an event stream.
func (c *call) serveStream(ctx context.Context) error {
	if err := c.checkEngines(); err != nil {
		return err
	}
	c.countPrefix()
	prepared, err := c.runStages(ctx, c.request.Received.Add(c.route.Objective), c.eventDeadline(c.request.Received), c.responseTime())
	c.prepareTime = clock.Now().Sub(c.request.Received)
	if err != nil {
		return err
	}
	s := &streamCall{call: c, prepared: prepared, lastEventID: c.request.LastEventID}
	defer func() { s.prepared.Release() }()
	defer s.dropReplacement()
	for {
		if err := s.checkDrain(); err != nil {
			return err
		}
		upstream, err := s.nextUpstream(s.selectEngine(s.prepared))
		if err != nil {
			return s.fail(err)
		}
		result, err := s.tryUpstream(ctx, upstream)
		c.history.Add(result)
		if result == ResultAnswered {
			return nil
		}
		c.exclude[upstream.ID] = true
		action := NextAction(c.route, c.history, result, c.attemptTime())
		if action == ActionRetry && (ctx.Err() != nil || s.unplaced.Load() || errors.Is(err, errCallerWrite) || c.unread) {
			action = finalAction(c.history)
		}
		s.logFailedAttempt(upstream, result, action, err)
		if action != ActionRetry {
			return s.fail(c.finalError(finalAction(c.history), err))
		}
		c.Metrics.Counter("retry." + string(result)).Inc(1)
		if err := s.prepareRetry(ctx, errors.Is(err, errInputsGone)); err != nil {
			return s.fail(c.afterAttempts(err))
		}
	}
}

// selectEngine returns the choice of an engine for a request with the given results of its stages.
func (c *call) selectEngine(prepared *StageResults) func([]Candidate) *fleet.Upstream {
	return func(candidates []Candidate) *fleet.Upstream {
		now := clock.Now()
		choice := selectEngine(candidates, c.request, c.prefixRate(now), prepared.DataCentre, c.exclude, now)
		c.keptTokens.Store(int64(choice.Kept))
		c.recordChoice(&choice)
		return choice.Upstream
	}
}

// countPrefix counts the shared parts of the request.
func (c *call) countPrefix() {
	if parts := c.request.SharedParts(); len(parts) > 0 {
		c.prefixes.Add(parts[len(parts)-1].ID, c.request.Received)
	}
}

// prefixRate returns the estimated rate per second at which all hosts send prompts with the shared parts
// of the request.
func (c *call) prefixRate(now time.Time) float64 {
	parts := c.request.SharedParts()
	if len(parts) == 0 || c.Budget == nil || c.Budget.Hosts == nil {
		return 0
	}
	return c.prefixes.Rate(parts[len(parts)-1].ID, c.request.Received, now) * float64(c.Budget.Hosts())
}

// recordChoice counts a choice of an engine.
func (c *call) recordChoice(choice *EngineChoice) {
	if choice.Upstream == nil || len(c.request.SharedParts()) == 0 {
		return
	}
	c.Metrics.Counter("prefix.expected_tokens").Inc(int64(choice.Kept))
	if choice.Owners > 1 {
		c.Metrics.Counter("prefix.spread").Inc(1)
	}
	if choice.Upstream == choice.Preferred {
		return
	}
	c.Metrics.Counter("prefix.left_owner").Inc(1)
	c.Log.Debug().Str("request", string(c.request.ID)).Str("upstream", string(choice.Upstream.ID)).Str("preferred", string(choice.Preferred.ID)).
		Int("owners", choice.Owners).Int("expected_tokens", choice.Kept).Msg("preferred_engine_left")
}

// streamCall is the state of a streaming request while it is served.
type streamCall struct {
	*call
	prepared *StageResults
	// inputsReleased is set once the inputs may no longer exist.
	inputsReleased atomic.Bool
	// atStart is the load of the engine at the start of the current attempt.
	atStart FirstEvent
	// lastEventID is the id of the last forwarded event.
	lastEventID string
	// maxIDStep is the largest difference between the ids of consecutive events; 0 until one is known.
	maxIDStep int64
	// forwarded counts the forwarded events.
	forwarded int
	// events counts the events of the current attempt.
	events int
	// lastEventAt is when the last event was forwarded; zero before the first one.
	lastEventAt time.Time
	// continues is true if the events of the current attempt follow those of another one.
	continues bool
	// joined is set once an event of the current attempt has been forwarded.
	joined bool
	// repeatedID is the id of the last event of the current attempt that had been forwarded already, and
	// repeats is set if there is one.
	repeatedID int64
	repeats    bool
	// unplaced is true if the last forwarded event has no number, so that no other attempt can
	// continue after it.
	unplaced atomic.Bool
	// blocked is set if the caller has not read the stream for unreadTime in the current attempt, during
	// which the engine was not read either.
	blocked bool
}

// logFailedAttempt logs a failed attempt with the events that it produced. If the response was
// lost, it also logs the parts of the prompt that other requests may share.
func (s *streamCall) logFailedAttempt(upstream *fleet.Upstream, result Result, action Action, err error) {
	entry := s.failedAttemptEntry(upstream, result, action, err).Int("events", s.events)
	if result == ResultLost {
		entry = entry.Str("prompt", joinParts(s.request.SharedParts()))
	}
	entry.Msg("attempt_failed")
}

// joinParts returns the ids of prompt parts, separated by commas.
func joinParts(parts []fleet.PromptPart) string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return strings.Join(ids, ",")
}

// errUnplaced is returned if no other engine can continue the stream.
var errUnplaced = errors.New("the last event has no number")

// secureEngine returns a replacement for a stalled attempt, with new inputs if the former ones may
// no longer exist.
func (s *streamCall) secureEngine(ctx context.Context, current *fleet.Upstream, prepared *StageResults, lastEvent time.Time) (*replacement, error) {
	if s.unplaced.Load() {
		return nil, errUnplaced
	}
	r, err := s.beginReplacement(current)
	if err != nil {
		return nil, err
	}
	if s.inputsReleased.Load() {
		if prepared, err = s.rerunStages(ctx, lastEvent); err != nil {
			s.discard(r)
			return nil, err
		}
		r.prepared = prepared
	}
	// The engine is chosen last, since it may have left while the stages ran.
	return s.completeReplacement(r, current, s.selectEngine(prepared))
}

// fail ends an incomplete stream. It returns err if no response was started, and else an
// error that closes the connection, so that the response does not look complete.
func (s *streamCall) fail(err error) error {
	if !s.started {
		return err
	}
	s.Metrics.Counter("stream.aborted").Inc(1)
	return errors.Join(errAborted, err)
}

// tryUpstream makes one attempt and forwards its events.
func (s *streamCall) tryUpstream(ctx context.Context, upstream *fleet.Upstream) (Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.events, s.continues, s.blocked = 0, s.forwarded > 0, false
	s.joined, s.repeats = false, false
	tokens := s.request.PromptTokens
	s.atStart = s.loadAtStart(upstream)
	s.Health.Begin(upstream, tokens)
	prepared := s.prepared
	stall := s.newStallTimer(upstream, s.lastEventAt, cancel, func(ctx context.Context, lastEvent time.Time) (*replacement, error) {
		return s.secureEngine(ctx, upstream, prepared, lastEvent)
	})
	stall.start(s.firstEventTimeout(upstream))
	sent := clock.Now()
	result, first, err := s.exchange(ctx, upstream, stall)
	s.replacement = stall.stop()
	if result == ResultLost && s.blocked && !errors.Is(context.Cause(ctx), errStalled) {
		s.unread = true
	}
	if errors.Is(err, errCallerWrite) || s.unread {
		// The error is not one of the engine.
		cancel(errCallerWrite)
	}
	if result == ResultLost {
		s.recordLoss(ctx, upstream, s.events, sent, err)
	}
	if first == 0 {
		s.Health.Prefilled(upstream, tokens)
		if result == ResultLost {
			s.atStart.Took = clock.Now().Sub(sent)
			s.Health.RecordNoEvent(upstream, &s.atStart, clock.Now())
		}
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		err = errors.Join(errStalled, err)
	}
	s.Health.End(upstream, s.outcomeOf(ctx, result), first, clock.Now())
	if first > 0 {
		s.Metrics.Histogram("engine.first_event").Update(first.Milliseconds())
	}
	return result, err
}

func (s *streamCall) firstEventTimeout(upstream *fleet.Upstream) time.Duration {
	return max(minFirstEventTimeout, firstEventLatencyFactor*s.Health.Get(upstream).Latency)
}

// exchange sends the request and forwards events. It returns the time to the first event,
// 0 if there was none.
func (s *streamCall) exchange(ctx context.Context, upstream *fleet.Upstream, stall *stallTimer) (Result, time.Duration, error) {
	attempt := s.newAttempt(upstream)
	attempt.LastEventID, attempt.Inputs = s.lastEventID, s.prepared.Inputs
	attempt.SendRank, attempt.Rank = true, s.rank.ForEngine()
	startTime := clock.Now()
	if len(attempt.Inputs) > 0 && s.Health.Get(upstream).Latency < queueingLatency {
		prepared := s.prepared
		fetched := time.AfterFunc(inputFetchTime, func() { s.release(prepared) })
		defer fetched.Stop()
	}
	x, err := s.Pool.start(ctx, &s.Codec, attempt, s.mayReuse())
	if err != nil {
		if IsNotSent(err) {
			return ResultNotSent, 0, err
		}
		return ResultLost, 0, err
	}
	if result := classify(x.response.StatusCode, x.reply); result != ResultAnswered || !isEventStream(x.response) {
		return s.handleNonStream(x, result)
	}
	first, err := s.forwardEvents(x, stall, startTime, upstream)
	if err == nil {
		s.recordEnd(s.events)
		if !s.continues && s.request.LastEventID == "" {
			s.streamTimes.observe(s.route.Name, clock.Now().Sub(startTime))
		}
		x.finish()
		return ResultAnswered, first, nil
	}
	x.close()
	return ResultLost, first, err
}

// isEventStream reports whether a response is a stream of events. Engines may omit the type.
func isEventStream(response *http.Response) bool {
	text := response.Header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(text)
	return response.StatusCode == http.StatusOK && (text == "" || (err == nil && mediaType == "text/event-stream"))
}

// handleNonStream handles a response that is not an event stream. It is forwarded whole, or not
// at all once the stream of another engine has begun.
func (s *streamCall) handleNonStream(x *exchange, result Result) (Result, time.Duration, error) {
	defer x.close()
	status := x.response.StatusCode
	err := errors.New("engine responded with status " + strconv.Itoa(status))
	if result == ResultNotRun && status == http.StatusConflict {
		err = errInputsGone
	}
	if result == ResultNotRun || result == ResultLost {
		return result, 0, err
	}
	// An error response is forwarded only if no other engine may be tried. The attempt
	// counts as run.
	if s.started || (result == ResultServerError && s.mayRepeat()) {
		return ResultLost, 0, err
	}
	defer x.release()
	body, readErr := x.readAll(maxBufferedBytes)
	if readErr != nil {
		countLimit(s.Metrics, readErr)
		return ResultLost, 0, readErr
	}
	if err := s.deliver(&bufferedResponse{status, x.response.Header, body, x.release}); err != nil {
		return ResultLost, 0, err
	}
	return ResultAnswered, 0, nil
}

// forwardEvents forwards the events of an attempt until the stream ends. Nothing is written
// before the first complete event, so that another engine can be tried until then.
func (s *streamCall) forwardEvents(x *exchange, stall *stallTimer, startTime time.Time, upstream *fleet.Upstream) (time.Duration, error) {
	reader := newEventReader(x.response.Body)
	reader.pool = s.Pool
	defer reader.release()
	var first time.Duration
	// withheld holds bytes without progress that arrived before the first event.
	var withheld []byte
	for {
		e, err := reader.next()
		if err == io.EOF {
			return first, s.complete(x, first, withheld)
		}
		if err != nil {
			countLimit(s.Metrics, err)
			return first, err
		}
		if !e.progress {
			if withheld, err = s.forwardFiller(&e, withheld); err != nil {
				countLimit(s.Metrics, err)
				return first, err
			}
			continue
		}
		e.raw, withheld = append(withheld, e.raw...), nil
		s.events++
		s.recordEvent(s.events)
		if first == 0 {
			first = max(clock.Now().Sub(startTime), 1)
			s.recordFirstEvent(upstream, first)
			s.release(s.prepared)
		}
		stall.pause()
		if err := s.forwardEvent(x, &e); err != nil {
			return first, err
		}
		stall.reset(max(minGapTimeout, gapFactor*s.route.MaxGap))
	}
}

// forwardFiller forwards comments and empty events, which are part of the body but no progress
// of the stream. Before the first event they are withheld, so that another engine can be tried.
func (s *streamCall) forwardFiller(e *event, withheld []byte) ([]byte, error) {
	if s.started {
		return nil, s.write(e.raw)
	}
	if len(withheld)+len(e.raw) > maxEventBytes {
		return nil, &limitError{limitEvent, maxEventBytes}
	}
	return append(withheld, e.raw...), nil
}

// errNoEvent is returned if a stream ended without an event.
var errNoEvent = errors.New("stream ended without an event")

// complete ends a stream after its last event was forwarded.
func (s *streamCall) complete(x *exchange, first time.Duration, withheld []byte) error {
	// The end of a response without a length may be that of its engine.
	unframed := x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0
	if first == 0 && (unframed || s.lastEventID == "") {
		return errNoEvent
	}
	if s.started {
		return nil
	}
	// A stream that is resumed after its last event is empty.
	s.startResponse(x)
	return s.write(withheld)
}

func (s *streamCall) startResponse(x *exchange) {
	header := s.writer.Header()
	s.Codec.CopyResponseHeader(header, x.response.Header)
	disableContentTypeSniffing(header)
	s.started, s.status = true, x.response.StatusCode
	s.keepAfterDrain()
	s.writer.WriteHeader(s.status)
}
