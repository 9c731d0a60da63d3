package forward

import (
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

const (
	// prefillRate is the assumed number of prompt tokens that an engine prefills per
	// millisecond, until there are measurements.
	prefillRate = 38.0
	// requestCost is the assumed delay that one running generation adds to the others on its
	// engine, until there are measurements.
	requestCost = 8 * time.Millisecond
	// remoteCost is the cost of transferring inputs and responses between data centres.
	remoteCost = 3 * time.Millisecond
)

// SelectEngine returns the engine for a generation. All hosts send requests with a
// common prompt prefix to the engine selected by the hash of the prefix, unless its backlog
// of prefill work costs more than a repeated prefill of the prefix on another engine. It
// suits long shared prompts. An engine with a rate limit costs no repeated prefill: it has time
// for it, and the requests that it accepts would be lost to engines that get all others.
func SelectEngine(candidates []Candidate, request *fleet.Request, preferred api.DataCentre, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	upstream, _ := selectEngine(candidates, request, preferred, exclude, now)
	return upstream
}

// selectEngine is like SelectEngine and also returns the prompt tokens that the engine presumably keeps.
func selectEngine(candidates []Candidate, request *fleet.Request, preferred api.DataCentre, exclude map[api.UpstreamID]bool, now time.Time) (*fleet.Upstream, int) {
	prefix, shared := sharedPrefix(request)
	owner := rendezvousOwner(candidates, prefix)
	chosen := best(candidates, request.ID, exclude, now, func(c *Candidate) float64 {
		terms := engineTerms(c, owner, shared, preferred, now)
		return terms.cost()
	})
	if chosen == nil || chosen != owner {
		shared = 0
	}
	return chosen, shared
}

// EngineTerms are the terms of the cost of an engine for a request.
type EngineTerms struct {
	// Tokens is the number of prompt tokens that the engine would read before those of the request that
	// no engine keeps, and Rate the time for each, in seconds.
	Tokens int
	Rate   float64
	// Read, Running, Remote and WarmUp are times in seconds: to read the tokens, the delay by running
	// requests, the transfer between data centres, and the delay of an engine that is slow after its start.
	Read, Running, Remote, WarmUp float64
	// Pace and Failures are the factors by which the sum of the times is multiplied.
	Pace, Failures float64
}

// engineTerms returns the terms of a candidate's cost. owner is the engine that presumably keeps the
// shared tokens.
func engineTerms(c *Candidate, owner *fleet.Upstream, shared int, preferred api.DataCentre, now time.Time) EngineTerms {
	costs := c.Health.engineCosts()
	t := EngineTerms{Tokens: c.Health.PendingTokens, Rate: costs.Token, Pace: 1, Failures: 1 + failurePenalty*c.Health.failureRate(now)}
	if c.Upstream != owner && !c.Limited {
		t.Tokens += shared
	}
	t.Read, t.Running = costs.Token*float64(t.Tokens), costs.Request*float64(c.Health.Running+1)
	if c.Upstream.DataCentre != preferred && preferred != "" {
		t.Remote = remoteCost.Seconds()
	}
	if c.Upstream.WarmUp > 0 {
		t.WarmUp = costs.Request
	}
	if c.Health.Measured != nil && c.Health.Measured.Pace.Reported {
		t.Pace = c.Health.pace(now)
	}
	return t
}

// cost returns the cost of an engine.
func (t *EngineTerms) cost() float64 {
	return (t.Read + t.Running + t.Remote + t.WarmUp) * t.Pace * t.Failures
}

// PrefixDataCentre returns the data centre of the engine that the hash of a request's prefix
// selects. Returns "" if there is no such engine or it is in cooldown.
func PrefixDataCentre(candidates []Candidate, request *fleet.Request, now time.Time) api.DataCentre {
	prefix, _ := sharedPrefix(request)
	owner := rendezvousOwner(candidates, prefix)
	if owner == nil {
		return ""
	}
	for i := range candidates {
		if candidates[i].Upstream == owner && now.Before(candidates[i].Health.CooldownUntil) {
			return ""
		}
	}
	return owner.DataCentre
}

// sharedPrefix returns the id and the token count of the longest prefix that other requests
// may share.
func sharedPrefix(request *fleet.Request) (string, int) {
	parts := request.SharedParts()
	if len(parts) == 0 {
		return string(request.ID), 0
	}
	shared := 0
	for _, part := range parts {
		shared += part.Tokens
	}
	return parts[len(parts)-1].ID, shared
}

// rendezvousOwner returns the upstream that rendezvous hashing selects for key.
func rendezvousOwner(candidates []Candidate, key string) *fleet.Upstream {
	var owner *fleet.Upstream
	var highest uint64
	hash := hashing.Of(key)
	for i := range candidates {
		score := hashing.Score(hash, hashing.Of(string(candidates[i].Upstream.ID)))
		if owner == nil || score > highest {
			owner, highest = candidates[i].Upstream, score
		}
	}
	return owner
}
