package forward

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/pkg/api"
)

const (
	// paceHalfLife is the time in which a known pace moves halfway back to the usual one. Upstreams
	// that share their machines are slow for half a second to some seconds.
	paceHalfLife = time.Second
	// paceWeight is the weight of a new measurement of the pace. One request in a hundred takes
	// several times as long as the others at any pace, so that one alone is weak evidence.
	paceWeight = 0.4
	// minPace and maxPace bound the pace as used in decisions.
	minPace, maxPace = 0.1, 20
	// loadHalfLife is the time in which the excess of a reported load over this host's own requests
	// halves. Many hosts send requests to the same upstream in that time.
	loadHalfLife = 300 * time.Millisecond
	// usualLatencyWeight is the weight of a new response in the usual response time of a service,
	// once it has had as many responses as the inverse of the weight.
	usualLatencyWeight = 0.02
)

// Pace is how long work takes at an upstream relative to the usual time, with its age.
type Pace struct {
	// Value is 1 at the usual pace and 2 where work takes twice as long; 0 means unknown.
	Value float64
	// At is the time of the last measurement.
	At time.Time
	// Reported is true if the upstream reports its pace, so that response times do not count.
	Reported bool
}

// Now returns the pace that is expected now. Without new measurements it returns to 1.
func (p *Pace) Now(now time.Time) float64 {
	if p.Value == 0 {
		return 1
	}
	return 1 + (p.Value-1)*halved(now.Sub(p.At), paceHalfLife)
}

// measure adds a measurement.
func (p *Pace) measure(value float64, now time.Time) {
	before := p.Now(now)
	p.Value, p.At = before+paceWeight*(min(max(value, minPace), maxPace)-before), now
}

// pace returns the pace that is expected now.
func (h *Health) pace(now time.Time) float64 {
	if h.Measured == nil {
		return 1
	}
	return h.Measured.Pace.Now(now)
}

// silence returns the time for which requests in flight have had no response, relative to the usual
// response time. It shows a slow upstream before the response does.
func (h *Health) silence(now time.Time) float64 {
	if h.Running <= 0 || h.Service == nil || h.Service.Usual <= 0 {
		return 0
	}
	return min(float64(now.UnixNano()-h.SilentSince)/float64(h.Service.Usual), maxPace)
}

// halved returns the share that remains after age of a quantity that halves in each halfLife.
func halved(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// ReportedLoad is the load that an upstream last reported.
type ReportedLoad struct {
	fleet.Load
	// At is when the report was received; zero if there was none.
	At time.Time
}

// open returns the number of requests that are expected to run or wait at the upstream: those of this
// host, and those of others by the last report, as far as it is recent.
func (h *Health) open(now time.Time) float64 {
	if h.Measured == nil || h.Measured.Load.At.IsZero() {
		return float64(h.Running)
	}
	l := &h.Measured.Load
	others := float64(l.Running + l.Waiting + h.LoadChange - h.Running)
	return float64(h.Running) + max(others, 0)*halved(now.Sub(l.At), loadHalfLife)
}

// reportedAt returns when the upstream last reported its load; zero if it has not.
func (h *Health) reportedAt() time.Time {
	if h.Measured == nil {
		return time.Time{}
	}
	return h.Measured.Load.At
}

// maxInvalidLoads bounds the upstreams whose invalid reports are logged.
const maxInvalidLoads = 256

// invalidLoads holds the upstreams whose invalid reports have been logged.
type invalidLoads struct {
	mu     sync.Mutex
	logged map[api.UpstreamID]bool
}

// first reports whether the invalid report of an upstream is to be logged.
func (l *invalidLoads) first(id api.UpstreamID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged[id] || len(l.logged) >= maxInvalidLoads {
		return false
	}
	if l.logged == nil {
		l.logged = map[api.UpstreamID]bool{}
	}
	l.logged[id] = true
	return true
}

// observeLoad records the load that a response reports.
func (p *Pool) observeLoad(upstream *fleet.Upstream, reply fleet.ResponseInfo) {
	switch {
	case reply.InvalidLoad != "":
		p.Metrics.Counter("load.invalid").Inc(1)
		if p.Log != nil && p.invalidLoads.first(upstream.ID) {
			p.Log.Warn().Str("upstream", string(upstream.ID)).Str("report", reply.InvalidLoad).Msg("load_report_invalid")
		}
	case reply.Load != nil && p.Health != nil:
		p.Health.ReportLoad(upstream, reply.Load, clock.Now())
	}
}

// slowPace is the pace from which an upstream counts as slow in metrics and logs.
const slowPace = 2

// SlowUpstreams returns the upstreams whose expected pace is at least slowPace, the slowest first.
func (t *HealthTable) SlowUpstreams(now time.Time) []PaceOf {
	t.mu.Lock()
	defer t.mu.Unlock()
	var slow []PaceOf
	for incarnation, h := range t.table {
		if pace := h.pace(now); pace >= slowPace {
			slow = append(slow, PaceOf{incarnation.ID, pace})
		}
	}
	slices.SortFunc(slow, func(a, b PaceOf) int { return cmp.Compare(b.Pace, a.Pace) })
	return slow
}

// PaceOf is the expected pace of one upstream.
type PaceOf struct {
	ID   api.UpstreamID
	Pace float64
}

// usualLatency is the mean response time of a service over all its upstreams.
type usualLatency struct {
	mean  time.Duration
	count int
}

// add adds a response time and returns it relative to the mean.
func (u *usualLatency) add(latency time.Duration) float64 {
	u.count++
	u.mean += time.Duration(max(1/float64(u.count), usualLatencyWeight) * float64(latency-u.mean))
	return float64(latency) / float64(max(u.mean, 1))
}

// ReportLoad records the load that an upstream reports in a response.
func (t *HealthTable) ReportLoad(u *fleet.Upstream, load *fleet.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.entry(u)
	h.LoadChange = 0
	h.change(func(m *Measured) {
		m.Load = ReportedLoad{Load: *load, At: now}
		if m.Pace.Reported = load.Pace > 0; m.Pace.Reported {
			m.Pace.measure(load.Pace, now)
		}
	})
}

// Late records that a short request has had no response after a time in which others are answered. The
// upstream may just be slow: its pace shows that for a moment, and only if most requests of all hosts
// are late does it count as failing. Without a usual response time it does at once. The request remains
// counted until End.
func (t *HealthTable) Late(u *fleet.Upstream, after time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(u, OutcomeLost)
	e := t.entry(u)
	if usual := e.service.usual.mean; usual > 0 {
		e.change(func(m *Measured) { m.Pace.measure(float64(after)/float64(usual), now) })
		return
	}
	t.record(&e.Health, OutcomeLost, 0, now)
}

// measurePace derives the pace of an upstream from a response time.
func (e *healthEntry) measurePace(latency time.Duration, now time.Time) {
	relative := e.service.usual.add(latency)
	e.service.publish()
	if e.Measured == nil || !e.Measured.Pace.Reported {
		e.change(func(m *Measured) { m.Pace.measure(relative, now) })
	}
}
