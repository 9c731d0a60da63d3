// Package failure measures the attainment of a site under single faults, relative to
// a run of the same trace without a fault.
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

// The timing of a run, the speed of the engines and the number of entry hosts.
const (
	// faultDelay is the time from the start of the trace to the injection of the fault.
	faultDelay = 3 * time.Second
	// settleTime is the time after the injection from which arrivals count for the attainment.
	settleTime = 3 * time.Second
	// stepTime is the decoding step time with which an engine with 8 slots generates 32 tokens
	// in 320 to 580 ms.
	stepTime  = "10ms"
	hostCount = 6
)

// Options configure the measurement.
type Options struct {
	// Binaries is the folder of the programs.
	Binaries string
	// Folder holds the example deployments.
	Folder     string
	Deployment string
	Seed       uint64
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration is the length of each run.
	Duration time.Duration
	// Only limits the measurement to the run without a fault and the named scenario; empty measures all.
	Only string
	Out  io.Writer
}

// Scenario is a named fault.
type Scenario struct {
	Name string
	// Inject injects the fault into a running site.
	Inject func(s *site.Site) error
}

// Result holds the metrics of one run.
type Result struct {
	Scenario string `json:"scenario"`
	// Attainment is that of the requests that arrived at least settleTime after the fault.
	Attainment float64 `json:"attainment"`
	// AttainmentRatio is Attainment divided by that of the run without a fault.
	AttainmentRatio float64 `json:"ratio"`
	// CostRatio is the cost of the run divided by that of the run without a fault.
	CostRatio  float64 `json:"cost_ratio"`
	Resumed    int     `json:"resumed"`
	Violations int     `json:"violations"`
}

// Scenarios returns the run without a fault and all single faults, in the order of their runs.
func Scenarios() []Scenario {
	return []Scenario{
		{"none", func(*site.Site) error { return nil }},
		{"straggler", engineFault(injection.Fault{Mode: injection.ModeDelay, DelayMs: 2000})},
		{"engine answers 503", engineFault(injection.Fault{Mode: injection.ModeUnavailable})},
		{"engine refuses connections", engineFault(injection.Fault{Mode: injection.ModeRefuse})},
		{"engine freezes", engineFault(injection.Fault{Mode: injection.ModeFreeze})},
		{"open connections go silent", engineFault(injection.Fault{Mode: injection.ModeStall})},
		{"engine drains", engineFault(injection.Fault{Mode: injection.ModeDraining})},
		{"key-value service out", func(s *site.Site) error {
			return fleet.Inject(s.KeyValueControlAddress, s.KeyValueAddress, injection.Fault{Mode: injection.ModeUnavailable})
		}},
		{"half of the entry hosts killed", killHalfOfHosts},
		{"one entry host frozen", func(s *site.Site) error { return s.Hosts[0].Signal(syscall.SIGSTOP) }},
	}
}

func engineFault(fault injection.Fault) func(*site.Site) error {
	return func(s *site.Site) error {
		return fleet.Inject(s.ControlAddress, firstEngine(s.Options.Document), fault)
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

func killHalfOfHosts(s *site.Site) error {
	var errs []error
	for _, host := range s.Hosts[:len(s.Hosts)/2] {
		errs = append(errs, host.Kill())
	}
	return errors.Join(errs...)
}

// Run measures the scenarios and prints a line for each.
func Run(ctx context.Context, options Options) ([]Result, error) {
	var results []Result
	baseline := 0.0
	baselineCost := 0.0
	fmt.Fprintf(options.Out, "single faults, %s, %.0f requests/s, seed %d\n", options.Deployment, options.Rate, options.Seed)
	fmt.Fprintf(options.Out, "%-32s %10s %8s %10s %8s %16s\n", "FAULT", "ATTAINMENT", "RATIO", "COST RATIO", "RESUMED", "ORDER VIOLATIONS")
	for i, scenario := range Scenarios() {
		if i > 0 && options.Only != "" && options.Only != scenario.Name {
			continue
		}
		report, violations, err := runScenario(ctx, options, scenario)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", scenario.Name, err)
		}
		result := Result{
			Scenario: scenario.Name, Attainment: report.AttainmentFrom(faultDelay + settleTime),
			Resumed: report.Resumed, Violations: len(violations),
		}
		if baseline == 0 {
			baseline, baselineCost = result.Attainment, report.Total.Cost
		}
		result.AttainmentRatio, result.CostRatio = ratio(result.Attainment, baseline), ratio(report.Total.Cost, baselineCost)
		results = append(results, result)
		fmt.Fprintf(options.Out, "%-32s %10.4f %8.4f %10.3f %8d %16d\n", result.Scenario, result.Attainment, result.AttainmentRatio,
			result.CostRatio, result.Resumed, result.Violations)
	}
	return results, nil
}

func ratio(value, baseline float64) float64 {
	if baseline == 0 {
		return 0
	}
	return value / baseline
}

// runScenario replays the trace once on a new site.
func runScenario(ctx context.Context, options Options, scenario Scenario) (*replay.Report, []string, error) {
	doc, _, err := demo.ReadDeployment(options.Folder, options.Deployment)
	if err != nil {
		return nil, nil, err
	}
	folder, err := os.MkdirTemp("", "redwingloft-failure")
	if err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(folder)
	// The trace has no calls of HTTP services: during an outage of the key-value service,
	// orders are refused by design, whatever the policy for pipelines.
	generated := load.Generate(load.Options{
		Document: doc, Seed: options.Seed, Rate: options.Rate, Duration: options.Duration, Topics: 200,
	})
	s, err := site.Start(site.Options{
		Binaries: options.Binaries, Document: doc, Hosts: hostCount, Folder: folder,
		StandinFlags: []string{"--step-time", stepTime},
	})
	if err != nil {
		return nil, nil, err
	}
	report, violations, err := replayTrace(ctx, s, doc, generated, scenario)
	return report, violations, errors.Join(err, s.Stop())
}

func replayTrace(ctx context.Context, s *site.Site, doc *document.Document, generated *trace.Trace, scenario Scenario) (*replay.Report, []string, error) {
	injected := make(chan error, 1)
	timer := time.AfterFunc(faultDelay, func() { injected <- scenario.Inject(s) })
	defer timer.Stop()
	options := replay.Options{Trace: generated, Tokens: demo.Tokens(doc)}
	for _, host := range s.Hosts {
		options.Hosts = append(options.Hosts, api.Address(host.CallerAddress))
	}
	report, err := replay.Run(ctx, options)
	if err != nil {
		return nil, nil, err
	}
	if err := <-injected; err != nil {
		return nil, nil, fmt.Errorf("inject fault: %w", err)
	}
	violations, err := load.Audit(s.ControlAddress, doc, report.Orders)
	return report, violations, err
}
