package model

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRunRepeats guards against a model whose figures can't be compared because
// something besides the policy differs.
func TestRunRepeats(t *testing.T) {
	options := Options{Seed: 7, Load: 0.7}
	assert.Equal(t, Run(options), Run(options))
}

// BenchmarkRouter compares the router with plain round robin (_rr).
func BenchmarkRouter(b *testing.B) {
	b.Run("load=0.70", func(b *testing.B) { compare(b, Options{Seed: 7, Load: 0.70}) })
	b.Run("load=0.95", func(b *testing.B) { compare(b, Options{Seed: 7, Load: 0.95}) })
	b.Run("load=0.70/slow", func(b *testing.B) { compare(b, Options{Seed: 7, Load: 0.70, SlowFactor: 5}) })
}

func compare(b *testing.B, options Options) {
	for b.Loop() {
		router := Run(options)
		options.RoundRobin = true
		robin := Run(options)
		options.RoundRobin = false
		b.ReportMetric(router.Cached, "cached")
		b.ReportMetric(robin.Cached, "cached_rr")
		b.ReportMetric(router.Peak/robin.Peak, "peak_ratio")
		b.ReportMetric(router.Waited, "waited")
		b.ReportMetric(robin.Waited, "waited_rr")
		b.ReportMetric(router.Slow, "slow")
		b.ReportMetric(robin.Slow, "slow_rr")
		b.ReportMetric(router.P95.Seconds()/robin.P95.Seconds(), "p95_ratio")
	}
}
