package member

import (
	"math/rand/v2"
	"time"

	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

const (
	// maxAddresses bounds an address list.
	maxAddresses = 8
	// proberCount is the number of hosts that probe an upstream.
	proberCount = 2
)

// roll is the immutable set of live hosts, this host included, that hashing chooses from.
type roll struct {
	members []Member
	hashes  []uint64
	// self is the index of this host.
	self int
	// list and sum identify the set: the list, and the sum of the hashes of its live members.
	list *list
	sum  uint64
}

// call publishes the set of live hosts where it has changed. The caller holds mu.
func (s *Service) call() {
	r := &roll{list: s.list}
	live := make([]int, 0, len(s.states))
	now := s.now()
	for i := range s.states {
		member := &s.list.members[i]
		if member.Host != s.Self.Host && !s.drained[member.Host] && s.aliveAt(s.states[i].heard, now) {
			live = append(live, i)
			r.sum += s.list.hashes[i]
		}
	}
	if old := s.roll.Load(); old != nil && old.list == r.list && old.sum == r.sum {
		return
	}
	for _, i := range live {
		r.members, r.hashes = append(r.members, s.list.members[i]), append(r.hashes, s.list.hashes[i])
	}
	r.self = len(r.members)
	r.members = append(r.members, s.Self)
	r.hashes = append(r.hashes, hashing.Of(string(s.Self.Host)))
	s.roll.Store(r)
}

// rolled returns the set of live hosts.
func (s *Service) rolled() *roll {
	if r := s.roll.Load(); r != nil {
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.call()
	return s.roll.Load()
}

// Home returns the live host that owns key, and whether it is this host.
func (s *Service) Home(key string) (Member, bool) {
	r := s.rolled()
	owner := hashing.Owner(hashing.Of(key), r.hashes)
	return r.members[owner], owner == r.self
}

// Live returns the number of live hosts that are not leaving, this host included.
func (s *Service) Live() int { return len(s.rolled().members) }

// Alive reports whether a host is alive and not leaving.
func (s *Service) Alive(host api.HostID) bool {
	for _, member := range s.rolled().members {
		if member.Host == host {
			return true
		}
	}
	return false
}

// IsProber reports whether this host is one of those that probe an upstream.
func (s *Service) IsProber(upstream string) bool {
	r := s.rolled()
	return hashing.Rank(hashing.Of(upstream), r.hashes, r.self) < proberCount
}

func (s *Service) aliveAt(heard, now time.Duration) bool {
	limit := deadLargeSite
	if s.list == nil || len(s.list.members) <= smallSite {
		limit = deadSmallSite
	}
	return heard > 0 && now-heard < limit
}

// Addresses returns the hosts that callers in a data centre should use: those that
// are alive, fresh and not leaving, the ones in the data centre of the caller first
// and each part in random order, so that callers spread. A host that is isolated or
// leaving answers too and leaves itself out.
func (s *Service) Addresses(from api.DataCentre) api.AddressList {
	s.mu.Lock()
	defer s.mu.Unlock()
	near, far := s.candidates(from, true)
	if len(near)+len(far) == 0 {
		near, far = s.candidates(from, false)
	}
	shuffle(near)
	shuffle(far)
	answer := api.AddressList{ValidForMs: s.Validity.Milliseconds(), Hosts: make([]api.HostAddress, 0, maxAddresses)}
	for _, part := range [][]*Member{near, far} {
		for _, member := range part[:min(len(part), maxAddresses-len(answer.Hosts))] {
			answer.Hosts = append(answer.Hosts, api.HostAddress{Host: member.Host, Address: member.Caller, DataCentre: member.DataCentre})
		}
	}
	return answer
}

func shuffle(members []*Member) {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// candidates returns the hosts for an address list. An isolated host hears of no
// live one; it then names all that are not leaving. The caller holds mu.
func (s *Service) candidates(from api.DataCentre, live bool) (near, far []*Member) {
	add := func(member *Member) {
		if member.DataCentre == from {
			near = append(near, member)
		} else {
			far = append(far, member)
		}
	}
	if !s.draining.Load() && s.Fresh() == nil {
		add(&s.Self)
	}
	now := s.now()
	if s.list != nil {
		for i := range s.list.members {
			member := &s.list.members[i]
			switch {
			case member.Host == s.Self.Host || s.drained[member.Host]:
			case live && (s.states[i].isolated || !s.aliveAt(s.states[i].heard, now)):
			default:
				add(member)
			}
		}
	}
	for _, other := range s.strays {
		if other.Caller != "" && !s.drained[other.Host] && (!live || s.aliveAt(other.heard, now)) {
			add(&other.Member)
		}
	}
	return near, far
}
