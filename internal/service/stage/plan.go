package stage

import (
	"cmp"
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

const (
	// maxTries bounds the calls that one item may be part of.
	maxTries = 4
	// lastChance is the time before the latest useful start from which a late item goes
	// before those that can still make their aim, so that it is served at all.
	lastChance = 400 * time.Millisecond
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
	// Free holds results that are freed with the call.
	Free  []fleet.ResultRef
	Began time.Time
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
}

func newPlan() *plan {
	return &plan{
		jobs: map[api.RequestID]*jobState{}, queues: map[api.ServiceName][]*item{}, workers: map[fleet.Incarnation]*worker{},
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
	p.unblock(j)
	return j
}

// unblock queues the items of the stages whose inputs are all made.
func (p *plan) unblock(j *jobState) {
	for i := range j.stages {
		if !j.ready(i) {
			continue
		}
		for _, it := range j.stages[i].items {
			if it.phase == phaseBlocked {
				p.enqueue(it)
			}
		}
	}
}

func (p *plan) enqueue(it *item) {
	it.phase = phaseQueued
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

// release notes that a result is no longer needed.
func (p *plan) release(w *worker, result fleet.ResultRef) {
	if w != nil && w.forget(result) && !w.gone {
		w.freeing = append(w.freeing, result)
	}
}

// tail returns the time that the job needs after an item of a stage has begun.
func (p *plan) tail(j *jobState, stage int) time.Duration {
	var after time.Duration
	for _, consumer := range j.stages[stage].consumers {
		after = max(after, p.tail(j, consumer))
	}
	if len(j.stages[stage].consumers) == 0 {
		after = consumerTime
	}
	return p.callTime(j.stages[stage].Service) + after
}

// callTime returns the duration of a call that is half full at the upstreams of a service.
func (p *plan) callTime(service api.ServiceName) time.Duration {
	var sum time.Duration
	count := 0
	for _, w := range p.workers {
		if w.upstream.Service == service && !w.gone && w.speed < slowSpeed {
			sum += w.expected(w.limits.MaxItems / 2)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// urgency orders items: first those that can still make their aim and those whose last
// chance has come, then the late ones.
type urgency struct {
	late bool
	rank int
	due  time.Time
}

func (p *plan) urgency(it *item, now time.Time) urgency {
	j := it.job
	tail := p.tail(j, it.stage)
	aim, last := j.Aim.Add(-tail), j.Deadline.Add(-tail)
	switch {
	case !now.After(aim):
		return urgency{false, j.Rank, aim}
	case !now.Before(last.Add(-lastChance)):
		return urgency{false, j.Rank, last}
	}
	return urgency{true, j.Rank, last}
}

func (u urgency) compare(o urgency) int {
	if u.late != o.late {
		if u.late {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(u.rank, o.rank); c != 0 {
		return c
	}
	return u.due.Compare(o.due)
}

// dispatch returns the calls to make now.
func (p *plan) dispatch(now time.Time) []*Call {
	var calls []*Call
	for service, queue := range p.queues {
		if len(queue) == 0 {
			continue
		}
		idle := p.idleWorkers(service, now)
		if len(idle) == 0 {
			continue
		}
		queue = p.sorted(queue, now)
		for _, w := range idle {
			if len(queue) == 0 {
				break
			}
			if p.tooSlow(w, len(queue), now) {
				continue
			}
			var call *Call
			call, queue = p.fill(w, queue, now)
			if call != nil {
				calls = append(calls, call)
			}
		}
		p.queues[service] = queue
	}
	return calls
}

// idleWorkers returns the upstreams of a service that can take a call, the fastest first.
func (p *plan) idleWorkers(service api.ServiceName, now time.Time) []*worker {
	var idle []*worker
	for _, w := range p.workers {
		if w.upstream.Service == service && w.idle(now) {
			idle = append(idle, w)
		}
	}
	slices.SortFunc(idle, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.speed, b.speed), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	return idle
}

// tooSlow reports whether items are better off waiting for another upstream: the
// others work off the queue before a slow one would finish its call.
func (p *plan) tooSlow(w *worker, waiting int, now time.Time) bool {
	if w.speed < slowSpeed || now.Sub(w.lastCall) >= probeAfter {
		return false
	}
	var rate float64
	for _, other := range p.workers {
		if other != w && other.upstream.Service == w.upstream.Service && other.usable(now) && other.speed < slowSpeed {
			rate += other.rate()
		}
	}
	if rate == 0 {
		return false
	}
	backlog := time.Duration(float64(waiting) / rate * float64(time.Second))
	return backlog < w.expected(1)
}

// sorted returns the items of a queue that are still wanted, the most urgent first.
func (p *plan) sorted(queue []*item, now time.Time) []*item {
	type ranked struct {
		it *item
		u  urgency
	}
	list := make([]ranked, 0, len(queue))
	for _, it := range queue {
		if !it.job.ended && it.phase == phaseQueued {
			list = append(list, ranked{it, p.urgency(it, now)})
		}
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return a.u.compare(b.u) })
	items := make([]*item, len(list))
	for i := range list {
		items[i] = list[i].it
	}
	return items
}

// fill takes items for one call and returns the rest of the queue. The call is nil
// where the upstream has no room for any result.
func (p *plan) fill(w *worker, queue []*item, now time.Time) (*Call, []*item) {
	call := &Call{Worker: w, Began: now}
	room := w.room(now)
	limit := w.limits.MaxItems
	if w.speed >= slowSpeed && now.Sub(w.lastCall) >= probeAfter {
		limit = 1
	}
	rest := make([]*item, 0, len(queue))
	for _, it := range queue {
		bytes := it.job.stages[it.stage].ResultBytes
		if len(call.items) == limit || call.reserved+bytes > room {
			rest = append(rest, it)
			continue
		}
		call.items = append(call.items, it)
		call.reserved += bytes
	}
	if len(call.items) == 0 {
		return nil, queue
	}
	for _, it := range call.items {
		it.phase = phaseRunning
		it.tries++
		it.running++
		call.Items = append(call.Items, p.wire(it, now))
	}
	w.calls[call] = struct{}{}
	w.reserved += call.reserved
	w.lastCall = now
	call.Free, w.freeing = w.freeing, nil
	call.Expected = w.expected(len(call.items))
	return call, rest
}

// wire returns an item as it is sent. An input that will not live to the call is made again first.
func (p *plan) wire(it *item, now time.Time) fleet.Item {
	j := it.job
	sent := fleet.Item{
		ItemRef: fleet.ItemRef{Request: j.Request, Stage: it.stage, Index: it.index}, Left: j.Deadline.Sub(now),
	}
	if len(j.stages[it.stage].After) == 0 {
		sent.Key = j.Key
	} else {
		sent.Inputs = j.inputs(it.stage)
	}
	return sent
}

// Failure tells why a call has no results.
type Failure string

// The failures of a call.
const (
	// FailureNone: the call has results.
	FailureNone Failure = ""
	// FailureFull: the upstream did not take the call.
	FailureFull Failure = "full"
	// FailureUnreachable: nothing reached the upstream.
	FailureUnreachable Failure = "unreachable"
	// FailureLost: there is no usable answer.
	FailureLost Failure = "lost"
	// FailureMoved: another upstream has the address.
	FailureMoved Failure = "moved"
)

// complete applies the end of a call. Retry tells whether count more items of a service
// may be sent again. It returns the jobs that ended.
func (p *plan) complete(call *Call, results []fleet.ItemResult, failure Failure, now time.Time, retry func(api.ServiceName, int) bool) {
	w := call.Worker
	delete(w.calls, call)
	w.reserved -= call.reserved
	switch failure {
	case FailureNone:
		w.measured(call, now.Sub(call.Began))
	case FailureFull:
		w.until = now.Add(fullCooldown)
	case FailureUnreachable, FailureMoved:
		w.failed(now)
		p.loseResults(w)
	default:
		w.failed(now)
	}
	for i, it := range call.items {
		it.running--
		if failure != FailureNone {
			p.again(it, failure != FailureFull, retry)
			continue
		}
		p.apply(it, w, results[i], now, retry)
	}
}

// apply takes the result of one item.
func (p *plan) apply(it *item, w *worker, result fleet.ItemResult, now time.Time, retry func(api.ServiceName, int) bool) {
	j := it.job
	if result.Failure == "" {
		w.hold(result.Result, j.stages[it.stage].ResultBytes, now)
		if j.ended || it.phase == phaseDone {
			p.release(w, result.Result)
			return
		}
		p.unqueue(it)
		it.phase, it.result, it.maker = phaseDone, result.Result, w
		j.stages[it.stage].left--
		j.left--
		p.advance(j, it.stage)
		return
	}
	if j.ended || it.phase == phaseDone || it.running > 0 {
		return
	}
	switch result.Failure {
	case fleet.FailureLate:
		p.fail(j, errLate)
	case fleet.FailureInputGone:
		p.remake(it, retry)
	default:
		p.again(it, true, retry)
	}
}

// unqueue takes an item that was queued again by a hedge out of its queue.
func (p *plan) unqueue(it *item) {
	if it.phase != phaseQueued {
		return
	}
	service := it.job.stages[it.stage].Service
	p.queues[service] = slices.DeleteFunc(p.queues[service], func(other *item) bool { return other == it })
}

// advance goes on after an item of a stage was made.
func (p *plan) advance(j *jobState, stage int) {
	if j.stages[stage].left > 0 {
		return
	}
	p.unblock(j)
	p.releaseConsumed(j, stage)
	if j.left > 0 {
		return
	}
	outcome := j.outcome()
	keep := map[fleet.ResultRef]bool{}
	for _, result := range outcome.Results {
		keep[result] = true
	}
	p.end(j, keep)
	j.finished(outcome, nil)
}

// releaseConsumed releases the results that only finished stages needed.
func (p *plan) releaseConsumed(j *jobState, stage int) {
	for _, before := range j.stages[stage].After {
		if !j.consumed(before) {
			continue
		}
		for _, it := range j.stages[before].items {
			p.release(it.maker, it.result)
		}
	}
}

// again queues an item once more, or fails its job.
func (p *plan) again(it *item, counted bool, retry func(api.ServiceName, int) bool) {
	if it.job.ended || it.phase != phaseRunning || it.running > 0 {
		return
	}
	service := it.job.stages[it.stage].Service
	if counted && (it.tries >= maxTries || !retry(service, 1)) {
		p.fail(it.job, errFailed)
		return
	}
	p.enqueue(it)
}

// remake makes the inputs of an item again.
func (p *plan) remake(it *item, retry func(api.ServiceName, int) bool) {
	j := it.job
	it.phase = phaseBlocked
	for _, before := range j.stages[it.stage].After {
		for _, made := range j.stages[before].items {
			p.unmake(made, retry)
		}
	}
	if !j.ended {
		p.unblock(j)
	}
}

// unmake takes the result of an item back.
func (p *plan) unmake(it *item, retry func(api.ServiceName, int) bool) {
	j := it.job
	if j.ended || it.phase != phaseDone {
		return
	}
	if it.tries >= maxTries || !retry(j.stages[it.stage].Service, 1) {
		p.fail(j, errFailed)
		return
	}
	p.release(it.maker, it.result)
	it.phase, it.result, it.maker = phaseBlocked, "", nil
	j.stages[it.stage].left++
	j.left++
}

// loseResults drops the results of an upstream that ended. Unfinished jobs that still
// need them hear of it from the consumer.
func (p *plan) loseResults(w *worker) {
	w.held, w.heldBytes, w.freeing = map[fleet.ResultRef]heldResult{}, 0, nil
}

// fail ends a job without results.
func (p *plan) fail(j *jobState, err error) {
	if j.ended {
		return
	}
	p.end(j, nil)
	j.finished(Outcome{}, err)
}

// hedge queues the items of a call that straggles once more and returns how many.
func (p *plan) hedge(call *Call, retry func(api.ServiceName, int) bool) int {
	if _, running := call.Worker.calls[call]; !running || call.hedged {
		return 0
	}
	call.hedged = true
	call.Worker.speed = max(call.Worker.speed, slowSpeed)
	count := 0
	for _, it := range call.items {
		if it.job.ended || it.phase != phaseRunning || it.tries >= maxTries || !retry(it.job.stages[it.stage].Service, 1) {
			continue
		}
		p.enqueue(it)
		count++
	}
	return count
}

// wait returns the time until the stages of a new job would be done: for each stage the
// backlog before it at the rate of its upstreams, and its call. Capacity is false where
// a service has no upstream.
func (p *plan) wait(job *Job, now time.Time) (time.Duration, bool) {
	done := make([]time.Duration, len(job.Stages))
	var total time.Duration
	for i, spec := range job.Stages {
		if spec.Items == 0 {
			continue
		}
		var start time.Duration
		for _, before := range spec.After {
			if before < len(done) {
				start = max(start, done[before])
			}
		}
		backlog, served := p.backlog(spec.Service, now)
		if !served {
			return 0, false
		}
		// Later stages meet a backlog that shrinks while the earlier ones run.
		done[i] = start + max(backlog-start, 0) + p.callTime(spec.Service)
		total = max(total, done[i])
	}
	return total, true
}

// backlog returns the time in which the upstreams of a service work off their queue.
func (p *plan) backlog(service api.ServiceName, now time.Time) (time.Duration, bool) {
	var rate float64
	served := false
	for _, w := range p.workers {
		if w.upstream.Service != service || w.gone {
			continue
		}
		served = true
		if w.usable(now) {
			rate += w.rate()
		}
	}
	if rate == 0 {
		return 0, served
	}
	return time.Duration(float64(len(p.queues[service])) / rate * float64(time.Second)), true
}
