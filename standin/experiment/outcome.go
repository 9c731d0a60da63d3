package experiment

import (
	"time"

	"redwingloft/pkg/api"
)

// windowCount is the number of equal parts of a run for which attainment is computed.
const windowCount = 8

// Outcome holds the metrics of one run.
type Outcome struct {
	Requests int `json:"requests"`
	// Attained counts the requests with a complete and correct response within the deadline.
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	// Goodput is the number of attained requests per second of arrivals.
	Goodput float64 `json:"goodput"`
	// Cost is the sum over all stages and attempts, LostCost the part spent on attempts with unused results.
	Cost            float64 `json:"cost"`
	LostCost        float64 `json:"lost_cost"`
	CostPerAttained float64 `json:"cost_per_attained"`
	// Stages holds the cost totals by stage.
	Stages map[api.StageName]StageTotal `json:"stages"`
	// ExtraAttempts is the number of attempts beyond the first of each stage, divided by the number of first attempts.
	ExtraAttempts float64 `json:"extra_attempts"`
	// Refused counts the requests that the admission queue refused.
	Refused int `json:"refused"`
	// SmallAttainment is the attainment of the small workspace, which sends a tenth of the requests.
	SmallAttainment float64 `json:"small_attainment"`
	// Windows is the attainment by the eighth of the run in which requests arrived.
	Windows [windowCount]float64 `json:"windows"`
	// Wrong counts successful responses with incorrect text. Any is a bug.
	Wrong int `json:"wrong"`

	stageRuns, attempts            int
	smallRequests, smallAttained   int
	windowRequests, windowAttained [windowCount]int
}

// StageTotal is the cost of one stage over all requests.
type StageTotal struct {
	Cost            float64 `json:"cost"`
	LostCost        float64 `json:"lost_cost"`
	CostPerAttained float64 `json:"cost_per_attained"`
}

// Comparison compares a policy with its baseline under the same load and faults.
type Comparison struct {
	Baseline Outcome `json:"plain"`
	Policy   Outcome `json:"policy"`
	// AttainmentRatio, CostRatio and ExtraRatio are values of the policy divided by those of the baseline.
	// CostRatio is that of the cost per attained request. A ratio with a divisor of 0 is 0.
	AttainmentRatio float64 `json:"attainment_ratio"`
	CostRatio       float64 `json:"cost_ratio"`
	ExtraRatio      float64 `json:"extra_ratio"`
	// StageCostRatios is CostRatio by stage.
	StageCostRatios map[api.StageName]float64 `json:"stage_cost_ratios"`
}

func compare(baseline, policy Outcome) Comparison {
	c := Comparison{Baseline: baseline, Policy: policy, StageCostRatios: map[api.StageName]float64{}}
	c.AttainmentRatio = ratio(policy.Attainment, baseline.Attainment)
	c.CostRatio = ratio(policy.CostPerAttained, baseline.CostPerAttained)
	c.ExtraRatio = ratio(policy.ExtraAttempts, baseline.ExtraAttempts)
	for name, total := range policy.Stages {
		c.StageCostRatios[name] = ratio(total.CostPerAttained, baseline.Stages[name].CostPerAttained)
	}
	return c
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (o *Outcome) add(result requestResult) {
	o.Requests++
	o.windowRequests[result.window]++
	if result.small {
		o.smallRequests++
	}
	if result.refused {
		o.Refused++
	}
	if result.wrong {
		o.Wrong++
	}
	if result.attained {
		o.Attained++
		o.windowAttained[result.window]++
		if result.small {
			o.smallAttained++
		}
	}
	for _, stage := range result.stages {
		o.addStage(stage)
	}
}

func (o *Outcome) addStage(stage api.StageCost) {
	o.Cost += stage.Cost
	o.LostCost += stage.LostCost
	total := o.Stages[stage.Stage]
	total.Cost += stage.Cost
	total.LostCost += stage.LostCost
	o.Stages[stage.Stage] = total
	if stage.Attempts > 0 {
		o.stageRuns++
		o.attempts += stage.Attempts
	}
}

func (o *Outcome) finish(duration time.Duration) {
	o.Attainment = ratio(float64(o.Attained), float64(o.Requests))
	o.SmallAttainment = ratio(float64(o.smallAttained), float64(o.smallRequests))
	o.Goodput = float64(o.Attained) / duration.Seconds()
	o.CostPerAttained = ratio(o.Cost, float64(o.Attained))
	o.ExtraAttempts = ratio(float64(o.attempts-o.stageRuns), float64(o.stageRuns))
	for name, total := range o.Stages {
		total.CostPerAttained = ratio(total.Cost, float64(o.Attained))
		o.Stages[name] = total
	}
	for i := range o.Windows {
		o.Windows[i] = ratio(float64(o.windowAttained[i]), float64(o.windowRequests[i]))
	}
}
