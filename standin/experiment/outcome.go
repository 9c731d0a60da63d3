package experiment

import (
	"time"

	"redwingloft/pkg/api"
)

// windows is the number of equal parts of a run for which attainment is kept.
const windows = 8

// Outcome is the result of one run.
type Outcome struct {
	Requests int `json:"requests"`
	// Attained counts the requests with a whole and correct answer within the deadline.
	Attained   int     `json:"attained"`
	Attainment float64 `json:"attainment"`
	// Goodput is the attained requests for each second of the arrivals.
	Goodput float64 `json:"goodput"`
	// Cost is the sum over all stages and attempts, LostCost the part without use.
	Cost            float64 `json:"cost"`
	LostCost        float64 `json:"lost_cost"`
	CostPerAttained float64 `json:"cost_per_attained"`
	// Stages holds the totals of each stage.
	Stages map[api.StageName]StageTotal `json:"stages"`
	// ExtraAttempts is the attempts beyond the first of each stage, as a share of the first ones.
	ExtraAttempts float64 `json:"extra_attempts"`
	// Refused counts the requests that were refused before their start.
	Refused int `json:"refused"`
	// SmallAttainment is the attainment of the small workspace, which sends a tenth of the requests.
	SmallAttainment float64 `json:"small_attainment"`
	// Windows is the attainment of the requests that arrived in each eighth of the run.
	Windows [windows]float64 `json:"windows"`
	// Wrong counts answers with a wrong text; any is a fault of the system.
	Wrong int `json:"wrong"`

	stages, attempts               int
	small, smallAttained           int
	windowRequests, windowAttained [windows]int
}

// StageTotal is the sum of a stage over all requests.
type StageTotal struct {
	Cost            float64 `json:"cost"`
	LostCost        float64 `json:"lost_cost"`
	CostPerAttained float64 `json:"cost_per_attained"`
}

// Comparison is a policy beside its plain version under the same load and faults.
type Comparison struct {
	Plain  Outcome `json:"plain"`
	Policy Outcome `json:"policy"`
	// AttainmentRatio, CostRatio and ExtraRatio are those of the policy over those of the plain version.
	// CostRatio compares the cost of an attained request. A ratio over 0 is 0.
	AttainmentRatio float64 `json:"attainment_ratio"`
	CostRatio       float64 `json:"cost_ratio"`
	ExtraRatio      float64 `json:"extra_ratio"`
	// StageCostRatios is CostRatio for each stage.
	StageCostRatios map[api.StageName]float64 `json:"stage_cost_ratios"`
}

func compare(plain, policy Outcome) Comparison {
	c := Comparison{Plain: plain, Policy: policy, StageCostRatios: map[api.StageName]float64{}}
	c.AttainmentRatio = ratio(policy.Attainment, plain.Attainment)
	c.CostRatio = ratio(policy.CostPerAttained, plain.CostPerAttained)
	c.ExtraRatio = ratio(policy.ExtraAttempts, plain.ExtraAttempts)
	for name, total := range policy.Stages {
		c.StageCostRatios[name] = ratio(total.CostPerAttained, plain.Stages[name].CostPerAttained)
	}
	return c
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (o *Outcome) add(e ended) {
	o.Requests++
	o.windowRequests[e.window]++
	if e.small {
		o.small++
	}
	if e.refused {
		o.Refused++
	}
	if e.wrong {
		o.Wrong++
	}
	if e.attained {
		o.Attained++
		o.windowAttained[e.window]++
		if e.small {
			o.smallAttained++
		}
	}
	for _, stage := range e.stages {
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
		o.stages++
		o.attempts += stage.Attempts
	}
}

func (o *Outcome) finish(duration time.Duration) {
	o.Attainment = ratio(float64(o.Attained), float64(o.Requests))
	o.SmallAttainment = ratio(float64(o.smallAttained), float64(o.small))
	o.Goodput = float64(o.Attained) / duration.Seconds()
	o.CostPerAttained = ratio(o.Cost, float64(o.Attained))
	o.ExtraAttempts = ratio(float64(o.attempts-o.stages), float64(o.stages))
	for name, total := range o.Stages {
		total.CostPerAttained = ratio(total.Cost, float64(o.Attained))
		o.Stages[name] = total
	}
	for i := range o.Windows {
		o.Windows[i] = ratio(float64(o.windowAttained[i]), float64(o.windowRequests[i]))
	}
}
