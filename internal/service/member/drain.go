package member

import (
	"context"
	"time"
)

// gossipRounds bounds the rounds of exchanges with random peers after which news of
// one host has reached all others at the target size; BenchmarkAnnounce measures them.
const gossipRounds = 8

// Drain takes this host off the address lists: its own at once, those of the other
// hosts by the next exchanges, the first of which start now.
func (s *Service) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.Round(ctx)
}

// AnnounceTime returns the time within which all hosts hear of a drain.
func (s *Service) AnnounceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil || len(s.list.members) <= smallSite {
		return 2 * s.interval()
	}
	return gossipRounds * s.interval()
}

// Draining reports whether the drain has begun.
func (s *Service) Draining() bool { return s.draining.Load() }

// Close refuses all new requests as draining. Once no request can start, it
// acknowledges every revision and tells its peers, so that no handover waits for this host.
func (s *Service) Close(ctx context.Context) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.refuse()
	s.Round(ctx)()
}

// refuse ends the start of requests for good.
func (s *Service) refuse() {
	s.closed.Store(true)
	s.starts.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = never
	s.notify()
}
