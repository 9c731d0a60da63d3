package stage

import (
	"math"
	"time"

	"redwingloft/internal/data/fleet"
)

// release marks a result as no longer needed.
func (p *plan) release(w *worker, result fleet.ResultRef) {
	if w != nil {
		w.release(result)
	}
}

// FreeCall is one call that frees results at an upstream.
type FreeCall struct {
	Worker  *worker
	Results []fleet.ResultRef

	// upstream is the upstream at the time of the call, as in Call.
	upstream *fleet.Upstream
}

// freeCalls returns the calls that free results now: for all upstreams if all is set, else for
// those above the high-water mark.
func (p *plan) freeCalls(all bool, now time.Time) []*FreeCall {
	var list []*FreeCall
	for _, w := range p.workers {
		if len(w.pendingFree) == 0 || w.freeInFlight || (!all && !w.aboveHighWater()) || !p.mayFree(w, now) {
			continue
		}
		list = append(list, &FreeCall{Worker: w, Results: w.pendingFree, upstream: w.upstream})
		w.pendingFree, w.freeInFlight = nil, true
	}
	return list
}

// mayFree reports whether the rate limit and the pause of an upstream allow a call that frees
// results, and counts it. Queued items go first, unless they lack the room.
func (p *plan) mayFree(w *worker, now time.Time) bool {
	if math.IsInf(p.throttle.RateAlone(w.upstream, now), 1) {
		return p.throttle.Paused(w.upstream, now) == 0
	}
	if len(p.queues[w.upstream.Service]) > 0 && !w.aboveHighWater() {
		return false
	}
	return p.throttle.TakeAlone(w.upstream, now)
}

// completeFree applies the end of a call that frees results. If the call was lost, they occupy
// capacity until they expire.
func (p *plan) completeFree(f *FreeCall, succeeded bool, now time.Time) {
	f.Worker.freeInFlight = false
	if !succeeded {
		return
	}
	for _, result := range f.Results {
		f.Worker.completeFree(result, now)
	}
}

// inputFetch is a stage of a job whose items are all done or in calls.
type inputFetch struct {
	job   *jobState
	stage int
	until time.Time
}

// trackFetches records the stages whose last items were dispatched with a call.
func (p *plan) trackFetches(call *Call) {
	if call.Started.Before(p.contendedUntil) {
		return
	}
	seen := map[*jobState]bool{}
	for _, it := range call.items {
		j := it.job
		if !seen[j] && len(j.stages[it.stage].After) > 0 && j.dispatched(it.stage) {
			seen[j] = true
			p.fetching = append(p.fetching, inputFetch{j, it.stage, call.Started.Add(fetchTime)})
		}
	}
}

// releaseFetched releases the inputs that calls have had time to fetch.
func (p *plan) releaseFetched(now time.Time) {
	for len(p.fetching) > 0 && !now.Before(p.fetching[0].until) {
		f := p.fetching[0]
		p.fetching = p.fetching[1:]
		if !f.job.ended && !now.Before(p.contendedUntil) {
			f.job.stages[f.stage].inputsReleased = true
			p.releaseInputs(f.job, f.stage, (*jobState).dispatched)
		}
	}
}
