package throttle

import (
	"time"

	"redwingloft/internal/data/fleet"
)

// maxPause bounds the pause of an upstream. A longer one is taken for an error of the upstream.
const maxPause = 5 * time.Minute

// pause is the time for which an upstream wants no request from this host.
type pause struct {
	// until is the end, of which a later response may only make a later one.
	until time.Time
	// promisedUntil is the time up to which refused callers were told to return.
	promisedUntil time.Time
}

// Pause records that an upstream, which refused a request of this host, wants no other one for d.
func (t *Table) Pause(upstream *fleet.Upstream, d time.Duration, now time.Time) {
	if t == nil {
		return
	}
	until := now.Add(min(d, maxPause))
	t.mu.Lock()
	defer t.mu.Unlock()
	// Pauses outlive the entry of their upstream, which may be missing for a moment.
	for incarnation, known := range t.pauses {
		if !now.Before(known.until) {
			delete(t.pauses, incarnation)
		}
	}
	known := t.pauses[upstream.Incarnation()]
	if known == nil {
		if t.pauses == nil {
			t.pauses = map[fleet.Incarnation]*pause{}
		}
		known = &pause{}
		t.pauses[upstream.Incarnation()] = known
		t.Metrics.Counter("throttle.pauses").Inc(1)
		t.Log.Info().Str("upstream", string(upstream.ID)).Str("service", string(upstream.Service)).Int64("pause_ms", d.Milliseconds()).Msg("upstream_paused")
	}
	if until.After(known.until) {
		known.until = until
	}
}

// Paused returns the time until an upstream, which gets requests from this host only, accepts one again
// after a pause, or because it is cold and this host has no slot.
func (t *Table) Paused(upstream *fleet.Upstream, now time.Time) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := t.paused(upstream, now)
	if cold := t.coldLimit(upstream, now); cold != nil && t.coldSlotsAlone(cold, now) == 0 {
		paused = max(paused, cold.wait(0, now))
	}
	return paused
}

// paused is like Paused. The caller holds mu.
func (t *Table) paused(upstream *fleet.Upstream, now time.Time) time.Duration {
	if known := t.pauses[upstream.Incarnation()]; known != nil {
		return max(known.until.Sub(now), 0)
	}
	return 0
}
