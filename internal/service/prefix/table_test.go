package prefix

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRateLeavesOutTheRequest guards against a part that becomes popular by a single request, and
// against one that stays popular.
func TestRateLeavesOutTheRequest(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	table.Add("p", now)
	assert.Equal(t, table.Rate("p", now, now), 0.0)
	assert.Equal(t, table.Rate("p", now, now.Add(time.Second)), 0.0)
	later := now.Add(500 * time.Millisecond)
	table.Add("p", later)
	assert.Assert(t, table.Rate("p", later, later) > 0)
	assert.Equal(t, table.Rate("p", later, later.Add(expiry)), 0.0)
	assert.Equal(t, table.Rate("other", later, later), 0.0)
}

// TestTableIsBounded guards against a table that grows with the number of prompts.
func TestTableIsBounded(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	for i := range 3 * maxParts {
		table.Add(fmt.Sprint(i), now)
	}
	assert.Equal(t, table.Len(), maxParts)
	table.Add("later", now.Add(expiry+rateTime))
	assert.Equal(t, table.Len(), 1)
}

// TestOwnersFollowTheLoad guards against several owners for a part that one engine can take, and
// against more owners than half of the engines.
func TestOwnersFollowTheLoad(t *testing.T) {
	assert.Equal(t, Owners(0.06, 0.05, 112), 1)
	assert.Equal(t, Owners(32, 0.05, 112), 7)
	assert.Equal(t, Owners(1000, 0.05, 112), MaxOwners)
	assert.Equal(t, Owners(1000, 0.05, 12), 6)
	assert.Equal(t, Owners(1000, 0.05, 1), 1)
}
