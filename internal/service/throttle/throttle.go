// Package throttle keeps the requests of all hosts to an upstream below the rate limit that the
// upstream names in its responses.
package throttle

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/metric"
)

// limit is the rate limit of an upstream as last known.
type limit struct {
	// rate is in requests a second; 0 means that the upstream no longer names a limit.
	rate float64
	// observedAt is the time of the response that showed it.
	observedAt time.Time
}

// Table holds the rate limits of upstreams. Set the exported fields before use.
type Table struct {
	Log     *log.Logger
	Metrics *metric.Set

	mu     sync.Mutex
	limits map[fleet.Incarnation]*limit
}

// Observe records the rate limit that a response of an upstream names; nil if it names none.
func (t *Table) Observe(upstream *fleet.Upstream, named *float64, now time.Time) {
	rate := 0.0
	if named != nil {
		rate = *named
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.limits[upstream.Incarnation()]
	if known == nil {
		if named == nil {
			return
		}
		if t.limits == nil {
			t.limits = map[fleet.Incarnation]*limit{}
		}
		known = &limit{}
		t.limits[upstream.Incarnation()] = known
	}
	if known.rate != rate {
		t.Metrics.Counter("throttle.limit_changes").Inc(1)
		t.Log.Info().Str("upstream", string(upstream.ID)).Str("service", string(upstream.Service)).Float64("limit", rate).Float64("before", known.rate).Msg("upstream_limit_changed")
	}
	known.rate, known.observedAt = rate, now
}

// Sweep drops the limits of upstreams that are not in keep.
func (t *Table) Sweep(keep func(fleet.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation := range t.limits {
		if !keep(incarnation) {
			delete(t.limits, incarnation)
		}
	}
}
