// Package metric wraps the metrics registry of a process and exports it in the Prometheus
// text format.
package metric

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"

	"redwingloft/pkg/api"
)

// Set holds the metrics of one process. The zero value drops all recorded values.
type Set struct {
	// Registry holds all metrics; if it is nil, all values are dropped.
	Registry metrics.Registry
}

// New returns a set with a counter for every error kind, so that the counters are exported
// before the first error of a kind.
func New() *Set {
	set := &Set{Registry: metrics.NewRegistry()}
	for _, info := range api.Kinds {
		set.Counter(info.Counter)
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

// GaugeFunc registers a gauge whose value is computed by value on each export.
func (s *Set) GaugeFunc(name string, value func() int64) {
	if s == nil || s.Registry == nil {
		return
	}
	s.Registry.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}

// histogramSamples is the size of the uniform sample from which quantiles are computed.
const histogramSamples = 256

// Histogram returns the histogram of the given name. The unit of its values depends on the
// metric and is documented with its name.
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

// summary formats a histogram as a Prometheus summary with quantiles.
func summary(name string, h metrics.Histogram) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# TYPE %s summary\n", name)
	for _, quantile := range []float64{0.5, 0.95, 0.99} {
		fmt.Fprintf(&text, "%s{quantile=\"%g\"} %g\n", name, quantile, h.Percentile(quantile))
	}
	fmt.Fprintf(&text, "%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
	return text.String()
}

// Write writes all metrics to out in the Prometheus text format, sorted by name.
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
