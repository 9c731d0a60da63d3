package model

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRunRepeats guards against runs that can't be compared because something
// besides the policy differs, such as an unseeded random number.
func TestRunRepeats(t *testing.T) {
	options := Options{Seed: 7, Load: 0.7}
	assert.Equal(t, Run(options), Run(options))
}

// BenchmarkRouter compares the router with round robin (metrics ending in _rr).
func BenchmarkRouter(b *testing.B) {
	b.Run("load=0.70", func(b *testing.B) { compareWithRoundRobin(b, Options{Seed: 7, Load: 0.70}) })
	b.Run("load=0.95", func(b *testing.B) { compareWithRoundRobin(b, Options{Seed: 7, Load: 0.95}) })
	b.Run("load=0.70/slow", func(b *testing.B) { compareWithRoundRobin(b, Options{Seed: 7, Load: 0.70, SlowFactor: 5}) })
}

func compareWithRoundRobin(b *testing.B, options Options) {
	for b.Loop() {
		router := Run(options)
		options.RoundRobin = true
		roundRobin := Run(options)
		options.RoundRobin = false
		b.ReportMetric(router.CachedShare, "cached")
		b.ReportMetric(roundRobin.CachedShare, "cached_rr")
		b.ReportMetric(router.PeakLoad/roundRobin.PeakLoad, "peak_ratio")
		b.ReportMetric(router.QueuedShare, "waited")
		b.ReportMetric(roundRobin.QueuedShare, "waited_rr")
		b.ReportMetric(router.SlowEngineShare, "slow")
		b.ReportMetric(roundRobin.SlowEngineShare, "slow_rr")
		b.ReportMetric(router.P95.Seconds()/roundRobin.P95.Seconds(), "p95_ratio")
	}
}
