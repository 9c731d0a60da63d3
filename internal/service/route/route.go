// Package route chooses the upstream of an attempt.
package route

import (
	"math/rand/v2"

	"redwingloft/internal/service/upstream"
)

// Query is what a choice depends on besides the state of the instances.
type Query struct {
	// Avoid holds the instances that this stage has already tried.
	Avoid []*upstream.Instance
}

// Router chooses among the instances of a group. The zero value works.
type Router struct{}

// Pick returns the less loaded of two random available instances, or nil where none is available.
func (r *Router) Pick(instances []*upstream.Instance, query Query) *upstream.Instance {
	first := r.draw(instances, query)
	second := r.draw(instances, query)
	switch {
	case first == nil:
		return second
	case second == nil:
		return first
	case load(second) < load(first):
		return second
	}
	return first
}

// draw returns the first usable instance from a random position on.
func (r *Router) draw(instances []*upstream.Instance, query Query) *upstream.Instance {
	if len(instances) == 0 {
		return nil
	}
	start := rand.IntN(len(instances))
	for i := range instances {
		candidate := instances[(start+i)%len(instances)]
		if candidate.Available() && !avoided(candidate, query.Avoid) {
			return candidate
		}
	}
	return nil
}

func load(instance *upstream.Instance) float64 {
	return float64(instance.InFlight()) / float64(instance.Slots)
}

func avoided(instance *upstream.Instance, avoid []*upstream.Instance) bool {
	for _, tried := range avoid {
		if tried == instance {
			return true
		}
	}
	return false
}
