package stage

import (
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
)

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
		p.apply(it, w, results[i], call.Began, now)
	}
	tellOwners(call, now)
}

// tellOwners tells the hosts of the requests of a call what it made.
func tellOwners(call *Call, now time.Time) {
	byJob := map[*jobState][]*item{}
	for _, it := range call.items {
		if !it.job.ended && it.job.progress != nil && it.maker == call.Worker {
			byJob[it.job] = append(byJob[it.job], it)
		}
	}
	for j, items := range byJob {
		if made := groupMade(items, now); len(made) > 0 {
			j.progress(made)
		}
	}
}

// worked reports whether a call made a result: one that found no room for any ends at
// once, and its duration tells nothing of the upstream.
func worked(results []fleet.ItemResult) bool {
	return slices.ContainsFunc(results, func(r fleet.ItemResult) bool { return r.Failure == "" })
}

// apply takes the result of one item.
func (p *plan) apply(it *item, w *worker, result fleet.ItemResult, began, now time.Time) {
	j := it.job
	if result.Failure == "" {
		w.hold(result.Result, j.stages[it.stage].ResultBytes, began, now)
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
		if j.stages[it.stage].early {
			p.shared = now.Add(sharedTime)
		}
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
	p.finish(j, now)
}

// finish ends a job whose items are all made.
func (p *plan) finish(j *jobState, now time.Time) {
	if j.left > 0 || p.remakeLast(j, now) {
		return
	}
	outcome := j.outcome(now)
	p.end(j, kept(outcome.Made))
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
	j.stages[it.stage].early = false
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
