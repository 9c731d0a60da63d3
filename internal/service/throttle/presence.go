package throttle

import (
	"time"

	"redwingloft/internal/data/fleet"
)

// missingTime is how long the limit of an upstream is kept while it is not registered. An upstream
// that could not reach the store registers again and still names its limit.
const missingTime = time.Minute

// Presence remembers when upstreams were last registered. The zero value is ready to use. It is
// not safe for concurrent use.
type Presence struct {
	seenAt map[fleet.Incarnation]time.Time
}

// Keep returns a function for Sweep that also keeps upstreams that were registered recently.
func (p *Presence) Keep(registered func(fleet.Incarnation) bool, now time.Time) func(fleet.Incarnation) bool {
	if p.seenAt == nil {
		p.seenAt = map[fleet.Incarnation]time.Time{}
	}
	for incarnation, at := range p.seenAt {
		if now.Sub(at) >= missingTime {
			delete(p.seenAt, incarnation)
		}
	}
	return func(incarnation fleet.Incarnation) bool {
		if registered(incarnation) {
			p.seenAt[incarnation] = now
		}
		_, recent := p.seenAt[incarnation]
		return recent
	}
}
