package stage

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// The scheduling decisions are compared with simpler policies in a simulation in virtual time:
// upstreams with calls of a fixed and a per-item cost, a queue of calls, and a capacity for
// results, under a load of three kinds of request with two bursts. Engines answer after
// engineAnswerTime.

const (
	// loadDuration is the length of the load, runDuration that of the run.
	loadDuration = 34 * time.Second
	runDuration  = 60 * time.Second
	// engineFetchTime is when an engine has fetched its inputs, engineAnswerTime when it answers.
	engineFetchTime  = 50 * time.Millisecond
	engineAnswerTime = 300 * time.Millisecond
	// maxQueuedCalls is the queue capacity of an upstream.
	maxQueuedCalls = 2
	// knowledgeDelay is the age at which hosts learn the forecast of another group. Some tens of
	// requests a second go from each group's host to the others.
	knowledgeDelay = 50 * time.Millisecond
)

// requestKind is a kind of request in the load.
type requestKind struct {
	perSecond, value, lateValue float64
	rank                        int
	target, deadline            time.Duration
	stages                      []Spec
	// shares holds, for each stage, the share of the requests that include it.
	shares []float64
	bursts []burst
}

// burst is a time in which a kind of request arrives at a multiple of its rate.
type burst struct {
	from, to time.Duration
	factor   float64
}

// ratio returns the multiple of the usual rate at a time since the start.
func (k *requestKind) ratio(since time.Duration) float64 {
	for _, b := range k.bursts {
		if since > b.from && since < b.to {
			return b.factor
		}
	}
	return 1
}

// simService is a simulated service and the number of its upstreams.
type simService struct {
	fleet.Service
	upstreams int
}

// scenario holds the load and the services of a run.
type scenario struct {
	kinds    []requestKind
	services []simService
	// groups is the number of groups, each with its own upstreams and scheduling host; 0 means that
	// each scheduling host uses all upstreams.
	groups int
	// retries lets refused callers retry once.
	retries bool
	// sizeError is the greatest relative error of the known size of a result.
	sizeError float64
	// workspaces is the number of workspaces, with different rates.
	workspaces int
	// fetchTime is when an engine has fetched its inputs.
	fetchTime time.Duration
}

// newLargeScenario returns a scenario with three groups and two overlapping bursts: drafts and
// summaries at once, then all kinds. Each constant is varied by up to a third.
func newLargeScenario(random *rand.Rand) *scenario {
	vary := func(x float64) float64 { return x * (1 + (2*random.Float64()-1)/3) }
	service := func(name api.ServiceName, upstreams, items int, perItem, capacity float64) simService {
		return simService{fleet.Service{Name: name, Batching: &fleet.Batching{
			MaxConcurrent: 1, MaxItems: items, CallTime: time.Duration(vary(200) * float64(time.Millisecond)),
			ItemTime: time.Duration(vary(perItem) * float64(time.Millisecond)), ResultCapacity: int64(vary(capacity) * 1e6), ResultTTL: 4 * time.Second,
		}}, upstreams}
	}
	bursts := func(list ...burst) []burst { return append(list, burst{16 * time.Second, 20 * time.Second, 1.7}) }
	draft := Spec{Service: "first", Items: 4, ResultBytes: 1_500_000}
	small := Spec{Service: "first", Items: 1, ResultBytes: 8000}
	second := Spec{Service: "second", After: []int{0}, Items: 6, ResultBytes: 60_000}
	return &scenario{
		groups: 3, retries: true, workspaces: 20, sizeError: 0.1, fetchTime: 300 * time.Millisecond,
		services: []simService{service("first", 18, 20, 8.6, 45), service("second", 15, 58, 2.9, 7.6), service("third", 18, 92, 1.9, 1.2)},
		kinds: []requestKind{
			{vary(113), 5.1, 0.3, 0, time.Second, 5 * time.Second, []Spec{draft}, []float64{1}, bursts(burst{3600 * time.Millisecond, 8600 * time.Millisecond, 2.3})},
			{vary(46), 0.87, 0.13, 1, 1500 * time.Millisecond, 15 * time.Second, []Spec{small, second}, []float64{1, 1}, bursts()},
			{
				vary(206), 0.82, 0.18, 2, 4 * time.Second, 6 * time.Second,
				[]Spec{small, second, {Service: "third", After: []int{1}, Items: 10, ResultBytes: 6000}},
				[]float64{1, 1, 1},
				bursts(burst{3100 * time.Millisecond, 8700 * time.Millisecond, 2.2}),
			},
		},
	}
}

// newScenario returns a scenario with the constants of a small real site, each varied by up to a
// third, so that the policies are not tuned to one site.
func newScenario(random *rand.Rand) *scenario {
	vary := func(x float64) float64 { return x * (1 + (2*random.Float64()-1)/3) }
	service := func(name api.ServiceName, upstreams, items int, perItem, capacity float64) simService {
		return simService{fleet.Service{Name: name, Batching: &fleet.Batching{
			MaxConcurrent: 1, MaxItems: max(int(vary(float64(items))), 2), CallTime: time.Duration(vary(200) * float64(time.Millisecond)),
			ItemTime: time.Duration(vary(perItem) * float64(time.Millisecond)), ResultCapacity: int64(vary(capacity) * 1e6), ResultTTL: 4 * time.Second,
		}}, upstreams}
	}
	large, small := Spec{Service: "first", Items: 2, ResultBytes: 1_500_000}, Spec{Service: "first", Items: 1, ResultBytes: 8000}
	second, third := Spec{Service: "second", Items: 6, ResultBytes: 60_000}, Spec{Service: "third", Items: 10, ResultBytes: 6000}
	after := func(s Spec, stage int) Spec {
		s.After = []int{stage}
		return s
	}
	bursts := []burst{{5 * time.Second, 10 * time.Second, 2.3}, {16 * time.Second, 22 * time.Second, 2.3}}
	return &scenario{
		fetchTime: engineFetchTime,
		services:  []simService{service("first", 4, 8, 21, 18), service("second", 5, 24, 7.1, 3.1), service("third", 5, 40, 4.3, 0.52)},
		kinds: []requestKind{
			{vary(12), 3.7, 0.56, 1, 1400 * time.Millisecond, 6 * time.Second, []Spec{large}, []float64{0.7}, bursts},
			{vary(14), 2, 0.3, 0, 2 * time.Second, 6 * time.Second, []Spec{small, after(second, 0), after(third, 1)}, []float64{1, 1, 1}, bursts},
			{vary(13), 0.51, 0.076, 2, 1900 * time.Millisecond, 20 * time.Second, []Spec{large, small, after(second, 1), after(third, 2)}, []float64{0.4, 1, 1, 1}, bursts},
		},
	}
}

// policy selects how the simulated schedulers decide.
type policy struct {
	name string
	// hosts is the number of scheduling hosts, each for its own requests.
	hosts int
	// singleItem sends one item per call.
	singleItem bool
	// fifo serves items in order of arrival, ignoring their kind and target.
	fifo bool
	// blindGroups chooses the second group without the known forecasts.
	blindGroups bool
	// acceptAll accepts every job.
	acceptAll bool
}

// event is a function that runs at a simulated time; seq breaks ties.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simUpstream is a simulated upstream.
type simUpstream struct {
	upstream *fleet.Upstream
	limits   *fleet.Batching
	queue    []simCall
	busy     bool
	used     int64
	held     map[fleet.ResultRef]int64
}

// kindCount counts the requests of a kind.
type kindCount struct {
	requests, inTarget, inDeadline int
	offeredValue, attainedValue    float64
	// byWorkspace holds the requests of each workspace and those of them that were served.
	byWorkspace map[api.WorkspaceName][2]int
}

// leastWorkspaceRate returns the least ratio of the served share of a workspace to that of the kind.
func (c kindCount) leastWorkspaceRate() float64 {
	least := 1.0
	for _, w := range c.byWorkspace {
		least = min(least, float64(w[1])/float64(w[0])/c.served())
	}
	return least
}

func (c kindCount) served() float64 { return float64(c.inTarget+c.inDeadline) / float64(c.requests) }

func (c *kindCount) countWorkspace(name api.WorkspaceName, requests, served int) {
	if c.byWorkspace == nil {
		c.byWorkspace = map[api.WorkspaceName][2]int{}
	}
	w := c.byWorkspace[name]
	c.byWorkspace[name] = [2]int{w[0] + requests, w[1] + served}
}

func (c kindCount) share() float64 { return c.attainedValue / c.offeredValue }

type simCall struct {
	plan *plan
	call *Call
}

// simulation is one run of a policy.
type simulation struct {
	policy    policy
	now       time.Time
	queue     eventQueue
	seq       int
	plans     []*plan
	upstreams map[api.UpstreamID]*simUpstream
	results   int

	offeredValue, attainedValue float64
	requests, unserved          int
	itemsDone, calls            int
	// noRoom counts the items that found no room for their result, unused the results that no
	// answered request used.
	noRoom, unused int
	// returned and returnServed count the callers that retried and those of them that were accepted.
	returned, returnServed int
	// otherTries and otherAccepted count the requests that tried a second group and those of them that
	// were accepted.
	otherTries, otherAccepted int
	forecasts                 GroupForecasts
	kinds                     []kindCount
	// offered and attained are the values by the second of arrival.
	offered, attained [60]float64
	random            *rand.Rand
	begin             time.Time
	sizeError         float64
	fetchTime         time.Duration
	location          map[fleet.ResultRef]bool
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, run})
}

// simulate runs a policy with the scenario of a seed.
func simulate(p policy, seed uint64) *simulation { return simulateScenario(p, seed, newScenario) }

func simulateScenario(p policy, seed uint64, makeScenario func(*rand.Rand) *scenario) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	sc := makeScenario(random)
	s := &simulation{
		policy: p, now: time.Unix(1000, 0), upstreams: map[api.UpstreamID]*simUpstream{}, random: random, sizeError: sc.sizeError, fetchTime: sc.fetchTime,
		kinds: make([]kindCount, len(sc.kinds)), location: map[fleet.ResultRef]bool{},
	}
	s.begin = s.now
	centres := 100
	if sc.groups > 0 {
		centres = sc.groups
	}
	services := map[api.ServiceName]*fleet.Service{}
	var list []*fleet.Upstream
	for _, service := range sc.services {
		known := service.Service
		if p.singleItem {
			limits := *known.Batching
			limits.MaxItems = 1
			known.Batching = &limits
		}
		services[known.Name] = &known
		for i := range service.upstreams {
			u := &fleet.Upstream{ID: api.UpstreamID(fmt.Sprint(service.Name, i)), Service: service.Name, DataCentre: api.DataCentre(fmt.Sprint("dc", i%centres)), State: fleet.StateReady}
			list = append(list, u)
			s.upstreams[u.ID] = &simUpstream{upstream: u, limits: service.Batching, held: map[fleet.ResultRef]int64{}}
		}
	}
	for i := range max(p.hosts, sc.groups) {
		sched := newPlan(func(api.ServiceName) bool { return true })
		own := slices.DeleteFunc(slices.Clone(list), func(u *fleet.Upstream) bool {
			return sc.groups > 0 && u.DataCentre != api.DataCentre(fmt.Sprint("dc", i))
		})
		sched.setUpstreams(own, services)
		s.plans = append(s.plans, sched)
	}
	begin := s.begin
	for k := range sc.kinds {
		s.scheduleArrival(sc, k, rand.New(rand.NewPCG(seed, uint64(k)+2)), begin)
	}
	s.tick()
	for len(s.queue) > 0 && s.now.Sub(begin) < runDuration {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	return s
}

// tick does the periodic work of a host.
func (s *simulation) tick() {
	s.after(sweepInterval, s.tick)
	s.dispatchAll(true)
}

// scheduleArrival schedules the requests of a kind: Poisson arrivals, at a higher rate in bursts.
func (s *simulation) scheduleArrival(sc *scenario, k int, random *rand.Rand, begin time.Time) {
	kind := &sc.kinds[k]
	rate := kind.perSecond * kind.ratio(s.now.Sub(begin))
	s.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now.Sub(begin) > loadDuration {
			return
		}
		s.arrive(sc, k, random)
		s.scheduleArrival(sc, k, random, begin)
	})
}

// simRequest is a request of a simulated caller.
type simRequest struct {
	kind             *requestKind
	count            *kindCount
	arrived          time.Time
	target, deadline time.Time
	job              Job
	retry, returned  bool
}

// arrive submits a new request at a random host.
func (s *simulation) arrive(sc *scenario, k int, random *rand.Rand) {
	kind := &sc.kinds[k]
	s.requests++
	s.offeredValue += kind.value
	s.offered[int(s.now.Sub(s.begin).Seconds())] += kind.value
	s.kinds[k].requests++
	s.kinds[k].offeredValue += kind.value
	sched := s.plans[random.IntN(len(s.plans))]
	workspace := 0
	if sc.workspaces > 0 {
		// A tenth of the workspaces send more than a quarter of the requests.
		workspace = int(math.Pow(s.random.Float64(), 2) * float64(sc.workspaces))
	}
	job := Job{Workspace: api.WorkspaceName(fmt.Sprint("w", workspace)), Request: api.RequestID(fmt.Sprint("r", s.requests)), Key: "k", Rank: kind.rank, Stages: slices.Clone(kind.stages)}
	for i := range job.Stages {
		if random.Float64() >= kind.shares[i] {
			job.Stages[i].Items = 0
		}
	}
	s.kinds[k].countWorkspace(job.Workspace, 1, 0)
	s.submitRequest(&simRequest{kind: kind, count: &s.kinds[k], arrived: s.now, target: s.now.Add(kind.target), deadline: s.now.Add(kind.deadline), job: job, retry: sc.retries}, sched, sc.groups)
}

// submitRequest submits a request to a group, or to another one if that refuses it.
func (s *simulation) submitRequest(r *simRequest, sched *plan, groups int) {
	// The host doesn't know when the caller sent its first try.
	r.job.Target, r.job.Deadline = s.now.Add(r.kind.target), r.deadline
	delay, refused := s.try(r, sched)
	if refused && groups > 1 {
		if other := s.otherGroup(r, sched); other != nil {
			s.otherTries++
			if delay, refused = s.try(r, other); !refused {
				s.otherAccepted++
			}
		}
	}
	if refused {
		s.refuse(r, delay, groups)
	}
}

// otherGroup returns the group for a second try, or nil if none is known to take the request. Hosts know
// the forecasts of the other groups after knowledgeDelay.
func (s *simulation) otherGroup(r *simRequest, sched *plan) *plan {
	var others []Group
	var known []GroupForecast
	for i, p := range s.plans {
		if p != sched {
			others = append(others, Group(fmt.Sprint(i)))
		}
	}
	if !s.policy.blindGroups {
		known = s.forecasts.Known(jobKind(r.job.Rank, r.job.Stages), s.now)
	}
	group, found := chooseGroup(others, known, r.job.Target.Sub(s.now), r.job.Deadline.Sub(s.now), s.random.Float64())
	if !found {
		return nil
	}
	return s.plans[slices.IndexFunc(s.plans, func(p *plan) bool { return fmt.Sprint(slices.Index(s.plans, p)) == string(group) })]
}

// refuse ends a request, or lets its caller retry.
func (s *simulation) refuse(r *simRequest, delay time.Duration, groups int) {
	if delay == 0 {
		delay = time.Second
	}
	if !r.retry || delay > r.deadline.Sub(s.now)/3 {
		s.unserved++
		return
	}
	r.retry, r.returned = false, true
	s.returned++
	s.after(delay, func() { s.submitRequest(r, s.plans[s.random.IntN(len(s.plans))], groups) })
}

// answer counts a request whose stages are done.
func (s *simulation) answer(r *simRequest) {
	var value float64
	switch answered := s.now.Add(engineAnswerTime); {
	case answered.Before(r.target):
		value = r.kind.value
		r.count.inTarget++
	case answered.Before(r.deadline):
		value = r.kind.lateValue
		r.count.inDeadline++
	default:
		s.unserved++
	}
	if value > 0 {
		r.count.countWorkspace(r.job.Workspace, 0, 1)
	}
	s.attainedValue += value
	r.count.attainedValue += value
	s.attained[int(r.arrived.Sub(s.begin).Seconds())] += value
}

// try submits a request to a group. It reports whether the group refused it, and the time to retry.
func (s *simulation) try(r *simRequest, sched *plan) (time.Duration, bool) {
	job := r.job
	if !s.policy.acceptAll {
		d := sched.admit(&job, s.now)
		f := []GroupForecast{{Group(fmt.Sprint(slices.Index(s.plans, sched))), d.onTime.Milliseconds(), d.late.Milliseconds(), knowledgeDelay.Milliseconds()}}
		s.after(knowledgeDelay, func() { s.forecasts.Learn(jobKind(job.Rank, job.Stages), f, s.now) })
		if !d.accepted {
			return d.retryAfter, true
		}
	}
	if s.policy.fifo {
		job.Rank, job.Late, job.Target = 0, false, s.now.Add(time.Hour)
		job.Deadline = job.Target
	}
	if r.returned {
		s.returnServed++
	}
	var state *jobState
	state = sched.submit(job, s.now, func(o Outcome, err error) {
		if err != nil {
			s.unserved++
			if state != nil {
				s.countUnused(state)
			}
			return
		}
		s.answer(r)
		s.after(s.fetchTime, func() {
			for _, list := range o.Stored {
				for _, it := range list.Items {
					sched.workers[list.incarnation()].release(it.Result)
				}
			}
			s.dispatchAll(false)
		})
	})
	// A job without stages has already ended.
	if len(state.stages) == 0 || state.remaining == 0 {
		sched.finish(state, s.now)
	}
	s.after(r.deadline.Sub(s.now), func() {
		if !state.ended {
			s.unserved++
			s.countUnused(state)
			sched.end(state, nil)
		}
	})
	s.dispatchAll(false)
	return 0, false
}

// countUnused counts the results of a job that ends without an answer.
func (s *simulation) countUnused(j *jobState) {
	for i := range j.stages {
		for _, it := range j.stages[i].items {
			if it.phase == phaseDone || it.phase == phaseRunning {
				s.unused++
			}
		}
	}
}

// dispatchAll makes the calls that the plans return.
func (s *simulation) dispatchAll(all bool) {
	for _, sched := range s.plans {
		for _, f := range sched.freeCalls(all, s.now) {
			u := s.upstreams[f.Worker.upstream.ID]
			for _, result := range f.Results {
				s.drop(u, result)
			}
			sched.completeFree(f, true, s.now)
		}
		for _, call := range sched.dispatch(s.now) {
			s.call(sched, call)
		}
	}
}

func (s *simulation) drop(u *simUpstream, result fleet.ResultRef) {
	u.used -= u.held[result]
	delete(u.held, result)
	delete(s.location, result)
}

// call adds a call to the queue of its upstream, or refuses it if the queue is full.
func (s *simulation) call(sched *plan, call *Call) {
	u := s.upstreams[call.Upstream().ID]
	if len(u.queue) >= maxQueuedCalls {
		s.after(time.Millisecond, func() { s.complete(sched, call, nil, FailureFull) })
		return
	}
	s.after(fetchTime, func() {
		sched.releaseFetched(s.now)
		s.dispatchAll(false)
	})
	u.queue = append(u.queue, simCall{sched, call})
	s.startNext(u)
}

// startNext starts the next call of an upstream.
func (s *simulation) startNext(u *simUpstream) {
	if u.busy || len(u.queue) == 0 {
		return
	}
	next := u.queue[0]
	u.queue = u.queue[1:]
	u.busy = true
	results := make([]fleet.ItemResult, len(next.call.items))
	succeeded := 0
	for i, it := range next.call.items {
		bytes := it.job.stages[it.stage].ResultBytes
		if s.sizeError > 0 {
			bytes = int64(float64(bytes) * (1 + s.sizeError*(2*s.random.Float64()-1)))
		}
		switch {
		case s.inputGone(next.call.Items[i].Inputs):
			results[i].Failure = fleet.FailureInputGone
		case u.used+bytes > u.limits.ResultCapacity:
			results[i].Failure = fleet.FailureNoRoom
			s.noRoom++
		default:
			s.results++
			results[i].Result = fleet.ResultRef(fmt.Sprintf("%s/%d", u.upstream.ID, s.results))
			u.used += bytes
			u.held[results[i].Result] = bytes
			s.location[results[i].Result] = true
			succeeded++
		}
	}
	var took time.Duration
	if succeeded > 0 {
		s.calls++
		s.itemsDone += succeeded
		took = u.limits.CallTime + time.Duration(succeeded)*u.limits.ItemTime
	}
	s.after(took, func() {
		u.busy = false
		s.after(u.limits.ResultTTL, func() {
			for _, r := range results {
				s.drop(u, r.Result)
			}
		})
		s.startNext(u)
		s.complete(next.plan, next.call, results, FailureNone)
	})
}

// inputGone reports whether an input is no longer held.
func (s *simulation) inputGone(inputs []fleet.ResultRef) bool {
	return slices.ContainsFunc(inputs, func(input fleet.ResultRef) bool { return !s.location[input] })
}

func (s *simulation) complete(sched *plan, call *Call, results []fleet.ItemResult, failure Failure) {
	sched.complete(call, results, failure, s.now)
	s.dispatchAll(false)
}

// attainedShare returns the share of the offered value that was attained.
func (s *simulation) attainedShare() float64 { return s.attainedValue / s.offeredValue }

// worstWindow returns the least share of the offered value that was attained in two seconds.
func (s *simulation) worstWindow() float64 {
	worst := 1.0
	for i := range 33 {
		worst = min(worst, (s.attained[i]+s.attained[i+1])/(s.offered[i]+s.offered[i+1]))
	}
	return worst
}

var (
	productionPolicy = policy{name: "product", hosts: 1}
	simplerPolicies  = []policy{
		{name: "one item a call", hosts: 1, singleItem: true},
		{name: "every host gathers", hosts: 7},
		{name: "in order of arrival", hosts: 1, fifo: true},
		{name: "all accepted", hosts: 1, acceptAll: true},
		{name: "all accepted in order", hosts: 1, fifo: true, acceptAll: true},
	}
)

// benchmarkSeeds is the number of seeds of the benchmark, testSeeds that of the test.
// parallelRuns is the number of runs at once in the benchmark of a large fleet.
const (
	benchmarkSeeds = 8
	testSeeds      = 2
	parallelRuns   = 4
)

// TestSchedulerBeatsSimplerPolicies guards against a change that makes the scheduler worse than a
// simpler policy: on the mean over the seeds, none may attain more.
func TestSchedulerBeatsSimplerPolicies(t *testing.T) {
	mean := func(p policy) float64 {
		var sum float64
		for seed := range uint64(testSeeds) {
			sum += simulate(p, seed).attainedShare()
		}
		return sum / testSeeds
	}
	production := mean(productionPolicy)
	for _, simpler := range simplerPolicies {
		other := mean(simpler)
		assert.Assert(t, production >= other, "%s: %.3f, production policy: %.3f", simpler.name, other, production)
	}
}

// BenchmarkDecisions reports, as the mean over the seeds, the share of the offered value that each
// policy attains and the share of the requests that it leaves unserved, and the mean, least and
// greatest ratio of the production policy's value to that of the simpler policy.
func BenchmarkDecisions(b *testing.B) {
	for _, p := range append([]policy{productionPolicy}, simplerPolicies...) {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				var attainedShare, unserved, items, ratio float64
				least, greatest := math.Inf(1), 0.0
				for seed := range uint64(benchmarkSeeds) {
					run := simulate(p, seed)
					attainedShare += run.attainedShare() / benchmarkSeeds
					unserved += float64(run.unserved) / float64(run.requests) / benchmarkSeeds
					items += float64(run.itemsDone) / float64(run.calls) / benchmarkSeeds
					r := simulate(productionPolicy, seed).attainedShare() / run.attainedShare()
					ratio += r / benchmarkSeeds
					least, greatest = min(least, r), max(greatest, r)
				}
				b.ReportMetric(attainedShare, "worth")
				b.ReportMetric(unserved, "unserved")
				b.ReportMetric(items, "items/call")
				b.ReportMetric(ratio, "ratio")
				b.ReportMetric(least, "ratio-min")
				b.ReportMetric(greatest, "ratio-max")
			}
		})
	}
}

// TestKindsAndWorkspacesGetTheirShare guards against a kind that is served less often than a less urgent
// one on the same stages, and against a workspace that gets less than a quarter of the rate at which all
// of its kind are served, in two overlapping bursts. The most urgent kind is left out of the first: its
// large results are bound by room that the others don't use.
func TestKindsAndWorkspacesGetTheirShare(t *testing.T) {
	for seed := range uint64(testSeeds) {
		run := simulateScenario(productionPolicy, seed, newLargeScenario)
		assert.Assert(t, run.kinds[1].served() >= run.kinds[2].served())
		for k, c := range run.kinds {
			assert.Assert(t, c.leastWorkspaceRate() >= 0.25, "seed %d, kind %d: %.2f", seed, k, c.leastWorkspaceRate())
		}
	}
}

// BenchmarkFleets reports the measures of the production policy in the scenarios of a small and a large
// fleet, as means over the seeds: the shares of the value that were attained, in all, in the worst two
// seconds, for the worst kind and for each kind, the share of each kind that was served, the
// least served share of a workspace in relation to that of its kind, items that found no room for their result, results that were not used, callers that returned and those of
// them that were accepted.
func BenchmarkFleets(b *testing.B) {
	for _, sc := range []struct {
		name string
		make func(*rand.Rand) *scenario
	}{{"small", newScenario}, {"large", newLargeScenario}} {
		b.Run(sc.name, func(b *testing.B) { measure(b, productionPolicy, sc.make) })
		p := productionPolicy
		p.blindGroups = true
		b.Run(sc.name+"blind", func(b *testing.B) { measure(b, p, sc.make) })
	}
}

// measure runs a policy with each seed and reports its measures.
func measure(b *testing.B, p policy, makeScenario func(*rand.Rand) *scenario) {
	for b.Loop() {
		runs := make([]*simulation, benchmarkSeeds)
		var running sync.WaitGroup
		for worker := range parallelRuns {
			running.Go(func() {
				for seed := worker; seed < benchmarkSeeds; seed += parallelRuns {
					runs[seed] = simulateScenario(p, uint64(seed), makeScenario)
				}
			})
		}
		running.Wait()
		sums := map[string]float64{}
		for _, run := range runs {
			sums["worth"] += run.attainedShare()
			sums["worst2s"] += run.worstWindow()
			sums["noroom"] += float64(run.noRoom)
			sums["unused"] += float64(run.unused)
			worstKind, leastWorkspace := 1.0, 1.0
			for i, c := range run.kinds {
				leastWorkspace = min(leastWorkspace, c.leastWorkspaceRate())
				worstKind = min(worstKind, c.share())
				sums[fmt.Sprint("share", i)] += c.share()
				sums[fmt.Sprint("served", i)] += c.served()
			}
			sums["worstkind"] += worstKind
			sums["workspace"] += leastWorkspace
			sums["other"] += float64(run.otherTries)
			sums["otheraccepted"] += float64(run.otherAccepted)
			sums["returned"] += float64(run.returned)
			sums["returnserved"] += float64(run.returnServed)
		}
		for name, sum := range sums {
			b.ReportMetric(sum/benchmarkSeeds, name)
		}
	}
}
