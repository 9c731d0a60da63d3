package member

import (
	"context"
	"time"
)

// gossipRounds is the number of exchange rounds with random peers within which news of one
// host reaches all others at the target size; BenchmarkAnnounce measures it.
const gossipRounds = 8

// Drain removes this host from the address lists: from its own at once, and from those of
// the other hosts with the next exchanges, the first of which start now.
func (s *Service) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.StartRound(ctx)
}

// AnnounceTime returns the time within which all hosts learn of a drain.
func (s *Service) AnnounceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil || len(s.list.members) <= smallSiteHosts {
		return 2 * s.interval()
	}
	return gossipRounds * s.interval()
}

// Draining reports whether the drain has begun.
func (s *Service) Draining() bool { return s.draining.Load() }

// StopRequests refuses all new requests with KindDraining. Once no request can start, it
// acknowledges every revision and notifies the peers, so that no handover waits for this host.
func (s *Service) StopRequests(ctx context.Context) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.refuseRequests()
	s.StartRound(ctx)()
}

// refuseRequests permanently stops requests from starting, and acknowledges every revision.
func (s *Service) refuseRequests() {
	s.closed.Store(true)
	s.activeStarts.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = ackAll
	s.notifyWaiters()
}
