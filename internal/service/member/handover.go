package member

import (
	"sort"
	"time"

	"redwingloft/pkg/api"
)

// updateHandover finds the highest revision whose handover is complete. The caller holds mu.
func (s *Service) updateHandover() {
	now := s.now()
	s.pruneHosts(now)
	if s.list == nil {
		return
	}
	s.completeHandover(s.acknowledgedByAll(now))
	s.recordMajority(now)
	for len(s.majorities) > 0 && now-s.majorities[0].seenAt >= s.freshness()+s.clockDriftMargin() {
		s.completeHandover(s.majorities[0].revision)
		s.majorities = s.majorities[1:]
	}
}

// completeHandover records that the handover of a revision is complete, which is final. The caller holds mu.
func (s *Service) completeHandover(revision api.Revision) {
	if uint64(revision) <= s.complete.Load() || revision == ackAll {
		return
	}
	s.complete.Store(uint64(revision))
	s.notifyWaiters()
}

// acknowledgedByAll returns the revision below which no host can start a request: the lowest
// one acknowledged by the members, by the unregistered hosts that may still be fresh,
// and by the hosts in the manifest that are not known here yet. The caller holds mu.
func (s *Service) acknowledgedByAll(now time.Duration) api.Revision {
	if len(s.unregistered) >= maxUnregistered {
		return 0
	}
	lowest := s.acked
	for i, member := range s.list.members {
		if member.Host != s.Self.Host {
			lowest = min(lowest, s.states[i].acked)
		}
	}
	for _, other := range s.unregistered {
		if now-other.lastHeard < s.freshness()+s.clockDriftMargin() {
			lowest = min(lowest, other.acked)
		}
	}
	if s.ManifestHosts == nil {
		return lowest
	}
	for _, host := range s.ManifestHosts() {
		if !s.isKnown(host) {
			return 0
		}
	}
	return lowest
}

// isKnown reports whether host is or was in the list, or is an unregistered host. The caller holds mu.
func (s *Service) isKnown(host api.HostID) bool {
	if _, listed := s.list.index[host]; listed {
		return true
	}
	_, left := s.departed[host]
	return left || s.unregistered[host] != nil || host == s.Self.Host
}

// recordMajority records when this host first saw that a majority of the voters had
// acknowledged a revision. The caller holds mu.
func (s *Service) recordMajority(now time.Duration) {
	if s.list.voters == 0 || uint64(s.revision()) <= s.complete.Load() {
		return
	}
	acked := make([]api.Revision, 0, s.list.voters)
	for i, member := range s.list.members {
		switch {
		case !member.Voter:
		case member.Host == s.Self.Host:
			acked = append(acked, s.acked)
		default:
			acked = append(acked, s.states[i].acked)
		}
	}
	sort.Slice(acked, func(i, j int) bool { return acked[i] > acked[j] })
	revision := acked[s.list.majority()-1]
	if revision == ackAll {
		revision = s.revision()
	}
	if uint64(revision) <= s.complete.Load() {
		return
	}
	if n := len(s.majorities); n == 0 || s.majorities[n-1].revision < revision {
		s.majorities = append(s.majorities, majorityAck{revision, now})
	}
}

// isPresent reports whether host is in the list or an unregistered host. The caller holds mu.
func (s *Service) isPresent(host api.HostID) bool {
	if s.unregistered[host] != nil {
		return true
	}
	if s.list == nil {
		return false
	}
	_, listed := s.list.index[host]
	return listed
}

// pruneHosts drops unregistered hosts that can't be fresh any more, and departed hosts after
// an hour. The caller holds mu.
func (s *Service) pruneHosts(now time.Duration) {
	for host, other := range s.unregistered {
		if now-other.lastHeard > 2*(s.freshness()+s.clockDriftMargin()) {
			delete(s.unregistered, host)
		}
	}
	for host := range s.drainingHosts {
		if !s.isPresent(host) {
			delete(s.drainingHosts, host)
		}
	}
	for host, left := range s.departed {
		if now-left > time.Hour {
			delete(s.departed, host)
		}
	}
}
