package pipeline

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestHistogramBuckets guards against quantiles that are wrong by more than the
// width of a bucket, which would send hedges too early or too late.
func TestHistogramBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(int64(8*time.Microsecond), int64(130*time.Second)).Draw(t, "duration"))
		middle := bucketMidpoint(bucketIndex(d))
		deviation := float64(middle-d) / float64(d)
		assert.Assert(t, deviation <= 0.125 && deviation >= -0.125, "%s is recorded as %s", d, middle)
	})
}

// TestHistogramFollowsChange guards against quantiles that don't change after the latency has changed.
func TestHistogramFollowsChange(t *testing.T) {
	var h histogram
	now := time.Now()
	for range 1000 {
		h.Record(100*time.Millisecond, now)
	}
	assert.Assert(t, h.P50() > 80*time.Millisecond)
	for range 100 {
		now = now.Add(time.Second)
		for range 10 {
			h.Record(10*time.Millisecond, now)
		}
	}
	assert.Assert(t, h.P95() < 15*time.Millisecond, "p95 is %s", h.P95())
}
