package stage

import (
	"cmp"
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
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
