package stage

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/pkg/api"
)

// TestJobHandedBackBeforeResultsIsNotDone guards against a job without any result that the submitting
// host takes for finished, because a report of no results looks like the outcome of one.
func TestJobHandedBackBeforeResultsIsNotDone(t *testing.T) {
	view := groupView(t, 2, map[string][]api.ServiceName{"dc0": {"s"}})
	scheduler := &Scheduler{
		View: func() *directory.View { return view }, Role: func(*directory.View) Role { return RoleScheduler },
		Upstreams: func(view *directory.View) []*fleet.Upstream { return view.Ready("s") },
		Budget:    &forward.Budget{Window: time.Second}, Pool: &forward.Pool{Dial: hangingDial},
		Codec: Codec{EncodeItems: func([]fleet.Item) ([]byte, error) { return nil, nil }}, Log: logging.Discard(), Metrics: metric.New(),
	}
	reports := 0
	done := make(chan error, 1)
	job := Job{Request: "r", Stages: []Spec{{Service: "s", Items: 1}}, Target: clock.Now().Add(time.Minute), Deadline: clock.Now().Add(time.Minute)}
	go func() {
		_, err := scheduler.Submit(context.Background(), job, func([]StoredResults) { reports++ })
		done <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		scheduler.mu.Lock()
		defer scheduler.mu.Unlock()
		if scheduler.plan == nil || scheduler.plan.handBack(func(*jobState) bool { return true }, clock.Now()) == 0 {
			return poll.Continue("no job yet")
		}
		return poll.Success()
	})
	assert.ErrorIs(t, <-done, ErrHandedBack)
	assert.Equal(t, reports, 0)
}

// hangingDial opens no connection until ctx ends.
func hangingDial(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
