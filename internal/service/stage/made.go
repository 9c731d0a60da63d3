package stage

import (
	"cmp"
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// StoredResults lists results of a job that are held at one upstream. The submitting host keeps the list, so
// that the next scheduling host can continue the job if the current one fails.
type StoredResults struct {
	Upstream api.UpstreamID `json:"upstream"`
	Started  int64          `json:"started"`
	// RemainingMs is the remaining lifetime of the results.
	RemainingMs int64          `json:"left_ms"`
	Items       []StoredResult `json:"items"`
}

// StoredResult is the result of one item.
type StoredResult struct {
	Stage  int             `json:"stage"`
	Index  int             `json:"index"`
	Result fleet.ResultRef `json:"result"`
}

func (m *StoredResults) incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: m.Upstream, Started: m.Started}
}

// resultRefs returns the results of a list, ordered by stage and item.
func resultRefs(list []StoredResults) []fleet.ResultRef {
	var items []StoredResult
	for i := range list {
		items = append(items, list[i].Items...)
	}
	slices.SortFunc(items, func(a, b StoredResult) int {
		return cmp.Or(cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Index, b.Index))
	})
	results := make([]fleet.ResultRef, len(items))
	for i := range items {
		results[i] = items[i].Result
	}
	return results
}

// knownResults holds the results of a job that scheduling hosts have reported.
type knownResults struct {
	items map[[2]int]knownResult
}

type knownResult struct {
	upstream fleet.Incarnation
	result   fleet.ResultRef
	expires  time.Time
}

// add records results that were reported at now.
func (r *knownResults) add(list []StoredResults, now time.Time) {
	if r.items == nil {
		r.items = map[[2]int]knownResult{}
	}
	for i := range list {
		expires := now.Add(time.Duration(list[i].RemainingMs) * time.Millisecond)
		for _, it := range list[i].Items {
			r.items[[2]int{it.Stage, it.Index}] = knownResult{list[i].incarnation(), it.Result, expires}
		}
	}
}

// live returns the results that have not expired at now.
func (r *knownResults) live(now time.Time) []StoredResults {
	byUpstream := map[fleet.Incarnation]*StoredResults{}
	for key, it := range r.items {
		left := it.expires.Sub(now)
		if left <= 0 {
			continue
		}
		m := byUpstream[it.upstream]
		if m == nil {
			m = &StoredResults{Upstream: it.upstream.ID, Started: it.upstream.Started, RemainingMs: left.Milliseconds()}
			byUpstream[it.upstream] = m
		}
		m.RemainingMs = min(m.RemainingMs, left.Milliseconds())
		m.Items = append(m.Items, StoredResult{key[0], key[1], it.result})
	}
	list := make([]StoredResults, 0, len(byUpstream))
	for _, m := range byUpstream {
		list = append(list, *m)
	}
	return list
}

// groupByUpstream returns the results of items that were not released, by upstream.
func groupByUpstream(items []*item, now time.Time) []StoredResults {
	var list []StoredResults
	at := map[fleet.Incarnation]int{}
	for _, it := range items {
		if it.phase != phaseDone || it.producer == nil {
			continue
		}
		held, found := it.producer.held[it.result]
		if !found || held.released {
			continue
		}
		incarnation, left := it.producer.upstream.Incarnation(), held.expires.Sub(now).Milliseconds()
		i, found := at[incarnation]
		if !found {
			i = len(list)
			at[incarnation] = i
			list = append(list, StoredResults{Upstream: incarnation.ID, Started: incarnation.Started, RemainingMs: left})
		}
		list[i].RemainingMs = min(list[i].RemainingMs, left)
		list[i].Items = append(list[i].Items, StoredResult{it.stage, it.index, it.result})
	}
	return list
}

// adopt takes over the results of a job that were produced for another scheduling host. Results at
// upstreams that the plan doesn't know are recomputed.
func (p *plan) adopt(j *jobState, list []StoredResults, now time.Time) {
	for i := range list {
		w := p.workers[list[i].incarnation()]
		if w == nil || list[i].RemainingMs <= 0 {
			continue
		}
		expires := now.Add(time.Duration(list[i].RemainingMs) * time.Millisecond)
		for _, completed := range list[i].Items {
			if it := j.item(completed.Stage, completed.Index); it != nil && it.phase == phaseBlocked && !w.held[completed.Result].released {
				it.phase, it.result, it.producer = phaseDone, completed.Result, w
				j.stages[it.stage].remaining--
				j.remaining--
				w.adopt(completed.Result, j.stages[it.stage].ResultBytes, expires)
			}
		}
	}
	for i := len(j.stages) - 1; i >= 0; i-- {
		if len(list) > 0 && !j.terminal(i) && !slices.ContainsFunc(j.stages[i].consumers, func(c int) bool { return !j.completed(c) }) {
			p.skip(j, i)
		}
	}
}

// handBack ends the matching jobs with ErrHandedBack, keeps their results for the scheduling host
// that continues them, and returns the number of jobs.
func (p *plan) handBack(match func(*jobState) bool, now time.Time) int {
	count := 0
	for _, j := range p.jobs {
		if !match(j) {
			continue
		}
		var items []*item
		for i := range j.stages {
			items = append(items, j.stages[i].items...)
		}
		results := groupByUpstream(items, now)
		p.end(j, refSet(results))
		j.finished(Outcome{Stored: results}, ErrHandedBack)
		count++
	}
	return count
}

// idle reports whether no item of the job is in a call.
func (j *jobState) idle() bool { return !j.running() }

// movable reports whether another scheduling host may take over the job now.
func (j *jobState) movable() bool { return !j.Pinned && !j.running() }

// running reports whether an item of the job is in a call.
func (j *jobState) running() bool {
	for i := range j.stages {
		for _, it := range j.stages[i].items {
			if it.running > 0 {
				return true
			}
		}
	}
	return false
}

// skip marks a stage as done whose results are no longer needed.
func (p *plan) skip(j *jobState, stage int) {
	for _, it := range j.stages[stage].items {
		if it.phase == phaseDone {
			p.release(it.producer, it.result)
			continue
		}
		it.phase = phaseDone
		j.stages[stage].remaining--
		j.remaining--
	}
}

// pending returns the number of items of a stage that have no result yet.
func (job *Job) pending(stage int) int {
	left := job.Stages[stage].Items
	for i := range job.Stored {
		for _, it := range job.Stored[i].Items {
			if it.Stage == stage {
				left--
			}
		}
	}
	return max(left, 0)
}

// item returns an item of a job, or nil if there is none.
func (j *jobState) item(stage, index int) *item {
	if stage < 0 || stage >= len(j.stages) || index < 0 || index >= len(j.stages[stage].items) {
		return nil
	}
	return j.stages[stage].items[index]
}
