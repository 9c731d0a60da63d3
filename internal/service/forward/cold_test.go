package forward

import (
	"context"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/throttle"
	"redwingloft/pkg/api"
)

// TestNoStagesForColdEngines guards against stages that run although all engines are cold and are sent
// as many requests as they tolerate until the caller gives up, and against a request that is refused
// although an engine is warm or has room by then.
func TestNoStagesForColdEngines(t *testing.T) {
	route := fleet.Route{Kind: fleet.KindStreaming, MaxAttempts: 1, Stages: []fleet.Stage{{Service: "t"}}}
	f := newFixture(t, route, respondOK)
	engine := f.upstreams[0]
	f.Pool.Throttle = &throttle.Table{Log: logging.Discard(), Metrics: f.Metrics, ColdBound: func(api.ServiceName) (int, bool) { return 2, true }}
	running, release := make(chan struct{}, 10), make(chan struct{})
	f.RunStages = func(context.Context, *StageWork) (*StageResults, error) {
		running <- struct{}{}
		<-release
		return &StageResults{Release: func() {}}, nil
	}
	serve := func(timeout time.Duration) error {
		_, err := f.serve(t, func(r *fleet.Request) { r.Items, r.CallerTimeout = []int{1}, timeout })
		return err
	}
	f.Pool.Throttle.ObserveCold(&engine.Entry, time.Minute, nil, clock.Now())
	first := make(chan error, 1)
	go func() { first <- serve(time.Second) }()
	<-running
	err := serve(time.Second)
	assert.Equal(t, fault.KindOf(err), api.KindOverloaded)
	assert.Assert(t, fault.RetryDelay(err) > 0)
	assert.Equal(t, len(running), 0, "the only slot belongs to the request whose stages run")
	second := make(chan error, 1)
	go func() { second <- serve(10 * time.Second) }()
	<-running
	close(release)
	<-first
	<-second
}

// TestRefusedConnectionMakesAnUpstreamCold guards against an upstream that starts again and gets full
// traffic before its entry is known.
func TestRefusedConnectionMakesAnUpstreamCold(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 1}, respondOK)
	f.Pool.Throttle = &throttle.Table{Log: logging.Discard(), Metrics: f.Metrics, ColdBound: func(api.ServiceName) (int, bool) { return 2, true }}
	_, err := f.serve(t, nil)
	assert.NilError(t, err)
	f.upstreams[0].Close()
	for range 3 {
		_, err := f.serve(t, nil)
		assert.Equal(t, fault.KindOf(err), api.KindOverloaded)
	}
	assert.Assert(t, math.MaxInt > f.Pool.Throttle.Room(f.View().Ready("s"), clock.Now(), clock.Now()))
}

// TestReplacementInEvacuatedDataCentreIsChosenAgain guards against an attempt at an upstream that was
// evacuated after it was chosen to replace a silent one.
func TestReplacementInEvacuatedDataCentreIsChosenAgain(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2}, respondOK, respondOK)
	request := &fleet.Request{ID: "id-1", Method: "POST", Target: "/p/x", Path: "/p/x", Host: "h", Credential: "secret", Received: clock.Now()}
	c, err := f.admit(request, nil)
	assert.NilError(t, err)
	gone := f.upstreams[0].Entry
	gone.Started++
	c.replacement = &replacement{upstream: &gone}
	upstream, err := c.nextUpstream(c.leastLoaded)
	assert.NilError(t, err)
	assert.Assert(t, upstream.Started != gone.Started)
	c.replacement = &replacement{upstream: &gone}
	f.View = func() *directory.View { return &directory.View{} }
	_, err = c.nextUpstream(c.leastLoaded)
	assert.Equal(t, fault.KindOf(err), api.KindNoUpstream)
}
