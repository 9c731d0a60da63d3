package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReportsLag guards against a lagging report that shows the present load.
func TestReportsLag(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var past reports
	past.add(start, 1)
	past.add(start.Add(time.Second), 2)
	past.add(start.Add(2*time.Second), 1)
	assert.Equal(t, past.at(start.Add(-time.Millisecond)), int64(0))
	assert.Equal(t, past.at(start), int64(1))
	assert.Equal(t, past.at(start.Add(1500*time.Millisecond)), int64(2))
	assert.Equal(t, past.at(start.Add(time.Hour)), int64(1))
}
