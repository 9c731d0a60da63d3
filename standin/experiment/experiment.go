// Package experiment compares the policies of the request path with their plain
// versions, against stand-in engines in the same process.
package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/work"
	"redwingloft/internal/service/admission"
	"redwingloft/internal/service/pipeline"
	"redwingloft/internal/service/retry"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
	"redwingloft/standin/engine"
	"redwingloft/standin/fleet"
	"redwingloft/standin/injection"
	"redwingloft/standin/site"

	// The codecs of the engines register themselves.
	_ "redwingloft/internal/plugin/openai"
)

// Options set the size of the comparisons.
type Options struct {
	Seed uint64
	// Duration is the length of each of the nine runs; 0 means 4 s.
	Duration time.Duration
}

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
	// ExtraAttempts is the attempts beyond the first of each stage, as a share of the first ones.
	ExtraAttempts float64 `json:"extra_attempts"`
	// Refused counts the requests that were refused before their start.
	Refused int `json:"refused"`
	// SmallAttainment is the attainment of the small workspace, which sends a tenth of the requests.
	SmallAttainment float64 `json:"small_attainment"`
	// Wrong counts answers with a wrong text; any is a fault of the system.
	Wrong int `json:"wrong"`

	stages, attempts     int
	small, smallAttained int
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
}

// Result holds all comparisons of one run.
type Result struct {
	Seed uint64 `json:"seed"`
	// Retries compares the budget with three retries for each failure, at 70% load,
	// while one half of the engines lose their answers after the work. There is room
	// for more retries than the budget allows.
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
}

// scenario is one run.
type scenario struct {
	engines int
	// rate is the number of requests a second.
	rate     float64
	deadline time.Duration
	// fail puts the faults in force before the first request.
	fail func(*fleet.Fleet, []document.Upstream) error
	// plain turns off the policy under comparison.
	noBudget, noHedge, noQueue bool
}

const (
	slots      = 4
	maxTokens  = 10
	stepTime   = 10 * time.Millisecond
	stageTime  = 5 * time.Millisecond
	smallShare = 0.1
)

// capacity returns the requests a second that engines can finish: a full batch
// slows each step by a tenth for each request.
func capacity(engines int) float64 {
	step := stepTime + stepTime*slots/10
	return float64(engines*slots) / (maxTokens * step).Seconds()
}

// Run runs all comparisons one after the other.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Duration == 0 {
		options.Duration = 4 * time.Second
	}
	result := &Result{Seed: options.Seed}
	lossy := scenario{engines: 8, rate: 0.7 * capacity(8), deadline: time.Second, fail: lose(4)}
	full := scenario{engines: 8, rate: 0.9 * capacity(8), deadline: time.Second, fail: lose(2), noQueue: true}
	slow := scenario{engines: 12, rate: 0.4 * capacity(12), deadline: 500 * time.Millisecond, fail: slowOne}
	twice := scenario{engines: 4, rate: 2 * capacity(4), deadline: time.Second}
	lossyPlain, fullPlain, slowPlain, twicePlain := lossy, full, slow, twice
	lossyPlain.noBudget, fullPlain.noBudget, slowPlain.noHedge, twicePlain.noQueue = true, true, true, true
	once := twice
	once.rate = capacity(4)
	for _, run := range []struct {
		scenario scenario
		into     *Outcome
	}{
		{lossyPlain, &result.Retries.Plain},
		{lossy, &result.Retries.Policy},
		{fullPlain, &result.RetriesAtCapacity.Plain},
		{full, &result.RetriesAtCapacity.Policy},
		{slowPlain, &result.Hedges.Plain},
		{slow, &result.Hedges.Policy},
		{twicePlain, &result.Overload.Plain},
		{twice, &result.Overload.Policy},
		{once, &result.Peak},
	} {
		outcome, err := run.scenario.run(ctx, options)
		if err != nil {
			return nil, err
		}
		*run.into = outcome
	}
	for _, comparison := range []*Comparison{&result.Retries, &result.RetriesAtCapacity, &result.Hedges, &result.Overload} {
		comparison.compare()
	}
	result.GoodputShare = ratio(result.Overload.Policy.Goodput, result.Peak.Goodput)
	return result, nil
}

// lose lets the first n engines lose each answer after the work.
func lose(n int) func(*fleet.Fleet, []document.Upstream) error {
	return func(f *fleet.Fleet, engines []document.Upstream) error {
		for i := range engines[:n] {
			if err := f.Injector(string(engines[i].Address)).Set(injection.Fault{Mode: injection.ModeDropReply}); err != nil {
				return err
			}
		}
		return nil
	}
}

func slowOne(f *fleet.Fleet, engines []document.Upstream) error {
	return f.Injector(string(engines[0].Address)).Set(injection.Fault{Mode: injection.ModeDelay, DelayMs: 400})
}

func (c *Comparison) compare() {
	c.AttainmentRatio = ratio(c.Policy.Attainment, c.Plain.Attainment)
	c.CostRatio = ratio(c.Policy.CostPerAttained, c.Plain.CostPerAttained)
	c.ExtraRatio = ratio(c.Policy.ExtraAttempts, c.Plain.ExtraAttempts)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// newDocument returns a two-stage pipeline on free loopback addresses.
func newDocument(engines int) (*document.Document, error) {
	addresses, err := site.FreeAddresses(engines + 2)
	if err != nil {
		return nil, err
	}
	group := func(name api.GroupName, kind document.GroupKind, slots int, addresses []string) document.Group {
		g := document.Group{Name: name, Kind: kind, CostPerSecond: 1, CostPerThousandTokens: 1}
		for i, address := range addresses {
			g.Upstreams = append(g.Upstreams, document.Upstream{
				ID: api.UpstreamID(fmt.Sprintf("%s-%d", name, i)), Address: api.Address(address), DataCentre: "dc", Slots: slots,
			})
		}
		return g
	}
	return &document.Document{
		Format: document.Format, Deployment: "experiment", Weights: document.Weights{Attainment: 1},
		Groups: []document.Group{
			group("engines", document.GroupChat, slots, addresses[:engines]),
			group("encoders", document.GroupEmbedding, 64, addresses[engines:]),
		},
		Pipelines: []document.Pipeline{{Name: "answer", Deadline: 5000, Versions: []document.Version{{Name: "one", Stages: []document.Stage{
			{Name: "encode", Kind: document.StageEncode, Group: "encoders", Model: "encoder"},
			{Name: "generate", Kind: document.StageGenerate, Group: "engines", Model: "engine", MaxTokens: maxTokens},
		}}}}},
	}, nil
}

// path is the request path under comparison.
type path struct {
	snapshot *document.Snapshot
	executor *pipeline.Executor
	queue    *admission.Queue
}

func (s scenario) newPath(doc *document.Document) (*path, error) {
	snapshot, err := document.Compile(doc, 1)
	if err != nil {
		return nil, err
	}
	table := &upstream.Table{}
	table.Apply(snapshot)
	p := &path{snapshot: snapshot, executor: &pipeline.Executor{
		Table: table, Router: &route.Router{}, Send: upstream.NewSender().Do, NoHedge: s.noHedge,
	}}
	if !s.noBudget {
		p.executor.Budget = &retry.Budget{}
	}
	if !s.noQueue {
		p.queue = &admission.Queue{Snapshot: func() *document.Snapshot { return snapshot }}
	}
	return p, nil
}

// run sends Poisson arrivals for the duration and waits for the last answer.
func (s scenario) run(ctx context.Context, options Options) (Outcome, error) {
	doc, err := newDocument(s.engines)
	if err != nil {
		return Outcome{}, err
	}
	f := &fleet.Fleet{Speed: fleet.Speed{StepTime: stepTime, StageTime: stageTime}}
	defer f.Stop()
	if err := f.StartUpstreams(doc); err != nil {
		return Outcome{}, err
	}
	if s.fail != nil {
		if err := s.fail(f, doc.Groups[0].Upstreams); err != nil {
			return Outcome{}, err
		}
	}
	p, err := s.newPath(doc)
	if err != nil {
		return Outcome{}, err
	}
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	outcome := &Outcome{}
	var mu sync.Mutex
	var all sync.WaitGroup
	start := time.Now()
	for at := time.Duration(0); at < options.Duration; at += time.Duration(random.ExpFloat64() / s.rate * float64(time.Second)) {
		small := random.Float64() < smallShare
		input := fmt.Sprintf("question %d", random.IntN(1000))
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
			all.Wait()
			return Outcome{}, ctx.Err()
		}
		all.Add(1)
		go func() {
			defer all.Done()
			ended := p.send(ctx, s.deadline, input, small)
			mu.Lock()
			defer mu.Unlock()
			outcome.add(ended)
		}()
	}
	all.Wait()
	outcome.finish(options.Duration)
	return *outcome, nil
}

// ended is the end of one request.
type ended struct {
	small, refused, attained, wrong bool
	stages                          []api.StageCost
}

func (p *path) send(ctx context.Context, deadline time.Duration, input string, small bool) ended {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	workspace := api.WorkspaceName("large")
	if small {
		workspace = "small"
	}
	request := pipeline.Request{
		Workspace: workspace, Pipeline: "answer", Snapshot: p.snapshot,
		Version: p.snapshot.Version("answer", "one"), Item: work.Item{Input: input},
	}
	release := func(bool) {}
	if p.queue != nil {
		predicted := p.executor.Predict(&request)
		var err error
		release, err = p.queue.Enter(ctx, &admission.Ticket{
			Workspace: workspace, Group: predicted.Group, Time: predicted.Time, Share: predicted.Share,
		})
		if err != nil {
			return ended{small: small, refused: true}
		}
	}
	result, err := p.executor.Run(ctx, request, pipeline.Observer{})
	release(err == nil)
	whole := result.Text == engine.Text(input, maxTokens)
	return ended{small: small, attained: err == nil && whole, wrong: err == nil && !whole, stages: result.Stages}
}

func (o *Outcome) add(e ended) {
	o.Requests++
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
		if e.small {
			o.smallAttained++
		}
	}
	for _, stage := range e.stages {
		o.Cost += stage.Cost
		o.LostCost += stage.LostCost
		if stage.Attempts > 0 {
			o.stages++
			o.attempts += stage.Attempts
		}
	}
}

func (o *Outcome) finish(duration time.Duration) {
	o.Attainment = ratio(float64(o.Attained), float64(o.Requests))
	o.SmallAttainment = ratio(float64(o.smallAttained), float64(o.small))
	o.Goodput = float64(o.Attained) / duration.Seconds()
	o.CostPerAttained = ratio(o.Cost, float64(o.Attained))
	o.ExtraAttempts = ratio(float64(o.attempts-o.stages), float64(o.stages))
}
