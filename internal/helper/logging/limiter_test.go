package logging

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDroppedLinesAreCounted guards against refusals that are missing from the log and
// from the count of dropped lines.
func TestDroppedLinesAreCounted(t *testing.T) {
	var limiter Limiter
	now := time.Now()
	written := 0
	for range limiterBurst + 7 {
		if _, ok := limiter.Allow(now); ok {
			written++
		}
	}
	assert.Equal(t, written, limiterBurst)
	dropped, ok := limiter.Allow(now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, dropped, int64(7))
}
