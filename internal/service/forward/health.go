package forward

import (
	"sync"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/pkg/api"
)

const (
	// latencyWeight is the weight of a new response in the moving average of the latency.
	latencyWeight = 0.2
	// failureWeight is the weight of a new outcome in the moving average of the failure rate.
	failureWeight = 0.25
	// failureHalfLife is the time in which the failure rate of an unused upstream halves.
	failureHalfLife = 3 * time.Second
	// minCooldown and maxCooldown bound how long an unreachable upstream is avoided. The
	// time doubles with each consecutive failure.
	minCooldown = 500 * time.Millisecond
	maxCooldown = 4 * time.Second
	// healthTTL is the time after which the health of an unused upstream is dropped.
	healthTTL = time.Minute
)

// Health holds this host's load on an upstream and its recent latency and failures.
type Health struct {
	// Running is the number of this host's requests in flight at the upstream.
	Running int
	// PendingTokens is the number of this host's prompt tokens that are waiting for prefill.
	PendingTokens int
	// Latency is the moving average of the response time; 0 before the first response.
	Latency time.Duration
	// FailureRate is the moving average of the failure rate, between 0 and 1, at the last outcome.
	FailureRate float64
	// CooldownUntil is the end of the cooldown of an unreachable upstream.
	CooldownUntil time.Time
	// UnreachableCount counts the consecutive failures to reach the upstream.
	UnreachableCount int
	// LastOutcome is the time of the last outcome.
	LastOutcome time.Time
	// LossRate is the moving average of the share of requests without a usable response, between 0
	// and 1, at the last outcome.
	LossRate float64
	// LoadChange is the number of this host's requests that have begun since the last report of the
	// upstream's load less those that have ended.
	LoadChange int
	// SilentSince is the time of the last outcome, or the time since which this host has had requests
	// in flight without interruption if that is later, in Unix nanoseconds.
	SilentSince int64
	// Measured holds the measurements of the upstream, and Service those of its service; nil if there
	// are none. They are not changed but replaced, since a choice copies the health of all candidates.
	Measured *Measured
	Service  *MeasuredService
}

// Measured holds measurements of an upstream.
type Measured struct {
	// Pace is how long work takes at the upstream.
	Pace Pace
	// Load is the load that the upstream last reported.
	Load ReportedLoad
	// Costs are the costs of work at an engine; zero if unknown.
	Costs EngineCosts
}

// MeasuredService holds measurements of a service over all its upstreams.
type MeasuredService struct {
	// Usual is the usual response time.
	Usual time.Duration
	// Costs are the costs of work at an engine; zero if unknown.
	Costs EngineCosts
}

// healthEntry is the health of one upstream with its measurements.
type healthEntry struct {
	Health
	// costs is nil before the first event of an engine.
	costs   *costEstimate
	service *serviceMeasures
}

// change replaces the measurements of an upstream.
func (e *healthEntry) change(change func(*Measured)) {
	measured := Measured{}
	if e.Measured != nil {
		measured = *e.Measured
	}
	change(&measured)
	e.Measured = &measured
}

// serviceMeasures computes the measurements of a service.
type serviceMeasures struct {
	usual usualLatency
	costs costEstimate
	// streams is set for services whose time to the first event depends on the prompt.
	streams bool
	// samples holds recent waits for first events; oldest is the index of the next to replace.
	samples []FirstEventSample
	oldest  int
	// published is replaced with each change.
	published *MeasuredService
}

func (m *serviceMeasures) publish() {
	m.published = &MeasuredService{Usual: m.usual.mean, Costs: m.costs.measured()}
}

// failureRate returns the failure rate, decayed since the last outcome.
func (h *Health) failureRate(now time.Time) float64 { return h.decayed(h.FailureRate, now) }

// lossRate returns the rate of losses, decayed since the last outcome.
func (h *Health) lossRate(now time.Time) float64 { return h.decayed(h.LossRate, now) }

func (h *Health) decayed(rate float64, now time.Time) float64 {
	age := now.Sub(h.LastOutcome)
	for ; age > failureHalfLife && rate > 0.01; age -= failureHalfLife {
		rate /= 2
	}
	return rate
}

// Outcome is the effect of an attempt on the health of its upstream.
type Outcome string

// The outcomes of attempts.
const (
	// OutcomeAnswered: a successful response.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed: an error response.
	OutcomeFailed Outcome = "failed"
	// OutcomeLost: no usable response, although the request may have run.
	OutcomeLost Outcome = "lost"
	// OutcomeRefused: the upstream did not run the request.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnreachable: no connection could be opened.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeCancelled: the caller disconnected; the health stays as it is.
	OutcomeCancelled Outcome = "cancelled"
)

// HealthTable holds the health of all upstreams. The zero value is ready to use.
type HealthTable struct {
	mu    sync.Mutex
	table map[fleet.Incarnation]*healthEntry
	// observed holds the outcomes since the last call to Observations.
	observed map[fleet.Incarnation]*Observation
	// shared holds the failure rates over all hosts, received at sharedAt.
	shared   map[fleet.Incarnation]float64
	sharedAt time.Time
	services map[api.ServiceName]*serviceMeasures
}

// Observation counts the outcomes of attempts at one upstream.
type Observation struct {
	fleet.Incarnation
	OK     int `json:"ok"`
	Failed int `json:"failed"`
}

// Rate is the share of failed attempts at one upstream, between 0 and 1.
type Rate struct {
	fleet.Incarnation
	FailureRate float64 `json:"failures"`
}

// sharedTTL is how long shared failure rates are used; they arrive twice a second.
const sharedTTL = 2 * time.Second

// Observations returns the outcomes since its last call and resets them.
func (t *HealthTable) Observations() []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Observation, 0, len(t.observed))
	for _, o := range t.observed {
		list = append(list, *o)
	}
	t.observed = nil
	return list
}

// SetSharedRates replaces the failure rates that were computed over all hosts.
func (t *HealthTable) SetSharedRates(rates []Rate, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shared, t.sharedAt = make(map[fleet.Incarnation]float64, len(rates)), now
	for _, rate := range rates {
		t.shared[rate.Incarnation] = rate.FailureRate
	}
}

// observe counts an outcome for Observations. t.mu must be held.
func (t *HealthTable) observe(u *fleet.Upstream, outcome Outcome) {
	if outcome == OutcomeCancelled || outcome == OutcomeRefused {
		return
	}
	if t.observed == nil {
		t.observed = map[fleet.Incarnation]*Observation{}
	}
	o := t.observed[u.Incarnation()]
	if o == nil {
		o = &Observation{Incarnation: u.Incarnation()}
		t.observed[u.Incarnation()] = o
	}
	if outcome == OutcomeAnswered {
		o.OK++
	} else {
		o.Failed++
	}
}

func (t *HealthTable) entry(u *fleet.Upstream) *healthEntry {
	if t.table == nil {
		t.table, t.services = map[fleet.Incarnation]*healthEntry{}, map[api.ServiceName]*serviceMeasures{}
	}
	h := t.table[u.Incarnation()]
	if h == nil {
		service := t.services[u.Service]
		if service == nil {
			service = &serviceMeasures{}
			t.services[u.Service] = service
		}
		h = &healthEntry{service: service}
		t.table[u.Incarnation()] = h
	}
	return h
}

// Get returns a copy of the health of an upstream. The failure rate over all hosts is used
// if it is higher than this host's.
func (t *HealthTable) Get(u *fleet.Upstream) Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	var h Health
	t.copyTo(&h, u)
	return h
}

// Fill sets the health of all candidates.
func (t *HealthTable) Fill(candidates []Candidate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range candidates {
		t.copyTo(&candidates[i].Health, candidates[i].Upstream)
	}
}

// copyTo copies the health of an upstream to h. t.mu must be held.
func (t *HealthTable) copyTo(h *Health, u *fleet.Upstream) {
	e := t.entry(u)
	*h = e.Health
	h.Service = e.service.published
	if len(t.shared) == 0 {
		return
	}
	if shared := t.shared[u.Incarnation()]; shared > 0 {
		now := clock.Now()
		if now.Sub(t.sharedAt) < sharedTTL && shared > h.failureRate(now) {
			h.FailureRate, h.LossRate, h.LastOutcome = shared, max(shared, h.lossRate(now)), now
		}
	}
}

// Begin counts a request that is sent to an upstream.
func (t *HealthTable) Begin(u *fleet.Upstream, tokens int) { t.begin(u, tokens, clock.Now()) }

func (t *HealthTable) begin(u *fleet.Upstream, tokens int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.entry(u)
	if h.Running == 0 {
		h.SilentSince = now.UnixNano()
	}
	h.Running++
	h.LoadChange++
	h.PendingTokens += tokens
}

// Prefilled removes the prompt tokens of a request from the pending prefill work.
func (t *HealthTable) Prefilled(u *fleet.Upstream, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(u).PendingTokens -= tokens
}

// Stalled records that a request makes no progress. The request remains counted until End, whose
// outcome is then OutcomeCancelled if the request is given up.
func (t *HealthTable) Stalled(u *fleet.Upstream, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(u, OutcomeLost)
	t.record(&t.entry(u).Health, OutcomeLost, 0, now)
}

// End records the outcome of a request; latency is its response time, 0 if unknown.
func (t *HealthTable) End(u *fleet.Upstream, outcome Outcome, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.entry(u)
	h.Running--
	h.SilentSince = now.UnixNano()
	h.LoadChange--
	t.observe(u, outcome)
	t.record(&h.Health, outcome, latency, now)
	if outcome == OutcomeAnswered && latency > 0 && !h.service.streams {
		h.measurePace(latency, now)
	}
}

func (t *HealthTable) record(h *Health, outcome Outcome, latency time.Duration, now time.Time) {
	rate, losses := h.failureRate(now), h.lossRate(now)
	switch outcome {
	case OutcomeCancelled:
		return
	case OutcomeAnswered:
		rate -= failureWeight * rate
		losses -= failureWeight * losses
		h.UnreachableCount, h.CooldownUntil = 0, time.Time{}
		if latency > 0 && h.Latency == 0 {
			h.Latency = latency
		} else if latency > 0 {
			h.Latency += time.Duration(latencyWeight * float64(latency-h.Latency))
		}
	case OutcomeRefused:
		rate += failureWeight * (1 - rate) / 2
		h.UnreachableCount = 0
	case OutcomeFailed:
		rate += failureWeight * (1 - rate)
	case OutcomeLost:
		rate += failureWeight * (1 - rate)
		losses += failureWeight * (1 - losses)
	case OutcomeUnreachable:
		rate += failureWeight * (1 - rate)
		h.CooldownUntil = now.Add(min(minCooldown<<min(h.UnreachableCount, 8), maxCooldown))
		h.UnreachableCount++
	}
	h.FailureRate, h.LossRate, h.LastOutcome = rate, losses, now
}

// Sweep drops the health of upstreams that have not been used recently.
func (t *HealthTable) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := map[*serviceMeasures]bool{}
	for incarnation, h := range t.table {
		if h.costs != nil && h.costs.expire(now) {
			h.change(func(m *Measured) { m.Costs = EngineCosts{} })
		}
		if h.Running == 0 && now.Sub(h.LastOutcome) > healthTTL && now.Sub(h.reportedAt()) > healthTTL {
			delete(t.table, incarnation)
			continue
		}
		used[h.service] = true
	}
	for name, service := range t.services {
		if !used[service] {
			delete(t.services, name)
		} else if service.costs.expire(now) {
			service.publish()
		}
	}
}
