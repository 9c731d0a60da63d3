package stage

import (
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
)

// Failure is the reason why a call has no results.
type Failure string

// Reasons why a call has no results.
const (
	// FailureNone: the call has results.
	FailureNone Failure = ""
	// FailureFull: the upstream did not accept the call.
	FailureFull Failure = "full"
	// FailureUnreachable: the request did not reach the upstream, which may still hold its results.
	FailureUnreachable Failure = "unreachable"
	// FailureGone: the upstream's process does not listen.
	FailureGone Failure = "gone"
	// FailureLost: no usable response was received.
	FailureLost Failure = "lost"
	// FailureMoved: the address now belongs to another upstream.
	FailureMoved Failure = "moved"
)

// complete applies the results or the failure of a call.
func (p *plan) complete(call *Call, results []fleet.ItemResult, failure Failure, now time.Time) {
	w := call.Worker
	p.timesChanged()
	delete(w.calls, call)
	w.reservedBytes -= call.reservedBytes
	switch failure {
	case FailureNone:
		if anySucceeded(results) {
			w.observe(call, now.Sub(call.Started))
		}
	case FailureFull:
		w.cooldownUntil = now.Add(fullCooldown)
	case FailureUnreachable:
		w.noteFailure(now)
	case FailureGone, FailureMoved:
		w.noteFailure(now)
		p.dropResults(w)
	default:
		w.noteFailure(now)
		w.holdUnknown(call.reservedBytes, now)
	}
	rejected := 0
	for i := range results {
		if results[i].Failure == fleet.FailureNoRoom {
			rejected++
		}
	}
	if failure == FailureNone {
		w.rejected(rejected, len(results), now)
	}
	for i, it := range call.items {
		it.running--
		if failure != FailureNone {
			p.retryItem(it, failure != FailureFull, now)
			continue
		}
		p.applyResult(it, w, results[i], call.Started, now)
	}
	reportProgress(call, now)
}

// reportProgress reports the results of a call to the hosts that submitted the jobs.
func reportProgress(call *Call, now time.Time) {
	byJob := map[*jobState][]*item{}
	for _, it := range call.items {
		if !it.job.ended && it.job.progress != nil && it.producer == call.Worker {
			byJob[it.job] = append(byJob[it.job], it)
		}
	}
	for j, items := range byJob {
		if results := groupByUpstream(items, now); len(results) > 0 {
			j.progress(results)
		}
	}
}

// anySucceeded reports whether a call produced a result. A call that found no room for any ends at
// once, so its duration is no measure of the upstream's speed.
func anySucceeded(results []fleet.ItemResult) bool {
	return slices.ContainsFunc(results, func(r fleet.ItemResult) bool { return r.Failure == "" })
}

// applyResult applies the result of one item.
func (p *plan) applyResult(it *item, w *worker, result fleet.ItemResult, started, now time.Time) {
	j := it.job
	if result.Failure == "" {
		w.hold(result.Result, j.stages[it.stage].ResultBytes, started, now)
		if j.ended || it.phase == phaseDone {
			p.release(w, result.Result)
			return
		}
		p.dequeue(it)
		it.phase, it.result, it.producer = phaseDone, result.Result, w
		j.stages[it.stage].remaining--
		j.remaining--
		p.advance(j, it.stage, now)
		return
	}
	if j.ended || it.phase == phaseDone || it.running > 0 {
		return
	}
	switch result.Failure {
	case fleet.FailureLate:
		p.fail(j, errDeadlineUnreachable)
	case fleet.FailureInputGone:
		if j.stages[it.stage].inputsReleased {
			p.contendedUntil = now.Add(contentionTime)
		}
		p.recomputeInputs(it, true, now)
	case fleet.FailureNoRoom:
		// The item was not run, so the attempt doesn't count. The margin of the upstream prevents
		// an immediate retry there.
		it.attempts--
		p.retryItem(it, false, now)
	default:
		p.retryItem(it, true, now)
	}
}

// dequeue removes an item that a hedge queued again from its queue.
func (p *plan) dequeue(it *item) {
	if it.phase != phaseQueued {
		return
	}
	service := it.job.stages[it.stage].Service
	p.queues[service] = slices.DeleteFunc(p.queues[service], func(other *item) bool { return other == it })
}

// advance unblocks the dependent stages and releases the inputs of a stage once all its items are
// done.
func (p *plan) advance(j *jobState, stage int, now time.Time) {
	if j.stages[stage].remaining > 0 {
		return
	}
	p.unblock(j, now)
	p.releaseInputs(j, stage, (*jobState).completed)
	p.finish(j, now)
}

// finish ends a job whose items are all done.
func (p *plan) finish(j *jobState, now time.Time) {
	if j.remaining > 0 || p.recomputeExpired(j, now) {
		return
	}
	outcome := j.outcome(now)
	p.end(j, refSet(outcome.Stored))
	j.finished(outcome, nil)
}

// recomputeExpired recomputes final results that would expire before the engine can fetch them. It
// reports whether the job can't finish yet or has failed.
func (p *plan) recomputeExpired(j *jobState, now time.Time) bool {
	for i := range j.stages {
		if !j.terminal(i) {
			continue
		}
		for _, it := range j.stages[i].items {
			if !it.producer.retains(it.result, now) {
				p.invalidate(it)
			}
		}
	}
	if !j.ended && j.remaining > 0 {
		p.unblock(j, now)
	}
	return j.ended || j.remaining > 0
}

// releaseInputs releases the inputs of a stage for which all consuming stages satisfy the given
// condition.
func (p *plan) releaseInputs(j *jobState, stage int, satisfied func(*jobState, int) bool) {
	for _, before := range j.stages[stage].After {
		if slices.ContainsFunc(j.stages[before].consumers, func(consumer int) bool { return !satisfied(j, consumer) }) {
			continue
		}
		for _, it := range j.stages[before].items {
			p.release(it.producer, it.result)
		}
	}
}

// retryItem queues an item again. If charge is set, the retry is subject to maxAttempts and the
// retry budget, and the job fails if either is exhausted.
func (p *plan) retryItem(it *item, charge bool, now time.Time) {
	if it.job.ended || it.phase != phaseRunning || it.running > 0 {
		return
	}
	service := it.job.stages[it.stage].Service
	if charge && (it.attempts >= maxAttempts || !p.retry(service)) {
		p.fail(it.job, errTooManyFailures)
		return
	}
	p.requeue(it, now)
}

// requeue queues an item again. If an input was invalidated while the call ran, the item is blocked
// until the input has been recomputed.
func (p *plan) requeue(it *item, now time.Time) {
	if !it.job.ready(it.stage) {
		it.phase = phaseBlocked
		return
	}
	p.enqueue(it, now)
}

// recomputeInputs recomputes the inputs of an item: those that expire soon, or all of them if one
// is gone, since the upstream doesn't report which.
func (p *plan) recomputeInputs(it *item, gone bool, now time.Time) {
	j := it.job
	it.phase = phaseBlocked
	j.stages[it.stage].inputsReleased = false
	for _, before := range j.stages[it.stage].After {
		for _, input := range j.stages[before].items {
			if input.phase == phaseDone && (gone || !input.producer.retains(input.result, now)) {
				p.invalidate(input)
			}
		}
	}
	if !j.ended {
		p.unblock(j, now)
	}
}

// invalidate discards the result of an item so that it is computed again, or fails the job if no
// retry is left.
func (p *plan) invalidate(it *item) {
	j := it.job
	if j.ended || it.phase != phaseDone {
		return
	}
	if it.attempts >= maxAttempts || !p.retry(j.stages[it.stage].Service) {
		p.fail(j, errTooManyFailures)
		return
	}
	p.release(it.producer, it.result)
	it.phase, it.result, it.producer = phaseBlocked, "", nil
	j.stages[it.stage].remaining++
	j.remaining++
}

// dropResults forgets the results at an upstream that is gone. Unfinished jobs that still need them
// recompute them when a consumer reports a missing input.
func (p *plan) dropResults(w *worker) {
	w.held, w.heldBytes, w.pendingFree = map[fleet.ResultRef]heldResult{}, 0, nil
}

// fail ends a job with an error.
func (p *plan) fail(j *jobState, err error) {
	if j.ended {
		return
	}
	p.end(j, nil)
	j.finished(Outcome{}, err)
}

// hedge queues the items of a straggling call again and returns their number.
func (p *plan) hedge(call *Call, now time.Time) int {
	if _, running := call.Worker.calls[call]; !running || call.hedged {
		return 0
	}
	call.hedged = true
	p.timesChanged()
	call.Worker.slowdown = max(call.Worker.slowdown, slowThreshold)
	count := 0
	for _, it := range call.items {
		if it.job.ended || it.phase != phaseRunning || it.attempts >= maxAttempts || !p.retry(it.job.stages[it.stage].Service) {
			continue
		}
		p.requeue(it, now)
		count++
	}
	return count
}
