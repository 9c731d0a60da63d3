package forward

import (
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

// Candidate is an upstream with what the host knows of it at the decision.
type Candidate struct {
	Upstream *fleet.Upstream
	Health   Health
}

const (
	// assumedLatency stands for an upstream that has not answered yet. It is low, so that
	// a new upstream is tried.
	assumedLatency = 10 * time.Millisecond
	// failurePenalty multiplies the cost of an upstream all of whose attempts fail.
	failurePenalty = 20
	// prefillRate is the assumed number of prompt tokens that an engine reads in a
	// millisecond. It only weighs tokens against requests.
	prefillRate = 38.0
	// requestCost is the delay that one running generation adds to the others of its engine.
	requestCost = 8 * time.Millisecond
	// remoteCost is the cost of leaving the data centre for inputs and answers.
	remoteCost = 3 * time.Millisecond
)

// LeastBusy returns the candidate for a plain request: the least expected time to an
// answer from the host's own load and what it has seen. It answers the load of many
// short requests on few slots. Candidates in cooldown and excluded ones are used only
// where there is no other. The hash of the request spreads ties over hosts. It returns nil without candidates.
func LeastBusy(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	return best(candidates, request, exclude, now, func(c *Candidate) float64 {
		latency := max(c.Health.Latency, assumedLatency)
		slots := max(c.Upstream.Slots, 1)
		queued := float64(c.Health.Running+1) / float64(slots)
		return latency.Seconds() * (1 + queued) * (1 + failurePenalty*c.Health.failureRate(now))
	})
}

// PlaceGeneration returns the engine for a generation. Requests that share a prompt
// prefix meet at the engine that the hash of the prefix names, on whichever host they
// arrive, unless what it has to read first costs more than reading the prefix again
// elsewhere. It answers the load of long shared prompts.
func PlaceGeneration(candidates []Candidate, request *fleet.Request, home api.DataCentre, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	prefix, shared := sharedPrefix(request)
	owner := ownerOf(candidates, prefix)
	return best(candidates, request.ID, exclude, now, func(c *Candidate) float64 {
		wait := float64(c.Health.Tokens) / prefillRate / 1000
		wait += requestCost.Seconds() * float64(c.Health.Running)
		if c.Upstream != owner {
			wait += float64(shared) / prefillRate / 1000
		}
		if c.Upstream.DataCentre != home && home != "" {
			wait += remoteCost.Seconds()
		}
		if c.Upstream.WarmUp > 0 {
			wait += requestCost.Seconds()
		}
		rate := c.Health.failureRate(now)
		return (wait + requestCost.Seconds()) * (1 + failurePenalty*rate)
	})
}

// PrefixHome returns the data centre of the engine that a request's prefix names, as
// far as it can be reached; empty where there is none.
func PrefixHome(candidates []Candidate, request *fleet.Request, now time.Time) api.DataCentre {
	prefix, _ := sharedPrefix(request)
	owner := ownerOf(candidates, prefix)
	if owner == nil {
		return ""
	}
	for i := range candidates {
		if candidates[i].Upstream == owner && now.Before(candidates[i].Health.Until) {
			return ""
		}
	}
	return owner.DataCentre
}

// sharedPrefix returns the id of the longest prefix that other requests share, and its tokens. The last part belongs to the request itself.
func sharedPrefix(request *fleet.Request) (string, int) {
	if len(request.Prompt) < 2 {
		return string(request.ID), 0
	}
	shared := 0
	for _, part := range request.Prompt[:len(request.Prompt)-1] {
		shared += part.Tokens
	}
	return request.Prompt[len(request.Prompt)-2].ID, shared
}

// ownerOf returns the upstream that the rendezvous hash of key names.
func ownerOf(candidates []Candidate, key string) *fleet.Upstream {
	var owner *fleet.Upstream
	var top uint64
	hash := hashing.Of(key)
	for i := range candidates {
		score := hashing.Score(hash, hashing.Of(string(candidates[i].Upstream.ID)))
		if owner == nil || score > top {
			owner, top = candidates[i].Upstream, score
		}
	}
	return owner
}

// best returns the candidate of the least cost; ties go by the hash of the request.
func best(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time, cost func(*Candidate) float64) *fleet.Upstream {
	var chosen *fleet.Upstream
	var chosenTier int
	var chosenCost float64
	var chosenTie uint64
	hash := hashing.Of(string(request))
	for i := range candidates {
		c := &candidates[i]
		tier := 0
		if now.Before(c.Health.Until) {
			tier = 1
		}
		if exclude[c.Upstream.ID] {
			tier = 2
		}
		price, tie := cost(c), hashing.Score(hash, hashing.Of(string(c.Upstream.ID)))
		better := tier < chosenTier || (tier == chosenTier && (price < chosenCost || (price == chosenCost && tie > chosenTie)))
		if chosen == nil || better {
			chosen, chosenTier, chosenCost, chosenTie = c.Upstream, tier, price, tie
		}
	}
	return chosen
}
