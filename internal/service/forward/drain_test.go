package forward

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/drain"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

const (
	// drainTime is the time from the begin of a drain to its end in tests, where nothing has to happen
	// before the end.
	drainTime = 300 * time.Millisecond
	// longDrainTime is the same time where something has, on a busy machine too.
	longDrainTime = 3 * time.Second
)

// beginDrain begins the drain of a fixture's host.
func (f *fixture) beginDrain(left time.Duration) {
	now := clock.Now()
	f.Drain.Begin(drain.Times{AcceptUntil: now.Add(left), End: now.Add(left)})
}

// waitForStages makes the stages of a fixture end with their context.
func (f *fixture) waitForStages(begun chan<- struct{}) {
	f.RunStages = func(ctx context.Context, _ *StageWork) (*StageResults, error) {
		close(begun)
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
}

func stagedRoute() fleet.Route {
	return fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2, Objective: longDrainTime - 100*time.Millisecond, Stages: []fleet.Stage{{Service: "svc"}}}
}

func withItems(request *fleet.Request) { request.Items = []int{1} }

// TestStagesEndBeforeDrain guards against a request that waits for its stages until its host has stopped,
// whether the drain begins before or after the stages.
func TestStagesEndBeforeDrain(t *testing.T) {
	for _, early := range []bool{true, false} {
		t.Run(fmt.Sprint(early), func(t *testing.T) {
			f := newFixture(t, stagedRoute(), respondOK)
			f.Drain = &drain.Schedule{}
			begun := make(chan struct{})
			f.waitForStages(begun)
			if early {
				f.beginDrain(longDrainTime)
			} else {
				go func() {
					<-begun
					f.beginDrain(longDrainTime)
				}()
			}
			_, err := f.serve(t, withItems)
			assert.Equal(t, fault.KindOf(err), api.KindDraining, "%v", err)
			assert.Assert(t, fault.RetryDelay(err) > 0)
			times, _ := f.Drain.Times()
			assert.Assert(t, clock.Now().Before(times.End), "no time was left for the response")
			assert.Equal(t, f.totalRuns(), 0)
		})
	}
}

// TestRefusalOfStagesNamesDrain guards against callers that are told to wait for stages, or not to come back,
// where only this host lacks the time.
func TestRefusalOfStagesNamesDrain(t *testing.T) {
	f := newFixture(t, stagedRoute(), respondOK)
	f.Drain = &drain.Schedule{}
	unreachable := fault.New(api.KindDeadlineUnreachable, "too late")
	f.RunStages = func(context.Context, *StageWork) (*StageResults, error) { return nil, unreachable }
	_, err := f.serve(t, withItems)
	assert.Equal(t, fault.KindOf(err), api.KindDeadlineUnreachable)
	f.beginDrain(time.Minute)
	_, err = f.serve(t, withItems)
	assert.Equal(t, fault.KindOf(err), api.KindDeadlineUnreachable, "the deadline comes before the end of the drain")

	f = newFixture(t, stagedRoute(), respondOK)
	f.Drain = &drain.Schedule{}
	f.RunStages = func(context.Context, *StageWork) (*StageResults, error) { return nil, unreachable }
	f.beginDrain(time.Second)
	_, err = f.serve(t, withItems)
	assert.Equal(t, fault.KindOf(err), api.KindDraining)
}

// TestLongStreamIsRefusedByDrainingHost guards against a stream that is begun although it usually takes
// longer than its host still runs, and against a short one that is refused.
func TestLongStreamIsRefusedByDrainingHost(t *testing.T) {
	for took, kind := range map[time.Duration]api.Kind{10 * time.Millisecond: "", 2 * time.Second: api.KindDraining} {
		t.Run(took.String(), func(t *testing.T) {
			f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Objective: time.Minute}, func(w *bufio.Writer, run platform.Request) bool {
				platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 3, true, 0)
				return true
			})
			f.Drain = &drain.Schedule{}
			f.streamTimes.observe("r", took)
			f.beginDrain(time.Second)
			_, err := f.serve(t, nil)
			if kind == "" {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, fault.KindOf(err), kind)
			assert.Equal(t, f.totalRuns(), 0)
		})
	}
}

// TestUpstreamsKnowTheEndOfDrain guards against a request that waits at an upstream until its host has
// stopped, though the upstream could state in time that it was not run.
func TestUpstreamsKnowTheEndOfDrain(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.KindStreaming, fleet.KindIdempotent, fleet.KindNonIdempotent} {
		t.Run(string(kind), func(t *testing.T) {
			f := newFixture(t, fleet.Route{Kind: kind}, func(w *bufio.Writer, run platform.Request) bool {
				var left int
				_, err := fmt.Sscan(run.Header.Get(wire.HeaderDeadline), &left)
				assert.Check(t, err)
				assert.Check(t, left > 0 && left <= int(longDrainTime.Milliseconds()), "%d ms are left", left)
				time.Sleep(longDrainTime / 10)
				_, _ = w.WriteString(refusalTo(run.Header.Get(wire.HeaderRequestID), http.StatusServiceUnavailable))
				return true
			})
			f.Drain = &drain.Schedule{}
			f.beginDrain(longDrainTime)
			_, err := f.serve(t, nil)
			assert.Equal(t, api.Kinds[fault.KindOf(err)].Status, http.StatusServiceUnavailable, "%v", err)
			assert.Assert(t, f.totalRuns() > 0)
		})
	}
}

// TestSilentUpstreamAtEndOfDrain guards against a request that is refused as not run, or whose connection is
// closed without a response, because its host stops before the upstream responds.
func TestSilentUpstreamAtEndOfDrain(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.KindStreaming, fleet.KindIdempotent, fleet.KindNonIdempotent} {
		t.Run(string(kind), func(t *testing.T) {
			hold := make(chan struct{})
			defer close(hold)
			f := newFixture(t, fleet.Route{Kind: kind}, func(*bufio.Writer, platform.Request) bool {
				<-hold
				return false
			})
			f.Drain = &drain.Schedule{}
			f.beginDrain(drainTime)
			_, err := f.serve(t, nil)
			assert.Assert(t, !IsAborted(err))
			assert.Equal(t, api.Kinds[fault.KindOf(err)].Status, http.StatusBadGateway, "%v", err)
		})
	}
}

// TestStreamGoesOnAfterEndOfDrain guards against a stream that is cut before the process ends because the
// time for responses that have not begun is over.
func TestStreamGoesOnAfterEndOfDrain(t *testing.T) {
	const events = 20
	begun := make(chan struct{})
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming}, func(w *bufio.Writer, run platform.Request) bool {
		close(begun)
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, events, true, 2*drainTime/events)
		return true
	})
	f.Drain = &drain.Schedule{}
	go func() {
		<-begun
		f.beginDrain(drainTime)
	}()
	_, err := f.serve(t, nil)
	assert.NilError(t, err)
}

// TestStreamTimes guards against an estimate that forgets the spread of the times, or never adapts.
func TestStreamTimes(t *testing.T) {
	var s streamTimes
	route := &fleet.Route{Name: "r", Objective: time.Second}
	assert.Equal(t, s.expected(route), time.Second)
	s.observe("r", 2*time.Second)
	assert.Equal(t, s.expected(route), 3*time.Second)
	for range 200 {
		s.observe("r", 100*time.Millisecond)
		s.observe("r", 300*time.Millisecond)
	}
	expected := s.expected(route)
	assert.Assert(t, expected > 250*time.Millisecond && expected < 350*time.Millisecond, "%s", expected)
	for i := range maxStreamTimes {
		s.observe(fleet.RouteName(fmt.Sprint(i)), time.Second)
	}
	assert.Assert(t, len(s.byRoute) <= maxStreamTimes)
}
