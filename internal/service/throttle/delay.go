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
	// promises are those of the limit, the cold limit or the pause.
	promises []*time.Time
}

// add delays a turn to that of another reason for which the upstream accepts no request.
func (n *turn) add(wait, interval time.Duration, promisedUntil *time.Time, now time.Time) {
	for _, at := range []time.Time{now.Add(wait), *promisedUntil} {
		if at.After(n.at) {
			n.at = at
		}
	}
	n.interval = max(n.interval, interval)
	n.promises = append(n.promises, promisedUntil)
}

// RetryDelay returns the time after which a caller that is refused because of limits, cold upstreams
// and pauses should return. Callers that are refused one after the other get different times.
func (t *Table) RetryDelay(upstreams []*fleet.Upstream, now time.Time) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var chosen *turn
	// total is the rate of the upstreams whose limits other hosts share, and warmAt the time from
	// which this host may use one of them.
	var total float64
	var warmAt time.Time
	for _, upstream := range upstreams {
		known, cold := t.limited(upstream), t.coldLimit(upstream, now)
		if known == nil && cold == nil && t.paused(upstream, now) == 0 {
			return 0
		}
		rate, shared := t.sharedRate(upstream, known, cold, now)
		if total += rate; !shared {
			if cold != nil && (warmAt.IsZero() || cold.end.Before(warmAt)) {
				warmAt = cold.end
			}
			continue
		}
		if next := t.nextTurn(upstream, now); chosen == nil || next.at.Before(chosen.at) {
			chosen = &next
		}
	}
	if chosen == nil {
		// Other hosts share all limits, and may accept the caller at any time.
		delay := seconds(1 / max(total, minRate))
		if !warmAt.IsZero() {
			delay = min(delay, warmAt.Sub(now))
		}
		return delay
	}
	for _, promisedUntil := range chosen.promises {
		*promisedUntil = chosen.at.Add(chosen.interval)
	}
	return chosen.at.Sub(now)
}

// sharedRate returns the rate at which all hosts together may send requests to an upstream, and
// whether this host is one of those that share it. The caller holds mu.
func (t *Table) sharedRate(upstream *fleet.Upstream, known *limit, cold *coldLimit, now time.Time) (rate float64, shared bool) {
	shared = true
	if known != nil {
		rate, shared = known.rate, t.share(upstream.ID, known) > 0
	}
	if cold != nil {
		if all := cold.rate(cold.all); known == nil || all < rate {
			rate = all
		}
		shared = shared && t.coldSlots(upstream, cold, now) > 0
	}
	return rate, shared
}

// nextTurn returns the next turn at an upstream that has a pause, or limits of which this host has
// a share. The caller holds mu.
func (t *Table) nextTurn(upstream *fleet.Upstream, now time.Time) turn {
	next := turn{at: now}
	known, cold := t.limited(upstream), t.coldLimit(upstream, now)
	if paused := t.paused(upstream, now); paused > 0 && (known != nil || cold != nil) {
		next.at = now.Add(paused)
	}
	if known != nil {
		rate := t.share(upstream.ID, known)
		next.add(known.wait(rate, now), seconds(1/rate), &known.promisedUntil, now)
	}
	if cold != nil {
		slots := t.coldSlots(upstream, cold, now)
		spreadPromises(&cold.promisedUntil, cold.end)
		interval := coldInterval / time.Duration(slots)
		if !cold.promisedUntil.Before(cold.end) {
			interval = pauseReturnInterval
		}
		next.add(cold.wait(slots, now), interval, &cold.promisedUntil, now)
	}
	if known == nil && cold == nil {
		paused := t.pauses[upstream.Incarnation()]
		spreadPromises(&paused.promisedUntil, paused.until)
		next.add(paused.until.Sub(now), pauseReturnInterval, &paused.promisedUntil, now)
	}
	return next
}

// spreadPromises begins again at the end of a pause or a cold time if callers were told to return
// over pauseReturnSpread after it.
func spreadPromises(promisedUntil *time.Time, end time.Time) {
	if promisedUntil.Sub(end) > pauseReturnSpread {
		*promisedUntil = time.Time{}
	}
}
