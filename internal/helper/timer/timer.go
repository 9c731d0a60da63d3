// Package timer provides the one timer service of a process. Parts subscribe
// to periods in place of running tickers of their own, and tests advance the
// clock by hand.
package timer

import (
	"context"
	"sync"
	"time"
)

// idleWait is how long the service sleeps while nothing is subscribed.
const idleWait = time.Hour

// Service calls subscribers at their periods. The zero value uses the system clock.
type Service struct {
	// Clock returns the current time; nil means time.Now. Its values carry a monotonic reading.
	Clock func() time.Time

	mu            sync.Mutex
	subscriptions map[*subscription]struct{}
	// added wakes Run for a subscription that is due before the others; it holds one signal.
	added chan struct{}
}

type subscription struct {
	period time.Duration
	// due is the next time at which call runs.
	due  time.Time
	call func(now time.Time)
	// running is true while call runs; a period that passes meanwhile is skipped.
	running bool
}

// Now returns the current time of the service.
func (s *Service) Now() time.Time {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

// Every calls f once a period, each time in a goroutine of its own and never
// twice at once, until the returned function is called.
func (s *Service) Every(period time.Duration, f func(now time.Time)) (cancel func()) {
	sub := &subscription{period: period, due: s.Now().Add(period), call: f}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.subscriptions == nil {
		s.subscriptions = map[*subscription]struct{}{}
	}
	s.subscriptions[sub] = struct{}{}
	s.wake()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscriptions, sub)
	}
}

// wake makes Run look at the subscriptions again. The caller holds mu.
func (s *Service) wake() {
	select {
	case s.signal() <- struct{}{}:
	default:
	}
}

// signal returns the channel that wakes Run. The caller holds mu.
func (s *Service) signal() chan struct{} {
	if s.added == nil {
		s.added = make(chan struct{}, 1)
	}
	return s.added
}

// Run drives the subscriptions until ctx ends. It sleeps until the next one is due,
// so that an idle host is not woken.
func (s *Service) Run(ctx context.Context) error {
	sleep := time.NewTimer(0)
	defer sleep.Stop()
	s.mu.Lock()
	added := s.signal()
	s.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-added:
		case <-sleep.C:
		}
		s.Tick()
		sleep.Reset(s.untilNext())
	}
}

// untilNext returns the time until the next subscription is due.
func (s *Service) untilNext() time.Duration {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := idleWait
	for sub := range s.subscriptions {
		// A running subscription wakes the service at its end.
		if !sub.running {
			wait = min(wait, sub.due.Sub(now))
		}
	}
	return max(wait, 0)
}

// Tick starts every subscription that is due. Tests call it after advancing their clock.
func (s *Service) Tick() {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for sub := range s.subscriptions {
		if now.Before(sub.due) || sub.running {
			continue
		}
		sub.due = now.Add(sub.period)
		sub.running = true
		go s.invoke(sub, now)
	}
}

func (s *Service) invoke(sub *subscription, now time.Time) {
	defer func() {
		s.mu.Lock()
		sub.running = false
		s.wake()
		s.mu.Unlock()
	}()
	sub.call(now)
}
