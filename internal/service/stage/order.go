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
	var after time.Duration
	for _, consumer := range j.stages[stage].consumers {
		after = max(after, p.criticalPath(j, consumer))
	}
	if len(j.stages[stage].consumers) == 0 {
		after = firstEventTime
	}
	return p.callTime(j.stages[stage].Service) + after
}

// callTime returns the mean duration of a half-full call at the upstreams of a service that are not
// slow.
func (p *plan) callTime(service api.ServiceName) time.Duration {
	var sum time.Duration
	count := 0
	for _, w := range p.workers {
		if w.upstream.Service == service && !w.removed && w.slowdown < slowThreshold {
			sum += w.expected(w.limits.MaxItems / 2)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// urgency orders items. Items that can still meet their target and items of partially done stages
// run first, then the late ones. A late job that ran first would make another one late too, but a
// partially done stage occupies capacity to no use.
type urgency struct {
	late bool
	rank int
	due  time.Time
}

func (p *plan) urgency(it *item, now time.Time) urgency {
	j := it.job
	criticalPath := p.criticalPath(j, it.stage)
	target, deadline := j.Target.Add(-criticalPath), j.Deadline.Add(-criticalPath)
	if !now.After(target) || j.partiallyDone(it.stage) {
		return urgency{false, j.Rank, target}
	}
	return urgency{true, j.Rank, deadline}
}

func (u urgency) compare(o urgency) int {
	if u.late != o.late {
		if u.late {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(u.rank, o.rank); c != 0 {
		return c
	}
	return u.due.Compare(o.due)
}

// sorted returns the items of a queue whose jobs are active, most urgent first. It fails late jobs
// that can't meet their deadline.
func (p *plan) sorted(queue []*item, now time.Time) []*item {
	type ranked struct {
		it *item
		u  urgency
	}
	list := make([]ranked, 0, len(queue))
	for _, it := range queue {
		if !it.job.ended && it.phase == phaseQueued {
			list = append(list, ranked{it, p.urgency(it, now)})
		}
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return a.u.compare(b.u) })
	items := make([]*item, 0, len(list))
	for i := range list {
		it := list[i].it
		if list[i].u.late && p.deadlineUnreachable(it, i, now) {
			p.fail(it.job, errDeadlineUnreachable)
		}
		items = append(items, it)
	}
	return slices.DeleteFunc(items, func(it *item) bool { return it.job.ended })
}

// deadlineUnreachable reports whether an item behind others can no longer meet its deadline, so
// that its caller gets the error at once and the slot goes to another item.
func (p *plan) deadlineUnreachable(it *item, ahead int, now time.Time) bool {
	j := it.job
	rate, _ := p.rate(j.stages[it.stage].Service, now)
	return now.Add(timeFor(ahead, rate) + p.criticalPath(j, it.stage)).After(j.Deadline)
}
