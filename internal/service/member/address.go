package member

import (
	"math/rand/v2"
	"time"

	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

const (
	// maxAddresses is the maximum length of an address list.
	maxAddresses = 8
	// probersPerUpstream is the number of hosts that probe each upstream.
	probersPerUpstream = 2
)

// liveSet is the immutable set of live hosts, including this one, from which hashing selects.
type liveSet struct {
	members []Member
	hashes  []uint64
	// self is the index of this host.
	self int
	// list and sum identify the set: the member list, and the sum of the hashes of its live members.
	list *memberList
	sum  uint64
}

// updateLiveSet publishes the set of live hosts if it has changed. The caller holds mu.
func (s *Service) updateLiveSet() {
	set := &liveSet{list: s.list}
	live := make([]int, 0, len(s.states))
	now := s.now()
	for i := range s.states {
		member := &s.list.members[i]
		if member.Host != s.Self.Host && !s.drainingHosts[member.Host] && s.isAlive(s.states[i].lastHeard, now) {
			live = append(live, i)
			set.sum += s.list.hashes[i]
		}
	}
	if old := s.liveSet.Load(); old != nil && old.list == set.list && old.sum == set.sum {
		return
	}
	for _, i := range live {
		set.members, set.hashes = append(set.members, s.list.members[i]), append(set.hashes, s.list.hashes[i])
	}
	set.self = len(set.members)
	set.members = append(set.members, s.Self)
	set.hashes = append(set.hashes, hashing.Of(string(s.Self.Host)))
	s.liveSet.Store(set)
}

// currentLiveSet returns the set of live hosts.
func (s *Service) currentLiveSet() *liveSet {
	if set := s.liveSet.Load(); set != nil {
		return set
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateLiveSet()
	return s.liveSet.Load()
}

// Home returns the live host that owns key, and whether it is this host.
func (s *Service) Home(key string) (Member, bool) {
	set := s.currentLiveSet()
	owner := hashing.Owner(hashing.Of(key), set.hashes)
	return set.members[owner], owner == set.self
}

// LiveCount returns the number of live hosts that are not draining, including this one.
func (s *Service) LiveCount() int { return len(s.currentLiveSet().members) }

// IsLive reports whether a host is live and not draining.
func (s *Service) IsLive(host api.HostID) bool {
	for _, member := range s.currentLiveSet().members {
		if member.Host == host {
			return true
		}
	}
	return false
}

// IsProber reports whether this host is one of those that probe an upstream.
func (s *Service) IsProber(upstream string) bool {
	set := s.currentLiveSet()
	return hashing.Rank(hashing.Of(upstream), set.hashes, set.self) < probersPerUpstream
}

// isAlive reports whether a host that was last heard from at lastHeard counts as live.
func (s *Service) isAlive(heard, now time.Duration) bool {
	limit := deadAfterLargeSite
	if s.list == nil || len(s.list.members) <= smallSiteHosts {
		limit = deadAfterSmallSite
	}
	return heard > 0 && now-heard < limit
}

// acceptsRequests reports whether a host that has acknowledged a revision and was last heard
// from at lastHeard can start requests. A new host is heard from before it has its
// configuration.
func (s *Service) acceptsRequests(acked api.Revision, isolated bool, lastHeard, now time.Duration) bool {
	return acked > 0 && acked != ackAll && !isolated && s.isAlive(lastHeard, now)
}

// Addresses returns the hosts that callers in a data centre should use: those that are
// live, configured, fresh and not draining. Hosts in the data centre of the caller come first; within
// each group the order is random, to distribute the callers. A host that is isolated or
// draining answers too, but omits itself.
func (s *Service) Addresses(from api.DataCentre) api.AddressList {
	s.mu.Lock()
	defer s.mu.Unlock()
	near, far := s.candidates(from, true)
	if len(near)+len(far) == 0 {
		near, far = s.candidates(from, false)
	}
	shuffle(near)
	shuffle(far)
	answer := api.AddressList{ValidForMs: s.AddressValidity.Milliseconds(), Hosts: make([]api.HostAddress, 0, maxAddresses)}
	for _, group := range [][]*Member{near, far} {
		for _, member := range group[:min(len(group), maxAddresses-len(answer.Hosts))] {
			answer.Hosts = append(answer.Hosts, api.HostAddress{Host: member.Host, Address: member.Caller, DataCentre: member.DataCentre})
		}
	}
	return answer
}

func shuffle(members []*Member) {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// candidates returns the hosts for an address list. With live false it ignores liveness:
// an isolated host sees no live one, and then lists all that are not draining. The
// caller holds mu.
func (s *Service) candidates(from api.DataCentre, live bool) (near, far []*Member) {
	add := func(member *Member) {
		if member.DataCentre == from {
			near = append(near, member)
		} else {
			far = append(far, member)
		}
	}
	if !s.draining.Load() && s.view.Load() != nil && s.Fresh() == nil {
		add(&s.Self)
	}
	now := s.now()
	if s.list != nil {
		for i := range s.list.members {
			member, known := &s.list.members[i], &s.states[i]
			switch {
			case member.Host == s.Self.Host || s.drainingHosts[member.Host]:
			case live && !s.acceptsRequests(known.acked, known.isolated, known.lastHeard, now):
			default:
				add(member)
			}
		}
	}
	for _, other := range s.unregistered {
		if other.Caller == "" || s.drainingHosts[other.Host] {
			continue
		}
		if !live || s.acceptsRequests(other.acked, other.isolated, other.lastHeard, now) {
			add(&other.Member)
		}
	}
	return near, far
}
