package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/drain"
	"redwingloft/pkg/api"
)

// maxItems bounds the items of a request, each of which takes memory here and at a scheduler.
const maxItems = 10_000

// errInputsGone is returned if an input no longer existed when the engine fetched it.
var errInputsGone = errors.New("an input of the request no longer exists")

// runStages runs the stages of the request. Results should be ready at target and are useless after
// deadline. If the host drains, they are also useless later than reserve before its end.
func (c *call) runStages(ctx context.Context, target, deadline time.Time, reserve time.Duration) (*StageResults, error) {
	items := 0
	for _, count := range c.request.Items {
		if count > maxItems-items {
			return nil, fault.New(api.KindBadRequest, "request has more than %d items", maxItems)
		}
		items += count
	}
	if len(c.route.Stages) == 0 || items == 0 {
		return &StageResults{Release: func() {}}, nil
	}
	if len(c.request.Items) != len(c.route.Stages) {
		return nil, fault.New(api.KindBadRequest, "request has items for %d stages, but the route has %d", len(c.request.Items), len(c.route.Stages))
	}
	leave, err := c.enterStages(deadline)
	if err != nil {
		return nil, err
	}
	defer leave()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.Drain.BeforeEnd(reserve, func() { cancel(drain.ErrEnded) })()
	now := clock.Now()
	results, err := c.RunStages(ctx, &StageWork{
		Request: c.request, Route: c.route, Snapshot: c.view.Snapshot, Rank: c.rank, Workspace: c.workspace, Target: target, Deadline: deadline, Reserve: reserve,
		EngineDataCentre: PrefixDataCentre(c.candidates(), c.request, c.prefixRate(now), now),
	})
	bounded := c.Drain.Bound(deadline, reserve).Before(deadline)
	if err != nil && (errors.Is(context.Cause(ctx), drain.ErrEnded) || bounded && fault.Is(err, api.KindDeadlineUnreachable)) {
		// The caller has more time at another host.
		c.Metrics.Counter("drain.stages_given_up").Inc(1)
		return nil, drain.Refusal(err)
	}
	return results, err
}

// preparing counts the requests whose stages run, by service. The zero value is ready to use.
type preparing struct {
	mu     sync.Mutex
	counts map[api.ServiceName]int
}

// enterStages returns an error if no engine can take the request when its stages are done, because all
// are evacuated, or are cold and get as many requests until the deadline as they tolerate. Otherwise the
// returned function is called after the stages.
func (c *call) enterStages(deadline time.Time) (leave func(), err error) {
	view := c.View()
	ready := view.Ready(c.service)
	if len(ready) == 0 && len(view.Evacuated) > 0 {
		return nil, c.noCandidateError()
	}
	p := &c.preparing
	room := c.Pool.Throttle.Room(ready, clock.Now(), deadline.Add(-minAttemptTime))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(ready) > 0 && p.counts[c.service] >= room {
		return nil, c.noCandidateError()
	}
	if p.counts == nil {
		p.counts = map[api.ServiceName]int{}
	}
	p.counts[c.service]++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.counts[c.service]--
	}, nil
}

// rerunStages runs the stages of the request again. A stream that has begun is cut if it can't go
// on, so its stages are not late before its caller gives up. lastEvent is the time of the last
// event; zero if there was none.
func (s *streamCall) rerunStages(ctx context.Context, lastEvent time.Time) (*StageResults, error) {
	if lastEvent.IsZero() {
		return s.runStages(ctx, s.request.Received.Add(s.route.Objective), s.eventDeadline(s.request.Received), s.responseTime())
	}
	deadline := s.eventDeadline(lastEvent)
	return s.runStages(ctx, deadline, deadline, 0)
}

// prepareRetry provides the inputs of another attempt.
func (s *streamCall) prepareRetry(ctx context.Context, inputsGone bool) error {
	if s.replacement != nil {
		s.usePrepared(s.replacement.prepared)
		return nil
	}
	if !inputsGone && !s.inputsReleased.Load() {
		return nil
	}
	s.prepared.Release()
	prepared, err := s.rerunStages(ctx, s.lastEventAt)
	if err != nil {
		return err
	}
	s.usePrepared(prepared)
	return nil
}

// usePrepared replaces the results of the stages; nil keeps those that there are.
func (s *streamCall) usePrepared(prepared *StageResults) {
	if prepared == nil {
		return
	}
	s.prepared.Release()
	s.prepared = prepared
	s.inputsReleased.Store(false)
	s.prepareTime = clock.Now().Sub(s.request.Received)
}

// release frees the inputs after the engine has fetched them.
func (s *streamCall) release(prepared *StageResults) {
	if len(prepared.Inputs) > 0 {
		s.inputsReleased.Store(true)
	}
	prepared.Release()
}
