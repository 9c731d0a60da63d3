// Package experiment compares the policies of the request path with their plain
// versions, against stand-in engines in the same process.
package experiment

import (
	"context"
	"time"

	"redwingloft/internal/data/document"

	// The codecs of the engines register themselves.
	_ "redwingloft/internal/plugin/openai"
)

// Options set the size of the comparisons.
type Options struct {
	Seed uint64
	// Duration is the length of each of the 16 runs; 0 means 4 s. The runs of the
	// recovery take twice as long.
	Duration time.Duration
}

// Result holds all comparisons of one run.
type Result struct {
	Seed uint64 `json:"seed"`
	// Retries compares the budget with three retries for each failure, at 70% load,
	// while one half of the engines lose their answers after the work.
	Retries Comparison `json:"retries"`
	// RetriesAtCapacity is the same at 90% load with one quarter of the engines at
	// fault and no admission queue, where unbounded retries overload the engines.
	RetriesAtCapacity Comparison `json:"retries_at_capacity"`
	// Hedges compares hedges within the budget with none, while one engine of twelve is slow.
	Hedges Comparison `json:"hedges"`
	// Overload compares the admission queue with none at twice the capacity.
	Overload Comparison `json:"overload"`
	// Peak is the admission queue at the capacity; GoodputShare is the policy's
	// goodput at twice the capacity over that of Peak.
	Peak         Outcome `json:"peak"`
	GoodputShare float64 `json:"goodput_share"`
	// AttainmentWeight and CostWeight compare a document with the weights 0.8 to
	// 0.2 and 0.2 to 0.8 with hedges outside the budget and no prefix affinity.
	// Weights compares the first with the second. Prompts share long prefixes, and
	// one engine of sixteen is slow.
	AttainmentWeight Comparison `json:"attainment_weight"`
	CostWeight       Comparison `json:"cost_weight"`
	Weights          Comparison `json:"weights"`
	// Routing compares affinity and load with round robin on four hosts that get
	// load reports 500 ms late.
	Routing Comparison `json:"routing"`
	// Recovery compares the admission queue with none around a burst of twice the
	// capacity. RecoverySeconds is the time of one entry of Windows; the burst fills
	// the third and the fourth entry.
	Recovery        Comparison `json:"recovery"`
	RecoverySeconds float64    `json:"recovery_seconds"`
}

// Run runs all comparisons one after the other.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Duration == 0 {
		options.Duration = 4 * time.Second
	}
	r := &runner{ctx: ctx, options: options}
	result := &Result{Seed: options.Seed}
	r.faults(result)
	r.routes(result)
	r.bursts(result)
	if r.err != nil {
		return nil, r.err
	}
	return result, nil
}

// runner runs scenarios until one fails.
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

// compare runs a scenario with and without its policy.
func (r *runner) compare(policy scenario, turnOff func(*scenario)) Comparison {
	plain := policy
	turnOff(&plain)
	return compare(r.run(plain), r.run(policy))
}

func (r *runner) faults(result *Result) {
	lossy := scenario{engines: 8, rate: 0.7 * capacity(8), deadline: time.Second, fail: lose(4)}
	full := scenario{engines: 8, rate: 0.9 * capacity(8), deadline: time.Second, fail: lose(2), noQueue: true}
	slow := scenario{
		engines: 12, rate: 0.4 * capacity(12), deadline: 500 * time.Millisecond, fail: delayOne(400 * time.Millisecond),
	}
	noBudget := func(s *scenario) { s.noBudget = true }
	result.Retries = r.compare(lossy, noBudget)
	result.RetriesAtCapacity = r.compare(full, noBudget)
	result.Hedges = r.compare(slow, func(s *scenario) { s.noHedge = true })
}

func (r *runner) routes(result *Result) {
	attainment := weighted
	attainment.weights = document.Weights{Attainment: 0.8, Cost: 0.2}
	cost := weighted
	cost.weights = document.Weights{Attainment: 0.2, Cost: 0.8}
	plain := weighted
	plain.noBudget, plain.noAffinity = true, true
	withPlain, withAttainment, withCost := r.run(plain), r.run(attainment), r.run(cost)
	result.AttainmentWeight = compare(withPlain, withAttainment)
	result.CostWeight = compare(withPlain, withCost)
	result.Weights = compare(withCost, withAttainment)
	routed := weighted
	routed.weights = document.Weights{Attainment: 0.6, Cost: 0.4}
	routed.hosts, routed.reportLag = 4, 500*time.Millisecond
	result.Routing = r.compare(routed, func(s *scenario) { s.roundRobin, s.noAffinity = true, true })
}

// weighted is the load under which the weights of a document are compared.
var weighted = scenario{
	engines: 16, rate: 0.8 * uncachedCapacity(16), deadline: 400 * time.Millisecond, topics: 128,
	fail: delayOne(250 * time.Millisecond),
}

func (r *runner) bursts(result *Result) {
	noQueue := func(s *scenario) { s.noQueue = true }
	twice := scenario{engines: 4, rate: 2 * capacity(4), deadline: time.Second}
	once := twice
	once.rate = capacity(4)
	result.Overload = r.compare(twice, noQueue)
	result.Peak = r.run(once)
	result.GoodputShare = ratio(result.Overload.Policy.Goodput, result.Peak.Goodput)
	burst := scenario{engines: 4, rate: 0.7 * capacity(4), burst: 2 / 0.7, deadline: time.Second}
	r.options.Duration *= 2
	result.Recovery = r.compare(burst, noQueue)
	result.RecoverySeconds = r.options.Duration.Seconds() / windows
}
