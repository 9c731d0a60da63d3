package request

import (
	"context"
	"errors"
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
	// cancels ends the requests in progress, by their number of arrival.
	cancels map[uint64]context.CancelCauseFunc
	entered uint64
}

// errGivenUp is the cancel cause of requests that have not ended when the host stops.
var errGivenUp = errors.New("the host stops before the request has ended")

// enter counts a request, or returns an error if the host is draining. The request runs with the returned
// context until exit is called.
func (t *requestTracker) enter(parent context.Context) (ctx context.Context, exit func(), err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return nil, nil, newDrainingError()
	}
	ctx, cancel := context.WithCancelCause(parent)
	if t.cancels == nil {
		t.cancels = map[uint64]context.CancelCauseFunc{}
	}
	t.entered++
	number := t.entered
	t.cancels[number] = cancel
	t.count++
	return ctx, func() {
		cancel(nil)
		t.exit(number)
	}, nil
}

// giveUp cancels the requests in progress.
func (t *requestTracker) giveUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, cancel := range t.cancels {
		cancel(errGivenUp)
	}
}

// givenUpError returns the error for the caller of a request that ended with err. One that was given up and
// has not run is refused as not run.
func givenUpError(ctx context.Context, err error) error {
	switch {
	case err == nil || !errors.Is(context.Cause(ctx), errGivenUp):
		return err
	case fault.RunStateOf(err) == api.RunNo:
		return fault.Wrap(api.KindDraining, err, "this host is shutting down")
	}
	return fault.WithRunState(fault.Wrap(api.KindStageFailed, err, "this host is shutting down"), fault.RunStateOf(err))
}

func newDrainingError() error { return fault.New(api.KindDraining, "this host is shutting down") }

func (t *requestTracker) exit(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cancels, number)
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

// GiveUp ends all requests in progress, which then return an error that says whether they ran.
func (s *Service) GiveUp() { s.tracker.giveUp() }
