// Package failure measures the attainment of a whole site under single faults,
// each beside the run of the same trace without a fault.
package failure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/trace"
	"redwingloft/internal/service/replay"
	"redwingloft/pkg/api"
	"redwingloft/standin/demo"
	"redwingloft/standin/fleet"
	"redwingloft/standin/injection"
	"redwingloft/standin/load"
	"redwingloft/standin/site"
)

const (
	// faultAt is the time of the trace at which the fault begins.
	faultAt = 3 * time.Second
	// settled is the time after the fault from which arrivals count.
	settled = 3 * time.Second
	// stepTime makes an engine of 8 slots answer 32 tokens in 320 to 580 ms.
	stepTime = "10ms"
	hosts    = 6
)

// Options describe a measurement.
type Options struct {
	Binaries string
	// Folder holds the example deployments.
	Folder     string
	Deployment string
	Seed       uint64
	// Rate is the mean number of requests a second.
	Rate float64
	// Duration is the length of each run.
	Duration time.Duration
	// Only names one fault to measure; empty measures all.
	Only string
	Out  io.Writer
}

// Scenario is one fault.
type Scenario struct {
	Name string
	// Begin brings the fault about.
	Begin func(s *site.Site) error
}

// Result is the outcome of one run.
type Result struct {
	Scenario string `json:"scenario"`
	// Attainment is over the requests that arrived once the fault had settled.
	Attainment float64 `json:"attainment"`
	// Ratio is Attainment over that of the run without a fault.
	Ratio float64 `json:"ratio"`
	// Cost is the cost of the whole run over that of the run without a fault.
	Cost       float64 `json:"cost_ratio"`
	Resumed    int     `json:"resumed"`
	Violations int     `json:"violations"`
}

// Scenarios are the single faults.
func Scenarios() []Scenario {
	return []Scenario{
		{"none", func(*site.Site) error { return nil }},
		{"straggler", engineFault(injection.Fault{Mode: injection.ModeDelay, DelayMs: 2000})},
		{"engine answers 503", engineFault(injection.Fault{Mode: injection.ModeUnavailable})},
		{"engine refuses connections", engineFault(injection.Fault{Mode: injection.ModeRefuse})},
		{"engine freezes", engineFault(injection.Fault{Mode: injection.ModeFreeze})},
		{"open connections go silent", engineFault(injection.Fault{Mode: injection.ModeSilence})},
		{"engine drains", engineFault(injection.Fault{Mode: injection.ModeDraining})},
		{"key-value service out", func(s *site.Site) error {
			return fleet.Inject(s.KeyValueControl, s.KeyValueAddress, injection.Fault{Mode: injection.ModeUnavailable})
		}},
		{"half of the entry hosts killed", killHalf},
		{"one entry host frozen", func(s *site.Site) error { return s.Hosts[0].Signal(syscall.SIGSTOP) }},
	}
}

func engineFault(fault injection.Fault) func(*site.Site) error {
	return func(s *site.Site) error {
		return fleet.Inject(s.Control, firstEngine(s.Options.Document), fault)
	}
}

func firstEngine(doc *document.Document) string {
	for _, group := range doc.Groups {
		if group.Kind == document.GroupChat {
			return string(group.Upstreams[0].Address)
		}
	}
	return ""
}

func killHalf(s *site.Site) error {
	var all []error
	for _, host := range s.Hosts[:len(s.Hosts)/2] {
		all = append(all, host.Kill())
	}
	return errors.Join(all...)
}

// Run measures all scenarios and prints a line for each.
func Run(ctx context.Context, options Options) ([]Result, error) {
	var results []Result
	base := 0.0
	baseCost := 0.0
	fmt.Fprintf(options.Out, "single faults, %s, %.0f requests/s, seed %d\n", options.Deployment, options.Rate, options.Seed)
	fmt.Fprintf(options.Out, "%-32s %10s %8s %10s %8s %16s\n", "FAULT", "ATTAINMENT", "RATIO", "COST RATIO", "RESUMED", "ORDER VIOLATIONS")
	for i, scenario := range Scenarios() {
		if i > 0 && options.Only != "" && options.Only != scenario.Name {
			continue
		}
		report, violations, err := measure(ctx, options, scenario)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", scenario.Name, err)
		}
		result := Result{
			Scenario: scenario.Name, Attainment: report.AttainmentFrom(faultAt + settled),
			Resumed: report.Resumed, Violations: len(violations),
		}
		if base == 0 {
			base, baseCost = result.Attainment, report.Total.Cost
		}
		result.Ratio, result.Cost = ratio(result.Attainment, base), ratio(report.Total.Cost, baseCost)
		results = append(results, result)
		fmt.Fprintf(options.Out, "%-32s %10.4f %8.4f %10.3f %8d %16d\n", result.Scenario, result.Attainment, result.Ratio,
			result.Cost, result.Resumed, result.Violations)
	}
	return results, nil
}

func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return value / base
}

// measure runs the trace once on a new site.
func measure(ctx context.Context, options Options, scenario Scenario) (*replay.Report, []string, error) {
	doc, _, err := demo.Read(options.Folder, options.Deployment)
	if err != nil {
		return nil, nil, err
	}
	folder, err := os.MkdirTemp("", "redwingloft-failure")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(folder)
	// Calls of services are left out where the fault is the key-value service: orders
	// are refused then by design, which a policy for pipelines does not change.
	made := load.Generate(load.Options{
		Document: doc, Seed: options.Seed, Rate: options.Rate, Duration: options.Duration, Topics: 200,
	})
	s, err := site.Start(site.Options{
		Binaries: options.Binaries, Document: doc, Hosts: hosts, Folder: folder,
		StandinFlags: []string{"--step-time", stepTime},
	})
	if err != nil {
		return nil, nil, err
	}
	report, violations, err := play(ctx, s, doc, made, scenario)
	return report, violations, errors.Join(err, s.Stop())
}

func play(ctx context.Context, s *site.Site, doc *document.Document, made *trace.Trace, scenario Scenario) (*replay.Report, []string, error) {
	begun := make(chan error, 1)
	timer := time.AfterFunc(faultAt, func() { begun <- scenario.Begin(s) })
	defer timer.Stop()
	options := replay.Options{Trace: made, Tokens: demo.Tokens(doc)}
	for _, host := range s.Hosts {
		options.Hosts = append(options.Hosts, api.Address(host.Caller))
	}
	report, err := replay.Run(ctx, options)
	if err != nil {
		return nil, nil, err
	}
	if err := <-begun; err != nil {
		return nil, nil, fmt.Errorf("the fault could not be brought about: %w", err)
	}
	violations, err := load.Audit(s.Control, doc, report.Orders)
	return report, violations, err
}
