package stage

import (
	"math"
	"time"

	"redwingloft/pkg/api"
)

// forecast is the expected time until the stages of a new job are done.
type forecast struct {
	// onTime counts only the work that runs before the job while it can meet its target, late
	// counts all known work.
	onTime, late time.Duration
	// served is false if a service has no upstream.
	served bool
}

// forecast estimates when a new job would be done: for each stage, the work ahead of it at the rate
// of its upstreams, plus its call. Work of blocked stages counts too, since it competes with the
// new job later.
func (p *plan) forecast(job *Job, now time.Time) forecast {
	f := forecast{served: true}
	onTime, late := make([]time.Duration, len(job.Stages)), make([]time.Duration, len(job.Stages))
	for i, spec := range job.Stages {
		if job.pending(i) == 0 {
			continue
		}
		rate, served := p.rate(spec.Service, now)
		if !served {
			return forecast{}
		}
		paused := p.pausedFor(spec.Service, now)
		ahead, all := p.workAhead(spec.Service, job, now)
		resultThroughput := p.resultThroughput(spec.Service, now)
		start, lateStart := paused, paused
		for _, needed := range spec.After {
			start, lateStart = max(start, onTime[needed]), max(lateStart, late[needed])
		}
		call := p.callTime(spec.Service)
		spareShare := p.spareShare(spec.Service, rate, now)
		onTime[i] = max(start, paused+timeFor(ahead.items, rate), paused+timeFor(ahead.bytes, resultThroughput)) + call
		late[i] = max(lateStart, paused+timeFor(all.items, rate*spareShare), paused+timeFor(all.bytes, resultThroughput*spareShare)) + call
		f.onTime, f.late = max(f.onTime, onTime[i]), max(f.late, late[i])
	}
	return f
}

// meetsTarget reports whether a new job can meet its target.
func (f forecast) meetsTarget(job *Job, now time.Time) bool {
	return !now.Add(f.onTime + firstEventTime).After(job.Target)
}

// accepts reports whether to start a new job: it can meet its target, or it can be done well within
// its deadline with the capacity that on-time jobs leave.
func (f forecast) accepts(job *Job, now time.Time) bool {
	return f.meetsTarget(job, now) || float64(f.late) <= lateDeadlineShare*float64(job.Deadline.Sub(now))
}

// load is an exponentially decaying count of the items of a service that were accepted to meet
// their target.
type load struct {
	items float64
	at    time.Time
}

// decayed returns the count decayed to now.
func (l load) decayed(now time.Time) float64 {
	return l.items * math.Exp(-now.Sub(l.at).Seconds()/loadDecayTime.Seconds())
}

// addLoad counts the items of a job that was accepted to meet its target.
func (p *plan) addLoad(job *Job, now time.Time) {
	for i, spec := range job.Stages {
		if pending := job.pending(i); pending > 0 {
			l := p.loads[spec.Service]
			p.loads[spec.Service] = load{l.decayed(now) + float64(pending), now}
		}
	}
}

// spareShare returns the share of a service's capacity that on-time work leaves to late jobs.
func (p *plan) spareShare(service api.ServiceName, rate float64, now time.Time) float64 {
	if rate == 0 {
		return minSpareShare
	}
	used := p.loads[service].decayed(now) / loadDecayTime.Seconds() / rate
	return max(1-used, minSpareShare)
}

func timeFor[N int | int64](count N, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(count) / rate * float64(time.Second))
}

// backlog is pending work: the number of items and the bytes of their results.
type backlog struct{ items, bytes int64 }

func (b *backlog) add(items int, bytes int64) {
	b.items += int64(items)
	b.bytes += int64(items) * bytes
}

// resultThroughput returns the bytes of results per second that the upstreams of a service can
// store, given the residence time of results; 0 if that is unknown.
func (p *plan) resultThroughput(service api.ServiceName, now time.Time) float64 {
	var rate float64
	for _, w := range p.workers {
		if w.upstream.Service != service || !p.usable(w, now) {
			continue
		}
		if w.residence <= 0 {
			return 0
		}
		rate += (1 - w.margin) * float64(w.limits.ResultCapacity) / w.residence.Seconds()
	}
	return rate
}

// workAhead returns the pending work of a service that runs before a new on-time job, and all of
// its pending work.
func (p *plan) workAhead(service api.ServiceName, job *Job, now time.Time) (ahead, all backlog) {
	for _, j := range p.jobs {
		for i := range j.stages {
			if j.stages[i].Service != service {
				continue
			}
			all.add(j.stages[i].remaining, j.stages[i].ResultBytes)
			if j.Rank <= job.Rank && !now.After(j.Target) {
				ahead.add(j.stages[i].remaining, j.stages[i].ResultBytes)
			}
		}
	}
	return ahead, all
}

// rate returns the items per second of a service's upstreams with full calls, and whether there is
// an upstream at all. If none is usable now, those count that will be after their pauses.
func (p *plan) rate(service api.ServiceName, now time.Time) (float64, bool) {
	var rate, later float64
	served := false
	for _, w := range p.workers {
		if w.upstream.Service != service || w.removed {
			continue
		}
		served = true
		switch {
		case p.usable(w, now):
			rate += p.itemRate(w, now)
		case w.usable(now):
			later += p.itemRate(w, now)
		}
	}
	if rate == 0 {
		rate = later
	}
	return rate, served
}

// usable reports whether an upstream counts towards the capacity of its service.
func (p *plan) usable(w *worker, now time.Time) bool {
	return w.usable(now) && p.throttle.Paused(w.upstream, now) == 0
}

// pausedFor returns the time until the first upstream of a service ends its pause, 0 if one has none.
func (p *plan) pausedFor(service api.ServiceName, now time.Time) time.Duration {
	var first time.Duration
	for _, w := range p.workers {
		if w.upstream.Service != service || w.removed {
			continue
		}
		paused := p.throttle.Paused(w.upstream, now)
		if paused == 0 {
			return 0
		}
		if first == 0 || paused < first {
			first = paused
		}
	}
	return first
}

// pausedForJob returns the time until each stage of a new job has an upstream without a pause.
func (p *plan) pausedForJob(job *Job, now time.Time) time.Duration {
	var last time.Duration
	for i, spec := range job.Stages {
		if job.pending(i) > 0 {
			last = max(last, p.pausedFor(spec.Service, now))
		}
	}
	return last
}

// itemRate returns the items per second of an upstream with full calls, within its limits.
func (p *plan) itemRate(w *worker, now time.Time) float64 {
	return min(w.rate(), p.throttle.RateAlone(w.upstream, now)*float64(w.limits.MaxItems))
}
