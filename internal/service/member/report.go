package member

import (
	"cmp"
	"slices"
	"time"

	"redwingloft/pkg/api"
)

// HostState is the state of a host as seen by this host.
type HostState string

// The states of a host.
const (
	HostSelf     HostState = "this host"
	HostLive     HostState = "live"
	HostIsolated HostState = "isolated"
	HostDraining HostState = "leaving"
	HostDead     HostState = "dead"
)

// HostReport is what this host knows of one host, which may be itself.
type HostReport struct {
	Member
	State HostState
	// Revision is the revision that the host has acknowledged; 0 means that it is unknown.
	Revision api.Revision
	// Registered is false for a host that is not in any member document.
	Registered bool
}

// Report returns what this host knows of all hosts, sorted by data centre and host id.
func (s *Service) Report() []HostReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	reports := []HostReport{{Member: s.Self, State: HostSelf, Revision: s.revision()}}
	if s.list != nil {
		for i, member := range s.list.members {
			if member.Host == s.Self.Host {
				reports[0].Registered = true
				continue
			}
			known := s.states[i]
			reports = append(reports, HostReport{
				Member: member, Registered: true, Revision: reportedRevision(known.acked),
				State: s.stateOf(member.Host, known.lastHeard, known.isolated, now),
			})
		}
	}
	for _, other := range s.unregistered {
		reports = append(reports, HostReport{
			Member: other.Member, Revision: reportedRevision(other.acked),
			State: s.stateOf(other.Host, other.lastHeard, false, now),
		})
	}
	slices.SortFunc(reports, func(a, b HostReport) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Host, b.Host))
	})
	return reports
}

// reportedRevision returns 0 for a host that starts no more requests.
func reportedRevision(acked api.Revision) api.Revision {
	if acked == ackAll {
		return 0
	}
	return acked
}

// stateOf returns the state of another host. The caller holds mu.
func (s *Service) stateOf(host api.HostID, heard time.Duration, isolated bool, now time.Duration) HostState {
	switch {
	case s.drainingHosts[host]:
		return HostDraining
	case !s.isAlive(heard, now):
		return HostDead
	case isolated:
		return HostIsolated
	}
	return HostLive
}
