package stage

import (
	"cmp"
	"math"
	"slices"
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
	p.unblock(j, now)
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

// release notes that a result is no longer needed.
func (p *plan) release(w *worker, result fleet.ResultRef) {
	if w != nil {
		w.release(result)
	}
}

// Free is one call that frees results.
type Free struct {
	Worker  *worker
	Results []fleet.ResultRef
}

// frees returns the calls that free results now: at crowded upstreams at once, at the
// others where all is true.
func (p *plan) frees(all bool) []*Free {
	var list []*Free
	for _, w := range p.workers {
		if len(w.freeing) == 0 || w.telling || (!all && !w.crowded()) {
			continue
		}
		list = append(list, &Free{w, w.freeing})
		w.freeing, w.telling = nil, true
	}
	return list
}

// freed notes the end of a call that frees results. After a lost call they take room
// until they end by themselves.
func (p *plan) freed(f *Free, told bool) {
	f.Worker.telling = false
	if !told {
		return
	}
	for _, result := range f.Results {
		f.Worker.forget(result)
	}
}

// fetch is a stage of a job all of whose items are under way.
type fetch struct {
	job   *jobState
	stage int
	until time.Time
}

// noteFetch notes the stages whose last items went out with a call.
func (p *plan) noteFetch(call *Call) {
	seen := map[*jobState]bool{}
	for _, it := range call.items {
		j := it.job
		if !seen[j] && len(j.stages[it.stage].After) > 0 && j.underWay(it.stage) {
			seen[j] = true
			p.fetching = append(p.fetching, fetch{j, it.stage, call.Began.Add(fetchTime)})
		}
	}
}

// releaseFetched releases the inputs that calls have fetched.
func (p *plan) releaseFetched(now time.Time) {
	for len(p.fetching) > 0 && !now.Before(p.fetching[0].until) {
		f := p.fetching[0]
		p.fetching = p.fetching[1:]
		if !f.job.ended {
			p.releaseInputs(f.job, f.stage, (*jobState).underWay)
		}
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

// urgency orders items: first those that can still make their aim and the rest of a
// stage that was begun, then the late ones. A late job that went before would make
// another one late too; but a stage that is made in part holds room that nobody can use.
type urgency struct {
	late bool
	rank int
	due  time.Time
}

func (p *plan) urgency(it *item, now time.Time) urgency {
	j := it.job
	tail := p.tail(j, it.stage)
	aim, last := j.Aim.Add(-tail), j.Deadline.Add(-tail)
	if !now.After(aim) || j.begun(it.stage) {
		return urgency{false, j.Rank, aim}
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
		p.queues[service] = nil
		// Inputs that are made again may come from the same service.
		queue = p.alive(queue, now)
		p.queues[service] = append(queue, p.queues[service]...)
		for _, home := range []bool{true, false} {
			for _, w := range idle {
				if len(p.queues[service]) == 0 || !w.idle(now) || p.tooSlow(w, len(queue), now) {
					continue
				}
				if call := p.fill(w, service, home, now); call != nil {
					calls = append(calls, call)
				}
			}
		}
	}
	return calls
}

// alive returns the items whose inputs live long enough; the inputs of the others are made again.
func (p *plan) alive(queue []*item, now time.Time) []*item {
	kept := queue[:0]
	for _, it := range queue {
		if it.job.inputsLive(it.stage, now) {
			kept = append(kept, it)
		} else {
			p.remake(it, false, now)
		}
	}
	return slices.DeleteFunc(kept, func(it *item) bool { return it.job.ended || it.phase != phaseQueued })
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
	items := make([]*item, 0, len(list))
	for i := range list {
		it := list[i].it
		if list[i].u.late && p.hopeless(it, i, now) {
			p.fail(it.job, errLate)
		}
		items = append(items, it)
	}
	return slices.DeleteFunc(items, func(it *item) bool { return it.job.ended })
}

// hopeless reports whether an item behind others can't be done before its deadline any
// more, so that its caller is told at once and its place goes to one that can.
func (p *plan) hopeless(it *item, before int, now time.Time) bool {
	j := it.job
	rate, _ := p.rate(j.stages[it.stage].Service, now)
	return now.Add(timeFor(before, rate) + p.tail(j, it.stage)).After(j.Deadline)
}

// fill takes items of a queue for one call. Where home is true, there has to be one
// that is better run in the data centre of the upstream; else it takes whatever waits,
// except items that have not yet waited long for such an upstream. It returns nil where
// there is none, or no room for a result.
func (p *plan) fill(w *worker, service api.ServiceName, home bool, now time.Time) *Call {
	call := &Call{Worker: w, Began: now}
	room := w.room(now)
	limit := w.limits.MaxItems
	if w.speed >= slowSpeed && now.Sub(w.lastCall) >= probeAfter {
		limit = 1
	}
	queue := p.queues[service]
	if home && !slices.ContainsFunc(queue, func(it *item) bool { return it.wants(w) }) {
		return nil
	}
	// Where more waits than the next calls carry, a place left empty is lost.
	crowd := len(queue) > crowdCalls*limit
	rest := make([]*item, 0, len(queue))
	for _, it := range queue {
		bytes := it.job.stages[it.stage].ResultBytes
		if len(call.items) == limit || call.reserved+bytes > room || (!crowd && p.waitsForHome(it, w, service, now)) || (w.crowded() && p.early(it, now)) {
			rest = append(rest, it)
			continue
		}
		call.items = append(call.items, it)
		call.reserved += bytes
	}
	if len(call.items) == 0 {
		return nil
	}
	p.queues[service] = rest
	for _, it := range call.items {
		it.phase = phaseRunning
		it.tries++
		it.running++
		call.Items = append(call.Items, p.wire(it, now))
	}
	w.calls[call] = struct{}{}
	w.reserved += call.reserved
	w.lastCall = now
	call.Expected = w.expected(len(call.items))
	p.noteFetch(call)
	return call
}

// wants reports whether an upstream is in the data centre where the item is better run.
func (it *item) wants(w *worker) bool { return it.home != "" && it.home == w.upstream.DataCentre }

// early reports whether a large result would only lie and take room: its engine waits
// for other stages of the job that need one call more than it.
func (p *plan) early(it *item, now time.Time) bool {
	j := it.job
	if j.stages[it.stage].ResultBytes < largeTransfer || now.After(j.Aim) {
		return false
	}
	own := p.tail(j, it.stage)
	for i := range j.stages {
		if j.stages[i].left > 0 && p.tail(j, i) > own+p.callTime(j.stages[it.stage].Service)+earlySlack {
			return true
		}
	}
	return false
}

// waitsForHome reports whether an item is better kept for an upstream of its data
// centre: it moves many bytes, has time, and there is such an upstream.
func (p *plan) waitsForHome(it *item, w *worker, service api.ServiceName, now time.Time) bool {
	j := it.job
	if it.home == "" || it.wants(w) || now.Sub(it.queued) >= homeWait {
		return false
	}
	if now.Add(homeWait + p.tail(j, it.stage)).After(j.Aim) {
		return false
	}
	for _, other := range p.workers {
		if other.upstream.Service == service && it.wants(other) && other.usable(now) && other.speed < slowSpeed {
			return true
		}
	}
	return false
}

// wire returns an item as it is sent.
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

// complete applies the end of a call.
func (p *plan) complete(call *Call, results []fleet.ItemResult, failure Failure, now time.Time) {
	w := call.Worker
	delete(w.calls, call)
	w.reserved -= call.reserved
	switch failure {
	case FailureNone:
		if worked(results) {
			w.measured(call, now.Sub(call.Began))
		}
	case FailureFull:
		w.until = now.Add(fullCooldown)
	case FailureUnreachable, FailureMoved:
		w.failed(now)
		p.loseResults(w)
	default:
		w.failed(now)
		w.holdUnknown(call.reserved, now)
	}
	roomless := 0
	for i := range results {
		if results[i].Failure == fleet.FailureNoRoom {
			roomless++
		}
	}
	if failure == FailureNone {
		w.roomless(roomless, len(results), now)
	}
	for i, it := range call.items {
		it.running--
		if failure != FailureNone {
			p.again(it, failure != FailureFull, now)
			continue
		}
		p.apply(it, w, results[i], now)
	}
}

// worked reports whether a call made a result: one that found no room for any ends at
// once, and its duration tells nothing of the upstream.
func worked(results []fleet.ItemResult) bool {
	return slices.ContainsFunc(results, func(r fleet.ItemResult) bool { return r.Failure == "" })
}

// apply takes the result of one item.
func (p *plan) apply(it *item, w *worker, result fleet.ItemResult, now time.Time) {
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
		p.advance(j, it.stage, now)
		return
	}
	if j.ended || it.phase == phaseDone || it.running > 0 {
		return
	}
	switch result.Failure {
	case fleet.FailureLate:
		p.fail(j, errLate)
	case fleet.FailureInputGone:
		p.remake(it, true, now)
	case fleet.FailureNoRoom:
		// Nothing was worked on; the margin of the upstream keeps it from being asked at once.
		it.tries--
		p.again(it, false, now)
	default:
		p.again(it, true, now)
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
func (p *plan) advance(j *jobState, stage int, now time.Time) {
	if j.stages[stage].left > 0 {
		return
	}
	p.unblock(j, now)
	p.releaseInputs(j, stage, (*jobState).made)
	if j.left > 0 || p.remakeLast(j, now) {
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

// remakeLast makes the results of a finished job again that end before its engine can
// fetch them, and reports whether there were any.
func (p *plan) remakeLast(j *jobState, now time.Time) bool {
	for i := range j.stages {
		if !j.terminal(i) {
			continue
		}
		for _, it := range j.stages[i].items {
			if !it.maker.lives(it.result, now) {
				p.unmake(it)
			}
		}
	}
	if !j.ended && j.left > 0 {
		p.unblock(j, now)
	}
	return j.ended || j.left > 0
}

// releaseInputs releases the results that a stage needed, where all stages that need
// them satisfy past.
func (p *plan) releaseInputs(j *jobState, stage int, past func(*jobState, int) bool) {
	for _, before := range j.stages[stage].After {
		if slices.ContainsFunc(j.stages[before].consumers, func(consumer int) bool { return !past(j, consumer) }) {
			continue
		}
		for _, it := range j.stages[before].items {
			p.release(it.maker, it.result)
		}
	}
}

// again queues an item once more, or fails its job.
func (p *plan) again(it *item, counted bool, now time.Time) {
	if it.job.ended || it.phase != phaseRunning || it.running > 0 {
		return
	}
	service := it.job.stages[it.stage].Service
	if counted && (it.tries >= maxTries || !p.retry(service)) {
		p.fail(it.job, errFailed)
		return
	}
	p.requeue(it, now)
}

// requeue queues an item again. An input may have been taken back while its call ran;
// then it waits for the new one.
func (p *plan) requeue(it *item, now time.Time) {
	if !it.job.ready(it.stage) {
		it.phase = phaseBlocked
		return
	}
	p.enqueue(it, now)
}

// remake makes the inputs of an item again: those that end soon, or all of them where
// one is gone, since nobody says which.
func (p *plan) remake(it *item, gone bool, now time.Time) {
	j := it.job
	it.phase = phaseBlocked
	for _, before := range j.stages[it.stage].After {
		for _, made := range j.stages[before].items {
			if made.phase == phaseDone && (gone || !made.maker.lives(made.result, now)) {
				p.unmake(made)
			}
		}
	}
	if !j.ended {
		p.unblock(j, now)
	}
}

// unmake takes the result of an item back.
func (p *plan) unmake(it *item) {
	j := it.job
	if j.ended || it.phase != phaseDone {
		return
	}
	if it.tries >= maxTries || !p.retry(j.stages[it.stage].Service) {
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
func (p *plan) hedge(call *Call, now time.Time) int {
	if _, running := call.Worker.calls[call]; !running || call.hedged {
		return 0
	}
	call.hedged = true
	call.Worker.speed = max(call.Worker.speed, slowSpeed)
	count := 0
	for _, it := range call.items {
		if it.job.ended || it.phase != phaseRunning || it.tries >= maxTries || !p.retry(it.job.stages[it.stage].Service) {
			continue
		}
		p.requeue(it, now)
		count++
	}
	return count
}

// forecast is the expected time until the stages of a new job are done.
type forecast struct {
	// onTime counts the work that goes before the job while it can make its aim, late
	// all work that is known.
	onTime, late time.Duration
	// served is false where a service has no upstream.
	served bool
}

// forecast returns when a new job would be done: for each stage the work before it at
// the rate of its upstreams, and its call. Work of stages whose turn has not come counts
// too, since it meets the new job there.
func (p *plan) forecast(job *Job, now time.Time) forecast {
	f := forecast{served: true}
	onTime, late := make([]time.Duration, len(job.Stages)), make([]time.Duration, len(job.Stages))
	for i, spec := range job.Stages {
		if spec.Items == 0 {
			continue
		}
		rate, served := p.rate(spec.Service, now)
		if !served {
			return forecast{}
		}
		before, all := p.ahead(spec.Service, job, now)
		var start, lateStart time.Duration
		for _, needed := range spec.After {
			start, lateStart = max(start, onTime[needed]), max(lateStart, late[needed])
		}
		call := p.callTime(spec.Service)
		onTime[i] = max(start, timeFor(before, rate)) + call
		late[i] = max(lateStart, timeFor(all, rate*p.spare(spec.Service, rate, now))) + call
		f.onTime, f.late = max(f.onTime, onTime[i]), max(f.late, late[i])
	}
	return f
}

// makesAim reports whether a new job can make its aim.
func (f forecast) makesAim(job *Job, now time.Time) bool {
	return !now.Add(f.onTime + consumerTime).After(job.Aim)
}

// accepts reports whether a new job is worth beginning: it can make its aim, or it can
// be done well within its deadline by what others leave.
func (f forecast) accepts(job *Job, now time.Time) bool {
	return f.makesAim(job, now) || float64(f.late) <= lateShare*float64(job.Deadline.Sub(now))
}

// load is the decaying count of the items of a service that were taken to make their aim.
type load struct {
	items float64
	at    time.Time
}

// decayed returns the count as of now.
func (l load) decayed(now time.Time) float64 {
	return l.items * math.Exp(-now.Sub(l.at).Seconds()/loadTime.Seconds())
}

// noteLoad counts the items of a job that was taken to make its aim.
func (p *plan) noteLoad(job *Job, now time.Time) {
	for _, spec := range job.Stages {
		if spec.Items > 0 {
			l := p.loads[spec.Service]
			p.loads[spec.Service] = load{l.decayed(now) + float64(spec.Items), now}
		}
	}
}

// spare returns the share of the upstreams of a service that work which can make its
// aim leaves to late jobs.
func (p *plan) spare(service api.ServiceName, rate float64, now time.Time) float64 {
	if rate == 0 {
		return minSpare
	}
	used := p.loads[service].decayed(now) / loadTime.Seconds() / rate
	return max(1-used, minSpare)
}

func timeFor(items int, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(items) / rate * float64(time.Second))
}

// ahead returns the items of a service that go before a new job which can make its aim, and all that are not done.
func (p *plan) ahead(service api.ServiceName, job *Job, now time.Time) (before, all int) {
	for _, j := range p.jobs {
		for i := range j.stages {
			if j.stages[i].Service != service {
				continue
			}
			all += j.stages[i].left
			if j.Rank <= job.Rank && !now.After(j.Aim) {
				before += j.stages[i].left
			}
		}
	}
	return before, all
}

// rate returns the items per second of the upstreams of a service at full calls, and
// whether there is an upstream at all.
func (p *plan) rate(service api.ServiceName, now time.Time) (float64, bool) {
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
	return rate, served
}
