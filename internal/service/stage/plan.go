package stage

import (
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

const (
	// maxTries bounds the calls that one item may be part of.
	maxTries = 4
	// largeTransfer is the number of bytes, of its inputs and of its result at all
	// consumers, from which an item is better run in the data centre of its job.
	largeTransfer = 256 << 10
	// homeWait is how long such an item waits for an upstream there, where its aim allows.
	homeWait = 150 * time.Millisecond
	// crowdCalls is the number of full calls that wait from which nobody waits for a data centre.
	crowdCalls = 2
	// lateShare is the part of the time left that the forecast of a late job may take.
	lateShare = 0.6
	// minSpare is the least share of the upstreams that late jobs are taken to get: work
	// that can make its aim comes in waves.
	minSpare = 0.15
	// earlySlack is added to the call that a large result may be ahead of the other stages
	// of its job, for the wait in its queue.
	earlySlack = 100 * time.Millisecond
	// fetchTime is how long a call has to fetch its inputs after its start. Then their room
	// is given back, though the call still runs; if it is lost, they are made again. The
	// largest call fetches 25 MB over a link of 10 Gbit/s, 20 ms, beside others.
	fetchTime = 100 * time.Millisecond
	// sharedTime is how long inputs are kept to the end of their calls after one was
	// released too early: as long as a result of the other host's jobs lives.
	sharedTime = 4 * time.Second
	// loadTime is the time over which the load of work that can make its aim is averaged.
	loadTime = 2 * time.Second
	// consumerTime is the time that an engine needs from the results to the first event.
	consumerTime = 250 * time.Millisecond
	// stragglerFactor and stragglerSlack bound a call, as a multiple of its expected
	// duration, before its items are also given to another upstream.
	stragglerFactor = 2.5
	stragglerSlack  = 150 * time.Millisecond
)

// Call is one call to make.
type Call struct {
	Worker *worker
	Items  []fleet.Item
	Began  time.Time
	// Expected is the expected duration.
	Expected time.Duration

	items    []*item
	reserved int64
	// hedged tells that the items were also given to another upstream.
	hedged bool
}

// Upstream returns the upstream of the call.
func (c *Call) Upstream() *fleet.Upstream { return c.Worker.upstream }

// Straggles returns when the call has taken far longer than expected.
func (c *Call) Straggles() time.Duration {
	return time.Duration(stragglerFactor*float64(c.Expected)) + stragglerSlack
}

// plan is the state of a scheduler without effects: jobs and upstreams go in, calls
// come out. It answers the load of many small items on few upstreams with a high fixed
// cost a call: an upstream that becomes idle takes all that waits, up to a full call,
// so that calls grow with the load and nobody waits for company at low load. It is
// not safe for concurrent use.
type plan struct {
	jobs    map[api.RequestID]*jobState
	queues  map[api.ServiceName][]*item
	workers map[fleet.Incarnation]*worker
	loads   map[api.ServiceName]load
	// fetching holds the stages whose inputs are being fetched, in order of their end.
	fetching []fetch
	// shared is until when upstreams are taken to have calls of other hosts, behind which
	// calls wait before they fetch their inputs.
	shared time.Time
	// retry reports whether one more item of a service may be sent again, and takes it from the budget.
	retry func(api.ServiceName) bool
}

func newPlan(retry func(api.ServiceName) bool) *plan {
	return &plan{
		retry: retry, loads: map[api.ServiceName]load{}, jobs: map[api.RequestID]*jobState{}, queues: map[api.ServiceName][]*item{}, workers: map[fleet.Incarnation]*worker{},
	}
}

// setUpstreams makes the given upstreams the ones in use. Results of upstreams that are gone are made again.
func (p *plan) setUpstreams(list []*fleet.Upstream, services map[api.ServiceName]*fleet.Service) {
	seen := map[fleet.Incarnation]bool{}
	for _, upstream := range list {
		service := services[upstream.Service]
		if service == nil || service.Batching == nil {
			continue
		}
		incarnation := upstream.Incarnation()
		seen[incarnation] = true
		if known := p.workers[incarnation]; known != nil {
			known.upstream, known.limits, known.gone = upstream, service.Batching, false
			continue
		}
		p.workers[incarnation] = newWorker(upstream, service.Batching)
	}
	for incarnation, known := range p.workers {
		if seen[incarnation] {
			continue
		}
		// A draining upstream still serves its results and running calls.
		known.gone = true
		if len(known.calls) == 0 && len(known.held) == 0 {
			delete(p.workers, incarnation)
		}
	}
}

// submit adds a job and queues its first items.
func (p *plan) submit(job Job, now time.Time, finished func(Outcome, error)) *jobState {
	j := newJob(job, now, finished)
	p.jobs[job.Request] = j
	p.adopt(j, job.Made, now)
	p.unblock(j, now)
	if j.left == 0 {
		p.finish(j, now)
	}
	return j
}

// unblock queues the items of the stages whose inputs are all made.
func (p *plan) unblock(j *jobState, now time.Time) {
	for i := range j.stages {
		if !j.ready(i) {
			continue
		}
		for _, it := range j.stages[i].items {
			if it.phase == phaseBlocked {
				p.enqueue(it, now)
			}
		}
	}
}

func (p *plan) enqueue(it *item, now time.Time) {
	it.phase, it.queued = phaseQueued, now
	it.home = it.job.homeOf(it.stage)
	service := it.job.stages[it.stage].Service
	p.queues[service] = append(p.queues[service], it)
}

// end takes a job out and releases the results that it made and does not hand out.
func (p *plan) end(j *jobState, keep map[fleet.ResultRef]bool) {
	if j.ended {
		return
	}
	j.ended = true
	if p.jobs[j.Request] == j {
		delete(p.jobs, j.Request)
	}
	for i := range j.stages {
		for _, it := range j.stages[i].items {
			if it.phase == phaseDone && !keep[it.result] {
				p.release(it.maker, it.result)
			}
		}
	}
}
