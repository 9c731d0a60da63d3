package stage

import (
	"cmp"
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// dispatch returns the calls to make now.
func (p *plan) dispatch(now time.Time) []*Call {
	var calls []*Call
	for service, queue := range p.queues {
		if len(queue) == 0 {
			continue
		}
		idle := p.idleWorkers(service, now)
		if len(idle) == 0 {
			p.failPaused(service, now)
			continue
		}
		queue = p.sorted(queue, now)
		p.queues[service] = nil
		// Recomputed inputs may be queued for the same service.
		queue = p.withRetainedInputs(queue, now)
		p.queues[service] = append(queue, p.queues[service]...)
		for _, requireLocal := range []bool{true, false} {
			for _, w := range idle {
				if len(p.queues[service]) == 0 || !p.idle(w, now) || p.tooSlow(w, len(queue), now) {
					continue
				}
				if call := p.fill(w, service, requireLocal, now); call != nil {
					calls = append(calls, call)
				}
			}
		}
	}
	return calls
}

// failPaused ends the jobs that can't be done by their deadline because all upstreams of a service
// pause.
func (p *plan) failPaused(service api.ServiceName, now time.Time) {
	paused := p.pausedFor(service, now)
	if paused == 0 {
		return
	}
	err := fault.New(api.KindDeadlineUnreachable, "all upstreams of a stage pause for %s", paused.Round(time.Millisecond))
	for _, it := range p.queues[service] {
		if now.Add(paused + p.criticalPath(it.job, it.stage)).After(it.job.Deadline) {
			p.fail(it.job, fault.AddRetryAfter(err, max(paused, minRetryAfter)))
		}
	}
}

// withRetainedInputs returns the items whose inputs live long enough; the inputs of the others are
// recomputed.
func (p *plan) withRetainedInputs(queue []*item, now time.Time) []*item {
	retained := queue[:0]
	var last *item
	kept := false
	for _, it := range queue {
		if last == nil || last.job != it.job || last.stage != it.stage || !kept {
			last, kept = it, it.job.inputsRetained(it.stage, now)
		}
		if kept {
			retained = append(retained, it)
		} else {
			p.recomputeInputs(it, false, now)
		}
	}
	return slices.DeleteFunc(retained, func(it *item) bool { return it.job.ended || it.phase != phaseQueued })
}

// idle reports whether an upstream can take a call now, also by its rate limit and its pause.
func (p *plan) idle(w *worker, now time.Time) bool {
	return w.idle(now) && p.throttle.WaitAlone(w.upstream, now) == 0
}

// idleWorkers returns the upstreams of a service that can take a call, fastest first.
func (p *plan) idleWorkers(service api.ServiceName, now time.Time) []*worker {
	var idle []*worker
	for _, w := range p.workers {
		if w.upstream.Service == service && p.idle(w, now) {
			idle = append(idle, w)
		}
	}
	slices.SortFunc(idle, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.slowdown, b.slowdown), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	return idle
}

// tooSlow reports whether queued items finish earlier at other upstreams: those would clear the
// queue before a slow one finishes its call.
func (p *plan) tooSlow(w *worker, queued int, now time.Time) bool {
	if w.slowdown < slowThreshold || now.Sub(w.lastCall) >= probeInterval {
		return false
	}
	var rate float64
	for _, other := range p.workers {
		if other != w && other.upstream.Service == w.upstream.Service && p.usable(other, now) && other.slowdown < slowThreshold {
			rate += p.itemRate(other, now)
		}
	}
	if rate == 0 {
		return false
	}
	backlog := time.Duration(float64(queued) / rate * float64(time.Second))
	return backlog < w.expected(1)
}

// fill takes items from a queue for one call. With requireLocal, a queued item must prefer the data
// centre of the upstream. Items that still wait for an upstream in their preferred data centre stay
// in the queue. Returns nil if no item qualifies or there is no room for a result.
func (p *plan) fill(w *worker, service api.ServiceName, requireLocal bool, now time.Time) *Call {
	call := &Call{Worker: w, upstream: w.upstream, Started: now}
	freeBytes := w.freeBytes(now)
	limit := w.limits.MaxItems
	if w.slowdown >= slowThreshold && now.Sub(w.lastCall) >= probeInterval {
		limit = 1
	}
	queue := p.queues[service]
	if requireLocal && !slices.ContainsFunc(queue, func(it *item) bool { return it.prefers(w) }) {
		return nil
	}
	// With more queued items than the next calls carry, an empty slot is lost capacity.
	saturated := len(queue) > saturatedCalls*limit
	rest := queue[:0]
	for i, it := range queue {
		if len(call.items) == limit {
			rest = append(rest, queue[i:]...)
			break
		}
		bytes := it.job.stages[it.stage].ResultBytes
		if call.reservedBytes+bytes > freeBytes || (!saturated && p.waitsForLocality(it, w, service, now)) || (w.aboveHighWater() && p.deferLargeResult(it, now)) {
			rest = append(rest, it)
			continue
		}
		call.items = append(call.items, it)
		call.reservedBytes += bytes
	}
	if len(call.items) == 0 {
		return nil
	}
	p.queues[service] = rest
	// dispatch has found that the upstream takes the call.
	p.throttle.TakeAlone(w.upstream, now)
	for _, it := range call.items {
		it.phase = phaseRunning
		it.attempts++
		it.running++
		call.Items = append(call.Items, p.wireItem(it, now))
	}
	w.calls[call] = struct{}{}
	w.reservedBytes += call.reservedBytes
	w.lastCall = now
	call.Expected = w.expected(len(call.items))
	p.trackFetches(call)
	return call
}

// prefers reports whether an upstream is in the preferred data centre of the item.
func (it *item) prefers(w *worker) bool {
	return it.preferred != "" && it.preferred == w.upstream.DataCentre
}

// deferLargeResult reports whether a large result would only occupy capacity: its engine waits for
// other stages of the job that take longer by more than one call.
func (p *plan) deferLargeResult(it *item, now time.Time) bool {
	j := it.job
	if j.stages[it.stage].ResultBytes < largeTransfer || now.After(j.Target) {
		return false
	}
	own := p.criticalPath(j, it.stage)
	for i := range j.stages {
		if j.stages[i].remaining > 0 && p.criticalPath(j, i) > own+p.callTime(j.stages[it.stage].Service)+deferSlack {
			return true
		}
	}
	return false
}

// waitsForLocality reports whether an item should wait for an upstream in its preferred data
// centre: it transfers many bytes, has time, and there is such an upstream.
func (p *plan) waitsForLocality(it *item, w *worker, service api.ServiceName, now time.Time) bool {
	j := it.job
	if it.preferred == "" || it.prefers(w) || now.Sub(it.queuedAt) >= localityWait {
		return false
	}
	if now.Add(localityWait + p.criticalPath(j, it.stage)).After(j.Target) {
		return false
	}
	for _, other := range p.workers {
		if other.upstream.Service == service && it.prefers(other) && p.usable(other, now) && other.slowdown < slowThreshold {
			return true
		}
	}
	return false
}

// wireItem converts an item to the form in which it is sent.
func (p *plan) wireItem(it *item, now time.Time) fleet.Item {
	j := it.job
	sent := fleet.Item{
		ItemRef: fleet.ItemRef{Request: j.Request, Stage: it.stage, Index: it.index}, Remaining: j.Deadline.Sub(now),
	}
	if len(j.stages[it.stage].After) == 0 {
		sent.Key = j.Key
	} else {
		sent.Inputs = j.inputs(it.stage)
	}
	return sent
}
