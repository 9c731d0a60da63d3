package stage

import (
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/service/throttle"
	"redwingloft/pkg/api"
)

const (
	// maxAttempts bounds the calls that may include one item.
	maxAttempts = 4
	// largeTransfer is the number of bytes, of its inputs and of its result at all consumers, from
	// which an item should run in its preferred data centre.
	largeTransfer = 256 << 10
	// localityWait is how long such an item waits for an upstream there if its target allows.
	localityWait = 150 * time.Millisecond
	// saturatedCalls is the queue length, in full calls, from which items don't wait for a data
	// centre.
	saturatedCalls = 2
	// lateDeadlineShare is the share of the remaining time that the forecast of a late job may
	// take.
	lateDeadlineShare = 0.6
	// minSpareShare is the least share of the capacity that late jobs are assumed to get, so that
	// they don't starve in a long burst. Room that they occupy is lost to on-time jobs.
	minSpareShare = 0.05
	// skippedSizeRatio is the ratio of the sizes of results from which a small one does not wait for
	// the room of a large one: a call skips large results without room, and the rest that they leave
	// fits the small one.
	skippedSizeRatio = 16
	// deferSlack is added to the call time by which a large result may precede the other stages of
	// its job, to allow for the time in its queue.
	deferSlack = 100 * time.Millisecond
	// fetchTime is how long a call may take to fetch its inputs. After that the inputs are released
	// although the call still runs; if the call is lost, they are recomputed. The largest call
	// fetches 25 MB, which takes 20 ms over a link of 10 Gbit/s, in parallel with others.
	fetchTime = 100 * time.Millisecond
	// contentionTime is how long inputs are kept until their calls end after one was released too
	// early. A result of the other host's jobs lives this long.
	contentionTime = 4 * time.Second
	// loadDecayTime is the time constant of the decaying load.
	loadDecayTime = 2 * time.Second
	// firstEventTime is the time that an engine needs from the results to its first event.
	firstEventTime = 250 * time.Millisecond
	// stragglerFactor and stragglerSlack determine, from the expected duration of a call, when its
	// items are also sent to another upstream.
	stragglerFactor = 2.5
	stragglerSlack  = 150 * time.Millisecond
)

// Call is one call to an upstream with a batch of items.
type Call struct {
	Worker  *worker
	Items   []fleet.Item
	Started time.Time
	// Expected is the expected duration.
	Expected time.Duration

	// upstream is the upstream at the time of the call. The entry of Worker changes under the
	// lock of the scheduler, which a running call does not hold.
	upstream      *fleet.Upstream
	items         []*item
	reservedBytes int64
	// hedged is set once the items were also sent to another upstream.
	hedged bool
}

// Upstream returns the upstream of the call.
func (c *Call) Upstream() *fleet.Upstream { return c.upstream }

// StragglerAfter returns the duration after which the call counts as a straggler.
func (c *Call) StragglerAfter() time.Duration {
	return time.Duration(stragglerFactor*float64(c.Expected)) + stragglerSlack
}

// plan is the state of a scheduler without side effects: it takes jobs and upstreams and returns
// the calls to make. It is designed for many small items on few upstreams with a high fixed cost
// per call: an idle upstream takes all queued items, up to a full call, so that batches grow with
// the load and items are not delayed at low load. It is not safe for concurrent use.
type plan struct {
	jobs    map[api.RequestID]*jobState
	queues  map[api.ServiceName][]*item
	workers map[fleet.Incarnation]*worker
	// loads holds the work of the jobs that arrived lately, whether they were accepted or not.
	loads map[loadKey]load
	// shares holds the shares of the workspaces.
	shares *shares
	// nextReturn is the time, by rank, from which the next refused caller may return.
	nextReturn map[int]time.Time
	// callTimes holds the results of callTime; timesVersion changes when they do.
	callTimes    map[api.ServiceName]time.Duration
	timesVersion int
	// fetching holds the stages whose inputs are being fetched, ordered by end time.
	fetching []inputFetch
	// contendedUntil is the time until which upstreams are assumed to run calls of other hosts, so
	// that calls are queued there before they fetch their inputs.
	contendedUntil time.Time
	// retry reports whether one more item of a service may be retried, and charges the retry
	// budget.
	retry func(api.ServiceName) bool
	// throttle holds the rate limits of upstreams; nil means that there are none.
	throttle *throttle.Table
}

func newPlan(retry func(api.ServiceName) bool) *plan {
	return &plan{
		retry: retry, shares: newShares(), loads: map[loadKey]load{}, callTimes: map[api.ServiceName]time.Duration{}, nextReturn: map[int]time.Time{}, timesVersion: 1, jobs: map[api.RequestID]*jobState{}, queues: map[api.ServiceName][]*item{}, workers: map[fleet.Incarnation]*worker{},
	}
}

// setUpstreams replaces the upstreams in use. Results of upstreams that are gone are recomputed.
func (p *plan) setUpstreams(list []*fleet.Upstream, services map[api.ServiceName]*fleet.Service) {
	p.timesChanged()
	seen := map[fleet.Incarnation]bool{}
	for _, upstream := range list {
		service := services[upstream.Service]
		if service == nil || service.Batching == nil {
			continue
		}
		incarnation := upstream.Incarnation()
		seen[incarnation] = true
		if known := p.workers[incarnation]; known != nil {
			known.upstream, known.limits, known.removed = upstream, service.Batching, false
			continue
		}
		p.workers[incarnation] = newWorker(upstream, service.Batching)
	}
	for incarnation, known := range p.workers {
		if seen[incarnation] {
			continue
		}
		// A draining upstream still serves its results and running calls.
		known.removed = true
		if len(known.calls) == 0 && len(known.held) == 0 {
			delete(p.workers, incarnation)
		}
	}
}

// failUnserved ends the jobs with work for services that have no upstream left.
func (p *plan) failUnserved() {
	served := map[api.ServiceName]bool{}
	for _, w := range p.workers {
		served[w.upstream.Service] = served[w.upstream.Service] || !w.removed
	}
	for _, j := range p.jobs {
		for i := range j.stages {
			if j.stages[i].remaining > 0 && !served[j.stages[i].Service] && !j.running() {
				p.fail(j, errNotServed)
				break
			}
		}
	}
}

// submit adds a job and queues its first items.
func (p *plan) submit(job Job, now time.Time, finished func(Outcome, error)) *jobState {
	j := newJob(job, now, finished)
	p.jobs[job.Request] = j
	p.adopt(j, job.Stored, now)
	p.unblock(j, now)
	if j.remaining == 0 {
		p.finish(j, now)
	}
	return j
}

// shortenDeadlines moves the deadlines of jobs to an earlier time and fails those that can't be done by then.
// It returns the number of jobs that were found and of those that failed.
func (p *plan) shortenDeadlines(list []JobDeadline, now time.Time) (found, failed int) {
	var jobs []*jobState
	for _, entry := range list {
		j := p.jobs[entry.Request]
		if j == nil {
			continue
		}
		if deadline := now.Add(time.Duration(entry.DeadlineMs) * time.Millisecond); deadline.Before(j.Deadline) {
			j.Deadline = deadline
		}
		jobs = append(jobs, j)
	}
	for service := range p.queues {
		p.queues[service] = p.sorted(p.queues[service], now)
	}
	for _, j := range jobs {
		if j.ended {
			failed++
		}
	}
	return len(jobs), failed
}

// unblock queues the blocked items of the stages whose inputs are all done.
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
	it.phase, it.queuedAt = phaseQueued, now
	it.preferred = it.job.preferredDataCentre(it.stage)
	service := it.job.stages[it.stage].Service
	p.queues[service] = append(p.queues[service], it)
}

// end removes a job and releases its results, except those in keep.
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
				p.release(it.producer, it.result)
			}
		}
	}
}
