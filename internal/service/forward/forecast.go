package forward

import (
	"fmt"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// forecastAge is the age up to which a response is evidence for the present load of engines. The
	// load of a burst lasts for some seconds.
	forecastAge = 3 * time.Second
	// minForecastRetryAfter is the time in which half of the evidence is replaced. A caller that returns
	// earlier would be refused again.
	minForecastRetryAfter = forecastAge / 2
	// minForecastSamples is the number of responses that a refusal requires, from as many engines if
	// there are as many candidates: one engine may stop while the others are idle.
	minForecastSamples = 4
	// lateFactor is the number of late responses for each one in time from which requests are refused.
	// Engines that drop requests whose callers have given up always serve some just in time. A lower
	// factor refuses requests that are served late otherwise.
	lateFactor = 6
	// maxForecastSamples bounds the responses that are kept for a service.
	maxForecastSamples = 32
)

// FirstEventSample is the wait for the first event of a recent response.
type FirstEventSample struct {
	Engine api.UpstreamID
	Route  fleet.RouteName
	// At is the time of the event, or of the end of the attempt.
	At time.Time
	// Wait is the time from the start of the attempt to the event without that for reading the prompt.
	Wait time.Duration
	// Prepared is the time from the arrival of the request to the start of the attempt.
	Prepared time.Duration
	// Rank is the priority at the engine; 0 is the highest.
	Rank int
	// Ended is true if the attempt ended without an event, so that the wait would have been longer.
	Ended bool
}

// ForecastRequest is what a forecast needs to know of a new request.
type ForecastRequest struct {
	Route fleet.RouteName
	// Rank is the priority at the engine.
	Rank int
	// Read is the least time to read the prompt.
	Read time.Duration
	// Left is the time until the caller gives up.
	Left time.Duration
}

// Forecast is the time to the first event of a new request.
type Forecast struct {
	// Prepare and Wait are the least recent times of the stages and of the wait at engines; 0 means
	// unknown.
	Prepare, Wait time.Duration
	// FirstEvent is their sum with the time to read the prompt.
	FirstEvent time.Duration
	// Samples and Engines count the evidence.
	Samples, Engines int
	// Refuse is true if the first event would come too late.
	Refuse bool
}

// reason returns the reason for a refusal.
func (f *Forecast) reason(left time.Duration) string {
	return fmt.Sprintf("the first event takes %.3fs (stages %.3fs, engines %.3fs, the least of %d responses of %d engines), but the caller gives up in %.3fs",
		f.FirstEvent.Seconds(), f.Prepare.Seconds(), f.Wait.Seconds(), f.Samples, f.Engines, left.Seconds())
}

// ForecastFirstEvent decides whether the first event of a request can be produced in time. A host sees
// only its own part of the load, so that its requests in flight say little; the waits of its
// responses reflect the load of all hosts. Only waits of requests that were as urgent count, since
// engines serve others later, and only stages of the same route. It errs on the side of serving: nearly
// all recent waits have to be too long, with the least time of the stages. If all requests are refused,
// the evidence ends, and the next ones are served.
func ForecastFirstEvent(samples []FirstEventSample, candidates []Candidate, request ForecastRequest, now time.Time) Forecast {
	late, prepare := lateSamples(samples, request, now)
	f := Forecast{Prepare: prepare}
	engines := make(map[api.UpstreamID]bool, minForecastSamples)
	for i := range late {
		if !isCandidate(candidates, late[i].Engine) {
			continue
		}
		if f.Samples == 0 || late[i].Wait < f.Wait {
			f.Wait = late[i].Wait
		}
		f.Samples++
		engines[late[i].Engine] = true
	}
	f.FirstEvent, f.Engines = f.Prepare+f.Wait+request.Read, len(engines)
	f.Refuse = f.Samples >= minForecastSamples && f.Engines >= min(minForecastSamples, len(candidates))
	return f
}

// lateSamples returns the samples whose waits are too long for a request, or none if too many of them
// are not, and the least recent time of the stages.
func lateSamples(samples []FirstEventSample, request ForecastRequest, now time.Time) ([]FirstEventSample, time.Duration) {
	prepare := leastPrepare(samples, request.Route, now)
	left := request.Left - prepare - request.Read
	var late []FirstEventSample
	inTime := 0
	for i := range samples {
		s := &samples[i]
		switch {
		case now.Sub(s.At) > forecastAge || s.Rank > request.Rank:
		case s.Wait > left:
			late = append(late, *s)
		case !s.Ended:
			inTime++
		}
	}
	if inTime*lateFactor > len(late) {
		return nil, prepare
	}
	return late, prepare
}

// leastPrepare returns the least recent time of the stages of a route; 0 if there are too few responses.
func leastPrepare(samples []FirstEventSample, route fleet.RouteName, now time.Time) time.Duration {
	var least time.Duration
	count := 0
	for i := range samples {
		s := &samples[i]
		if now.Sub(s.At) > forecastAge || s.Route != route {
			continue
		}
		if count == 0 || s.Prepared < least {
			least = s.Prepared
		}
		count++
	}
	if count < minForecastSamples {
		return 0
	}
	return least
}

func isCandidate(candidates []Candidate, id api.UpstreamID) bool {
	for i := range candidates {
		if candidates[i].Upstream.ID == id {
			return true
		}
	}
	return false
}

// addSample keeps a wait for the first event in place of the oldest one.
func (m *serviceMeasures) addSample(sample FirstEventSample) {
	if len(m.samples) < maxForecastSamples {
		m.samples = append(m.samples, sample)
		return
	}
	m.samples[m.oldest] = sample
	m.oldest = (m.oldest + 1) % maxForecastSamples
}

// RecordNoEvent records that an attempt ended without an event after f.Took.
func (t *HealthTable) RecordNoEvent(u *fleet.Upstream, f *FirstEvent, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sample := f.sample(u, f.Took, now)
	sample.Ended = true
	t.entry(u).service.addSample(sample)
}

// FirstEventSamples returns the recent waits at the engines of a service and the measured costs there.
func (t *HealthTable) FirstEventSamples(service api.ServiceName) ([]FirstEventSample, EngineCosts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.services[service]
	if m == nil {
		return nil, EngineCosts{}
	}
	return append([]FirstEventSample(nil), m.samples...), m.costs.measured()
}

// forecastRequest returns what a forecast needs to know of the request.
func (c *call) forecastRequest(costs EngineCosts, now time.Time) ForecastRequest {
	own := c.request.PromptTokens
	for _, part := range c.request.SharedParts() {
		own -= part.Tokens
	}
	return ForecastRequest{c.route.Name, c.rank.ForEngine(), readTime(costs, max(own, 0)), c.eventDeadline(c.request.Received).Sub(now)}
}

// checkEngines returns the error with which a request is refused before its stages run, because no
// engine can produce its first event before the caller gives up.
func (c *call) checkEngines() error {
	samples, costs := c.Health.FirstEventSamples(c.service)
	if len(samples) < minForecastSamples {
		return nil
	}
	now := clock.Now()
	request := c.forecastRequest(costs, now)
	left := request.Left
	if late, _ := lateSamples(samples, request, now); len(late) < minForecastSamples {
		return nil
	}
	f := ForecastFirstEvent(samples, c.candidates(), request, now)
	if !f.Refuse {
		return nil
	}
	c.Metrics.Counter("engine.forecast_refused").Inc(1)
	return fault.AddRetryAfter(fault.New(api.KindOverloaded, "%s", f.reason(left)), min(max(f.FirstEvent-left, minForecastRetryAfter), forecastAge))
}
