package forward

import (
	"bufio"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/service/throttle"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// TestPauseOfRefusingUpstreamIsKept guards against requests within the Retry-After time of a refusal, and none after it.
func TestPauseOfRefusingUpstreamIsKept(t *testing.T) {
	const pauseTime = 500 * time.Millisecond
	refuse := func(w *bufio.Writer, run platform.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: 1\r\nRetry-After: %g\r\nContent-Length: 0\r\n\r\n", wire.HeaderRequestID,
			run.Header.Get(wire.HeaderRequestID), wire.HeaderNotRun, pauseTime.Seconds())
		return true
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, refuse, refuse)
	f.Pool.Throttle = &throttle.Table{Log: logging.Discard(), Metrics: f.Metrics}
	var delays []time.Duration
	for range 10 {
		_, err := f.serve(t, nil)
		assert.Equal(t, fault.KindOf(err), api.KindOverloaded)
		delays = append(delays, fault.RetryDelay(err))
	}
	assert.Equal(t, f.totalRuns(), 2)
	assert.Assert(t, delays[0] > pauseTime/2 && delays[0] <= pauseTime && delays[9] > delays[0], "%v", delays)
	time.Sleep(pauseTime)
	_, _ = f.serve(t, nil)
	assert.Equal(t, f.totalRuns(), 4)
}
