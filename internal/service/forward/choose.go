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
		// The lowest of -ln(u)/weight, with u uniform in (0, 1), is a weighted random choice.
		u := (float64(hashing.Score(hash, hashing.Of(string(c.Upstream.ID)))>>11) + 0.5) / (1 << 53)
		return -math.Log(u) * math.Pow(expectedTime(c, now), timeExponent)
	})
}

// LeastLoadedForOrder is like LeastLoaded, for a request that may run at most once. A candidate that
// has recently lost requests is chosen only if all have, since an order that is lost can't be repeated
// and one that is refused can.
func LeastLoadedForOrder(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	sound := make([]Candidate, 0, len(candidates))
	for i := range candidates {
		if candidates[i].Health.lossRate(now) < riskyLossRate {
			sound = append(sound, candidates[i])
		}
	}
	if len(sound) == 0 {
		sound = candidates
	}
	return LeastLoaded(sound, request, exclude, now)
}

// expectedTime returns the expected response time of a candidate, relative to that of an idle one at
// the usual pace.
func expectedTime(c *Candidate, now time.Time) float64 {
	slots := c.Upstream.Slots
	if !c.Health.reportedAt().IsZero() {
		slots = c.Health.Measured.Load.Slots
	}
	open := c.Health.open(now) / float64(max(slots, 1))
	pace := max(c.Health.pace(now), c.Health.silence(now))
	return pace * (1 + open) * (1 + failurePenalty*c.Health.failureRate(now))
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
