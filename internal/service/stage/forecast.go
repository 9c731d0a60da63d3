package stage

import (
	"math"
	"time"

	"redwingloft/pkg/api"
)

// forecast is the expected time until the stages of a new job are done.
type forecast struct {
	// onTime counts the work that goes before the job while it can make its aim, late
	// all work that is known.
	onTime, late time.Duration
	// served is false where a service has no upstream.
	served bool
}

// forecast returns when a new job would be done: for each stage the work before it at
// the rate of its upstreams, and its call. Work of stages whose turn has not come counts
// too, since it meets the new job there.
func (p *plan) forecast(job *Job, now time.Time) forecast {
	f := forecast{served: true}
	onTime, late := make([]time.Duration, len(job.Stages)), make([]time.Duration, len(job.Stages))
	for i, spec := range job.Stages {
		if job.todo(i) == 0 {
			continue
		}
		rate, served := p.rate(spec.Service, now)
		if !served {
			return forecast{}
		}
		before, all := p.ahead(spec.Service, job, now)
		turnover := p.turnover(spec.Service, now)
		var start, lateStart time.Duration
		for _, needed := range spec.After {
			start, lateStart = max(start, onTime[needed]), max(lateStart, late[needed])
		}
		call := p.callTime(spec.Service)
		spare := p.spare(spec.Service, rate, now)
		onTime[i] = max(start, timeFor(before.items, rate), timeFor(before.bytes, turnover)) + call
		late[i] = max(lateStart, timeFor(all.items, rate*spare), timeFor(all.bytes, turnover*spare)) + call
		f.onTime, f.late = max(f.onTime, onTime[i]), max(f.late, late[i])
	}
	return f
}

// makesAim reports whether a new job can make its aim.
func (f forecast) makesAim(job *Job, now time.Time) bool {
	return !now.Add(f.onTime + consumerTime).After(job.Aim)
}

// accepts reports whether a new job is worth beginning: it can make its aim, or it can
// be done well within its deadline by what others leave.
func (f forecast) accepts(job *Job, now time.Time) bool {
	return f.makesAim(job, now) || float64(f.late) <= lateShare*float64(job.Deadline.Sub(now))
}

// load is the decaying count of the items of a service that were taken to make their aim.
type load struct {
	items float64
	at    time.Time
}

// decayed returns the count as of now.
func (l load) decayed(now time.Time) float64 {
	return l.items * math.Exp(-now.Sub(l.at).Seconds()/loadTime.Seconds())
}

// noteLoad counts the items of a job that was taken to make its aim.
func (p *plan) noteLoad(job *Job, now time.Time) {
	for i, spec := range job.Stages {
		if todo := job.todo(i); todo > 0 {
			l := p.loads[spec.Service]
			p.loads[spec.Service] = load{l.decayed(now) + float64(todo), now}
		}
	}
}

// spare returns the share of the upstreams of a service that work which can make its
// aim leaves to late jobs.
func (p *plan) spare(service api.ServiceName, rate float64, now time.Time) float64 {
	if rate == 0 {
		return minSpare
	}
	used := p.loads[service].decayed(now) / loadTime.Seconds() / rate
	return max(1-used, minSpare)
}

func timeFor[N int | int64](count N, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(count) / rate * float64(time.Second))
}

// backlog is work that is not done: items, and the bytes of their results.
type backlog struct{ items, bytes int64 }

func (b *backlog) add(items int, bytes int64) {
	b.items += int64(items)
	b.bytes += int64(items) * bytes
}

// turnover returns the bytes of results a second for which the upstreams of a service
// have room, given how long results take it; 0 where that is not known.
func (p *plan) turnover(service api.ServiceName, now time.Time) float64 {
	var rate float64
	for _, w := range p.workers {
		if w.upstream.Service != service || !w.usable(now) {
			continue
		}
		if w.residence <= 0 {
			return 0
		}
		rate += (1 - w.margin) * float64(w.limits.ResultBytes) / w.residence.Seconds()
	}
	return rate
}

// ahead returns the work of a service that goes before a new job which can make its aim, and all that is not done.
func (p *plan) ahead(service api.ServiceName, job *Job, now time.Time) (before, all backlog) {
	for _, j := range p.jobs {
		for i := range j.stages {
			if j.stages[i].Service != service {
				continue
			}
			all.add(j.stages[i].left, j.stages[i].ResultBytes)
			if j.Rank <= job.Rank && !now.After(j.Aim) {
				before.add(j.stages[i].left, j.stages[i].ResultBytes)
			}
		}
	}
	return before, all
}

// rate returns the items per second of the upstreams of a service at full calls, and
// whether there is an upstream at all.
func (p *plan) rate(service api.ServiceName, now time.Time) (float64, bool) {
	var rate float64
	served := false
	for _, w := range p.workers {
		if w.upstream.Service != service || w.gone {
			continue
		}
		served = true
		if w.usable(now) {
			rate += w.rate()
		}
	}
	return rate, served
}
