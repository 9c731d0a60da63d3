package forward

import (
	"math"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

// Candidate is an upstream with its health at the time of the choice.
type Candidate struct {
	Upstream *fleet.Upstream
	Health   Health
	// Limited is true if the upstream names a rate limit, of which this host has a request left.
	Limited bool
}

const (
	// failurePenalty is the relative cost increase of an upstream whose attempts all fail.
	failurePenalty = 20
	// timeExponent is the power of the expected time by which upstreams are weighted: one that is
	// expected to take a tenth longer gets about half as many requests, and one that takes twice as
	// long nearly none. With the least expected time alone, all hosts that know the same reports
	// send to the same upstream.
	timeExponent = 8
	// riskyLossRate is the rate of losses from which no order is placed at an upstream. It is reached
	// with the second loss in a row, and is the failure rate from which hosts report an upstream.
	riskyLossRate = 0.3
)

// LeastLoaded returns the candidate for a non-streaming request: a random one, weighted by the
// expected response time, which follows from the pace, the open requests and the failures. It suits
// many short requests of many hosts on few slots. The random numbers are derived from the hash of the
// request. Candidates in cooldown and excluded ones are a last resort. Returns nil if there are no
// candidates.
func LeastLoaded(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	hash := hashing.Of(string(request))
	return best(candidates, request, exclude, now, func(c *Candidate) float64 {
		return drawCost(drawOf(hash, c.Upstream.ID), expectedTime(c, now))
	})
}

// LeastLoadedForOrder is like LeastLoaded, for a request that may run at most once. A candidate that
// has recently lost requests is chosen only if all have, since an order that is lost can't be repeated
// and one that is refused can.
func LeastLoadedForOrder(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	return LeastLoaded(soundForOrder(candidates, now), request, exclude, now)
}

// soundForOrder returns the candidates that have not lost requests recently, or all if there are none.
func soundForOrder(candidates []Candidate, now time.Time) []Candidate {
	sound := make([]Candidate, 0, len(candidates))
	for i := range candidates {
		if candidates[i].Health.lossRate(now) < riskyLossRate {
			sound = append(sound, candidates[i])
		}
	}
	if len(sound) == 0 {
		return candidates
	}
	return sound
}

// LoadTerms are the terms of the expected response time of an upstream.
type LoadTerms struct {
	// Pace is the last known pace, or the time without a response if that is longer, relative to the
	// usual time.
	Pace float64
	// Open is the number of requests that are expected at the upstream, and Slots its slots.
	Open  float64
	Slots int
	// Failures is the factor for failed requests.
	Failures float64
}

// loadTerms returns the terms of a candidate's expected response time.
func loadTerms(c *Candidate, now time.Time) LoadTerms {
	t := LoadTerms{
		Pace: max(c.Health.pace(now), c.Health.silence(now)), Open: c.Health.open(now), Slots: c.Upstream.Slots,
		Failures: 1 + failurePenalty*c.Health.failureRate(now),
	}
	if !c.Health.reportedAt().IsZero() {
		t.Slots = c.Health.Measured.Load.Slots
	}
	return t
}

// expectedTime returns the expected response time of a candidate, relative to that of an idle one at
// the usual pace.
func expectedTime(c *Candidate, now time.Time) float64 {
	t := loadTerms(c, now)
	return t.Pace * (1 + t.Open/float64(max(t.Slots, 1))) * t.Failures
}

// drawOf returns the random number, between 0 and 1, of a request with the given hash for an upstream.
func drawOf(hash uint64, id api.UpstreamID) float64 {
	return (float64(hashing.Score(hash, hashing.Of(string(id)))>>11) + 0.5) / (1 << 53)
}

// drawCost returns the cost of an upstream with the given draw. The lowest of -ln(u)/weight, with u
// uniform in (0, 1), is a weighted random choice.
func drawCost(draw, expectedTime float64) float64 {
	return -math.Log(draw) * math.Pow(expectedTime, timeExponent)
}

// best returns the candidate with the lowest cost. Ties are broken by the hash of the request.
func best(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time, cost func(*Candidate) float64) *fleet.Upstream {
	var chosen *fleet.Upstream
	var chosenTier int
	var chosenCost float64
	hash := hashing.Of(string(request))
	for i := range candidates {
		c := &candidates[i]
		tier := 0
		if now.Before(c.Health.CooldownUntil) {
			tier = 1
		}
		if exclude[c.Upstream.ID] {
			tier = 2
		}
		candidateCost := cost(c)
		better := chosen == nil || tier < chosenTier || (tier == chosenTier && candidateCost < chosenCost)
		if !better && tier == chosenTier && candidateCost == chosenCost {
			better = hashing.Score(hash, hashing.Of(string(c.Upstream.ID))) > hashing.Score(hash, hashing.Of(string(chosen.ID)))
		}
		if better {
			chosen, chosenTier, chosenCost = c.Upstream, tier, candidateCost
		}
	}
	return chosen
}
