package stage

import (
	"cmp"
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// Made lists results of a job that lie at one upstream. The host of a request keeps
// them, so that the next gathering host goes on where the one before it failed.
type Made struct {
	Upstream api.UpstreamID `json:"upstream"`
	Started  int64          `json:"started"`
	// LeftMs is how long the results still live.
	LeftMs int64      `json:"left_ms"`
	Items  []MadeItem `json:"items"`
}

// MadeItem is the result of one item.
type MadeItem struct {
	Stage  int             `json:"stage"`
	Index  int             `json:"index"`
	Result fleet.ResultRef `json:"result"`
}

func (m *Made) incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: m.Upstream, Started: m.Started}
}

// refs returns the results of a list in the order of their stages and items.
func refs(list []Made) []fleet.ResultRef {
	var items []MadeItem
	for i := range list {
		items = append(items, list[i].Items...)
	}
	slices.SortFunc(items, func(a, b MadeItem) int {
		return cmp.Or(cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Index, b.Index))
	})
	results := make([]fleet.ResultRef, len(items))
	for i := range items {
		results[i] = items[i].Result
	}
	return results
}

// record holds what the gathering hosts have told of the results of a job.
type record struct {
	items map[[2]int]recorded
}

type recorded struct {
	upstream fleet.Incarnation
	result   fleet.ResultRef
	until    time.Time
}

// add notes results that were told at now.
func (r *record) add(list []Made, now time.Time) {
	if r.items == nil {
		r.items = map[[2]int]recorded{}
	}
	for i := range list {
		until := now.Add(time.Duration(list[i].LeftMs) * time.Millisecond)
		for _, it := range list[i].Items {
			r.items[[2]int{it.Stage, it.Index}] = recorded{list[i].incarnation(), it.Result, until}
		}
	}
}

// living returns the results that still live at now.
func (r *record) living(now time.Time) []Made {
	byUpstream := map[fleet.Incarnation]*Made{}
	for key, it := range r.items {
		left := it.until.Sub(now)
		if left <= 0 {
			continue
		}
		m := byUpstream[it.upstream]
		if m == nil {
			m = &Made{Upstream: it.upstream.ID, Started: it.upstream.Started, LeftMs: left.Milliseconds()}
			byUpstream[it.upstream] = m
		}
		m.LeftMs = min(m.LeftMs, left.Milliseconds())
		m.Items = append(m.Items, MadeItem{key[0], key[1], it.result})
	}
	list := make([]Made, 0, len(byUpstream))
	for _, m := range byUpstream {
		list = append(list, *m)
	}
	return list
}

// groupMade returns the results of items, by upstream, that were not released.
func groupMade(items []*item, now time.Time) []Made {
	var list []Made
	at := map[fleet.Incarnation]int{}
	for _, it := range items {
		if it.phase != phaseDone || it.maker == nil {
			continue
		}
		held, found := it.maker.held[it.result]
		if !found || held.released {
			continue
		}
		incarnation, left := it.maker.upstream.Incarnation(), held.until.Sub(now).Milliseconds()
		i, found := at[incarnation]
		if !found {
			i = len(list)
			at[incarnation] = i
			list = append(list, Made{Upstream: incarnation.ID, Started: incarnation.Started, LeftMs: left})
		}
		list[i].LeftMs = min(list[i].LeftMs, left)
		list[i].Items = append(list[i].Items, MadeItem{it.stage, it.index, it.result})
	}
	return list
}

// adopt takes over results that another gathering host has had made for a job.
// Results at upstreams that the plan doesn't know are made again.
func (p *plan) adopt(j *jobState, list []Made, now time.Time) {
	for i := range list {
		w := p.workers[list[i].incarnation()]
		if w == nil || list[i].LeftMs <= 0 {
			continue
		}
		until := now.Add(time.Duration(list[i].LeftMs) * time.Millisecond)
		for _, made := range list[i].Items {
			if it := j.item(made.Stage, made.Index); it != nil && it.phase == phaseBlocked && !w.held[made.Result].released {
				it.phase, it.result, it.maker = phaseDone, made.Result, w
				j.stages[it.stage].left--
				j.left--
				w.adopt(made.Result, j.stages[it.stage].ResultBytes, until)
			}
		}
	}
	for i := len(j.stages) - 1; i >= 0; i-- {
		if len(list) > 0 && !j.terminal(i) && !slices.ContainsFunc(j.stages[i].consumers, func(c int) bool { return !j.made(c) }) {
			p.skip(j, i)
		}
	}
}

// handBack ends the jobs that satisfy which without an outcome, leaves their results to
// the gathering host that goes on with them, and returns their number.
func (p *plan) handBack(which func(*jobState) bool, now time.Time) int {
	count := 0
	for _, j := range p.jobs {
		if !which(j) {
			continue
		}
		var items []*item
		for i := range j.stages {
			items = append(items, j.stages[i].items...)
		}
		made := groupMade(items, now)
		p.end(j, kept(made))
		j.finished(Outcome{Made: made}, ErrHandedBack)
		count++
	}
	return count
}

// waits reports whether no item of the job is in a call.
func (j *jobState) waits() bool { return !j.running() }

// movable reports whether another gathering host may go on with the job now.
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

// skip marks a stage as done whose results nobody needs any more.
func (p *plan) skip(j *jobState, stage int) {
	for _, it := range j.stages[stage].items {
		if it.phase == phaseDone {
			p.release(it.maker, it.result)
			continue
		}
		it.phase = phaseDone
		j.stages[stage].left--
		j.left--
	}
}

// todo returns the number of items of a stage that are not made.
func (job *Job) todo(stage int) int {
	left := job.Stages[stage].Items
	for i := range job.Made {
		for _, it := range job.Made[i].Items {
			if it.Stage == stage {
				left--
			}
		}
	}
	return max(left, 0)
}

// item returns an item of a job, or nil where there is none.
func (j *jobState) item(stage, index int) *item {
	if stage < 0 || stage >= len(j.stages) || index < 0 || index >= len(j.stages[stage].items) {
		return nil
	}
	return j.stages[stage].items[index]
}
