package stage

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/pkg/api"
)

// TestEvacuatedDataCentreIsNoGroup guards against jobs that go to the group of an evacuated data
// centre, and against its upstreams in the calls of another group.
func TestEvacuatedDataCentreIsNoGroup(t *testing.T) {
	all := map[string][]api.ServiceName{"dc0": {"s", "t"}, "dc1": {"s", "t"}}
	view := groupView(t, maxSingleGroupHosts+1, all, "dc1")
	assert.DeepEqual(t, Groups(view), []Group{"dc0"})
	assert.Equal(t, RoleOf(view, "dc1", "h00"), RoleNone)
	for _, hosts := range []int{2, maxSingleGroupHosts + 1} {
		view := groupView(t, hosts, all, "dc1")
		for _, u := range UpstreamsInGroup(view, Groups(view)[0]) {
			assert.Equal(t, u.DataCentre, api.DataCentre("dc0"))
		}
	}
}

// TestQueuedJobEndsWhenAllUpstreamsAreEvacuated guards against queued jobs that call an upstream after
// it was evacuated, or wait until their deadline because no upstream is left.
func TestQueuedJobEndsWhenAllUpstreamsAreEvacuated(t *testing.T) {
	all := map[string][]api.ServiceName{"dc0": {"s"}}
	view := groupView(t, 2, all)
	scheduler := &Scheduler{
		View: func() *directory.View { return view }, Role: func(*directory.View) Role { return RoleScheduler },
		Upstreams: func(view *directory.View) []*fleet.Upstream { return view.Ready("s") },
		Budget:    &forward.Budget{Window: time.Second}, Pool: &forward.Pool{Dial: hangingDial},
		Codec: Codec{EncodeItems: func([]fleet.Item) ([]byte, error) { return nil, nil }}, Log: logging.Discard(), Metrics: metric.New(),
	}
	done := make(chan error, 2)
	for _, id := range []api.RequestID{"running", "queued"} {
		job := Job{Request: id, Stages: []Spec{{Service: "s", Items: 1}}, Target: clock.Now().Add(time.Minute), Deadline: clock.Now().Add(time.Minute)}
		go func() {
			_, err := scheduler.Submit(context.Background(), job, func([]StoredResults) {})
			done <- err
		}()
		for submitted := false; !submitted; time.Sleep(time.Millisecond) {
			scheduler.mu.Lock()
			submitted = scheduler.plan != nil && scheduler.plan.jobs[id] != nil
			scheduler.mu.Unlock()
		}
	}
	scheduler.mu.Lock()
	view = groupView(t, 2, all, "dc0")
	scheduler.mu.Unlock()
	scheduler.ViewChanged()
	err := <-done
	assert.Assert(t, fault.Is(err, api.KindNoUpstream), "%v", err)
	assert.Assert(t, fault.RetryDelay(err) > 0)
	assert.Equal(t, len(done), 0, "the call in progress goes on")
	_, err = scheduler.Submit(context.Background(), Job{Request: "new", Stages: []Spec{{Service: "s", Items: 1}}}, nil)
	assert.Assert(t, fault.Is(err, api.KindNoUpstream), "%v", err)
}
