package forward

import (
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
	// assumedLatency is used for an upstream without a measured latency. It is low, so that
	// new upstreams are tried.
	assumedLatency = 10 * time.Millisecond
	// failurePenalty is the relative cost increase of an upstream whose attempts all fail.
	failurePenalty = 20
)

// LeastLoaded returns the candidate for a non-streaming request: the one with the lowest
// expected response time, estimated from this host's load and measurements. It suits many
// short requests on few slots. Candidates in cooldown and excluded ones are a last resort.
// Ties are broken by the hash of the request. Returns nil if there are no candidates.
func LeastLoaded(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	return best(candidates, request, exclude, now, func(c *Candidate) float64 {
		latency := max(c.Health.Latency, assumedLatency)
		slots := max(c.Upstream.Slots, 1)
		queued := float64(c.Health.Running+1) / float64(slots)
		return latency.Seconds() * (1 + queued) * (1 + failurePenalty*c.Health.failureRate(now))
	})
}

// best returns the candidate with the lowest cost. Ties are broken by the hash of the request.
func best(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time, cost func(*Candidate) float64) *fleet.Upstream {
	var chosen *fleet.Upstream
	var chosenTier int
	var chosenCost float64
	var chosenTieScore uint64
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
		candidateCost, tieScore := cost(c), hashing.Score(hash, hashing.Of(string(c.Upstream.ID)))
		better := tier < chosenTier || (tier == chosenTier && (candidateCost < chosenCost || (candidateCost == chosenCost && tieScore > chosenTieScore)))
		if chosen == nil || better {
			chosen, chosenTier, chosenCost, chosenTieScore = c.Upstream, tier, candidateCost, tieScore
		}
	}
	return chosen
}
