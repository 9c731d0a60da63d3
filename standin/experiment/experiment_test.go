package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRunAccountsForEveryRequest guards against a comparison that loses requests,
// counts wrong answers as attained or lets its policy exceed the retry budget.
func TestRunAccountsForEveryRequest(t *testing.T) {
	result, err := Run(t.Context(), Options{Seed: 1, Duration: 300 * time.Millisecond})
	assert.NilError(t, err)
	for _, outcome := range []Outcome{
		result.Retries.Plain, result.Retries.Policy, result.Hedges.Plain, result.Hedges.Policy,
		result.Overload.Plain, result.Overload.Policy, result.Peak,
	} {
		assert.Assert(t, outcome.Requests > 0)
		assert.Assert(t, outcome.Attained+outcome.Refused <= outcome.Requests)
		assert.Equal(t, outcome.Wrong, 0)
	}
	assert.Equal(t, result.Retries.Plain.Requests, result.Retries.Policy.Requests)
	// A tenth of the first attempts and the reserve of the budget.
	policy := result.Retries.Policy
	extra := policy.attempts - policy.stages
	assert.Assert(t, float64(extra) <= 0.1*float64(policy.stages)+10, "%d extra attempts of %d", extra, policy.stages)
}
