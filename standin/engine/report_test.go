package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReportsLag guards against a delayed load report that returns the current load.
func TestReportsLag(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var history loadHistory
	history.add(start, 1)
	history.add(start.Add(time.Second), 2)
	history.add(start.Add(2*time.Second), 1)
	assert.Equal(t, history.runningAt(start.Add(-time.Millisecond)), int64(0))
	assert.Equal(t, history.runningAt(start), int64(1))
	assert.Equal(t, history.runningAt(start.Add(1500*time.Millisecond)), int64(2))
	assert.Equal(t, history.runningAt(start.Add(time.Hour)), int64(1))
}
