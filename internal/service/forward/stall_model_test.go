package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
)

// TestSlowdownCausesFewReplacements guards against a slow period of half a second in which most attempts
// are replaced, so that the other upstreams get the work twice, and against an upstream that counts as
// failing afterwards. The load is the order service of TestUnevenPace with requests that may be repeated.
func TestSlowdownCausesFewReplacements(t *testing.T) {
	model := paceModel{
		hosts: 70, upstreams: 3, rate: 149, remote: 500 * time.Microsecond, slowFactor: 4, length: modelTime, choose: LeastLoaded,
		route: fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2, Timeout: 600 * time.Millisecond},
	}
	for _, objective := range []time.Duration{50 * time.Millisecond, 120 * time.Millisecond} {
		model.route.Objective, model.stall = objective, false
		without := model.sum(1)
		model.stall = true
		with := model.sum(1)
		t.Logf("objective %s: without replacements %s with %s", objective, without, with)
		assert.Assert(t, with.replaced*50 <= with.requests, "%s", with)
		assert.Equal(t, with.refused, 0)
		assert.Assert(t, with.target*100 >= without.target*99 && with.deadline*1000 >= without.deadline*999, "%s, %s without replacements", with, without)
	}
}

// TestSilentUpstreamIsReplacedInTime guards against a replacement that comes too late for the deadline.
func TestSilentUpstreamIsReplacedInTime(t *testing.T) {
	route := &fleet.Route{Objective: 50 * time.Millisecond}
	health := &Health{Service: &MeasuredService{Usual: 100 * time.Millisecond}, Latency: 100 * time.Millisecond}
	assert.Equal(t, stallAfter(route, health, 1500*time.Millisecond), 500*time.Millisecond)
	assert.Equal(t, stallAfter(route, health, time.Minute), 2500*time.Millisecond)
	assert.Equal(t, stallAfter(route, &Health{}, time.Minute), 100*time.Millisecond)
}
