// Package experiment compares the policies of the request path with baselines that lack them,
// against stand-in engines in the same process.
package experiment

import (
	"context"
	"time"

	"redwingloft/internal/data/document"

	// Registers the codecs of the engines.
	_ "redwingloft/internal/plugin/openai"
)

// Options configure the comparisons.
type Options struct {
	Seed uint64
	// Duration is the length of each of the 16 runs; 0 means 4 s. The runs of Recovery
	// take twice as long.
	Duration time.Duration
}

// Result holds the results of all comparisons.
type Result struct {
	Seed uint64 `json:"seed"`
	// Retries compares the retry budget with three retries per failure, at 70% load,
	// while half of the engines drop their responses after the work.
	Retries Comparison `json:"retries"`
	// RetriesAtCapacity is the same at 90% load with a quarter of the engines failing
	// and no admission queue, where unbounded retries overload the engines.
	RetriesAtCapacity Comparison `json:"retries_at_capacity"`
	// Hedges compares hedging within the retry budget with no hedging, while one of twelve engines is slow.
	Hedges Comparison `json:"hedges"`
	// Overload compares the admission queue with no queue at twice the capacity.
	Overload Comparison `json:"overload"`
	// AtCapacity is the run with the admission queue at the capacity. GoodputShare is the goodput
	// with the queue at twice the capacity, divided by that of AtCapacity.
	AtCapacity   Outcome `json:"peak"`
	GoodputShare float64 `json:"goodput_share"`
	// AttainmentWeight and CostWeight compare documents with the attainment and cost weights
	// 0.8 and 0.2, and 0.2 and 0.8, with a baseline that hedges without budget and has no prefix
	// affinity. Weights compares the first with the second. Prompts share long prefixes, and
	// one of sixteen engines is slow.
	AttainmentWeight Comparison `json:"attainment_weight"`
	CostWeight       Comparison `json:"cost_weight"`
	Weights          Comparison `json:"weights"`
	// Routing compares routing by prefix affinity and load with round robin, on four hosts
	// that receive load reports with a delay of 500 ms.
	Routing Comparison `json:"routing"`
	// Recovery compares the admission queue with no queue before, during and after a burst of
	// twice the capacity. RecoverySeconds is the length of one entry of Windows; the burst
	// covers the third and fourth entries.
	Recovery        Comparison `json:"recovery"`
	RecoverySeconds float64    `json:"recovery_seconds"`
}

// Run runs all comparisons in sequence.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Duration == 0 {
		options.Duration = 4 * time.Second
	}
	r := &runner{ctx: ctx, options: options}
	result := &Result{Seed: options.Seed}
	r.runFaults(result)
	r.runRouting(result)
	r.runBursts(result)
	if r.err != nil {
		return nil, r.err
	}
	return result, nil
}

// runner runs scenarios until one returns an error.
type runner struct {
	ctx     context.Context
	options Options
	err     error
}

func (r *runner) run(s scenario) Outcome {
	if r.err != nil {
		return Outcome{}
	}
	outcome, err := s.run(r.ctx, r.options)
	r.err = err
	return outcome
}

// compare runs a scenario without and with its policy.
func (r *runner) compare(policy scenario, disablePolicy func(*scenario)) Comparison {
	baseline := policy
	disablePolicy(&baseline)
	return compare(r.run(baseline), r.run(policy))
}

func (r *runner) runFaults(result *Result) {
	halfDropping := scenario{engines: 8, rate: 0.7 * capacity(8), deadline: time.Second, injectFaults: dropResponses(4)}
	quarterDropping := scenario{engines: 8, rate: 0.9 * capacity(8), deadline: time.Second, injectFaults: dropResponses(2), noQueue: true}
	oneSlow := scenario{
		engines: 12, rate: 0.4 * capacity(12), deadline: 500 * time.Millisecond, injectFaults: delayFirstEngine(400 * time.Millisecond),
	}
	noBudget := func(s *scenario) { s.noBudget = true }
	result.Retries = r.compare(halfDropping, noBudget)
	result.RetriesAtCapacity = r.compare(quarterDropping, noBudget)
	result.Hedges = r.compare(oneSlow, func(s *scenario) { s.noHedge = true })
}

func (r *runner) runRouting(result *Result) {
	attainmentScenario := weightScenario
	attainmentScenario.weights = document.Weights{Attainment: 0.8, Cost: 0.2}
	costScenario := weightScenario
	costScenario.weights = document.Weights{Attainment: 0.2, Cost: 0.8}
	baselineScenario := weightScenario
	baselineScenario.noBudget, baselineScenario.noAffinity = true, true
	baseline, attainment, cost := r.run(baselineScenario), r.run(attainmentScenario), r.run(costScenario)
	result.AttainmentWeight = compare(baseline, attainment)
	result.CostWeight = compare(baseline, cost)
	result.Weights = compare(cost, attainment)
	routing := weightScenario
	routing.weights = document.Weights{Attainment: 0.6, Cost: 0.4}
	routing.hosts, routing.reportLag = 4, 500*time.Millisecond
	result.Routing = r.compare(routing, func(s *scenario) { s.roundRobin, s.noAffinity = true, true })
}

// weightScenario is the load and the fault under which the weights of a document are compared.
var weightScenario = scenario{
	engines: 16, rate: 0.8 * uncachedCapacity(16), deadline: 400 * time.Millisecond, topics: 128,
	injectFaults: delayFirstEngine(250 * time.Millisecond),
}

func (r *runner) runBursts(result *Result) {
	noQueue := func(s *scenario) { s.noQueue = true }
	overload := scenario{engines: 4, rate: 2 * capacity(4), deadline: time.Second}
	atCapacity := overload
	atCapacity.rate = capacity(4)
	result.Overload = r.compare(overload, noQueue)
	result.AtCapacity = r.run(atCapacity)
	result.GoodputShare = ratio(result.Overload.Policy.Goodput, result.AtCapacity.Goodput)
	burst := scenario{engines: 4, rate: 0.7 * capacity(4), burst: 2 / 0.7, deadline: time.Second}
	r.options.Duration *= 2
	result.Recovery = r.compare(burst, noQueue)
	result.RecoverySeconds = r.options.Duration.Seconds() / windowCount
}
