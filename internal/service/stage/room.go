package stage

import (
	"time"

	"redwingloft/internal/data/fleet"
)

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
func (p *plan) freed(f *Free, told bool, now time.Time) {
	f.Worker.telling = false
	if !told {
		return
	}
	for _, result := range f.Results {
		f.Worker.freed(result, now)
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
	if call.Began.Before(p.shared) {
		return
	}
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
		if !f.job.ended && !now.Before(p.shared) {
			f.job.stages[f.stage].early = true
			p.releaseInputs(f.job, f.stage, (*jobState).underWay)
		}
	}
}
