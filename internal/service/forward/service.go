package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/pkg/api"
)

// Prepared holds the results of a request's stages.
type Prepared struct {
	// Inputs are passed to the engine.
	Inputs []fleet.ResultRef
	// Home is the data centre that holds most of the bytes; empty where there is none.
	Home api.DataCentre
	// Release tells that the engine has the inputs, or that nobody needs them.
	Release func()
}

// Work is what the stages of one request need.
type Work struct {
	Request  *fleet.Request
	Route    *fleet.Route
	Snapshot *fleet.Snapshot
	// Rank is the urgency, 0 first.
	Rank int
	// Home is the data centre of the engine that the prompt's prefix names.
	Home api.DataCentre
	// Deadline is when the caller stops waiting for the first event.
	Deadline time.Time
}

// Service serves callers' requests. Set the exported fields before use.
type Service struct {
	View       func() *directory.View
	Pool       *Pool
	Codec      Codec
	Health     *HealthTable
	Budget     *Budget
	Log        *log.Logger
	Metrics    *metric.Set
	DataCentre api.DataCentre
	// Prepare runs the stages of a request.
	Prepare func(ctx context.Context, work *Work) (*Prepared, error)
	// Refusing returns why new requests are refused, or nil.
	Refusing func() error
}

// call is one request on its way.
type call struct {
	*Service
	request   *fleet.Request
	route     *fleet.Route
	view      *directory.View
	service   api.ServiceName
	workspace api.WorkspaceName
	rank      int
	deadline  time.Time
	history   History
	exclude   map[api.UpstreamID]bool
	// upstream is that of the last attempt.
	upstream api.UpstreamID
	// prepared is when the stages were done.
	prepared time.Duration
	answer   http.ResponseWriter
	// started tells that a part of the answer is out.
	started bool
	status  int
	// budgeted tells that the first attempt was counted.
	budgeted bool
}

// firstEvent returns when the caller of a stream stops waiting for its first event.
func (c *call) firstEvent() time.Time {
	patience := max(minPatience, patienceObjectives*c.route.Objective, patienceGaps*c.route.MaxGap)
	until := c.request.Received.Add(patience)
	if until.Before(c.deadline) {
		return until
	}
	return c.deadline
}

const (
	// minPatience, patienceObjectives and patienceGaps tell when callers of the platform
	// leave a stream that sends nothing: after the longest of the three.
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
)

// longestWait bounds requests that name no deadline on routes without a time-out.
const longestWait = 10 * time.Minute

// errAborted tells that the answer was broken off on purpose: its end would look complete.
var errAborted = errors.New("the answer was broken off")

// IsAborted reports whether the connection to the caller has to be closed.
func IsAborted(err error) bool { return errors.Is(err, errAborted) }

// Serve answers one request. It returns an error for which nothing was written, or one
// of IsAborted.
func (s *Service) Serve(ctx context.Context, request *fleet.Request, w http.ResponseWriter) error {
	c, err := s.admit(request, w)
	if err != nil {
		s.refused(request, err)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.left())
	defer cancel()
	if c.route.Kind == fleet.KindStreaming {
		err = c.stream(ctx)
	} else {
		err = c.plain(ctx)
	}
	if err != nil && !IsAborted(err) {
		err = c.withCause(ctx, err)
	}
	c.done(err)
	return err
}

// admit checks a request against the routing document.
func (s *Service) admit(request *fleet.Request, w http.ResponseWriter) (*call, error) {
	view := s.View()
	if view.Snapshot == nil {
		return nil, fault.RetryAfter(fault.New(api.KindNoUpstream, "the host has no routing document yet"), unreadyWait)
	}
	route := view.Snapshot.Match(request.Host, request.Path)
	if route == nil {
		return nil, fault.New(api.KindNotFound, "no route for this host and path")
	}
	c := &call{
		Service: s, request: request, route: route, view: view, service: route.ServiceFor(request.ID), rank: route.Priority,
		exclude: map[api.UpstreamID]bool{}, answer: w,
	}
	if view.Snapshot.Authenticated() && !route.Public {
		workspace := view.Snapshot.Workspace(request.Credential)
		if workspace == nil {
			return nil, fault.New(api.KindUnauthorized, "the credential is not known")
		}
		c.workspace = workspace.Name
		if workspace.Priority != nil {
			c.rank = *workspace.Priority
		}
	}
	c.deadline = request.Received.Add(longestWait)
	for _, bound := range []time.Duration{request.Wait, route.Timeout} {
		if bound > 0 && request.Received.Add(bound).Before(c.deadline) {
			c.deadline = request.Received.Add(bound)
		}
	}
	if s.Refusing != nil {
		if err := s.Refusing(); err != nil {
			return nil, err
		}
	}
	if c.left() <= 0 {
		return nil, fault.New(api.KindDeadlineUnreachable, "the deadline had passed when the request arrived")
	}
	return c, nil
}

// left returns the time that the caller still waits. Suspended time counts.
func (c *call) left() time.Duration { return c.deadline.Sub(clock.Now()) }

// candidates returns the upstreams of the service with their health. It uses the
// newest view, so that an upstream that left meanwhile gets nothing.
func (c *call) candidates() []Candidate {
	ready := c.View().Ready(c.service)
	list := make([]Candidate, len(ready))
	for i, upstream := range ready {
		list[i] = Candidate{upstream, c.Health.Get(upstream)}
	}
	return list
}

// attempt returns the attempt at an upstream.
func (c *call) attempt(upstream *fleet.Upstream) *fleet.Attempt {
	c.upstream = upstream.ID
	return &fleet.Attempt{
		Request: c.request, Upstream: upstream, Left: c.left(), Workspace: c.workspace, LastEvent: c.request.LastEvent,
	}
}

// takeAttempt counts an attempt: the first of a request is free, more need the budget.
func (c *call) takeAttempt() bool {
	now := clock.Now()
	if !c.budgeted {
		c.budgeted = true
		c.Budget.First(c.service, now)
		return true
	}
	if !c.Budget.Take(c.service, 1, now) {
		c.Metrics.Counter("retry.refused." + string(c.service)).Inc(1)
		return false
	}
	return true
}

// withCause replaces an error after the caller left or the deadline passed.
func (c *call) withCause(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return fault.Wrap(api.KindCallerGone, err, "the caller left")
	case ctx.Err() != nil:
		return fault.Wrap(api.KindDeadlineExceeded, err, "the deadline passed")
	}
	return err
}

// refused logs a request that no attempt was made for.
func (s *Service) refused(request *fleet.Request, err error) {
	s.Metrics.Counter("request.refused").Inc(1)
	s.Log.Info().Str("request", string(request.ID)).Str("kind", string(fault.KindOf(err))).
		Int64("waited_ms", clock.Now().Sub(request.Received).Milliseconds()).Err(err).Msg("request_refused")
}

// done logs the end of a request.
func (c *call) done(err error) {
	outcome := "answered"
	if err != nil {
		outcome = string(fault.KindOf(err))
		if IsAborted(err) {
			outcome = "aborted"
		}
	}
	took := clock.Now().Sub(c.request.Received)
	c.Metrics.Counter("request." + outcome).Inc(1)
	c.Metrics.Histogram("request." + string(c.route.Kind)).Update(took.Milliseconds())
	entry := c.Log.Info().Str("request", string(c.request.ID)).Str("route", string(c.route.Name)).
		Int64("revision", int64(c.view.Snapshot.Revision)).Str("service", string(c.service)).Str("upstream", string(c.upstream)).
		Int("status", c.status).Int("ran", c.history.Ran).Int("unsent", c.history.Unsent).
		Int64("prepared_ms", c.prepared.Milliseconds()).Int64("took_ms", took.Milliseconds()).Int64("left_ms", c.left().Milliseconds())
	if err != nil {
		entry = entry.Err(err)
	}
	entry.Str("outcome", outcome).Msg("request_done")
}

// attempted logs one attempt that was not answered properly and what follows.
func (c *call) attempted(upstream *fleet.Upstream, result Result, action Action, err error) {
	c.Metrics.Counter("attempt." + string(result)).Inc(1)
	entry := c.Log.Info().Str("request", string(c.request.ID)).Str("upstream", string(upstream.ID)).Str("result", string(result)).
		Str("action", string(action)).Int("ran", c.history.Ran).Int("unsent", c.history.Unsent).Int64("left_ms", c.left().Milliseconds())
	if err != nil {
		entry = entry.Err(err)
	}
	entry.Msg("attempt_failed")
}

const (
	// unreadyWait is when callers may come back to a host that has just started; it
	// learns the routing document within some tens of milliseconds of reaching the store.
	unreadyWait = 200 * time.Millisecond
	// busyWait is when callers may come back where all upstreams were busy: about the
	// time in which a plain request frees its slot.
	busyWait = 60 * time.Millisecond
)

// final returns the error for a caller after the last attempt.
func (c *call) final(action Action, cause error) error {
	if action == ActionRefuse {
		return fault.RetryAfter(fault.Wrap(api.KindOverloaded, cause, "no upstream took the request"), busyWait)
	}
	return fault.Wrap(api.KindStageFailed, cause, "the upstream's answer was lost")
}
