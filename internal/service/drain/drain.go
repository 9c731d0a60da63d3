// Package drain holds the schedule of a host that is told to stop, which bounds the waits of the requests
// that it has accepted.
package drain

import (
	"context"
	"errors"
	"sync"
	"time"

	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// ErrEnded is the cancel cause of work that can't end before the drain does.
var ErrEnded = errors.New("the host stops")

// retryAfter is the delay after which a caller refused by a draining host may retry at another.
const retryAfter = 10 * time.Millisecond

// Refusal returns the error for a request that a draining host refuses as not run. cause may be nil.
func Refusal(cause error) error {
	err := fault.New(api.KindDraining, "the host is draining")
	if cause != nil {
		err = fault.Wrap(api.KindDraining, cause, "the host is draining")
	}
	return fault.AddRetryAfter(err, retryAfter)
}

// Times are the times of a drain.
type Times struct {
	// AcceptUntil is the time from which new requests are refused.
	AcceptUntil time.Time
	// End is the time by which the response to each accepted request must have begun. Responses that
	// have begun may go on until the process exits.
	End time.Time
}

// Schedule holds the times of a host's drain, which are unknown until it begins. The zero value is ready to
// use, and a nil Schedule is that of a host that never drains.
type Schedule struct {
	once      sync.Once
	beginOnce sync.Once
	begun     context.Context
	begin     context.CancelFunc
	// times is set before begun is cancelled and does not change after it.
	times Times
}

func (s *Schedule) init() {
	s.once.Do(func() { s.begun, s.begin = context.WithCancel(context.Background()) })
}

// Begin starts the drain. Further calls change nothing.
func (s *Schedule) Begin(times Times) {
	s.init()
	s.beginOnce.Do(func() {
		s.times = times
		s.begin()
	})
}

// Times returns the times of the drain, and whether it has begun.
func (s *Schedule) Times() (times Times, begun bool) {
	if s == nil {
		return Times{}, false
	}
	s.init()
	if s.begun.Err() == nil {
		return Times{}, false
	}
	return s.times, true
}

// Bound returns the earlier of deadline and the given time before the end of the drain.
func (s *Schedule) Bound(deadline time.Time, reserve time.Duration) time.Time {
	if times, begun := s.Times(); begun {
		if end := times.End.Add(-reserve); end.Before(deadline) {
			return end
		}
	}
	return deadline
}

// BeforeEnd calls f, in a goroutine of its own, at the given time before the end of the drain, or at once if
// that has passed. It is not called after stop was, and need not be stopped once it was called.
func (s *Schedule) BeforeEnd(reserve time.Duration, f func()) (stop func()) {
	if s == nil {
		return func() {}
	}
	s.init()
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	stopWaiting := context.AfterFunc(s.begun, func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer = time.AfterFunc(s.times.End.Add(-reserve).Sub(clock.Now()), f)
		}
	})
	return func() {
		stopWaiting()
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		if timer != nil {
			timer.Stop()
		}
	}
}
