package request

import (
	"context"
	"sync"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// progress counts the requests in progress, waiting ones included. The zero value works.
type progress struct {
	mu       sync.Mutex
	count    int
	draining bool
	// idle is closed once the host drains and no request is in progress.
	idle chan struct{}
}

// enter counts a request, or refuses it while the host drains.
func (p *progress) enter() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return draining()
	}
	p.count++
	return nil
}

func draining() error { return fault.New(api.KindDraining, "this host is shutting down") }

func (p *progress) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count--
	if p.draining && p.count == 0 {
		close(p.idle)
	}
}

// drain refuses new requests from now on and returns the channel that is closed at the end of the last.
func (p *progress) drain() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.draining {
		p.draining = true
		p.idle = make(chan struct{})
		if p.count == 0 {
			close(p.idle)
		}
	}
	return p.idle
}

// InProgress returns the number of requests in progress.
func (s *Service) InProgress() int {
	s.progress.mu.Lock()
	defer s.progress.mu.Unlock()
	return s.progress.count
}

// Drain refuses new requests as not run and waits for the end of all requests in
// progress, the waiting ones included. At the end of ctx it refuses those that
// still wait and returns the error of ctx.
func (s *Service) Drain(ctx context.Context) error {
	idle := s.progress.drain()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
	}
	if s.Queue != nil {
		s.Queue.RefuseQueued(draining)
	}
	return ctx.Err()
}
