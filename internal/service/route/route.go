// Package route selects the upstream instance for an attempt.
package route

import (
	"math/rand/v2"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

// The weights of the score. A score of 1 corresponds to an instance with all slots in use.
const (
	// queueFactor weighs the work that has to wait for a free slot.
	queueFactor = 4
	// promptUnit is the number of uncached prompt tokens that, at weight 1, counts as much
	// as having all slots in use.
	promptUnit = 4096
	// ownerBonus prefers the prefix owner among otherwise equal candidates.
	ownerBonus = 0.02
	// remotePenalty slightly raises the score of instances in other data centres.
	remotePenalty = 0.1
	// suspectPenalty avoids suspect instances while others have free slots.
	suspectPenalty = 2
)

// maxRandomDraws bounds the random draws before a linear search.
const maxRandomDraws = 4

// Query holds the inputs of a choice other than the state of the instances. The zero
// value balances by load only.
type Query struct {
	// Avoid holds the instances that the stage has already tried.
	Avoid []*upstream.Instance
	// Weights balance the wait for slots against the cost of the uncached prompt, to which
	// both weights apply. If both are 0, the attainment weight is 1.
	Weights document.Weights
	// Prefix is the hash chain of the prompt; empty means no affinity.
	Prefix HashChain
	// DataCentre is the data centre of this host; empty disables the remote penalty.
	DataCentre api.DataCentre
}

// Router selects among the instances of a group. The zero value is ready to use and has no
// prefix affinity.
type Router struct {
	// Random returns a number in [0, n); nil means math/rand. Replays set it.
	Random func(n int) int
	// Clock returns the time at which the age of load reports is computed; nil means
	// time.Now.
	Clock func() time.Time
	// Prefixes maps prompt prefixes to the instances that have them cached; nil disables
	// affinity.
	Prefixes *PrefixTable
}

// Pick returns the candidate with the lowest score among two random instances and the
// owner of the prefix. Returns nil if no instance is available. The result depends only on
// the arguments, the state of the instances, Prefixes, Random and Clock, and nothing is
// modified.
func (r *Router) Pick(instances []*upstream.Instance, query Query) *upstream.Instance {
	first := r.draw(instances, &query)
	if first == nil {
		return nil
	}
	second := r.draw(instances, &query)
	c := scorer{query: &query, now: r.now()}
	owner, blocks := r.Prefixes.Owner(query.Prefix)
	if !usable(owner, first.Group, query.Avoid) {
		owner = nil
	}
	best, lowest := first, c.score(first, first == owner, blocks)
	if score := c.score(second, second == owner, blocks); score < lowest {
		best, lowest = second, score
	}
	if owner != nil && c.score(owner, true, blocks) < lowest {
		best = owner
	}
	return best
}

func (r *Router) now() time.Time {
	if r.Clock != nil {
		return r.Clock()
	}
	return time.Now()
}

func (r *Router) random(n int) int {
	if r.Random != nil {
		return r.Random(n)
	}
	return rand.IntN(n)
}

// draw returns a random available instance that is not in query.Avoid. Returns nil if there
// is none.
func (r *Router) draw(instances []*upstream.Instance, query *Query) *upstream.Instance {
	if len(instances) == 0 {
		return nil
	}
	position := 0
	for range maxRandomDraws {
		position = r.random(len(instances))
		if candidate := instances[position]; candidate.Available() && !avoided(candidate, query.Avoid) {
			return candidate
		}
	}
	for range instances {
		position = (position + 1) % len(instances)
		if candidate := instances[position]; candidate.Available() && !avoided(candidate, query.Avoid) {
			return candidate
		}
	}
	return nil
}

// usable reports whether a prefix owner may be a candidate. The group is compared, because
// the same prompt may be used in two groups.
func usable(owner *upstream.Instance, group api.GroupName, avoid []*upstream.Instance) bool {
	return owner != nil && owner.Group == group && owner.Available() && !avoided(owner, avoid)
}

func avoided(instance *upstream.Instance, avoid []*upstream.Instance) bool {
	for _, tried := range avoid {
		if tried == instance {
			return true
		}
	}
	return false
}

// scorer computes the scores of the candidates of one pick.
type scorer struct {
	query *Query
	now   time.Time
}

// score returns the expected wait plus the cost of the uncached prompt and the penalties,
// minus the affinity bonus. blocks is the number of blocks that the prefix owner has cached.
func (c *scorer) score(instance *upstream.Instance, isOwner bool, blocks int) float64 {
	weights := c.query.Weights
	if weights.Attainment == 0 && weights.Cost == 0 {
		weights.Attainment = 1
	}
	score := weights.Attainment * waitCost(instance.Load(c.now)/float64(max(1, instance.Slots)))
	uncached := float64(c.query.Prefix.Tokens)
	if isOwner {
		trust := instance.CacheHitRate()
		uncached -= float64(blocks*blockTokens) * trust
		score -= ownerBonus * trust
	}
	// Uncached prompt tokens cost money and delay the first token, so both weights apply.
	score += (weights.Cost + weights.Attainment) * uncached / promptUnit
	if c.query.DataCentre != "" && instance.DataCentre != c.query.DataCentre {
		score += remotePenalty
	}
	if instance.Degraded() {
		score += suspectPenalty
	}
	return score
}

// waitCost returns the cost of waiting for a slot. It grows with the square of the share of
// slots in use, because a nearly idle instance adds almost no wait, and with a steeper slope
// above 1, where requests have to queue.
func waitCost(load float64) float64 {
	if load <= 1 {
		return load * load
	}
	return 1 + queueFactor*(load-1)
}
