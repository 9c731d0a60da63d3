package throttle

import (
	"time"

	"redwingloft/internal/data/fleet"
)

const (
	// pauseReturnInterval is the time between the returns of two callers after a pause, and
	// pauseReturnSpread that over which callers are spread.
	pauseReturnInterval = 20 * time.Millisecond
	pauseReturnSpread   = time.Second
)

// turn is the time from which an upstream accepts the next refused caller of this host.
type turn struct {
	at       time.Time
	interval time.Duration
	// promisedUntil is that of the limit or of the pause.
	promisedUntil *time.Time
}

// RetryDelay returns the time after which a caller that is refused because of limits and pauses
// should return. Callers that are refused one after the other get different times.
func (t *Table) RetryDelay(upstreams []*fleet.Upstream, now time.Time) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen *turn
	var total float64
	for _, upstream := range upstreams {
		known := t.limited(upstream)
		switch {
		case known == nil && t.paused(upstream, now) == 0:
			return 0
		case known != nil:
			total += known.rate
			if t.share(upstream.ID, known) == 0 {
				continue
			}
		}
		if next := t.nextTurn(upstream, now); chosen == nil || next.at.Before(chosen.at) {
			chosen = &next
		}
	}
	if chosen == nil {
		// Other hosts share all limits, and may accept the caller at any time.
		return seconds(1 / max(total, minRate))
	}
	*chosen.promisedUntil = chosen.at.Add(chosen.interval)
	return chosen.at.Sub(now)
}

// nextTurn returns the next turn at an upstream that has a pause, or a limit of which this host
// has a share. The caller holds mu.
func (t *Table) nextTurn(upstream *fleet.Upstream, now time.Time) turn {
	next := turn{at: now.Add(t.paused(upstream, now)), interval: pauseReturnInterval}
	if known := t.limited(upstream); known != nil {
		rate := t.share(upstream.ID, known)
		if at := now.Add(known.wait(rate, now)); at.After(next.at) {
			next.at = at
		}
		next.interval, next.promisedUntil = seconds(1/rate), &known.promisedUntil
	} else {
		paused := t.pauses[upstream.Incarnation()]
		if paused.promisedUntil.Sub(paused.until) > pauseReturnSpread {
			paused.promisedUntil = time.Time{}
		}
		next.promisedUntil = &paused.promisedUntil
	}
	if next.at.Before(*next.promisedUntil) {
		next.at = *next.promisedUntil
	}
	return next
}
