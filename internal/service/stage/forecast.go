package stage

import (
	"math"
	"time"

	"redwingloft/pkg/api"
)

// decision is the outcome of the admission of a job.
type decision struct {
	forecast
	accepted   bool
	reason     refusalReason
	retryAfter time.Duration
}

// refusalReason is the reason why a job is refused.
type refusalReason string

// Reasons why a job is refused.
const (
	refusedNoUpstream refusalReason = "no_upstream"
	// refusedTime: the job can't be done in time.
	refusedTime refusalReason = "time"
	// refusedShare: its workspace has more than its share, and the job can't be done in time with the
	// capacity that others leave.
	refusedShare refusalReason = "share"
)

// admit decides whether to start a job. It marks the job as late if it can't meet its target, or if
// its workspace has more than its share while jobs of its rank are refused.
func (p *plan) admit(job *Job, now time.Time) decision {
	f := p.forecast(job, now)
	if !f.served {
		return decision{forecast: f, reason: refusedNoUpstream, retryAfter: minRetryAfter}
	}
	p.addLoad(job, false, now)
	key := shareKey{job.Rank, job.Workspace}
	p.shares.demand(key, f.work, now)
	onTime, exceeded := f.meetsTarget(job, now), p.shares.exceeded(key, now)
	job.Late = !onTime || exceeded
	if (onTime && !exceeded) || f.acceptsLate(job, now) || f.finishes(job, now) {
		p.addLoad(job, true, now)
		p.shares.accept(key, f.work, now)
		return decision{forecast: f, accepted: true}
	}
	p.shares.refusedAt[job.Rank] = now
	reason := refusedTime
	if onTime {
		reason = refusedShare
	}
	return decision{forecast: f, reason: reason, retryAfter: max(p.retryDelay(f, job, exceeded, now), p.pausedForJob(job, now))}
}

// retryDelay returns the time after which a refused caller may retry: when its job is expected to be
// accepted, behind the callers that were refused before. Those return at the pace that the offered load
// leaves, so a caller that retries early or often only gets a later time. A caller does not wait for
// more than a third of its remaining time, so one that is told to gets no place, and neither does one
// whose workspace has more than its share.
func (p *plan) retryDelay(f forecast, job *Job, exceeded bool, now time.Time) time.Duration {
	left := job.Deadline.Sub(now)
	onTimeWait := f.onTime + firstEventTime - job.Target.Sub(now)
	// While the caller waits, the time that the late forecast may take shrinks too.
	lateWait := time.Duration((float64(f.late) - lateDeadlineShare*float64(left)) / (1 - lateDeadlineShare))
	wait := min(onTimeWait, lateWait)
	if exceeded {
		wait = lateWait
	}
	returnAt := now.Add(max(wait, minRetryAfter))
	for rank, next := range p.nextReturn {
		if rank <= job.Rank && next.After(returnAt) {
			returnAt = next
		}
	}
	delay := min(returnAt.Sub(now), maxRetryAfter)
	if delay <= left/callerWaitShare && !exceeded {
		p.nextReturn[job.Rank] = returnAt.Add(f.own)
	}
	return delay
}

// forecast is the expected time until the stages of a new job are done.
type forecast struct {
	// onTime counts the work that runs before the job while it can meet its target, late that which
	// runs before it afterwards.
	onTime, late time.Duration
	// own is the time that the work of the job takes of the capacity that more urgent work leaves of
	// its scarcest service.
	own time.Duration
	// work is the time, in seconds, that the work of the job takes of the whole capacity of its
	// scarcest service.
	work float64
	// served is false if a service has no upstream.
	served bool
}

// forecast estimates when a new job would be done: for each stage, the work ahead of it at the rate
// of its upstreams, plus its call. Work of blocked stages counts too, since it competes with the
// new job later.
func (p *plan) forecast(job *Job, now time.Time) forecast {
	f := forecast{served: true}
	onTime, late := make([]time.Duration, len(job.Stages)), make([]time.Duration, len(job.Stages))
	ahead, all := p.workAhead(job, now)
	for i, spec := range job.Stages {
		if job.pending(i) == 0 {
			continue
		}
		rate, served := p.rate(spec.Service, now)
		if !served {
			return forecast{}
		}
		paused := p.pausedFor(spec.Service, now)
		resultThroughput := p.resultThroughput(spec.Service, now)
		start, lateStart := paused, paused
		for _, needed := range spec.After {
			start, lateStart = max(start, onTime[needed]), max(lateStart, late[needed])
		}
		call := p.callTime(spec.Service)
		spareItems, spareBytes := p.spareShares(spec.Service, job.Rank, rate, resultThroughput, now)
		urgentBytes := p.urgentShare(spec.Service, job.Rank, resultThroughput, now)
		onTime[i] = max(start, paused+timeFor(ahead[i].items, rate), paused+timeFor(ahead[i].bytes, resultThroughput*urgentBytes)) + call
		late[i] = max(lateStart, paused+timeFor(all[i].items, rate*spareItems), paused+timeFor(all[i].bytes, resultThroughput*spareBytes)) + call
		work := backlog{}
		work.add(job.pending(i), spec.ResultBytes)
		f.work = max(f.work, timeFor(work.items, rate).Seconds(), timeFor(work.bytes, resultThroughput).Seconds())
		f.own = max(f.own, timeFor(work.items, rate*spareItems), timeFor(work.bytes, resultThroughput*spareBytes))
		f.onTime, f.late = max(f.onTime, onTime[i]), max(f.late, late[i])
	}
	return f
}

// meetsTarget reports whether a new job can meet its target. The deadline comes earlier if the submitting
// host stops.
func (f forecast) meetsTarget(job *Job, now time.Time) bool {
	return !now.Add(f.onTime+firstEventTime).After(job.Target) && !now.Add(f.onTime).After(job.Deadline)
}

// accepts reports whether to start a new job: it can meet its target, or it can be done well within
// its deadline with the capacity that on-time jobs leave.
func (f forecast) accepts(job *Job, now time.Time) bool {
	return f.meetsTarget(job, now) || f.acceptsLate(job, now)
}

// acceptsLate reports whether the job can be done well within its deadline as a late one.
func (f forecast) acceptsLate(job *Job, now time.Time) bool {
	return float64(f.late) <= lateDeadlineShare*float64(job.Deadline.Sub(now))
}

// finishes reports whether a job that another scheduling host has begun can be done by its deadline.
func (f forecast) finishes(job *Job, now time.Time) bool {
	return len(job.Stored) > 0 && !now.Add(f.onTime+firstEventTime).After(job.Deadline)
}

// load holds exponentially decaying sums of the items of a service and of the bytes of their results.
type load struct {
	items, bytes float64
	at           time.Time
}

// loadKey identifies the load of a service by the jobs of a rank: those that arrived, or those of them
// that were accepted.
type loadKey struct {
	service  api.ServiceName
	rank     int
	accepted bool
}

// decayed returns the load decayed to now.
func (l load) decayed(now time.Time) load {
	factor := math.Exp(-now.Sub(l.at).Seconds() / loadDecayTime.Seconds())
	return load{l.items * factor, l.bytes * factor, now}
}

// addLoad counts the items of a job that arrived or was accepted.
func (p *plan) addLoad(job *Job, accepted bool, now time.Time) {
	for i, spec := range job.Stages {
		if pending := job.pending(i); pending > 0 {
			key := loadKey{spec.Service, job.Rank, accepted}
			l := p.loads[key].decayed(now)
			l.items += float64(pending)
			l.bytes += float64(pending) * float64(spec.ResultBytes)
			p.loads[key] = l
		}
	}
}

// urgentShare returns the share of a service's result throughput that the future work of more urgent
// ranks leaves to on-time jobs of a rank, if they continue at the rate at which they are accepted.
func (p *plan) urgentShare(service api.ServiceName, rank int, resultThroughput float64, now time.Time) float64 {
	used := p.loadOf(now, func(key loadKey) bool { return key.service == service && key.accepted && key.rank < rank })
	return spareShare(used.bytes, resultThroughput)
}

// spareShares returns the shares of a service's item rate and result throughput that more urgent work
// leaves to late jobs of a rank. Refused jobs count too: if only accepted ones did, late jobs that take
// the room of on-time ones would lower the load that keeps them out.
func (p *plan) spareShares(service api.ServiceName, rank int, rate, resultThroughput float64, now time.Time) (items, bytes float64) {
	late := class(rank, true)
	used := p.loadOf(now, func(key loadKey) bool {
		return key.service == service && !key.accepted && class(key.rank, false) <= late
	})
	return spareShare(used.items, rate), spareShare(used.bytes, resultThroughput)
}

// loadOf returns the sum of the loads that match.
func (p *plan) loadOf(now time.Time, match func(loadKey) bool) load {
	sum := load{at: now}
	for key, l := range p.loads {
		if match(key) {
			l = l.decayed(now)
			sum.items += l.items
			sum.bytes += l.bytes
		}
	}
	return sum
}

// spareShare returns the share of a rate that the used part leaves to late jobs.
func spareShare(used, rate float64) float64 {
	if rate == 0 {
		return minSpareShare
	}
	return max(1-used/loadDecayTime.Seconds()/rate, minSpareShare)
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

// workAhead returns, for each stage of a new job, the pending work of its service that runs before
// it while it is on time, and while it is late.
func (p *plan) workAhead(job *Job, now time.Time) (ahead, all []backlog) {
	ahead, all = make([]backlog, len(job.Stages)), make([]backlog, len(job.Stages))
	onTimeClass, lateClass := class(job.Rank, false), class(job.Rank, true)
	for _, j := range p.jobs {
		class := class(j.Rank, (j.Late || now.After(j.Target)) && !j.holdsPartialStage())
		if class > lateClass {
			continue
		}
		for i := range j.stages {
			st := &j.stages[i]
			if st.remaining == 0 {
				continue
			}
			for k := range job.Stages {
				if st.Service != job.Stages[k].Service {
					continue
				}
				bytes := st.ResultBytes
				if bytes > skippedSizeRatio*job.Stages[k].ResultBytes {
					bytes = 0
				}
				all[k].add(st.remaining, bytes)
				if class <= onTimeClass {
					ahead[k].add(st.remaining, bytes)
				}
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
