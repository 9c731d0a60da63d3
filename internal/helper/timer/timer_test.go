package timer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSubscriberNeverRunsTwiceAtOnce guards against a slow subscriber that accumulates one
// goroutine per period.
func TestSubscriberNeverRunsTwiceAtOnce(t *testing.T) {
	now := time.Now()
	s := &Service{Clock: func() time.Time { return now }}
	entered, release := make(chan time.Time, 10), make(chan struct{})
	s.Every(time.Second, func(at time.Time) {
		entered <- at
		<-release
	})
	s.Tick()
	assert.Equal(t, len(entered), 0)
	now = now.Add(time.Second)
	s.Tick()
	<-entered
	now = now.Add(time.Minute)
	s.Tick()
	assert.Equal(t, len(entered), 0)
	close(release)
	for running(s) {
		time.Sleep(time.Millisecond)
	}
	s.Tick()
	assert.Equal(t, <-entered, now)
}

func running(s *Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sub := range s.subscriptions {
		if sub.running {
			return true
		}
	}
	return false
}

// TestCancel guards against calls after a subscription is canceled.
func TestCancel(t *testing.T) {
	now := time.Now()
	s := &Service{Clock: func() time.Time { return now }}
	called := make(chan struct{}, 1)
	cancel := s.Every(time.Second, func(time.Time) { called <- struct{}{} })
	cancel()
	now = now.Add(time.Hour)
	s.Tick()
	assert.Equal(t, len(s.subscriptions), 0)
	assert.Equal(t, len(called), 0)
}
