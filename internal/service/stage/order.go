package stage

import (
	"cmp"
	"slices"
	"time"

	"redwingloft/pkg/api"
)

// criticalPath returns the time that the job needs from the start of an item of a stage to the
// engine's first event, along the longest chain of dependent stages.
func (p *plan) criticalPath(j *jobState, stage int) time.Duration {
	st := &j.stages[stage]
	if st.pathVersion == p.timesVersion {
		return st.path
	}
	var after time.Duration
	for _, consumer := range st.consumers {
		after = max(after, p.criticalPath(j, consumer))
	}
	if len(st.consumers) == 0 {
		after = firstEventTime
	}
	st.path, st.pathVersion = p.callTime(st.Service)+after, p.timesVersion
	return st.path
}

// callTime returns the mean duration of a half-full call at the upstreams of a service that are not
// slow.
func (p *plan) callTime(service api.ServiceName) time.Duration {
	if known, found := p.callTimes[service]; found {
		return known
	}
	var sum time.Duration
	count := 0
	for _, w := range p.workers {
		if w.upstream.Service == service && !w.removed && w.slowdown < slowThreshold {
			sum += w.expected(w.limits.MaxItems / 2)
			count++
		}
	}
	if count > 0 {
		sum /= time.Duration(count)
	}
	p.callTimes[service] = sum
	return sum
}

// timesChanged discards the durations of calls that are computed once for each change of an
// upstream's pace.
func (p *plan) timesChanged() {
	clear(p.callTimes)
	p.timesVersion++
}

// urgency orders items by class, then those of begun stages before others, then by the latest useful
// start.
type urgency struct {
	late, begun bool
	class       int
	due         time.Time
}

// class returns the place of on-time or late work of a rank in the order; lower classes run first.
// Late work runs after on-time work of its rank, since it would make that late too, but before any
// work of less urgent ranks.
func class(rank int, late bool) int {
	if late {
		return 2*rank + 1
	}
	return 2 * rank
}

// urgency returns the urgency of the items of a stage. Items of begun stages count as on time, since
// the results occupy capacity to no use until the stage is done.
func (p *plan) urgency(j *jobState, stage int, now time.Time) urgency {
	criticalPath := p.criticalPath(j, stage)
	target, deadline := j.Target.Add(-criticalPath), j.Deadline.Add(-criticalPath)
	begun := j.dispatchBegun(stage)
	if begun || (!j.Late && !now.After(target)) {
		return urgency{begun: begun, class: class(j.Rank, false), due: target}
	}
	return urgency{late: true, class: class(j.Rank, true), due: deadline}
}

func (u urgency) compare(o urgency) int {
	if c := cmp.Compare(u.class, o.class); c != 0 {
		return c
	}
	if u.begun != o.begun {
		if u.begun {
			return -1
		}
		return 1
	}
	return u.due.Compare(o.due)
}

// run is a sequence of queued items of one stage of a job, which have the same urgency.
type run struct {
	items []*item
	urgency
}

// sorted returns the items of a queue whose jobs are active, most urgent first. It fails late and begun jobs
// that can't meet their deadline, and others whose deadline was moved before their target.
func (p *plan) sorted(queue []*item, now time.Time) []*item {
	queue = slices.DeleteFunc(queue, func(it *item) bool { return it.job.ended || it.phase != phaseQueued })
	var runs []run
	for i := 0; i < len(queue); {
		first, end := queue[i], i+1
		for end < len(queue) && queue[end].job == first.job && queue[end].stage == first.stage {
			end++
		}
		runs = append(runs, run{queue[i:end], p.urgency(first.job, first.stage, now)})
		i = end
	}
	slices.SortStableFunc(runs, func(a, b run) int { return a.compare(b.urgency) })
	items := make([]*item, 0, len(queue))
	var rate float64
	for i := range runs {
		it := runs[i].items[0]
		judged := runs[i].late || runs[i].begun || it.job.Deadline.Before(it.job.Target)
		if rate == 0 && judged {
			rate, _ = p.rate(it.job.stages[it.stage].Service, now)
		}
		if judged && p.deadlineUnreachable(it, len(items)+len(runs[i].items)-1, rate, now) {
			p.fail(it.job, errDeadlineUnreachable)
			continue
		}
		items = append(items, runs[i].items...)
	}
	return slices.DeleteFunc(items, func(it *item) bool { return it.job.ended })
}

// deadlineUnreachable reports whether an item behind others can no longer meet its deadline, so
// that its caller gets the error at once and the slot goes to another item.
func (p *plan) deadlineUnreachable(it *item, ahead int, rate float64, now time.Time) bool {
	return now.Add(timeFor(ahead, rate) + p.criticalPath(it.job, it.stage)).After(it.job.Deadline)
}
