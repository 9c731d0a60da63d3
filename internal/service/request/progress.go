package request

import (
	"context"
	"sync"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// requestTracker counts the requests in progress, including queued ones. The zero value is ready to use.
type requestTracker struct {
	mu       sync.Mutex
	count    int
	draining bool
	// idle is closed once the host is draining and no request is in progress.
	idle chan struct{}
}

// enter counts a request, or returns an error if the host is draining.
func (t *requestTracker) enter() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return newDrainingError()
	}
	t.count++
	return nil
}

func newDrainingError() error { return fault.New(api.KindDraining, "this host is shutting down") }

func (t *requestTracker) exit() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.draining && t.count == 0 {
		close(t.idle)
	}
}

// drain refuses new requests and returns a channel that is closed when the last request has ended.
func (t *requestTracker) drain() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.draining {
		t.draining = true
		t.idle = make(chan struct{})
		if t.count == 0 {
			close(t.idle)
		}
	}
	return t.idle
}

// InProgress returns the number of requests in progress.
func (s *Service) InProgress() int {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	return s.tracker.count
}

// Drain refuses new requests as not run and waits for all requests in progress,
// including queued ones. When ctx ends, it refuses those still in the queue and
// returns the error of ctx.
func (s *Service) Drain(ctx context.Context) error {
	idle := s.tracker.drain()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	if s.Queue != nil {
		s.Queue.RefuseQueued(newDrainingError)
	}
	return ctx.Err()
}
