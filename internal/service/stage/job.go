// Package stage runs the preparatory stages of requests. One host gathers the items of
// many requests for a group of upstreams, so that each call carries many of them; every
// host knows from the list of hosts which one that is.
package stage

import (
	"fmt"
	"strings"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// Job is the stage work of one request.
type Job struct {
	Request api.RequestID
	// Key names the content that items of first stages are made from.
	Key string
	// Aim is when the results should be ready, Deadline when they are of no use any more.
	Aim      time.Time
	Deadline time.Time
	// Rank is the urgency, 0 first.
	Rank int
	// Home is the data centre of the likely consumer; empty where none is known.
	Home   api.DataCentre
	Stages []Spec
	// Made holds the results that the job has from another gathering host.
	Made []Made
	// Pinned jobs stay, although another host gathers: theirs can't reach it.
	Pinned bool
}

// Spec is one stage of a job.
type Spec struct {
	Service     api.ServiceName `json:"service"`
	After       []int           `json:"after,omitempty"`
	ResultBytes int64           `json:"result_bytes"`
	// Items is the number of items; 0 omits the stage.
	Items int `json:"items"`
}

// Outcome is what a finished job yields.
type Outcome struct {
	// Made holds the results of the stages that no other stage follows.
	Made []Made
	// Home is the data centre that holds most of their bytes; empty where there is none.
	Home api.DataCentre
}

// Results returns the results in the order of their stages and items.
func (o Outcome) Results() []fleet.ResultRef { return refs(o.Made) }

// phase is the state of an item.
type phase string

// The phases.
const (
	// phaseBlocked items wait for the results of other stages.
	phaseBlocked phase = "blocked"
	phaseQueued  phase = "queued"
	phaseRunning phase = "running"
	phaseDone    phase = "done"
)

// item is one item of a job.
type item struct {
	job   *jobState
	stage int
	index int
	phase phase
	// queued is when the item was queued last.
	queued time.Time
	// home is the data centre where the item is better run; empty where it moves few bytes.
	home api.DataCentre
	// result is set in phaseDone.
	result fleet.ResultRef
	maker  *worker
	// tries counts the calls that the item was part of.
	tries int
	// running counts the calls that the item is part of now; more than one after a hedge.
	running int
}

// stageState is one stage of a job in progress.
type stageState struct {
	Spec
	items []*item
	// left counts the items that are not done.
	left int
	// early tells that the inputs were released before the calls ended.
	early bool
	// consumers holds the indexes of the stages that need this one and are not omitted.
	consumers []int
}

// jobState is a job in progress.
type jobState struct {
	Job
	stages []stageState
	// left counts the items of all stages that are not done.
	left int
	// finished is called once.
	finished func(Outcome, error)
	// progress is told of results as they are made, without blocking; it is nil in tests only.
	progress func([]Made)
	ended    bool
	began    time.Time
}

// newJob returns the state of a job whose first items are queued.
func newJob(job Job, now time.Time, finished func(Outcome, error)) *jobState {
	j := &jobState{Job: job, finished: finished, began: now, stages: make([]stageState, len(job.Stages))}
	for i, spec := range job.Stages {
		j.stages[i] = stageState{Spec: spec, left: spec.Items}
		j.left += spec.Items
		for index := range spec.Items {
			j.stages[i].items = append(j.stages[i].items, &item{job: j, stage: i, index: index, phase: phaseBlocked})
		}
	}
	for i, spec := range job.Stages {
		for _, before := range spec.After {
			if spec.Items > 0 && before >= 0 && before < len(j.stages) {
				j.stages[before].consumers = append(j.stages[before].consumers, i)
			}
		}
	}
	return j
}

// ready reports whether all stages that a stage needs are done.
func (j *jobState) ready(stage int) bool {
	for _, before := range j.stages[stage].After {
		if j.stages[before].left > 0 {
			return false
		}
	}
	return true
}

// terminal reports whether no stage of the route follows a stage.
func (j *jobState) terminal(stage int) bool {
	for _, spec := range j.Stages {
		for _, before := range spec.After {
			if before == stage {
				return false
			}
		}
	}
	return true
}

// made reports whether all items of a stage are made.
func (j *jobState) made(stage int) bool { return j.stages[stage].left == 0 }

// underWay reports whether all items of a stage are made or in calls.
func (j *jobState) underWay(stage int) bool {
	for _, it := range j.stages[stage].items {
		if it.phase != phaseRunning && it.phase != phaseDone {
			return false
		}
	}
	return true
}

// begun reports whether some items of a stage are made.
func (j *jobState) begun(stage int) bool {
	return j.stages[stage].left < j.stages[stage].Items
}

// inputs returns the results that an item of a stage needs.
func (j *jobState) inputs(stage int) []fleet.ResultRef {
	var results []fleet.ResultRef
	for _, before := range j.stages[stage].After {
		for _, made := range j.stages[before].items {
			results = append(results, made.result)
		}
	}
	return results
}

// homeOf returns the data centre where the items of a stage are better run: that of
// most of their input bytes, or that of the job for results that many bytes are fetched
// of. It is empty where an item moves few bytes: every item of a stage fetches all its
// inputs.
func (j *jobState) homeOf(stage int) api.DataCentre {
	inputs := map[api.DataCentre]int64{}
	var most api.DataCentre
	var total int64
	for _, before := range j.stages[stage].After {
		for _, made := range j.stages[before].items {
			if made.maker == nil {
				continue
			}
			centre := made.maker.upstream.DataCentre
			inputs[centre] += j.stages[before].ResultBytes
			total += j.stages[before].ResultBytes
			if inputs[centre] > inputs[most] || most == "" {
				most = centre
			}
		}
	}
	if total >= largeTransfer {
		return most
	}
	fetches := 0
	for _, consumer := range j.stages[stage].consumers {
		fetches += j.stages[consumer].Items
	}
	if total+j.stages[stage].ResultBytes*int64(max(fetches, 1)) >= largeTransfer {
		return j.Home
	}
	return ""
}

// inputsLive reports whether the inputs of a stage live until a call that begins now has fetched them.
func (j *jobState) inputsLive(stage int, now time.Time) bool {
	for _, before := range j.stages[stage].After {
		for _, made := range j.stages[before].items {
			if made.phase != phaseDone || !made.maker.lives(made.result, now) {
				return false
			}
		}
	}
	return true
}

// outcome returns the results of a job whose items are all done.
func (j *jobState) outcome(now time.Time) Outcome {
	var o Outcome
	var last []*item
	bytes := map[api.DataCentre]int64{}
	for i := range j.stages {
		if !j.terminal(i) {
			continue
		}
		for _, made := range j.stages[i].items {
			last = append(last, made)
			bytes[made.maker.upstream.DataCentre] += j.stages[i].ResultBytes
		}
	}
	var most int64
	for centre, size := range bytes {
		if size > most || (size == most && centre < o.Home) {
			o.Home, most = centre, size
		}
	}
	o.Made = groupMade(last, now)
	return o
}

// kept returns the results of a list as a set.
func kept(list []Made) map[fleet.ResultRef]bool {
	set := map[fleet.ResultRef]bool{}
	for _, result := range refs(list) {
		set[result] = true
	}
	return set
}

// describe returns the phases of a job's items by stage, as "0:done=2,queued=1;1:blocked=6".
func (j *jobState) describe() string {
	var text strings.Builder
	for i := range j.stages {
		counts := map[phase]int{}
		for _, it := range j.stages[i].items {
			counts[it.phase]++
		}
		if i > 0 {
			text.WriteByte(';')
		}
		fmt.Fprintf(&text, "%d:", i)
		separator := ""
		for _, p := range []phase{phaseBlocked, phaseQueued, phaseRunning, phaseDone} {
			if counts[p] > 0 {
				fmt.Fprintf(&text, "%s%s=%d", separator, p, counts[p])
				separator = ","
			}
		}
	}
	return text.String()
}
