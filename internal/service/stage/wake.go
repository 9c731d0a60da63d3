package stage

import (
	"time"

	"redwingloft/internal/helper/clock"
)

// wakeSlack is added to the end of a cooldown, so that the upstream is usable when the timer
// fires.
const wakeSlack = time.Millisecond

// scheduleWake schedules a dispatch at the end of the next cooldown or of the next wait for a rate limit. The caller holds mu.
func (s *Scheduler) scheduleWake(now time.Time) {
	var next time.Time
	for _, w := range s.plan.workers {
		usableAt := w.cooldownUntil
		if throttledUntil := now.Add(s.Throttle.WaitAlone(w.upstream, now)); throttledUntil.After(usableAt) {
			usableAt = throttledUntil
		}
		if !w.removed && now.Before(usableAt) && (next.IsZero() || usableAt.Before(next)) {
			next = usableAt
		}
	}
	if next.IsZero() || (now.Before(s.wakeAt) && !next.Before(s.wakeAt)) {
		return
	}
	s.wakeAt = next
	time.AfterFunc(next.Sub(now)+wakeSlack, s.wake)
}

func (s *Scheduler) wake() {
	s.mu.Lock()
	now := clock.Now()
	s.refresh()
	calls := s.plan.dispatch(now)
	s.scheduleWake(now)
	s.mu.Unlock()
	s.startCalls(calls)
}
