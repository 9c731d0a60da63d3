package stage

import (
	"cmp"
	"slices"
	"time"

	"redwingloft/pkg/api"
)

// tail returns the time that the job needs after an item of a stage has begun.
func (p *plan) tail(j *jobState, stage int) time.Duration {
	var after time.Duration
	for _, consumer := range j.stages[stage].consumers {
		after = max(after, p.tail(j, consumer))
	}
	if len(j.stages[stage].consumers) == 0 {
		after = consumerTime
	}
	return p.callTime(j.stages[stage].Service) + after
}

// callTime returns the duration of a call that is half full at the upstreams of a service.
func (p *plan) callTime(service api.ServiceName) time.Duration {
	var sum time.Duration
	count := 0
	for _, w := range p.workers {
		if w.upstream.Service == service && !w.gone && w.speed < slowSpeed {
			sum += w.expected(w.limits.MaxItems / 2)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// urgency orders items: first those that can still make their aim and the rest of a
// stage that was begun, then the late ones. A late job that went before would make
// another one late too; but a stage that is made in part holds room that nobody can use.
type urgency struct {
	late bool
	rank int
	due  time.Time
}

func (p *plan) urgency(it *item, now time.Time) urgency {
	j := it.job
	tail := p.tail(j, it.stage)
	aim, last := j.Aim.Add(-tail), j.Deadline.Add(-tail)
	if !now.After(aim) || j.begun(it.stage) {
		return urgency{false, j.Rank, aim}
	}
	return urgency{true, j.Rank, last}
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

// sorted returns the items of a queue that are still wanted, the most urgent first.
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
		if list[i].u.late && p.hopeless(it, i, now) {
			p.fail(it.job, errLate)
		}
		items = append(items, it)
	}
	return slices.DeleteFunc(items, func(it *item) bool { return it.job.ended })
}

// hopeless reports whether an item behind others can't be done before its deadline any
// more, so that its caller is told at once and its place goes to one that can.
func (p *plan) hopeless(it *item, before int, now time.Time) bool {
	j := it.job
	rate, _ := p.rate(j.stages[it.stage].Service, now)
	return now.Add(timeFor(before, rate) + p.tail(j, it.stage)).After(j.Deadline)
}
