// Package metric wraps the metrics registry of a process and writes it in the
// Prometheus text format.
package metric

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"

	"redwingloft/pkg/api"
)

// Set is the metrics of one process. The zero value works.
type Set struct {
	// Registry holds all metrics; nil means that counts are dropped until Init is called.
	Registry metrics.Registry
}

// New returns a set with a counter for every error kind, so that each refusal
// reason is listed from the start.
func New() *Set {
	set := &Set{Registry: metrics.NewRegistry()}
	for _, answer := range api.Kinds {
		set.Counter(answer.Counter)
	}
	return set
}

// Counter returns the counter of the given name, such as "retry.dial_failed".
func (s *Set) Counter(name string) metrics.Counter {
	if s == nil || s.Registry == nil {
		return metrics.NilCounter{}
	}
	return metrics.GetOrRegisterCounter(name, s.Registry)
}

// Gauge returns the gauge of the given name.
func (s *Set) Gauge(name string) metrics.GaugeFloat64 {
	if s == nil || s.Registry == nil {
		return metrics.NilGaugeFloat64{}
	}
	return metrics.GetOrRegisterGaugeFloat64(name, s.Registry)
}

// Func registers a gauge whose value is read when the metrics are written.
func (s *Set) Func(name string, value func() int64) {
	if s == nil || s.Registry == nil {
		return
	}
	s.Registry.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}

// histogramSamples is the number of recent values from which quantiles are computed.
const histogramSamples = 256

// Histogram returns the histogram of the given name; its values have the unit that the
// name's documentation states.
func (s *Set) Histogram(name string) metrics.Histogram {
	if s == nil || s.Registry == nil {
		return metrics.NilHistogram{}
	}
	return s.Registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(histogramSamples))
	}).(metrics.Histogram)
}

// Counters returns the value of every counter by name.
func (s *Set) Counters() map[string]int64 {
	values := map[string]int64{}
	if s == nil || s.Registry == nil {
		return values
	}
	s.Registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			values[name] = counter.Count()
		}
	})
	return values
}

// summary returns a histogram as a summary with its quantiles.
func summary(name string, h metrics.Histogram) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# TYPE %s summary\n", name)
	for _, quantile := range []float64{0.5, 0.95, 0.99} {
		fmt.Fprintf(&text, "%s{quantile=\"%g\"} %g\n", name, quantile, h.Percentile(quantile))
	}
	fmt.Fprintf(&text, "%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
	return text.String()
}

// Write writes all counters, gauges and histograms in the Prometheus text format, sorted by name.
func (s *Set) Write(out io.Writer) error {
	var lines []string
	s.Registry.Each(func(name string, metric any) {
		exposed := "redwingloft_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch value := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("# TYPE %s counter\n%s %d\n", exposed, exposed, value.Count()))
		case metrics.Histogram:
			lines = append(lines, summary(exposed, value.Snapshot()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("# TYPE %s gauge\n%s %d\n", exposed, exposed, value.Value()))
		case metrics.GaugeFloat64:
			lines = append(lines, fmt.Sprintf("# TYPE %s gauge\n%s %g\n", exposed, exposed, value.Value()))
		}
	})
	sort.Strings(lines)
	_, err := io.WriteString(out, strings.Join(lines, ""))
	return err
}
