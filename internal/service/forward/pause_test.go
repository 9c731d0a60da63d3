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
	const pauseTime = time.Second
	refuse := func(w *bufio.Writer, run platform.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 503 Busy\r\n%s: %s\r\n%s: 1\r\nRetry-After: %g\r\nContent-Length: 0\r\n\r\n", wire.HeaderRequestID,
			run.Header.Get(wire.HeaderRequestID), wire.HeaderNotRun, pauseTime.Seconds())
		return true
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent}, refuse, refuse)
	f.Pool.Throttle = &throttle.Table{Log: logging.Discard(), Metrics: f.Metrics}
	for range 10 {
		_, err := f.serve(t, nil)
		assert.Equal(t, fault.KindOf(err), api.KindOverloaded)
		assert.Assert(t, fault.RetryDelay(err) > pauseTime/2, "%v", err)
	}
	assert.Equal(t, f.totalRuns(), 2)
	time.Sleep(pauseTime)
	_, _ = f.serve(t, nil)
	assert.Equal(t, f.totalRuns(), 4)
}
