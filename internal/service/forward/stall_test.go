package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// pausing sends three events, pauses for longer than the timeout of a gap, and sends the rest.
func pausing(w *bufio.Writer, run platform.Request) bool {
	platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 3, false, 0)
	time.Sleep(minGapTimeout + 300*time.Millisecond)
	rest := events(4, 6)
	fmt.Fprintf(w, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
	return true
}

// TestSilentEngineWithoutReplacementGoesOn guards against a stream that is cut because its engine
// was silent for a moment and no other one can go on.
func TestSilentEngineWithoutReplacementGoesOn(t *testing.T) {
	t.Parallel()
	rerun := func(f *fixture, again func(ctx context.Context) (*StageResults, error)) {
		first := f.RunStages
		f.RunStages = func(ctx context.Context, work *StageWork) (*StageResults, error) {
			if f.totalRuns() > 0 {
				return again(ctx)
			}
			return first(ctx, work)
		}
	}
	for name, example := range map[string]struct {
		engines int
		change  func(f *fixture)
	}{
		"no stages": {2, func(f *fixture) {
			rerun(f, func(context.Context) (*StageResults, error) { return nil, errors.New("refused") })
		}},
		"slow stages": {2, func(f *fixture) {
			rerun(f, func(ctx context.Context) (*StageResults, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			})
		}},
		"no retry budget": {2, func(f *fixture) { f.Budget = &Budget{Window: 10 * time.Second} }},
		"no other engine": {1, func(*fixture) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handlers := []func(*bufio.Writer, platform.Request) bool{pausing, pausing}[:example.engines]
			f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2, Stages: []fleet.Stage{{Service: "stage"}}}, handlers...)
			example.change(f)
			recorder, err := f.serve(t, func(r *fleet.Request) { r.Items, r.CallerTimeout = []int{1}, 10*time.Second })
			assert.NilError(t, err)
			assert.Equal(t, recorder.Body.String(), events(1, 6))
			assert.Equal(t, f.totalRuns(), 1)
			poll.WaitOn(t, func(poll.LogT) poll.Result { return poll.Compare(cmp.Equal(f.Budget.retries(), 0)) })
		})
	}
}

// TestSlowUpstreamWithoutReplacementAnswers guards against a request that fails because its upstream
// is slow and it can't be sent to another one.
func TestSlowUpstreamWithoutReplacementAnswers(t *testing.T) {
	t.Parallel()
	slow := func(w *bufio.Writer, run platform.Request) bool {
		time.Sleep(300 * time.Millisecond)
		return respondOK(w, run)
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2, Objective: 50 * time.Millisecond}, slow, slow)
	f.Budget = &Budget{Window: 10 * time.Second}
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), "whole")
	assert.Equal(t, f.totalRuns(), 1)
	assert.Assert(t, f.Health.Get(&f.upstreams[0].Entry).FailureRate+f.Health.Get(&f.upstreams[1].Entry).FailureRate > 0)
}

// slowCaller takes the second event only after the timeout of a gap.
type slowCaller struct {
	*httptest.ResponseRecorder
	writes int
}

func (s *slowCaller) Write(p []byte) (int, error) {
	if s.writes++; s.writes == 2 {
		time.Sleep(minGapTimeout + 300*time.Millisecond)
	}
	return s.ResponseRecorder.Write(p)
}

// TestSlowCallerKeepsItsEngine guards against an engine that is replaced because the caller is slow to
// take an event.
func TestSlowCallerKeepsItsEngine(t *testing.T) {
	t.Parallel()
	engine := func(w *bufio.Writer, run platform.Request) bool {
		from := 1
		if run.Header.Get(wire.HeaderLastEvent) != "" {
			from = 3
		}
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), from, 6, true, 50*time.Millisecond)
		return true
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, engine, engine)
	request := &fleet.Request{
		ID: "id-1", Method: "POST", Target: "/p/x", Path: "/p/x", Host: "h", Credential: "secret", Received: clock.Now(), CallerTimeout: 10 * time.Second,
	}
	caller := &slowCaller{ResponseRecorder: httptest.NewRecorder()}
	assert.NilError(t, f.Serve(t.Context(), request, caller))
	assert.Equal(t, caller.Body.String(), events(1, 6))
	assert.Equal(t, f.totalRuns(), 1)
}

// TestSecuringSharesNoState guards against a crash of the host by a concurrent read and write of the
// upstreams that were tried, when an attempt ends while its replacement is secured.
func TestSecuringSharesNoState(t *testing.T) {
	t.Parallel()
	slow := func(w *bufio.Writer, run platform.Request) bool {
		time.Sleep(200 * time.Millisecond)
		return respondOK(w, run)
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2, Objective: 50 * time.Millisecond}, slow, slow)
	f.Budget.Hosts = func() int {
		time.Sleep(300 * time.Millisecond)
		return 1
	}
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), "whole")
	assert.Equal(t, f.totalRuns(), 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return poll.Compare(cmp.Equal(f.Budget.retries(), 0)) })
}

// TestSecuringEndsWithItsAttempt guards against stages that run twice at the same time for a
// request, because the former ones are still being secured when the next attempt begins.
func TestSecuringEndsWithItsAttempt(t *testing.T) {
	t.Parallel()
	breaking := func(w *bufio.Writer, run platform.Request) bool {
		if run.Header.Get(wire.HeaderLastEvent) != "" {
			platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 4, 6, true, 0)
			return true
		}
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 3, false, 0)
		time.Sleep(minGapTimeout + 300*time.Millisecond)
		return false
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2, Stages: []fleet.Stage{{Service: "stage"}}}, breaking, breaking)
	var calls, running, overlaps atomic.Int64
	f.RunStages = func(ctx context.Context, _ *StageWork) (*StageResults, error) {
		if running.Add(1) > 1 {
			overlaps.Add(1)
		}
		defer running.Add(-1)
		if calls.Add(1) == 2 {
			<-ctx.Done()
			time.Sleep(50 * time.Millisecond)
			return nil, ctx.Err()
		}
		return &StageResults{Inputs: []fleet.ResultRef{"1.2.3.4:5/r"}, Release: func() {}}, nil
	}
	recorder, err := f.serve(t, func(r *fleet.Request) { r.Items, r.CallerTimeout = []int{1}, 10*time.Second })
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), events(1, 6))
	assert.Equal(t, calls.Load(), int64(3))
	assert.Equal(t, overlaps.Load(), int64(0))
}

// TestSecondSilentEngineIsReplaced guards against a begun stream that hangs at its second engine,
// because the stages for the third one get the deadline of the first event.
func TestSecondSilentEngineIsReplaced(t *testing.T) {
	t.Parallel()
	const interval = time.Second
	var calls atomic.Int64
	engine := func(w *bufio.Writer, run platform.Request) bool {
		id := run.Header.Get(wire.HeaderRequestID)
		switch calls.Add(1) {
		case 1:
			platform.WriteEvents(w, id, 1, 4, false, interval)
			return false
		case 2:
			time.Sleep(7 * time.Second)
			return false
		}
		platform.WriteEvents(w, id, 5, 6, true, 0)
		return true
	}
	route := fleet.Route{
		Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 3, MaxGap: 500 * time.Millisecond, Stages: []fleet.Stage{{Service: "stage"}},
	}
	f := newFixture(t, route, engine, engine, engine)
	run := f.RunStages
	f.RunStages = func(ctx context.Context, work *StageWork) (*StageResults, error) {
		if left := work.Deadline.Sub(clock.Now()); left <= 0 {
			return nil, fault.New(api.KindDeadlineUnreachable, "%s left", left)
		}
		return run(ctx, work)
	}
	recorder, err := f.serve(t, func(r *fleet.Request) { r.Items, r.CallerTimeout = []int{1}, 10*time.Second })
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), events(1, 6))
}

// TestReplacementIsReadyAfterItsStages guards against a request to an upstream that became unusable
// while the stages for the request were run.
func TestReplacementIsReadyAfterItsStages(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2, Stages: []fleet.Stage{{Service: "stage"}}}, pausing, pausing)
	run := f.RunStages
	f.RunStages = func(ctx context.Context, work *StageWork) (*StageResults, error) {
		for _, u := range f.upstreams {
			if f.totalRuns() > 0 && len(u.Requests()) == 0 {
				f.Health.Begin(&u.Entry, 0)
				f.Health.End(&u.Entry, OutcomeUnreachable, 0, clock.Now())
			}
		}
		return run(ctx, work)
	}
	recorder, err := f.serve(t, func(r *fleet.Request) { r.Items, r.CallerTimeout = []int{1}, 10*time.Second })
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), events(1, 6))
	assert.Equal(t, f.totalRuns(), 1)
	assert.Equal(t, f.Budget.retries(), 0)
}

// TestNoReplacementWithoutTime guards against an attempt that is given up although too little time is
// left for another one.
func TestNoReplacementWithoutTime(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2}, respondOK, respondOK)
	request := &fleet.Request{ID: "id-1", Method: "POST", Target: "/p/x", Path: "/p/x", Host: "h", Credential: "secret", Received: clock.Now()}
	c, err := f.admit(request, nil)
	assert.NilError(t, err)
	c.budgeted, c.deadline = true, clock.Now().Add(minAttemptTime/2)
	_, err = c.secureUpstream(&f.upstreams[0].Entry, c.leastLoaded)
	assert.Assert(t, err != nil)
	assert.Equal(t, f.Budget.retries(), 0)
}

// TestRefundKeepsBudget guards against more retries than the budget allows in a later window,
// because one was refunded in another part of the window than it was charged in.
func TestRefundKeepsBudget(t *testing.T) {
	b := &Budget{Slack: 2 / usableShare, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	assert.Assert(t, b.Allow("s", 1, start))
	b.Refund("s", 1, start, start.Add(5*time.Second))
	allowed := 0
	for at := start.Add(11 * time.Second); at.Before(start.Add(15 * time.Second)); at = at.Add(time.Second) {
		if b.Allow("s", 1, at) {
			allowed++
		}
	}
	assert.Equal(t, allowed, 2)
}

// retries returns the retries of all services in the window.
func (b *Budget) retries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, w := range b.services {
		for _, count := range w.retries {
			total += count
		}
	}
	return total
}
