package member

import (
	"sort"
	"time"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// evidence states that a majority had acknowledged no revision above revision before time
// at; if it was read from the store, that no higher revision had been committed before at.
type evidence struct {
	at       time.Duration
	revision api.Revision
}

// Fresh returns nil if this host may start requests, and an error of kind host_isolated otherwise.
func (s *Service) Fresh() error {
	if s.Standalone || s.isFresh() {
		return nil
	}
	return isolatedError()
}

func isolatedError() error {
	return fault.New(api.KindHostIsolated, "this host has no current evidence that its configuration is the newest")
}

// isFresh loads the end of freshness before it reads the clock, so that a pause between
// the two can only end freshness.
func (s *Service) isFresh() bool {
	until := time.Duration(s.freshUntil.Load())
	return s.now() < until
}

// addEvidence records evidence: as currentEvidence if its revision is at most the active one,
// and as pendingEvidence otherwise. Only the latest of each is kept. The caller holds mu.
func (s *Service) addEvidence(e evidence) {
	if e.revision > s.revision() {
		if e.at > s.pendingEvidence.at {
			s.pendingEvidence = e
		}
		return
	}
	if e.at > s.currentEvidence.at {
		s.currentEvidence = e
		s.updateFreshUntil()
	}
}

// dropEvidence drops all evidence. It also restarts the age of all members, so that a pause
// of this host does not count as their silence. The caller holds mu.
func (s *Service) dropEvidence() {
	s.currentEvidence, s.pendingEvidence = evidence{}, evidence{}
	for i := range s.states {
		s.states[i].confirmedAt, s.states[i].knownSince = 0, s.now()
	}
	s.updateFreshUntil()
}

// updateFreshUntil publishes the end of freshness for the active revision. The caller holds mu.
func (s *Service) updateFreshUntil() {
	until := time.Duration(0)
	if s.currentEvidence.at > 0 {
		until = s.currentEvidence.at + s.freshness()
	}
	s.freshUntil.Store(int64(until))
}

// promotePendingEvidence uses evidence for a revision that has become active. The caller holds mu.
func (s *Service) promotePendingEvidence() {
	if s.pendingEvidence.at == 0 || s.pendingEvidence.revision > s.revision() {
		return
	}
	e := s.pendingEvidence
	s.pendingEvidence = evidence{}
	s.addEvidence(e)
}

// addMajorityEvidence derives evidence from a majority of the voters none of which had
// acknowledged a revision above the active one. Any later change needs a majority too,
// and the two overlap. The caller holds mu.
func (s *Service) addMajorityEvidence() {
	at, found := s.majorityConfirmedAt()
	if found {
		s.addEvidence(evidence{at: at, revision: s.revision()})
	}
}

// majorityConfirmedAt returns the latest time at which a majority of the voters had certainly
// acknowledged nothing above the active revision of this host. The caller holds mu.
func (s *Service) majorityConfirmedAt() (time.Duration, bool) {
	if s.list == nil || s.list.voters == 0 {
		return 0, false
	}
	own, now := s.revision(), s.now()
	times := make([]time.Duration, 0, s.list.voters)
	for i, member := range s.list.members {
		switch {
		case !member.Voter:
		case member.Host == s.Self.Host:
			times = append(times, now)
		case s.states[i].confirmedAt > 0 && s.states[i].acked <= own:
			times = append(times, s.states[i].confirmedAt)
		}
	}
	needed := s.list.majority()
	if len(times) < needed {
		return 0, false
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[needed-1], true
}
