package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/work"
	"redwingloft/internal/helper/timer"
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
)

// scenario describes the load, the faults and the policies of one run.
type scenario struct {
	engines int
	// hosts is the number of entry hosts, each with its own tables; 0 means 1.
	hosts int
	// rate is the mean number of requests per second.
	rate float64
	// burst multiplies the rate in the second quarter of the run; 0 means 1.
	burst    float64
	deadline time.Duration
	// topics is the number of long prompt prefixes that requests share; 0 means short prompts without a prefix.
	topics int
	// reportLag is the age of the load that engines report.
	reportLag time.Duration
	// weights are those of the document; the zero value counts attainment only.
	weights document.Weights
	// injectFaults injects the faults before the first request; nil injects none.
	injectFaults func(*fleet.Fleet, []document.Upstream) error
	// The following fields turn off policies for the baseline.
	noBudget, noHedge, noQueue, noAffinity bool
	// roundRobin routes round robin on each host.
	roundRobin bool
}

// The size and speed of the engines and the mix of requests.
const (
	slots     = 4
	maxTokens = 10
	stepTime  = 10 * time.Millisecond
	stageTime = 5 * time.Millisecond
	// smallShare is the share of requests from the small workspace.
	smallShare = 0.1
	// prefixTokens is the length of a shared prefix. prefillTime is the time for a thousand
	// uncached tokens, so that a cached prefix saves four tenths of the time of a request.
	prefixTokens = 1000
	prefillTime  = 100 * time.Millisecond
	// cacheTokens is the size of the prefix cache of an engine, enough for six prompts with a prefix.
	cacheTokens = 6 * (prefixTokens + 50)
)

// capacity returns the number of requests per second that engines can finish. Each
// request in a batch slows every step down by a tenth.
func capacity(engines int) float64 {
	return float64(engines*slots) / generationTime().Seconds()
}

// uncachedCapacity returns the capacity for long prompts without cache hits.
func uncachedCapacity(engines int) float64 {
	return float64(engines*slots) / (generationTime() + prefillTime*prefixTokens/1000).Seconds()
}

func generationTime() time.Duration { return maxTokens * (stepTime + stepTime*slots/10) }

// dropResponses makes the first n engines drop each response after the work.
func dropResponses(n int) func(*fleet.Fleet, []document.Upstream) error {
	return func(f *fleet.Fleet, engines []document.Upstream) error {
		for i := range engines[:n] {
			if err := f.Injector(string(engines[i].Address)).Set(injection.Fault{Mode: injection.ModeDropReply}); err != nil {
				return err
			}
		}
		return nil
	}
}

// delayFirstEngine makes the first engine delay each request.
func delayFirstEngine(delay time.Duration) func(*fleet.Fleet, []document.Upstream) error {
	return func(f *fleet.Fleet, engines []document.Upstream) error {
		fault := injection.Fault{Mode: injection.ModeDelay, DelayMs: delay.Milliseconds()}
		return f.Injector(string(engines[0].Address)).Set(fault)
	}
}

// newDocument returns a document with a two-stage pipeline whose upstreams have free loopback addresses.
func (s scenario) newDocument() (*document.Document, error) {
	addresses, err := site.FreeAddresses(s.engines + 2)
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
	weights := s.weights
	if weights == (document.Weights{}) {
		weights.Attainment = 1
	}
	return &document.Document{
		Format: document.Format, Deployment: "experiment", Weights: weights,
		Groups: []document.Group{
			group("engines", document.GroupChat, slots, addresses[:s.engines]),
			group("encoders", document.GroupEmbedding, 64, addresses[s.engines:]),
		},
		Pipelines: []document.Pipeline{{Name: "answer", Deadline: 5000, Versions: []document.Version{{Name: "one", Stages: []document.Stage{
			{Name: "encode", Kind: document.StageEncode, Group: "encoders", Model: "encoder"},
			{Name: "generate", Kind: document.StageGenerate, Group: "engines", Model: "engine", MaxTokens: maxTokens},
		}}}}},
	}, nil
}

// requestPath is the request path of one entry host, without its HTTP server.
type requestPath struct {
	snapshot *document.Snapshot
	executor *pipeline.Executor
	queue    *admission.Queue
}

// newRequestPath returns a request path whose health monitor runs until ctx is canceled.
func (s scenario) newRequestPath(ctx context.Context, doc *document.Document) (*requestPath, error) {
	snapshot, err := document.Compile(doc, 1)
	if err != nil {
		return nil, err
	}
	table := &upstream.Table{}
	table.Apply(snapshot)
	sender := upstream.NewSender()
	timers := &timer.Service{}
	(&upstream.Monitor{Table: table, Sender: sender}).Start(ctx, timers)
	go func() { _ = timers.Run(ctx) }()
	p := &requestPath{snapshot: snapshot, executor: &pipeline.Executor{
		Table: table, Router: s.newRouter(), Send: sender.Do, DisableHedging: s.noHedge,
	}}
	if !s.noBudget {
		p.executor.Budget = &retry.Budget{}
	}
	if !s.noQueue {
		p.queue = &admission.Queue{
			Snapshot: func() *document.Snapshot { return snapshot },
			Hosts:    func() int { return max(s.hosts, 1) },
		}
	}
	return p, nil
}

func (s scenario) newRouter() *route.Router {
	router := &route.Router{}
	if !s.noAffinity {
		router.Prefixes = route.NewPrefixTable(0)
	}
	if s.roundRobin {
		// The router draws two candidates for each choice. Drawing the same one twice forces the choice.
		var draws atomic.Int64
		router.Random = func(n int) int { return int(draws.Add(1)/2) % n }
	}
	return router
}

func (s scenario) newRequestPaths(ctx context.Context, doc *document.Document) ([]*requestPath, error) {
	var paths []*requestPath
	for range max(s.hosts, 1) {
		p, err := s.newRequestPath(ctx, doc)
		if err != nil {
			return nil, err
		}
		paths = append(paths, p)
	}
	return paths, nil
}

// rateAt returns the rate at a time since the start of a run.
func (s scenario) rateAt(at, duration time.Duration) float64 {
	if s.burst > 0 && at >= duration/4 && at < duration/2 {
		return s.rate * s.burst
	}
	return s.rate
}

// newItem returns a random input. Lower topics are more frequent.
func (s scenario) newItem(random *rand.Rand) work.State {
	item := work.State{Input: fmt.Sprintf("question %d", random.IntN(1000))}
	if s.topics > 0 {
		drawn := random.Float64()
		item.Passages = []work.Passage{{Text: topicPrefix(int(drawn * drawn * float64(s.topics)))}}
	}
	return item
}

// topicPrefix returns the prompt prefix of a topic, in words that are estimated at one token each.
func topicPrefix(topic int) string {
	return strings.Repeat(fmt.Sprintf("%03d ", topic), prefixTokens)
}

// run starts the engines and the request paths, sends the requests and returns the metrics.
func (s scenario) run(ctx context.Context, options Options) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	doc, err := s.newDocument()
	if err != nil {
		return Outcome{}, err
	}
	f := &fleet.Fleet{Speed: fleet.Speed{
		StepTime: stepTime, StageTime: stageTime, PrefillTime: prefillTime, CacheTokens: cacheTokens, ReportLag: s.reportLag,
	}}
	defer f.Stop()
	if err := f.StartUpstreams(doc); err != nil {
		return Outcome{}, err
	}
	if s.injectFaults != nil {
		if err := s.injectFaults(f, doc.Groups[0].Upstreams); err != nil {
			return Outcome{}, err
		}
	}
	paths, err := s.newRequestPaths(ctx, doc)
	if err != nil {
		return Outcome{}, err
	}
	return s.sendRequests(ctx, options, paths)
}

// sendRequests sends requests with Poisson arrivals for the duration of the run and waits for the last response.
func (s scenario) sendRequests(ctx context.Context, options Options, paths []*requestPath) (Outcome, error) {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	outcome := &Outcome{Stages: map[api.StageName]StageTotal{}}
	var mu sync.Mutex
	var requests sync.WaitGroup
	start := time.Now()
	for at := time.Duration(0); at < options.Duration; {
		small := random.Float64() < smallShare
		item := s.newItem(random)
		p := paths[random.IntN(len(paths))]
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
			requests.Wait()
			return Outcome{}, ctx.Err()
		}
		window := int(at / (options.Duration / windowCount))
		requests.Go(func() {
			result := p.send(ctx, s.deadline, item, small)
			result.window = min(window, windowCount-1)
			mu.Lock()
			defer mu.Unlock()
			outcome.add(result)
		})
		at += time.Duration(random.ExpFloat64() / s.rateAt(at, options.Duration) * float64(time.Second))
	}
	requests.Wait()
	outcome.finish(options.Duration)
	return *outcome, nil
}

// requestResult is the outcome of one request.
type requestResult struct {
	small, refused, attained, wrong bool
	// window is the index of the window in which the request arrived.
	window int
	stages []api.StageCost
}

func (p *requestPath) send(ctx context.Context, deadline time.Duration, item work.State, small bool) requestResult {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	workspace := api.WorkspaceName("large")
	if small {
		workspace = "small"
	}
	request := pipeline.Request{
		Workspace: workspace, Pipeline: "answer", Snapshot: p.snapshot,
		Version: p.snapshot.Version("answer", "one"), Item: item,
	}
	release := func(bool) {}
	if p.queue != nil {
		predicted := p.executor.Predict(&request)
		var err error
		release, err = p.queue.Enter(ctx, &admission.Ticket{
			Workspace: workspace, Group: predicted.Group, Time: predicted.Duration, Share: predicted.Share,
		})
		if err != nil {
			return requestResult{small: small, refused: true}
		}
	}
	result, err := p.executor.Run(ctx, request, pipeline.Observer{})
	release(err == nil)
	correct := result.Text == engine.Text(item.Input, maxTokens)
	return requestResult{small: small, attained: err == nil && correct, wrong: err == nil && !correct, stages: result.Stages}
}
