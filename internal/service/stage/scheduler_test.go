package stage

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/dial"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// newTestScheduler returns a scheduler before one stand-in that started long ago and
// has the given room left of a megabyte.
func newTestScheduler(t *testing.T, freeMegabytes float64, calls *atomic.Int64) *Scheduler {
	t.Helper()
	upstream := &platform.Upstream{Entry: fleet.Upstream{ID: "u", Service: "s", State: fleet.StateReady, Started: 1}}
	var made atomic.Int64
	upstream.Handle = func(w *bufio.Writer, run platform.Run) bool {
		body := fmt.Sprintf(`{"freeMb":%g}`, freeMegabytes)
		if run.Path == wire.PathStageRun {
			calls.Add(1)
			var call struct{ Items []json.RawMessage }
			assert.Check(t, json.Unmarshal(run.Body, &call))
			results := make([]string, len(call.Items))
			for i := range results {
				results[i] = fmt.Sprintf(`{"handle":"a/%d"}`, made.Add(1))
			}
			body = `{"items":[` + strings.Join(results, ",") + `]}`
		}
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return true
	}
	assert.NilError(t, upstream.Start())
	t.Cleanup(upstream.Close)
	state := directory.State{Decoder: directory.Decoder{
		DocumentKey: "document", UpstreamPrefix: "upstream/", HostPrefix: "host/",
		Document: func([]byte) (*fleet.Document, error) {
			service := batching("s", 8)
			service.Batching.ResultBytes, service.Batching.ResultLife = 1_000_000, 600*time.Millisecond
			return &fleet.Document{Services: []fleet.Service{*service}}, nil
		},
		Upstream: func(string, []byte) (*fleet.Upstream, error) { entry := upstream.Entry; return &entry, nil },
	}}
	state.Replace([]store.Entry{{Key: "document", Version: 1}, {Key: "upstream/u", Version: 2}}, 2, time.Now(), time.Time{})
	view := state.View()
	return &Scheduler{
		Pool: &forward.Pool{Dial: dial.New(time.Second)}, Log: logging.Discard(), Metrics: metric.New(),
		Forward: &forward.Codec{DecodeReply: wire.DecodeReply, WriteCall: wire.WriteCall, WriteQuery: wire.WriteQuery},
		Budget:  &forward.Budget{Ratio: 1, Slack: 100, Window: time.Second}, View: func() *directory.View { return view },
		Upstreams: func(v *directory.View) []*fleet.Upstream { return v.Ready("s") },
		Codec: Codec{
			RunPath: wire.PathStageRun, FreePath: wire.PathStageFree, ReportPath: wire.PathReport, EncodeItems: wire.EncodeItems,
			DecodeResults: wire.DecodeResults, EncodeFree: wire.EncodeFree, DecodeRoom: wire.DecodeRoom,
		},
	}
}

func testJob(id string, bytes int64) Job {
	now := clock.Now()
	return Job{Request: api.RequestID(id), Key: id, Aim: now.Add(3 * time.Second), Deadline: now.Add(5 * time.Second), Stages: []Spec{{Service: "s", Items: 2, ResultBytes: bytes}}}
}

// TestSchedulerRunsJobs guards against a job whose results do not come back from its call.
func TestSchedulerRunsJobs(t *testing.T) {
	var calls atomic.Int64
	s := newTestScheduler(t, 1, &calls)
	outcome, err := s.Submit(context.Background(), testJob("a", 1000))
	assert.NilError(t, err)
	assert.Equal(t, len(outcome.Results), 2)
	assert.Equal(t, calls.Load(), int64(1))
}

// TestTakeoverLearnsRoom guards against a host that takes over gathering and calls
// upstreams that are full of results it does not know.
func TestTakeoverLearnsRoom(t *testing.T) {
	var calls atomic.Int64
	s := newTestScheduler(t, 0.1, &calls)
	s.mu.Lock()
	s.refresh()
	s.mu.Unlock()
	room := func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, w := range s.plan.workers {
			return w.room(clock.Now())
		}
		return 0
	}
	for end := time.Now().Add(5 * time.Second); room() != 100_000; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "room %d", room())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := s.Submit(ctx, testJob("a", 200_000))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, calls.Load(), int64(0))
	time.Sleep(600 * time.Millisecond)
	assert.Equal(t, room(), int64(1_000_000), "the unknown results did not end")
}
