package forward

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

func events(first, last int) string {
	var text strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: event %d\n\n", i, i)
	}
	return text.String()
}

// resuming sends events 1 to 3 and closes the connection; a resumed request gets the rest.
func resuming(w *bufio.Writer, run platform.Request) bool {
	id, last := run.Header.Get(wire.HeaderRequestID), run.Header.Get(wire.HeaderLastEvent)
	if last == "" {
		platform.WriteEvents(w, id, 1, 3, false, 0)
		return false
	}
	var from int
	fmt.Sscan(last, &from)
	platform.WriteEvents(w, id, from+1, 6, true, 0)
	return true
}

// TestStreamIsResumed guards against a gap, a duplicate event or a second header if a
// resumable stream continues on another engine.
func TestStreamIsResumed(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, resuming, resuming)
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), events(1, 6))
	assert.Equal(t, f.totalRuns(), 2)
}

// TestStreamIsNotRetried guards against a second run of a stream that is not resumable,
// and against a truncated response that looks complete.
func TestStreamIsNotRetried(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, MaxAttempts: 2}, resuming, resuming)
	recorder, err := f.serve(t, nil)
	assert.Assert(t, IsAborted(err))
	assert.Equal(t, recorder.Body.String(), events(1, 3))
	assert.Equal(t, f.totalRuns(), 1)
}

// TestTruncatedEventIsNotForwarded guards against a partial event that reaches the caller.
func TestTruncatedEventIsNotForwarded(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming}, func(w *bufio.Writer, run platform.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\n\r\nid: 1\ndata: whole\n\nid: 2\ndata: cu", wire.HeaderRequestID,
			run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest)
		return false
	})
	recorder, err := f.serve(t, nil)
	assert.Assert(t, IsAborted(err))
	assert.Equal(t, recorder.Body.String(), "id: 1\ndata: whole\n\n")
}

// TestResumedStreamWithGap guards against a response that joins the events of two runs
// although events between them are missing.
func TestResumedStreamWithGap(t *testing.T) {
	skipping := func(w *bufio.Writer, run platform.Request) bool {
		id := run.Header.Get(wire.HeaderRequestID)
		if run.Header.Get(wire.HeaderLastEvent) == "" {
			platform.WriteEvents(w, id, 1, 3, false, 0)
			return false
		}
		platform.WriteEvents(w, id, 5, 6, true, 0)
		return true
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, skipping, skipping)
	recorder, err := f.serve(t, nil)
	assert.Assert(t, IsAborted(err))
	assert.Equal(t, recorder.Body.String(), events(1, 3))
}

// TestStalledEngineIsReplaced guards against a resumable stream that hangs because its
// engine accepted the request and sends no events.
func TestStalledEngineIsReplaced(t *testing.T) {
	var calls atomic.Int64
	stallOnce := func(w *bufio.Writer, run platform.Request) bool {
		if calls.Add(1) == 1 {
			time.Sleep(2 * minFirstEventTimeout)
			return false
		}
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 2, true, 0)
		return true
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, stallOnce, stallOnce)
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), events(1, 2))
}

// TestCallerDisconnects guards against a connection to the engine that stays open after
// the caller of the stream disconnected.
func TestCallerDisconnects(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming}, func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 1000, true, 5*time.Millisecond)
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(100*time.Millisecond, cancel)
	request := &fleet.Request{ID: "id-1", Method: "POST", Target: "/p/x", Path: "/p/x", Host: "h", Credential: "secret", Received: clock.Now()}
	err := f.Serve(ctx, request, httptest.NewRecorder())
	assert.Assert(t, err != nil)
	deadline := time.Now().Add(time.Second)
	for f.upstreams[0].OpenConns() > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, f.upstreams[0].OpenConns(), 0)
}

// TestStreamEndsAtRouteTimeout guards against a stream that outlasts the timeout of its route.
func TestStreamEndsAtRouteTimeout(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Timeout: 200 * time.Millisecond}, func(*bufio.Writer, platform.Request) bool {
		time.Sleep(time.Second)
		return false
	})
	began := time.Now()
	_, err := f.serve(t, nil)
	assert.Equal(t, fault.KindOf(err), api.KindDeadlineExceeded)
	assert.Assert(t, time.Since(began) < 700*time.Millisecond)
}

// TestAbortedStreamNamesItsCause guards against logs from which the deadline, a caller that has
// left and a lost engine can't be told apart.
func TestAbortedStreamNamesItsCause(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Timeout: 200 * time.Millisecond}, func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 2, false, time.Second)
		return false
	})
	_, err := f.serve(t, nil)
	assert.Assert(t, IsAborted(err))
	assert.Equal(t, fault.KindOf(err), api.KindDeadlineExceeded)
	assert.Equal(t, f.Metrics.Counter("aborted.deadline_exceeded").Count(), int64(1))
}

// TestStagesAreRerun guards against a request that fails because a stage result was gone
// before the engine fetched it.
func TestStagesAreRerun(t *testing.T) {
	var calls atomic.Int64
	conflictOnce := func(w *bufio.Writer, run platform.Request) bool {
		id := run.Header.Get(wire.HeaderRequestID)
		if calls.Add(1) == 1 {
			fmt.Fprintf(w, "HTTP/1.1 409 Conflict\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire.HeaderRequestID, id, wire.HeaderNotRun)
			return true
		}
		platform.WriteEvents(w, id, 1, 2, true, 0)
		return true
	}
	route := fleet.Route{Kind: fleet.KindStreaming, Stages: []fleet.Stage{{Service: "stage"}}}
	f := newFixture(t, route, conflictOnce, conflictOnce)
	recorder, err := f.serve(t, func(r *fleet.Request) { r.Items = []int{1} })
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), events(1, 2))
	assert.Equal(t, f.prepared, 2)
	assert.Equal(t, f.upstreams[0].Entry.Service, api.ServiceName("svc"))
}

// TestBegunStreamOutlivesFirstEventDeadline guards against a stream that is cut with its engine,
// because the stages for another engine are refused by the deadline of the first event.
func TestBegunStreamOutlivesFirstEventDeadline(t *testing.T) {
	const interval = 600 * time.Millisecond
	breaking := func(w *bufio.Writer, run platform.Request) bool {
		if run.Header.Get(wire.HeaderLastEvent) == "" {
			platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 4, false, interval)
			return false
		}
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 5, 6, true, 0)
		return true
	}
	route := fleet.Route{
		Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2, Objective: 300 * time.Millisecond, Stages: []fleet.Stage{{Service: "stage"}},
	}
	f := newFixture(t, route, breaking, breaking)
	run := f.RunStages
	f.RunStages = func(ctx context.Context, work *StageWork) (*StageResults, error) {
		if now := clock.Now(); work.Deadline.Sub(now) < interval || work.Target.Before(now) {
			return nil, fault.New(api.KindDeadlineUnreachable, "%s left", work.Deadline.Sub(now))
		}
		return run(ctx, work)
	}
	recorder, err := f.serve(t, func(r *fleet.Request) { r.Items, r.CallerTimeout = []int{1}, 20*time.Second })
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), events(1, 6))
}

// TestHugeItemCountIsRefused guards against a host that runs out of memory or time in its scheduler
// for the number of items that a caller names.
func TestHugeItemCountIsRefused(t *testing.T) {
	route := fleet.Route{Kind: fleet.KindStreaming, Stages: []fleet.Stage{{Service: "stage"}, {Service: "stage"}}}
	for _, items := range [][]int{{1 << 30, 1}, {math.MaxInt, math.MaxInt}} {
		f := newFixture(t, route, func(w *bufio.Writer, run platform.Request) bool {
			platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 2, true, 0)
			return true
		})
		_, err := f.serve(t, func(r *fleet.Request) { r.Items = items })
		assert.Equal(t, fault.KindOf(err), api.KindBadRequest)
		assert.Equal(t, f.prepared, 0)
	}
}
