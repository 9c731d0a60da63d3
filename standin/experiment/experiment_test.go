package experiment

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRunAccountsForEveryRequest guards against a comparison that loses requests,
// counts wrong answers as attained, lets its policy exceed the retry budget or is
// left out of the table.
func TestRunAccountsForEveryRequest(t *testing.T) {
	result, err := Run(t.Context(), Options{Seed: 1, Duration: 300 * time.Millisecond})
	assert.NilError(t, err)
	assert.Assert(t, result.AtCapacity.Requests > 0)
	for _, c := range result.comparisons() {
		assert.Equal(t, c.Baseline.Requests, c.Policy.Requests, c.name)
		for _, outcome := range []Outcome{c.Baseline, c.Policy} {
			assert.Assert(t, outcome.Requests > 0, c.name)
			assert.Assert(t, outcome.Attained+outcome.Refused <= outcome.Requests, c.name)
			assert.Equal(t, outcome.Wrong, 0, c.name)
			inWindows := 0
			for _, n := range outcome.windowRequests {
				inWindows += n
			}
			assert.Equal(t, inWindows, outcome.Requests, c.name)
		}
	}
	// The retry budget allows a tenth of the first attempts plus a reserve of 10.
	policy := result.Retries.Policy
	extra := policy.attempts - policy.stageRuns
	assert.Assert(t, float64(extra) <= 0.1*float64(policy.stageRuns)+10, "%d extra attempts of %d", extra, policy.stageRuns)
	var table bytes.Buffer
	assert.NilError(t, result.Print(&table))
	for _, c := range result.comparisons() {
		assert.Assert(t, strings.Contains(table.String(), c.name+" "), c.name)
	}
}
