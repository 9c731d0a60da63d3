// Package stage runs the preparatory stages of requests. For each group of upstreams, one host
// batches the items of many requests, so that each call carries several of them. Every host
// determines that host from the host list.
package stage

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// Job is the stage work of one request.
type Job struct {
	Request api.RequestID
	// Key names the content from which the items of first stages are computed.
	Key string
	// Target is when the results should be ready, Deadline when they become useless.
	Target   time.Time
	Deadline time.Time
	// Rank is the priority; 0 is the highest.
	Rank int
	// Workspace is empty for public routes.
	Workspace api.WorkspaceName
	// Group is the group that runs the job, Known what the submitting host knows of other groups.
	Group Group
	Known []GroupForecast
	// Home is the data centre of the likely consumer; empty if it is unknown.
	Home   api.DataCentre
	Stages []Spec
	// Stored lists the results that were already produced for another scheduling host.
	Stored []StoredResults
	// Pinned jobs are not handed back when another host schedules the group, because their
	// submitting host can't reach it.
	Pinned bool
	// Late is set at admission if the job can't meet its target, or if its workspace has more than its
	// share. It then gets capacity that on-time jobs leave.
	Late bool
}

// Spec is one stage of a job.
type Spec struct {
	Service     api.ServiceName `json:"service"`
	After       []int           `json:"after,omitempty"`
	ResultBytes int64           `json:"result_bytes"`
	// Items is the number of items; 0 skips the stage.
	Items int `json:"items"`
}

// Outcome is the result of a finished job.
type Outcome struct {
	// Known holds the forecasts of groups for jobs of this kind, also if the job is refused.
	Known []GroupForecast
	// Stored lists the results of the stages that no other stage depends on.
	Stored []StoredResults
	// Home is the data centre that holds most of their bytes; empty if there is none.
	Home api.DataCentre
}

// Results returns the results, ordered by stage and item.
func (o Outcome) Results() []fleet.ResultRef { return resultRefs(o.Stored) }

// phase is the state of an item.
type phase string

// Phases of an item.
const (
	// phaseBlocked items wait for the results of other stages.
	phaseBlocked phase = "blocked"
	phaseQueued  phase = "queued"
	phaseRunning phase = "running"
	phaseDone    phase = "done"
)

// item is one unit of work of a stage.
type item struct {
	job   *jobState
	stage int
	index int
	phase phase
	// queuedAt is when the item was last queued.
	queuedAt time.Time
	// preferred is the data centre where the item should run; empty if it transfers few bytes.
	preferred api.DataCentre
	// result is set in phaseDone.
	result   fleet.ResultRef
	producer *worker
	// attempts counts the calls that included the item.
	attempts int
	// running counts the current calls that include the item; more than one after a hedge.
	running int
}

// stageState is one stage of a job in progress.
type stageState struct {
	Spec
	items []*item
	// remaining counts the items that are not done.
	remaining int
	// inputsReleased is set if the inputs were released before the calls ended.
	inputsReleased bool
	// consumers holds the indexes of the stages that depend on this one and are not skipped.
	consumers []int
	// path is the critical path at pathVersion.
	path        time.Duration
	pathVersion int
}

// jobState is a job in progress.
type jobState struct {
	Job
	stages []stageState
	// remaining counts the items of all stages that are not done.
	remaining int
	// finished is called once, with the outcome or an error.
	finished func(Outcome, error)
	// progress receives results as they are produced and must not block. It is nil in tests only.
	progress func([]StoredResults)
	ended    bool
	started  time.Time
}

// newJob returns the initial state of a job, in which all items are blocked.
func newJob(job Job, now time.Time, finished func(Outcome, error)) *jobState {
	j := &jobState{Job: job, finished: finished, started: now, stages: make([]stageState, len(job.Stages))}
	for i, spec := range job.Stages {
		j.stages[i] = stageState{Spec: spec, remaining: spec.Items}
		j.remaining += spec.Items
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

// ready reports whether all stages that a stage depends on are done.
func (j *jobState) ready(stage int) bool {
	for _, before := range j.stages[stage].After {
		if j.stages[before].remaining > 0 {
			return false
		}
	}
	return true
}

// terminal reports whether no stage of the route depends on the given one.
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

// completed reports whether all items of a stage are done.
func (j *jobState) completed(stage int) bool { return j.stages[stage].remaining == 0 }

// dispatched reports whether all items of a stage are done or in calls.
func (j *jobState) dispatched(stage int) bool {
	for _, it := range j.stages[stage].items {
		if it.phase != phaseRunning && it.phase != phaseDone {
			return false
		}
	}
	return true
}

// partiallyDone reports whether at least one item of a stage is done.
func (j *jobState) partiallyDone(stage int) bool {
	return j.stages[stage].remaining < j.stages[stage].Items
}

// inputs returns the results that the items of a stage take as input.
func (j *jobState) inputs(stage int) []fleet.ResultRef {
	var results []fleet.ResultRef
	for _, before := range j.stages[stage].After {
		for _, input := range j.stages[before].items {
			results = append(results, input.result)
		}
	}
	return results
}

// preferredDataCentre returns the data centre where the items of a stage should run: the one that
// holds most of their input bytes, or that of the job if consumers fetch many bytes of their
// results. It is empty if an item transfers few bytes. Every item of a stage fetches all its
// inputs.
func (j *jobState) preferredDataCentre(stage int) api.DataCentre {
	inputs := map[api.DataCentre]int64{}
	var most api.DataCentre
	var total int64
	for _, before := range j.stages[stage].After {
		for _, input := range j.stages[before].items {
			if input.producer == nil {
				continue
			}
			centre := input.producer.upstream.DataCentre
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

// inputsRetained reports whether the inputs of a stage live until a call that starts now has
// fetched them.
func (j *jobState) inputsRetained(stage int, now time.Time) bool {
	for _, before := range j.stages[stage].After {
		for _, input := range j.stages[before].items {
			if input.phase != phaseDone || !input.producer.retains(input.result, now) {
				return false
			}
		}
	}
	return true
}

// outcome returns the outcome of a job whose items are all done.
func (j *jobState) outcome(now time.Time) Outcome {
	var o Outcome
	var last []*item
	bytes := map[api.DataCentre]int64{}
	for i := range j.stages {
		if !j.terminal(i) {
			continue
		}
		for _, it := range j.stages[i].items {
			last = append(last, it)
			bytes[it.producer.upstream.DataCentre] += j.stages[i].ResultBytes
		}
	}
	var most int64
	for centre, size := range bytes {
		if size > most || (size == most && centre < o.Home) {
			o.Home, most = centre, size
		}
	}
	o.Stored = groupByUpstream(last, now)
	return o
}

// refSet returns the results of a list as a set.
func refSet(list []StoredResults) map[fleet.ResultRef]bool {
	set := map[fleet.ResultRef]bool{}
	for _, result := range resultRefs(list) {
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

// holdsPartialStage reports whether some but not all items of a stage are done.
func (j *jobState) holdsPartialStage() bool {
	for i := range j.stages {
		if j.partiallyDone(i) && j.stages[i].remaining > 0 {
			return true
		}
	}
	return false
}

// dispatchBegun reports whether an item of a stage is in a call or done.
func (j *jobState) dispatchBegun(stage int) bool {
	return slices.ContainsFunc(j.stages[stage].items, func(it *item) bool { return it.phase == phaseRunning || it.phase == phaseDone })
}
