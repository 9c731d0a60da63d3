package member

import (
	"sort"
	"time"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// evidence says that no revision above revision was acknowledged by a majority
// before time at, and that none was committed before it where it stems from the store.
type evidence struct {
	at       time.Duration
	revision api.Revision
}

// Fresh returns nil where this host may start requests, and host_isolated otherwise.
func (s *Service) Fresh() error {
	if s.Alone || s.isFresh() {
		return nil
	}
	return isolated()
}

func isolated() error {
	return fault.New(api.KindHostIsolated, "this host has no current evidence that its configuration is the newest")
}

// isFresh reads the end of freshness before the clock, so that a pause between the two can only end freshness.
func (s *Service) isFresh() bool {
	until := time.Duration(s.freshUntil.Load())
	return s.now() < until
}

// witness adds evidence. The caller holds mu.
func (s *Service) witness(e evidence) {
	if e.revision > s.revision() {
		if e.at > s.ahead.at {
			s.ahead = e
		}
		return
	}
	if e.at > s.current.at {
		s.current = e
		s.extend()
	}
}

// forget drops all evidence, and the silence of others while this host was paused. The caller holds mu.
func (s *Service) forget() {
	s.current, s.ahead = evidence{}, evidence{}
	for i := range s.states {
		s.states[i].proof, s.states[i].since = 0, s.now()
	}
	s.extend()
}

// extend publishes the end of freshness for the revision in force. The caller holds mu.
func (s *Service) extend() {
	until := time.Duration(0)
	if s.current.at > 0 {
		until = s.current.at + s.freshness()
	}
	s.freshUntil.Store(int64(until))
}

// promote uses evidence that was ahead of the revision in force. The caller holds mu.
func (s *Service) promote() {
	if s.ahead.at == 0 || s.ahead.revision > s.revision() {
		return
	}
	e := s.ahead
	s.ahead = evidence{}
	s.witness(e)
}

// ask derives evidence from a majority of the voters, none of which had
// acknowledged a revision above the one in force. Any later change needs a
// majority too, and the two overlap. The caller holds mu.
func (s *Service) ask() {
	at, found := s.majorityProof()
	if found {
		s.witness(evidence{at: at, revision: s.revision()})
	}
}

// majorityProof returns the time at which a majority was certainly not ahead of this host. The caller holds mu.
func (s *Service) majorityProof() (time.Duration, bool) {
	if s.list == nil || s.list.voters == 0 {
		return 0, false
	}
	own, now := s.revision(), s.now()
	proofs := make([]time.Duration, 0, s.list.voters)
	for i, member := range s.list.members {
		switch {
		case !member.Voter:
		case member.Host == s.Self.Host:
			proofs = append(proofs, now)
		case s.states[i].proof > 0 && s.states[i].acked <= own:
			proofs = append(proofs, s.states[i].proof)
		}
	}
	needed := s.list.majority()
	if len(proofs) < needed {
		return 0, false
	}
	sort.Slice(proofs, func(i, j int) bool { return proofs[i] > proofs[j] })
	return proofs[needed-1], true
}
