// Package timer provides the timer service of a process. Components subscribe to periodic
// calls instead of running their own tickers, and tests can advance the clock manually.
package timer

import (
	"context"
	"sync"
	"time"
)

// idleSleep is how long Run sleeps while there are no subscriptions.
const idleSleep = time.Hour

// Service calls subscribers periodically. The zero value is ready to use.
type Service struct {
	// Clock returns the current time with a monotonic clock reading; nil means time.Now.
	Clock func() time.Time

	mu            sync.Mutex
	subscriptions map[*subscription]struct{}
	// wakeup signals Run to check the subscriptions; its capacity is 1.
	wakeup chan struct{}
}

type subscription struct {
	period time.Duration
	// due is the time of the next call.
	due  time.Time
	call func(now time.Time)
	// running is true while call runs; periods that elapse in the meantime are skipped.
	running bool
}

// Now returns the current time of the service.
func (s *Service) Now() time.Time {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

// Every calls f once per period until cancel is called. Each call runs in its own goroutine,
// and calls of the same subscription don't overlap.
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

// wake makes Run check the subscriptions. The caller holds mu.
func (s *Service) wake() {
	select {
	case s.wakeupChannel() <- struct{}{}:
	default:
	}
}

// wakeupChannel returns the channel that wakes Run. The caller holds mu.
func (s *Service) wakeupChannel() chan struct{} {
	if s.wakeup == nil {
		s.wakeup = make(chan struct{}, 1)
	}
	return s.wakeup
}

// Run calls the subscribers until ctx is canceled. It sleeps until the next call is due, so
// that an idle host has no periodic wakeups.
func (s *Service) Run(ctx context.Context) error {
	sleep := time.NewTimer(0)
	defer sleep.Stop()
	s.mu.Lock()
	added := s.wakeupChannel()
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
	wait := idleSleep
	for sub := range s.subscriptions {
		// A running subscription wakes Run when its call returns.
		if !sub.running {
			wait = min(wait, sub.due.Sub(now))
		}
	}
	return max(wait, 0)
}

// Tick starts the call of every subscription that is due. Tests call it after advancing the
// clock.
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
