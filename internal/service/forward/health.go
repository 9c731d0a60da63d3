package forward

import (
	"sync"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
)

const (
	// latencyWeight is the weight of one more answer in the mean latency.
	latencyWeight = 0.2
	// failureWeight is the weight of one more outcome in the failure rate.
	failureWeight = 0.25
	// failureHalfLife is the time in which an unused upstream is forgiven half of its failures.
	failureHalfLife = 3 * time.Second
	// firstCooldown and lastCooldown bound how long an upstream that can't be reached is
	// left alone. The time doubles with each failure in a row.
	firstCooldown = 500 * time.Millisecond
	lastCooldown  = 4 * time.Second
	// forgetAfter is when the health of an unused upstream is dropped.
	forgetAfter = time.Minute
)

// Health is what a host has seen of one upstream.
type Health struct {
	// Running is the number of this host's requests at the upstream.
	Running int
	// Tokens is the number of prompt tokens of this host's requests that are not answered yet.
	Tokens int
	// Latency is the mean time to an answer; 0 until one was seen.
	Latency time.Duration
	// Failures is the recent share of failed attempts, between 0 and 1, as of Seen.
	Failures float64
	// Until is the end of the cooldown of an upstream that can't be reached.
	Until time.Time
	// Unreachable counts the failures to reach it in a row.
	Unreachable int
	// Seen is the time of the last outcome.
	Seen time.Time
}

// failureRate returns the share of failures with its age taken into account.
func (h *Health) failureRate(now time.Time) float64 {
	age := now.Sub(h.Seen)
	rate := h.Failures
	for ; age > failureHalfLife && rate > 0.01; age -= failureHalfLife {
		rate /= 2
	}
	return rate
}

// Outcome is what an attempt tells of its upstream.
type Outcome string

// The outcomes of attempts.
const (
	// OutcomeAnswered: a proper answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed: an answer that tells of a failure, or a broken one.
	OutcomeFailed Outcome = "failed"
	// OutcomeRefused: the upstream did not run the request.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnreachable: no connection, or one that went silent.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeCancelled: the caller left, which tells nothing of the upstream.
	OutcomeCancelled Outcome = "cancelled"
)

// HealthTable holds the health of all upstreams. The zero value works.
type HealthTable struct {
	mu    sync.Mutex
	table map[fleet.Incarnation]*Health
	// seen holds the outcomes since the last call of Observations.
	seen map[fleet.Incarnation]*Observation
	// shared holds the failure rates that all hosts see, as of learned.
	shared  map[fleet.Incarnation]float64
	learned time.Time
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
	Failures float64 `json:"failures"`
}

// sharedLife is how long failure rates of all hosts count; they come twice a second.
const sharedLife = 2 * time.Second

// Observations returns the outcomes since its last call.
func (t *HealthTable) Observations() []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Observation, 0, len(t.seen))
	for _, o := range t.seen {
		list = append(list, *o)
	}
	t.seen = nil
	return list
}

// Learn takes the failure rates that all hosts see.
func (t *HealthTable) Learn(rates []Rate, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shared, t.learned = make(map[fleet.Incarnation]float64, len(rates)), now
	for _, rate := range rates {
		t.shared[rate.Incarnation] = rate.Failures
	}
}

// observe counts an outcome for the other hosts. The caller holds mu.
func (t *HealthTable) observe(u *fleet.Upstream, outcome Outcome) {
	if outcome == OutcomeCancelled || outcome == OutcomeRefused {
		return
	}
	if t.seen == nil {
		t.seen = map[fleet.Incarnation]*Observation{}
	}
	o := t.seen[u.Incarnation()]
	if o == nil {
		o = &Observation{Incarnation: u.Incarnation()}
		t.seen[u.Incarnation()] = o
	}
	if outcome == OutcomeAnswered {
		o.OK++
	} else {
		o.Failed++
	}
}

func (t *HealthTable) of(u *fleet.Upstream) *Health {
	if t.table == nil {
		t.table = map[fleet.Incarnation]*Health{}
	}
	found := t.table[u.Incarnation()]
	if found == nil {
		found = &Health{}
		t.table[u.Incarnation()] = found
	}
	return found
}

// Get returns a copy of the health of an upstream, with the failures that all hosts see
// where they are more.
func (t *HealthTable) Get(u *fleet.Upstream) Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := *t.of(u)
	if shared := t.shared[u.Incarnation()]; shared > 0 {
		now := clock.Now()
		if now.Sub(t.learned) < sharedLife && shared > h.failureRate(now) {
			h.Failures, h.Seen = shared, now
		}
	}
	return h
}

// Begin notes a request that goes to an upstream.
func (t *HealthTable) Begin(u *fleet.Upstream, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.of(u)
	h.Running++
	h.Tokens += tokens
}

// Prefilled notes that the prompt of a request was read.
func (t *HealthTable) Prefilled(u *fleet.Upstream, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(u).Tokens -= tokens
}

// End notes the end of a request; latency is the time to its answer.
func (t *HealthTable) End(u *fleet.Upstream, outcome Outcome, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.of(u)
	h.Running--
	t.observe(u, outcome)
	t.note(h, outcome, latency, now)
}

func (t *HealthTable) note(h *Health, outcome Outcome, latency time.Duration, now time.Time) {
	rate := h.failureRate(now)
	switch outcome {
	case OutcomeCancelled:
		return
	case OutcomeAnswered:
		rate -= failureWeight * rate
		h.Unreachable, h.Until = 0, time.Time{}
		if latency > 0 && h.Latency == 0 {
			h.Latency = latency
		} else if latency > 0 {
			h.Latency += time.Duration(latencyWeight * float64(latency-h.Latency))
		}
	case OutcomeRefused:
		rate += failureWeight * (1 - rate) / 2
		h.Unreachable = 0
	case OutcomeFailed:
		rate += failureWeight * (1 - rate)
	case OutcomeUnreachable:
		rate += failureWeight * (1 - rate)
		h.Until = now.Add(min(firstCooldown<<min(h.Unreachable, 8), lastCooldown))
		h.Unreachable++
	}
	h.Failures, h.Seen = rate, now
}

// Sweep forgets upstreams that were not used for long.
func (t *HealthTable) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation, h := range t.table {
		if h.Running == 0 && now.Sub(h.Seen) > forgetAfter {
			delete(t.table, incarnation)
		}
	}
}
