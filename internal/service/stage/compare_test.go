package stage

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
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
)

// requestKind is a kind of request in the load.
type requestKind struct {
	perSecond, value, lateValue float64
	rank                        int
	target, deadline            time.Duration
	stages                      []Spec
	// shares holds, for each stage, the share of the requests that include it.
	shares []float64
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
	return &scenario{
		services: []simService{service("first", 4, 8, 21, 18), service("second", 5, 24, 7.1, 3.1), service("third", 5, 40, 4.3, 0.52)},
		kinds: []requestKind{
			{vary(12), 3.7, 0.56, 1, 1400 * time.Millisecond, 6 * time.Second, []Spec{large}, []float64{0.7}},
			{vary(14), 2, 0.3, 0, 2 * time.Second, 6 * time.Second, []Spec{small, after(second, 0), after(third, 1)}, []float64{1, 1, 1}},
			{vary(13), 0.51, 0.076, 2, 1900 * time.Millisecond, 20 * time.Second, []Spec{large, small, after(second, 1), after(third, 2)}, []float64{0.4, 1, 1, 1}},
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
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, run})
}

// simulate runs a policy with the scenario of a seed.
func simulate(p policy, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	sc := newScenario(random)
	s := &simulation{policy: p, now: time.Unix(1000, 0), upstreams: map[api.UpstreamID]*simUpstream{}}
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
			u := &fleet.Upstream{ID: api.UpstreamID(fmt.Sprint(service.Name, i)), Service: service.Name, DataCentre: api.DataCentre(fmt.Sprint("dc", i)), State: fleet.StateReady}
			list = append(list, u)
			s.upstreams[u.ID] = &simUpstream{upstream: u, limits: service.Batching, held: map[fleet.ResultRef]int64{}}
		}
	}
	for range p.hosts {
		sched := newPlan(func(api.ServiceName) bool { return true })
		sched.setUpstreams(list, services)
		s.plans = append(s.plans, sched)
	}
	begin := s.now
	for k := range sc.kinds {
		s.scheduleArrival(sc, &sc.kinds[k], rand.New(rand.NewPCG(seed, uint64(k)+2)), begin)
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

// scheduleArrival schedules the requests of a kind: Poisson arrivals, at 2.3 times the rate in two
// bursts.
func (s *simulation) scheduleArrival(sc *scenario, kind *requestKind, random *rand.Rand, begin time.Time) {
	rate := kind.perSecond
	since := s.now.Sub(begin)
	if (since > 5*time.Second && since < 10*time.Second) || (since > 16*time.Second && since < 22*time.Second) {
		rate *= 2.3
	}
	s.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now.Sub(begin) > loadDuration {
			return
		}
		s.submitRequest(kind, random)
		s.scheduleArrival(sc, kind, random, begin)
	})
}

// submitRequest submits one request at a random host.
func (s *simulation) submitRequest(kind *requestKind, random *rand.Rand) {
	s.requests++
	s.offeredValue += kind.value
	sched := s.plans[random.IntN(len(s.plans))]
	job := Job{
		Request: api.RequestID(fmt.Sprint("r", s.requests)), Key: "k", Rank: kind.rank, Target: s.now.Add(kind.target), Deadline: s.now.Add(kind.deadline),
		Stages: slices.Clone(kind.stages),
	}
	target, deadline := job.Target, job.Deadline
	for i := range job.Stages {
		if random.Float64() >= kind.shares[i] {
			job.Stages[i].Items = 0
		}
	}
	if !s.policy.acceptAll {
		f := sched.forecast(&job, s.now)
		if f.meetsTarget(&job, s.now) {
			sched.addLoad(&job, s.now)
		}
		if !f.accepts(&job, s.now) {
			s.unserved++
			return
		}
	}
	if s.policy.fifo {
		job.Rank, job.Target = 0, s.now.Add(time.Hour)
		job.Deadline = job.Target
	}
	state := sched.submit(job, s.now, func(o Outcome, err error) {
		if err != nil {
			s.unserved++
			return
		}
		switch answered := s.now.Add(engineAnswerTime); {
		case answered.Before(target):
			s.attainedValue += kind.value
		case answered.Before(deadline):
			s.attainedValue += kind.lateValue
		default:
			s.unserved++
		}
		s.after(engineFetchTime, func() {
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
	s.after(deadline.Sub(s.now), func() {
		if !state.ended {
			s.unserved++
			sched.end(state, nil)
		}
	})
	s.dispatchAll(false)
}

// dispatchAll makes the calls that the plans return.
func (s *simulation) dispatchAll(all bool) {
	for _, sched := range s.plans {
		for _, f := range sched.freeCalls(all, s.now) {
			u := s.upstreams[f.Worker.upstream.ID]
			for _, result := range f.Results {
				u.drop(result)
			}
			sched.completeFree(f, true, s.now)
		}
		for _, call := range sched.dispatch(s.now) {
			s.call(sched, call)
		}
	}
}

func (u *simUpstream) drop(result fleet.ResultRef) {
	u.used -= u.held[result]
	delete(u.held, result)
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
		switch {
		case s.inputGone(next.call.Items[i].Inputs):
			results[i].Failure = fleet.FailureInputGone
		case u.used+bytes > u.limits.ResultCapacity:
			results[i].Failure = fleet.FailureNoRoom
		default:
			s.results++
			results[i].Result = fleet.ResultRef(fmt.Sprintf("%s/%d", u.upstream.ID, s.results))
			u.used += bytes
			u.held[results[i].Result] = bytes
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
				u.drop(r.Result)
			}
		})
		s.startNext(u)
		s.complete(next.plan, next.call, results, FailureNone)
	})
}

// inputGone reports whether an input is no longer held.
func (s *simulation) inputGone(inputs []fleet.ResultRef) bool {
	return slices.ContainsFunc(inputs, func(input fleet.ResultRef) bool {
		for _, u := range s.upstreams {
			if _, found := u.held[input]; found {
				return false
			}
		}
		return true
	})
}

func (s *simulation) complete(sched *plan, call *Call, results []fleet.ItemResult, failure Failure) {
	sched.complete(call, results, failure, s.now)
	s.dispatchAll(false)
}

// attainedShare returns the share of the offered value that was attained.
func (s *simulation) attainedShare() float64 { return s.attainedValue / s.offeredValue }

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
const (
	benchmarkSeeds = 8
	testSeeds      = 2
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
