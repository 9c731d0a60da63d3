package forward

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/drain"
	"redwingloft/internal/service/prefix"
	"redwingloft/internal/service/quarantine"
	"redwingloft/pkg/api"
)

// StageResults holds the results of the stages of a request.
type StageResults struct {
	// Inputs refer to the stage results that the engine fetches.
	Inputs []fleet.ResultRef
	// DataCentre is the data centre that holds most of the bytes; empty if there are none.
	DataCentre api.DataCentre
	// Release frees the inputs after the engine has fetched them or if they are not needed.
	Release func()
}

// StageWork describes the stages to run for one request.
type StageWork struct {
	Request  *fleet.Request
	Route    *fleet.Route
	Snapshot *fleet.Snapshot
	Rank     fleet.Rank
	// Workspace is empty for public routes.
	Workspace api.WorkspaceName
	// EngineDataCentre is the data centre of the engine that the hash of the prompt prefix selects.
	EngineDataCentre api.DataCentre
	// Target is when the results should be ready.
	Target time.Time
	// Deadline is when the caller is expected to give up on the next event.
	Deadline time.Time
	// Reserve is the time that must be left after the stages if the host drains, for the response.
	Reserve time.Duration
}

// Service forwards callers' requests to upstreams. Set the exported fields before use.
type Service struct {
	View       func() *directory.View
	Pool       *Pool
	Codec      Codec
	Health     *HealthTable
	Budget     *Budget
	Log        *log.Logger
	Metrics    *metric.Set
	DataCentre api.DataCentre
	// Prompts tracks the prompts that crash engines; it may be nil.
	Prompts *quarantine.Tracker
	// RunStages runs the stages of a request.
	RunStages func(ctx context.Context, work *StageWork) (*StageResults, error)
	// RefusalError returns the error with which a new request with the given deadline is refused, or
	// nil. It may be nil.
	RefusalError func(route *fleet.Route, deadline time.Time) error
	// Drain bounds the waits of accepted requests once the host drains; nil means that it never does.
	Drain *drain.Schedule
	// WriteStall is how long a caller may read nothing of a response; 0 means until its request times out.
	WriteStall time.Duration

	preparing   preparing
	streamTimes streamTimes
	// prefixes counts the shared parts of prompts that were sent to engines.
	prefixes prefix.Table
}

// call is the state of one request while it is served.
type call struct {
	*Service
	request   *fleet.Request
	route     *fleet.Route
	view      *directory.View
	service   api.ServiceName
	workspace api.WorkspaceName
	rank      fleet.Rank
	deadline  time.Time
	history   AttemptCounts
	exclude   map[api.UpstreamID]bool
	// upstream is the upstream of the last attempt.
	upstream api.UpstreamID
	// keptTokens is the number of prompt tokens that the engine chosen last presumably keeps.
	keptTokens atomic.Int64
	// prepareTime is the time from the arrival of the request to the end of its stages.
	prepareTime time.Duration
	writer      http.ResponseWriter
	// started is set when the response header is written.
	started bool
	status  int
	// budgeted is set after the first attempt was counted.
	budgeted bool
	// replacement is the attempt that follows the last one, which was cancelled for it; nil if the
	// last attempt ended by itself.
	replacement *replacement
	// writeEnd is the time until which the response may be written.
	writeEnd time.Time
	// unread is set if the response was lost because its caller did not read it.
	unread bool
	// keepAfterDrain lets the request go on after the end of the drain; it is called when the response begins.
	keepAfterDrain func()
}

// eventDeadline returns when the caller of a stream is expected to give up if it gets no event
// from the given time on.
func (c *call) eventDeadline(since time.Time) time.Time {
	wait := max(minCallerWait, callerWaitObjectiveFactor*c.route.Objective, callerWaitGapFactor*c.route.MaxGap)
	until := since.Add(wait)
	if until.Before(c.deadline) {
		return until
	}
	return c.deadline
}

const (
	// Callers of the platform disconnect from a stream, before its first event or between two,
	// after the longest of minCallerWait, a number of response-time objectives and a number of
	// maximum gaps.
	minCallerWait             = 2 * time.Second
	callerWaitObjectiveFactor = 4
	callerWaitGapFactor       = 8
)

// notRunWait is how long after the end of the drain, which is the deadline of its attempt, a request
// waits for its upstream to state that it was not run.
const notRunWait = 50 * time.Millisecond

// deliveryGrace is how long after its deadline a response that was complete in time may still be
// written to its caller.
const deliveryGrace = 3 * time.Second

// maxRequestTime bounds every request, also without a deadline and a route timeout.
const maxRequestTime = 10 * time.Minute

// errAborted is returned if the connection to the caller must be closed, because a regular
// end would make the partial response look complete.
var errAborted = errors.New("response aborted")

// IsAborted reports whether err means that the connection to the caller must be closed.
func IsAborted(err error) bool { return errors.Is(err, errAborted) }

// Serve serves one request. If it returns an error, nothing has been written to w, unless
// IsAborted reports true for the error.
func (s *Service) Serve(ctx context.Context, request *fleet.Request, w http.ResponseWriter) error {
	c, err := s.admit(request, w)
	if err != nil {
		s.logRefused(request, err)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.left())
	defer cancel()
	ctx, cancelDrained := context.WithCancelCause(ctx)
	defer cancelDrained(nil)
	c.keepAfterDrain = s.Drain.BeforeEnd(-notRunWait, func() { cancelDrained(drain.ErrEnded) })
	defer c.keepAfterDrain()
	// A caller that reads slowly must not hold the response for ever. Writers in tests have no
	// deadline.
	c.writeEnd = time.Now().Add(c.left() + deliveryGrace)
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	if c.route.Kind == fleet.KindStreaming {
		err = c.serveStream(ctx)
	} else {
		err = c.serveBuffered(ctx)
	}
	if err != nil {
		aborted := IsAborted(err)
		err = c.wrapContextError(ctx, err)
		if aborted && !IsAborted(err) {
			err = errors.Join(errAborted, err)
		}
	}
	if c.unread {
		c.Metrics.Counter("clients.unread_responses").Inc(1)
		err = errors.Join(errUnread, err)
	}
	c.logDone(err)
	return err
}

// admit checks a request against the routing document and sets its deadline.
func (s *Service) admit(request *fleet.Request, w http.ResponseWriter) (*call, error) {
	c, err := s.newCall(request, w, func(snapshot *fleet.Snapshot) *fleet.Workspace { return snapshot.Workspace(request.Credential) })
	if err != nil {
		return nil, err
	}
	if err := c.checkAdmission(); err != nil {
		return nil, err
	}
	return c, nil
}

// newCall returns the call for a request. workspaceOf returns the workspace of the request, or nil.
func (s *Service) newCall(request *fleet.Request, w http.ResponseWriter, workspaceOf func(*fleet.Snapshot) *fleet.Workspace) (*call, error) {
	view := s.View()
	if view.Snapshot == nil {
		return nil, fault.AddRetryAfter(fault.New(api.KindNoUpstream, "the host has no routing document yet"), notReadyRetryAfter)
	}
	route := view.Snapshot.Match(request.Host, request.Path)
	if route == nil {
		return nil, fault.New(api.KindNotFound, "no route matches this host and path")
	}
	c := &call{
		Service: s, request: request, route: route, view: view, service: route.ServiceFor(request.ID),
		exclude: map[api.UpstreamID]bool{}, writer: w,
	}
	if view.Snapshot.RequiresCredential() && !route.Public {
		workspace := workspaceOf(view.Snapshot)
		if workspace == nil {
			return nil, fault.New(api.KindUnauthorized, "unknown credential")
		}
		c.workspace, c.rank = workspace.Name, fleet.RankOf(route, workspace)
	} else {
		c.rank = fleet.RankOf(route, nil)
	}
	c.deadline = request.Received.Add(maxRequestTime)
	for _, bound := range []time.Duration{request.CallerTimeout, route.Timeout} {
		if bound > 0 && request.Received.Add(bound).Before(c.deadline) {
			c.deadline = request.Received.Add(bound)
		}
	}
	return c, nil
}

// checkAdmission returns the error with which a request is refused before anything else is known of it.
func (c *call) checkAdmission() error {
	if c.RefusalError != nil {
		if err := c.RefusalError(c.route, c.deadline); err != nil {
			return err
		}
	}
	if c.left() <= 0 {
		return fault.New(api.KindDeadlineUnreachable, "the deadline had passed when the request arrived")
	}
	if err := c.checkDrain(); err != nil {
		return err
	}
	return c.checkPrompt()
}

// left returns the time until the deadline. Time in which the machine was suspended counts.
func (c *call) left() time.Duration { return c.deadline.Sub(clock.Now()) }

// attemptTime returns the time until an attempt has to end, which is the deadline or the end of the drain.
func (c *call) attemptTime() time.Duration { return c.Drain.Bound(c.deadline, 0).Sub(clock.Now()) }

// checkDrain returns the error for a request that was not run and whose response is not expected to end
// before the drain does.
func (c *call) checkDrain() error {
	times, draining := c.Drain.Times()
	if !draining || c.started || c.history.MayHaveRun > 0 || clock.Now().Add(c.responseTime()).Before(times.End) {
		return nil
	}
	return drain.Refusal(nil)
}

// responseTime returns the time that the response to the request is expected to take from its engine.
func (c *call) responseTime() time.Duration {
	if c.route.Kind != fleet.KindStreaming {
		return 0
	}
	return c.streamTimes.expected(c.route)
}

// candidates returns the ready upstreams of the service with their health, without those that
// may get no request now because of their rate limits or pauses. It uses the current view, so upstreams
// that are no longer ready are not tried.
func (c *call) candidates() []Candidate {
	ready := c.View().Ready(c.service)
	now := clock.Now()
	list := make([]Candidate, 0, len(ready))
	for _, upstream := range ready {
		if limited, exhausted := c.Pool.Throttle.State(upstream, now); !exhausted {
			list = append(list, Candidate{Upstream: upstream, Limited: limited})
		}
	}
	c.Health.Fill(list)
	return list
}

// selectUpstream returns the upstream that choose selects and counts the request against its rate
// limit.
func (c *call) selectUpstream(choose func([]Candidate) *fleet.Upstream) (*fleet.Upstream, error) {
	for {
		upstream := choose(c.candidates())
		if upstream == nil {
			return nil, c.afterAttempts(c.noCandidateError())
		}
		if c.Pool.Throttle.Take(upstream, clock.Now()) {
			return upstream, nil
		}
	}
}

// noCandidateError returns the error if no upstream may get a request now.
func (c *call) noCandidateError() error {
	ready := c.View().Ready(c.service)
	if len(ready) == 0 {
		wait := busyRetryAfter
		if len(c.View().Evacuated) > 0 {
			wait = evacuatedRetryAfter
		}
		return fault.AddRetryAfter(fault.New(api.KindNoUpstream, "the service has no ready upstream"), wait)
	}
	c.Metrics.Counter("throttle.refused." + string(c.service)).Inc(1)
	return fault.AddRetryAfter(fault.New(api.KindOverloaded, "all %d upstreams get as many requests as they accept", len(ready)), c.retryDelay(ready))
}

// retryDelay returns the time after which a refused caller should return.
func (c *call) retryDelay(ready []*fleet.Upstream) time.Duration {
	if len(ready) == 0 {
		return busyRetryAfter
	}
	return max(c.Pool.Throttle.RetryDelay(ready, clock.Now()), busyRetryAfter)
}

// newAttempt returns an attempt at an upstream.
func (c *call) newAttempt(upstream *fleet.Upstream) *fleet.Attempt {
	c.upstream = upstream.ID
	return &fleet.Attempt{
		Request: c.request, Upstream: upstream, Remaining: c.attemptTime(), Workspace: c.workspace, LastEventID: c.request.LastEventID,
	}
}

// mayReuse reports whether the next attempt may use an idle connection. Requests that must not
// run twice never do: if it is already dead, it is unknown whether the request was run. Nor do
// later attempts, as a copy of the response to an earlier one has the id of the request too.
func (c *call) mayReuse() bool { return c.route.Repeatable() && c.history == AttemptCounts{} }

// takeAttempt reports whether another attempt may be made. Attempts after the first are
// charged to the retry budget.
func (c *call) takeAttempt(now time.Time) bool {
	if !c.budgeted {
		c.budgeted = true
		c.Budget.RecordFirst(c.service, now)
		return true
	}
	if !c.Budget.Allow(c.service, 1, now) {
		c.Metrics.Counter("retry.refused." + string(c.service)).Inc(1)
		return false
	}
	return true
}

// wrapContextError wraps err with the kind that fits a cancelled or expired context.
func (c *call) wrapContextError(ctx context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), drain.ErrEnded):
		return c.afterDrain(err)
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.Wrap(api.KindCallerGone, err, "the caller disconnected")
	case ctx.Err() != nil:
		return fault.Wrap(api.KindDeadlineExceeded, err, "deadline exceeded")
	}
	return err
}

// afterDrain returns the error for a request that is given up because its host stops.
func (c *call) afterDrain(err error) error {
	c.Metrics.Counter("drain.given_up").Inc(1)
	if c.history.MayHaveRun > 0 {
		return fault.Wrap(api.KindStageFailed, err, "the host stops before the upstream has responded")
	}
	return drain.Refusal(err)
}

// logRefused counts and logs a request that failed before any attempt.
func (s *Service) logRefused(request *fleet.Request, err error) {
	s.Metrics.Counter("request.refused").Inc(1)
	s.Log.Info().Str("request", string(request.ID)).Str("kind", string(fault.KindOf(err))).
		Int64("waited_ms", clock.Now().Sub(request.Received).Milliseconds()).Err(err).Msg("request_refused")
}

// logDone counts and logs the outcome of a request.
func (c *call) logDone(err error) {
	outcome, cause := "answered", ""
	if err != nil {
		outcome = string(fault.KindOf(err))
		if IsAborted(err) {
			outcome, cause = "aborted", outcome
			if c.unread {
				cause = "unread"
			}
			c.Metrics.Counter("aborted." + cause).Inc(1)
		}
	}
	took := clock.Now().Sub(c.request.Received)
	c.Metrics.Counter("request." + outcome).Inc(1)
	c.Metrics.Histogram("request." + string(c.route.Kind)).Update(took.Milliseconds())
	entry := c.Log.Info().Str("request", string(c.request.ID)).Str("route", string(c.route.Name)).
		Int64("revision", int64(c.view.Snapshot.Revision)).Str("service", string(c.service)).Str("upstream", string(c.upstream)).
		Int("status", c.status).Int("ran", c.history.MayHaveRun).Int("unsent", c.history.NotRun).
		Int64("prepared_ms", c.prepareTime.Milliseconds()).Int64("took_ms", took.Milliseconds()).Int64("left_ms", c.left().Milliseconds())
	if err != nil {
		entry = entry.Err(err)
	}
	if cause != "" {
		entry = entry.Str("cause", cause)
	}
	entry.Str("outcome", outcome).Msg("request_done")
}

// logFailedAttempt counts and logs a failed attempt and the action taken.
func (c *call) logFailedAttempt(upstream *fleet.Upstream, result Result, action Action, err error) {
	c.failedAttemptEntry(upstream, result, action, err).Msg("attempt_failed")
}

// failedAttemptEntry counts a failed attempt and returns its log entry.
func (c *call) failedAttemptEntry(upstream *fleet.Upstream, result Result, action Action, err error) *log.Entry {
	c.Metrics.Counter("attempt." + string(result)).Inc(1)
	entry := c.Log.Info().Str("request", string(c.request.ID)).Str("upstream", string(upstream.ID)).Str("result", string(result)).
		Str("action", string(action)).Int("ran", c.history.MayHaveRun).Int("unsent", c.history.NotRun).Int64("left_ms", c.left().Milliseconds())
	if err != nil {
		entry = entry.Err(err)
	}
	return entry
}

const (
	// notReadyRetryAfter is the Retry-After time of a host that has just started. It receives
	// the routing document within tens of milliseconds of connecting to the store.
	notReadyRetryAfter = 200 * time.Millisecond
	// busyRetryAfter is the Retry-After time if all upstreams are busy: about the time in
	// which a non-streaming request frees its slot.
	busyRetryAfter = 60 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After time while data centres are evacuated, which lasts seconds
	// at least.
	evacuatedRetryAfter = time.Second
)

// afterAttempts returns the error for a refusal that may follow attempts. A request that may have
// run is not refused as not run.
func (c *call) afterAttempts(err error) error {
	if c.history.MayHaveRun > 0 {
		return c.finalError(ActionFail, err)
	}
	return err
}

// finalError returns the error for the caller after the last attempt.
func (c *call) finalError(action Action, cause error) error {
	if action == ActionRefuse {
		return fault.AddRetryAfter(fault.Wrap(api.KindOverloaded, cause, "no upstream accepted the request"), c.retryDelay(c.View().Ready(c.service)))
	}
	return fault.Wrap(api.KindStageFailed, cause, "no usable response from the upstream")
}
