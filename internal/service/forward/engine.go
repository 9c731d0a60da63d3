package forward

import (
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/hashing"
	"redwingloft/internal/service/prefix"
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
	// ownerSwitchCost is added to the other owners of a popular prefix, so that hosts without load of
	// their own spread requests evenly and do not all prefer the nearest owner.
	ownerSwitchCost = 5 * time.Millisecond
)

// SelectEngine returns the engine for a generation. All hosts send requests with a
// common prompt prefix to the engine selected by the hash of the prefix, unless its backlog
// of prefill work costs more than a repeated prefill of the prefix on another engine. It
// suits long shared prompts. An engine with a rate limit costs no repeated prefill: it has time
// for it, and the requests that it accepts would be lost to engines that get all others.
func SelectEngine(candidates []Candidate, request *fleet.Request, preferred api.DataCentre, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	return selectEngine(candidates, request, 0, preferred, exclude, now).Upstream
}

// EngineChoice is the choice of an engine with its reason.
type EngineChoice struct {
	Upstream *fleet.Upstream
	// Preferred is the engine that the hash of the shared parts selects for the request.
	Preferred *fleet.Upstream
	// Owners is the number of engines among which requests with the same shared parts are spread.
	Owners int
	// Kept is the number of prompt tokens that the engine presumably keeps.
	Kept int
}

// setOwners sets Preferred and Owners for requests with the same shared parts, which all hosts
// send at the given rate per second, and returns the owners if there are several. A popular prefix has as many owners as its
// load needs, over which requests are spread by their hash. They are the first engines in rendezvous
// order, so that the owners of hosts with different estimates overlap.
func (e *EngineChoice) setOwners(candidates []Candidate, request *fleet.Request, rate float64, owners []*fleet.Upstream) []*fleet.Upstream {
	key, shared := sharedPrefix(request)
	e.Owners = 1
	if rate > 0 && shared > 0 && len(candidates) > 0 {
		work := candidates[0].Health.serviceCosts().Token * float64(max(request.PromptTokens-shared, 0))
		e.Owners = prefix.Owners(rate, work, len(candidates))
	}
	if e.Owners == 1 {
		e.Preferred = rendezvousOwner(candidates, key)
		return nil
	}
	owners = owners[:rendezvousOwners(candidates, key, owners[:e.Owners])]
	e.Preferred = owners[hashing.Of(string(request.ID))%uint64(len(owners))]
	return owners
}

// selectEngine is like SelectEngine, with the rate per second at which all hosts send requests with the
// same shared parts.
func selectEngine(candidates []Candidate, request *fleet.Request, rate float64, preferred api.DataCentre, exclude map[api.UpstreamID]bool, now time.Time) EngineChoice {
	var choice EngineChoice
	var array [prefix.MaxOwners]*fleet.Upstream
	owners := choice.setOwners(candidates, request, rate, array[:])
	_, shared := sharedPrefix(request)
	owner := choice.Preferred
	chosen := best(candidates, request.ID, exclude, now, func(c *Candidate) float64 {
		terms := engineTerms(c, &choice, owners, shared, preferred, now)
		return terms.cost()
	})
	choice.Upstream = chosen
	if chosen != nil && (chosen == owner || slices.Contains(owners, chosen)) {
		choice.Kept = shared
	}
	return choice
}

// EngineTerms are the terms of the cost of an engine for a request.
type EngineTerms struct {
	// Tokens is the number of prompt tokens that the engine would read before those of the request that
	// no engine keeps, and Rate the time for each, in seconds.
	Tokens int
	Rate   float64
	// Read, Running, Remote and WarmUp are times in seconds: to read the tokens, the delay by running
	// requests, the transfer between data centres, and the delay of an engine that is slow after its start.
	// Switch is added for an owner of the prefix other than the preferred one.
	Read, Running, Remote, WarmUp, Switch float64
	// Pace and Failures are the factors by which the sum of the times is multiplied.
	Pace, Failures float64
}

// engineTerms returns the terms of a candidate's cost. The preferred engine of the choice and the other
// owners presumably keep the shared tokens.
func engineTerms(c *Candidate, choice *EngineChoice, owners []*fleet.Upstream, shared int, preferred api.DataCentre, now time.Time) EngineTerms {
	costs := c.Health.engineCosts()
	t := EngineTerms{Tokens: c.Health.PendingTokens, Rate: costs.Token, Pace: 1, Failures: 1 + failurePenalty*c.Health.failureRate(now)}
	if c.Upstream != choice.Preferred && !c.Limited && (owners == nil || !slices.Contains(owners, c.Upstream)) {
		t.Tokens += shared
	}
	if c.Upstream != choice.Preferred && owners != nil {
		t.Switch = ownerSwitchCost.Seconds()
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
	return (t.Read + t.Running + t.Remote + t.WarmUp + t.Switch) * t.Pace * t.Failures
}

// PrefixDataCentre returns the data centre of the engine that the hash of a request's prefix selects,
// where all hosts send requests with the prefix at the given rate per second. Returns "" if there is no
// such engine or it is in cooldown.
func PrefixDataCentre(candidates []Candidate, request *fleet.Request, rate float64, now time.Time) api.DataCentre {
	var choice EngineChoice
	var array [prefix.MaxOwners]*fleet.Upstream
	choice.setOwners(candidates, request, rate, array[:])
	owner := choice.Preferred
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

// rendezvousOwners sets owners to the upstreams that rendezvous hashing orders first for key, and
// returns their number.
func rendezvousOwners(candidates []Candidate, key string, owners []*fleet.Upstream) int {
	var scores [prefix.MaxOwners]uint64
	hash, count := hashing.Of(key), 0
	for i := range candidates {
		score := hashing.Score(hash, hashing.Of(string(candidates[i].Upstream.ID)))
		if count == len(owners) && score <= scores[count-1] {
			continue
		}
		count = min(count+1, len(owners))
		k := count - 1
		for ; k > 0 && scores[k-1] < score; k-- {
			scores[k], owners[k] = scores[k-1], owners[k-1]
		}
		scores[k], owners[k] = score, candidates[i].Upstream
	}
	return count
}
