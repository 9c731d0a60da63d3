// Package route chooses the upstream of an attempt.
package route

import (
	"math/rand/v2"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

// The parts of a score, in units of one full set of slots of an instance.
const (
	// queueFactor weighs work beyond the slots, which has to wait for them.
	queueFactor = 4
	// promptUnit is the number of uncached prompt tokens that counts, with weight
	// 1, like one full set of slots.
	promptUnit = 4096
	// ownerBonus decides between equal candidates for the one that has the prefix.
	ownerBonus = 0.02
	// remotePenalty makes an instance in another data centre slightly dearer.
	remotePenalty = 0.1
	// doubtPenalty keeps work from suspect instances while others have free slots.
	doubtPenalty = 2
)

// drawAttempts bounds the random draws before a search in order.
const drawAttempts = 4

// Query is what a choice depends on besides the state of the instances. Its zero
// value balances load alone.
type Query struct {
	// Avoid holds the instances that this stage has already tried.
	Avoid []*upstream.Instance
	// Weights balance the wait for slots against the uncached prompt, which counts
	// under both. Both 0 means an attainment weight of 1.
	Weights document.Weights
	// Prefix is the chain of Prefix for the prompt; empty means no affinity.
	Prefix Chain
	// DataCentre is that of this host; empty means that all are the same.
	DataCentre api.DataCentre
}

// Router chooses among the instances of a group. The zero value works and knows no prefixes.
type Router struct {
	// Random returns a number in [0, n); nil means math/rand. A replay sets it.
	Random func(n int) int
	// Clock returns the time by which load reports age; nil means time.Now.
	Clock func() time.Time
	// Prefixes remembers which instance has which prompt prefix; nil remembers nothing.
	Prefixes *Prefixes
}

// Pick returns the candidate with the lowest score: two random instances and the
// owner of the prefix. It returns nil where none is available. It depends only
// on its arguments, the state of the instances, the prefixes, Random and Clock,
// and changes nothing.
func (r *Router) Pick(instances []*upstream.Instance, query Query) *upstream.Instance {
	first := r.draw(instances, &query)
	if first == nil {
		return nil
	}
	second := r.draw(instances, &query)
	c := choice{query: &query, now: r.now()}
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

// draw returns a random usable instance, or nil where there is none.
func (r *Router) draw(instances []*upstream.Instance, query *Query) *upstream.Instance {
	if len(instances) == 0 {
		return nil
	}
	position := 0
	for range drawAttempts {
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

// usable reports whether an owner may be a candidate. Two groups may use the
// same prompt, so the owner's group is compared.
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

// choice compares the candidates of one pick.
type choice struct {
	query *Query
	now   time.Time
}

// score is the predicted wait plus the uncached prompt cost minus the affinity.
// The owner of the prefix has the given number of blocks cached.
func (c *choice) score(instance *upstream.Instance, isOwner bool, blocks int) float64 {
	weights := c.query.Weights
	if weights.Attainment == 0 && weights.Cost == 0 {
		weights.Attainment = 1
	}
	score := weights.Attainment * wait(instance.Load(c.now)/float64(max(1, instance.Slots)))
	uncached := float64(c.query.Prefix.Tokens)
	if isOwner {
		trust := instance.CacheTrust()
		uncached -= float64(blocks*blockTokens) * trust
		score -= ownerBonus * trust
	}
	// Uncached prompt tokens cost money and delay the first token, so both weights count.
	score += (weights.Cost + weights.Attainment) * uncached / promptUnit
	if c.query.DataCentre != "" && instance.DataCentre != c.query.DataCentre {
		score += remotePenalty
	}
	if instance.Doubtful() {
		score += doubtPenalty
	}
	return score
}

// wait grows with the square of the share of slots in use, because a nearly idle
// instance adds almost no wait, and faster with work beyond the slots.
func wait(used float64) float64 {
	if used <= 1 {
		return used * used
	}
	return 1 + queueFactor*(used-1)
}
