package member

import (
	"sort"
	"time"

	"redwingloft/pkg/api"
)

// settle finds the highest revision whose handover is complete. The caller holds mu.
func (s *Service) settle() {
	now := s.now()
	s.prune(now)
	if s.list == nil {
		return
	}
	s.finish(s.acknowledgedByAll(now))
	s.noteMajority(now)
	for len(s.majorities) > 0 && now-s.majorities[0].seen >= s.freshness()+s.margin() {
		s.finish(s.majorities[0].revision)
		s.majorities = s.majorities[1:]
	}
}

// finish records that the handover of a revision is complete, which stays true. The caller holds mu.
func (s *Service) finish(revision api.Revision) {
	if uint64(revision) <= s.complete.Load() || revision == never {
		return
	}
	s.complete.Store(uint64(revision))
	s.notify()
}

// acknowledgedByAll returns the revision below which no host can start a request:
// the lowest acknowledgement of the members, of the strays that may still be
// fresh, and of the hosts in the manifest that are not known here yet. The caller holds mu.
func (s *Service) acknowledgedByAll(now time.Duration) api.Revision {
	if len(s.strays) >= maxStrays {
		return 0
	}
	lowest := s.acked
	for i, member := range s.list.members {
		if member.Host != s.Self.Host {
			lowest = min(lowest, s.states[i].acked)
		}
	}
	for _, other := range s.strays {
		if now-other.heard < s.freshness()+s.margin() {
			lowest = min(lowest, other.acked)
		}
	}
	if s.Roster == nil {
		return lowest
	}
	for _, host := range s.Roster() {
		if !s.known(host) {
			return 0
		}
	}
	return lowest
}

// known reports whether host is or was in the list, or is a stray. The caller holds mu.
func (s *Service) known(host api.HostID) bool {
	if _, listed := s.list.index[host]; listed {
		return true
	}
	_, left := s.departed[host]
	return left || s.strays[host] != nil || host == s.Self.Host
}

// noteMajority remembers when a majority of the voters was first seen to have acknowledged a revision. The caller holds mu.
func (s *Service) noteMajority(now time.Duration) {
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
	if revision == never {
		revision = s.revision()
	}
	if uint64(revision) <= s.complete.Load() {
		return
	}
	if n := len(s.majorities); n == 0 || s.majorities[n-1].revision < revision {
		s.majorities = append(s.majorities, majority{revision, now})
	}
}

// present reports whether host is in the list or a stray. The caller holds mu.
func (s *Service) present(host api.HostID) bool {
	if s.strays[host] != nil {
		return true
	}
	if s.list == nil {
		return false
	}
	_, listed := s.list.index[host]
	return listed
}

// prune drops strays that can't be fresh any more and old departures. The caller holds mu.
func (s *Service) prune(now time.Duration) {
	for host, other := range s.strays {
		if now-other.heard > 2*(s.freshness()+s.margin()) {
			delete(s.strays, host)
		}
	}
	for host := range s.drained {
		if !s.present(host) {
			delete(s.drained, host)
		}
	}
	for host, left := range s.departed {
		if now-left > time.Hour {
			delete(s.departed, host)
		}
	}
}
