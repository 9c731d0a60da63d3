package forward

import (
	"math"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
)

const (
	// costHalfLife is the time in which the weight of a response in the measured costs halves.
	costHalfLife = 30 * time.Second
	// minCostSamples is the weight of the responses from which measured costs are used.
	minCostSamples = 16
	// costTTL is the age of the last response from which they are no longer used.
	costTTL = 2 * time.Minute
	// priorCostWeight is the weight of the assumed costs in a measurement. One host often sends no
	// two requests at once to an engine, so that its responses say nothing about running requests.
	priorCostWeight = 4
	// maxCostError bounds the difference between a response and its prediction, in mean differences.
	// A response that waited for a stalled engine says nothing about its speed.
	maxCostError = 2
	// costErrorWeight is the weight of a response in the mean difference.
	costErrorWeight = 0.1
	// costTokenUnit is the number of prompt tokens that count as one unit, so that the terms of a
	// measurement have about the same size.
	costTokenUnit = 1000
)

// Bounds of the measured costs, far beyond those of known engines.
const (
	minTokenCost, maxTokenCost     = time.Microsecond, 2 * time.Millisecond
	minRequestCost, maxRequestCost = 100 * time.Microsecond, 200 * time.Millisecond
)

// EngineCosts are the costs of work at an engine, in seconds.
type EngineCosts struct {
	// Token is the time to read a prompt token.
	Token float64
	// Request is the delay that one running request adds to the first event of others.
	Request float64
}

// assumedCosts are used until there are measurements.
var assumedCosts = EngineCosts{Token: 1 / prefillRate / 1000, Request: requestCost.Seconds()}

// FirstEvent is a response of an engine, with what is known of the load at its start.
type FirstEvent struct {
	// Tokens is the number of prompt tokens that the engine presumably read before the event: those
	// that it does not keep, with those of this host's requests before it.
	Tokens int
	// Running is the number of this host's requests that were running at the engine.
	Running int
	// Rank is the priority at the engine; 0 is the highest.
	Rank int
	// Read is the part of Tokens that belongs to the request.
	Read int
	// Took is the time from the start of the attempt.
	Took time.Duration
	// Route is the route of the request, and Prepared the time from its arrival to the start of the
	// attempt.
	Route    fleet.RouteName
	Prepared time.Duration
}

// sample returns the evidence for forecasts.
func (f *FirstEvent) sample(u *fleet.Upstream, wait time.Duration, now time.Time) FirstEventSample {
	return FirstEventSample{Engine: u.ID, Route: f.Route, At: now, Wait: wait, Prepared: f.Prepared, Rank: f.Rank}
}

// readTime returns the time to read tokens of a prompt; 0 if it is not measured.
func readTime(costs EngineCosts, tokens int) time.Duration {
	return time.Duration(costs.Token * float64(tokens) * float64(time.Second))
}

// costEstimate measures the costs of work by least squares: took = base + tokens x Token + running x
// Request, with the assumed costs as additional samples. Older responses have less weight.
type costEstimate struct {
	// normal is the upper triangle of the normal matrix, and right the right side.
	normal [3][3]float64
	right  [3]float64
	weight float64
	at     time.Time
	base   float64
	costs  EngineCosts
	// difference is the mean difference between responses and their predictions.
	difference float64
}

// add adds a response.
func (e *costEstimate) add(f *FirstEvent, now time.Time) {
	factor := halved(now.Sub(e.at), costHalfLife)
	x := [3]float64{1, float64(f.Tokens) / costTokenUnit, float64(f.Running)}
	took := f.Took.Seconds()
	if e.weight >= minCostSamples {
		predicted := e.predict(f)
		limit := maxCostError * e.difference
		difference := min(max(took-predicted, -limit), limit)
		took = predicted + difference
		// The difference grows where responses are cut off, so that a lasting change is followed.
		e.difference += costErrorWeight * (math.Abs(difference) - e.difference)
	}
	for i := range x {
		for k := i; k < len(x); k++ {
			e.normal[i][k] = e.normal[i][k]*factor + x[i]*x[k]
		}
		e.right[i] = e.right[i]*factor + x[i]*took
	}
	e.weight, e.at = e.weight*factor+1, now
	if e.weight < minCostSamples {
		return
	}
	first := e.costs == EngineCosts{}
	e.solve()
	if first {
		e.difference = e.right[0] / e.normal[0][0]
	}
}

// predict returns the expected time to the first event in seconds; 0 if it is not known.
func (e *costEstimate) predict(f *FirstEvent) float64 {
	if e.weight < minCostSamples {
		return 0
	}
	return e.base + float64(f.Tokens)*e.costs.Token + float64(f.Running)*e.costs.Request
}

// solve computes the costs. It eliminates the base first, and then one of two unknowns.
func (e *costEstimate) solve() {
	prior := [3]float64{0, assumedCosts.Token * costTokenUnit, assumedCosts.Request}
	m, r := e.normal, e.right
	for i := 1; i < 3; i++ {
		m[i][i] += priorCostWeight
		r[i] += priorCostWeight * prior[i]
	}
	a, b, c := m[1][1]-m[0][1]*m[0][1]/m[0][0], m[1][2]-m[0][1]*m[0][2]/m[0][0], m[2][2]-m[0][2]*m[0][2]/m[0][0]
	p, q := r[1]-m[0][1]*r[0]/m[0][0], r[2]-m[0][2]*r[0]/m[0][0]
	determinant := a*c - b*b
	if determinant <= 0 || math.IsNaN(determinant) {
		return
	}
	token, request := (p*c-q*b)/determinant, (a*q-b*p)/determinant
	e.costs = EngineCosts{
		Token:   min(max(token/costTokenUnit, minTokenCost.Seconds()), maxTokenCost.Seconds()),
		Request: min(max(request, minRequestCost.Seconds()), maxRequestCost.Seconds()),
	}
	e.base = max((r[0]-m[0][1]*e.costs.Token*costTokenUnit-m[0][2]*e.costs.Request)/m[0][0], 0)
}

// measured returns the costs; zero if they are not known.
func (e *costEstimate) measured() EngineCosts {
	if e.weight < minCostSamples {
		return EngineCosts{}
	}
	return e.costs
}

// expire drops a measurement whose last response is too old and reports whether it did.
func (e *costEstimate) expire(now time.Time) bool {
	if e.weight == 0 || now.Sub(e.at) <= costTTL {
		return false
	}
	*e = costEstimate{}
	return true
}

// RecordFirstEvent measures the costs of work from the first event of a response.
func (t *HealthTable) RecordFirstEvent(u *fleet.Upstream, f *FirstEvent, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(u)
	e.service.streams = true
	if predicted := e.service.costs.predict(f); predicted > 0 && (e.Measured == nil || !e.Measured.Pace.Reported) {
		e.change(func(m *Measured) { m.Pace.measure(f.Took.Seconds()/predicted, now) })
	}
	e.service.addSample(f.sample(u, max(f.Took-readTime(e.service.costs.measured(), f.Read), 0), now))
	if e.costs == nil {
		e.costs = &costEstimate{}
	}
	e.costs.add(f, now)
	e.service.costs.add(f, now)
	e.service.publish()
	if e.costs.weight >= minCostSamples {
		e.change(func(m *Measured) { m.Costs = e.costs.costs })
	}
}

// loadAtStart returns what is known of the load of an engine before an attempt begins.
func (s *streamCall) loadAtStart(upstream *fleet.Upstream) FirstEvent {
	health, read := s.Health.Get(upstream), max(s.request.PromptTokens-int(s.keptTokens.Load()), 0)
	return FirstEvent{
		Tokens: health.PendingTokens + read, Read: read, Running: health.Running, Rank: s.rank.ForEngine(),
		Route: s.route.Name, Prepared: clock.Now().Sub(s.request.Received),
	}
}

// recordFirstEvent records the first event of an attempt.
func (s *streamCall) recordFirstEvent(upstream *fleet.Upstream, took time.Duration) {
	s.Health.Prefilled(upstream, s.request.PromptTokens)
	f := s.atStart
	f.Took = took
	s.Health.RecordFirstEvent(upstream, &f, clock.Now())
}

// engineCosts returns the costs of work at an engine: its own, those of its service, or the assumed ones.
func (h *Health) engineCosts() EngineCosts {
	switch {
	case h.Measured != nil && h.Measured.Costs.Token > 0:
		return h.Measured.Costs
	case h.Service != nil && h.Service.Costs.Token > 0:
		return h.Service.Costs
	}
	return assumedCosts
}

// serviceCosts returns the costs of work at the engines of a service, or the assumed ones.
func (h *Health) serviceCosts() EngineCosts {
	if h.Service != nil && h.Service.Costs.Token > 0 {
		return h.Service.Costs
	}
	return assumedCosts
}
