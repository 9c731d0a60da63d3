package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
)

const (
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// peersPerRound is the number of random peers of a round at a large site.
	peersPerRound = 2
	// reviveEvery is the number of rounds after which a large site also tries one
	// peer that is considered dead, so that two sides of a healed partition meet.
	reviveEvery = 10
	// maxStrays bounds the table of hosts outside the list.
	maxStrays = 1024
)

// link is the state of the event exchange with one peer.
type link struct {
	// seen is the number up to which this host has the peer's events.
	seen uint64
	// told is the number up to which the peer has this host's events.
	told uint64
}

// Round starts an exchange with each peer of this round. The returned function waits for their end.
func (s *Service) Round(ctx context.Context) (wait func()) {
	var exchanges sync.WaitGroup
	if s.Alone {
		return exchanges.Wait
	}
	for _, address := range s.Targets() {
		exchanges.Go(func() {
			if err := s.Exchange(ctx, address); err != nil {
				s.logger().Debug().Str("peer", string(address)).Err(err).Msg("exchange_failed")
			}
		})
	}
	return exchanges.Wait
}

// Targets returns the addresses of the peers of a round: all at a small site, and
// a few random ones that are alive otherwise.
func (s *Service) Targets() []api.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rounds++
	alive, dead := s.peers()
	if len(alive)+len(dead) == 0 {
		return s.Seeds
	}
	if len(alive)+len(dead) < smallSite {
		return append(alive, dead...)
	}
	targets := sample(alive, peersPerRound)
	if len(alive) == 0 || s.rounds%reviveEvery == 0 {
		targets = append(targets, sample(dead, 1)...)
	}
	return targets
}

// peers returns the addresses of the other members. The caller holds mu.
func (s *Service) peers() (alive, dead []api.Address) {
	if s.list == nil {
		return nil, nil
	}
	now := s.now()
	for i, member := range s.list.members {
		switch {
		case member.Host == s.Self.Host || member.Peer == "":
		case s.aliveAt(s.states[i].heard, now):
			alive = append(alive, member.Peer)
		default:
			dead = append(dead, member.Peer)
		}
	}
	return alive, dead
}

func sample(addresses []api.Address, count int) []api.Address {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// Exchange sends this host's state to a peer and takes the peer's state from the
// answer. A peer that turns out to have an older member list gets it in a second exchange.
func (s *Service) Exchange(ctx context.Context, address api.Address) error {
	if !s.occupy(address) {
		return nil
	}
	for {
		err := s.exchange(ctx, address)
		if !s.vacate(address) {
			return err
		}
	}
}

func (s *Service) exchange(ctx context.Context, address api.Address) error {
	known := s.currentListVersion()
	for range 2 {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		start, message := s.prepare(address, known)
		answer, err := s.Send(ctx, address, message)
		cancel()
		if err != nil {
			s.Metrics.Counter("member.exchange_failed").Inc(1)
			return err
		}
		s.absorb(answer, start, address)
		if answer.ListVersion >= s.currentListVersion() {
			return nil
		}
		known = answer.ListVersion
	}
	return nil
}

func (s *Service) occupy(address api.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy == nil {
		s.busy = map[api.Address]bool{}
	}
	_, busy := s.busy[address]
	s.busy[address] = busy
	return !busy
}

// vacate reports whether one more exchange was asked for meanwhile. Its news would
// otherwise wait for the next round.
func (s *Service) vacate(address api.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	again := s.busy[address]
	if again {
		s.busy[address] = false
	} else {
		delete(s.busy, address)
	}
	return again
}

func (s *Service) currentListVersion() store.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listVersion()
}

func (s *Service) prepare(address api.Address, known store.Version) (time.Duration, Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := api.HostID("")
	if s.list != nil {
		for _, member := range s.list.members {
			if member.Peer == address {
				to = member.Host
			}
		}
	}
	return s.now(), s.message(to, known)
}

// message describes the state of this host for a peer whose list has version known. The caller holds mu.
func (s *Service) message(to api.HostID, known store.Version) Message {
	now := s.now()
	m := Message{
		From: Member{Host: s.Self.Host}, ListVersion: s.listVersion(),
		Revision: s.revision(), Acked: s.acked, Complete: api.Revision(s.complete.Load()),
		Fresh: s.export(now), Strays: s.exportStrays(now),
	}
	for host := range s.drained {
		m.Draining = append(m.Draining, host)
	}
	if s.draining.Load() {
		m.Draining = append(m.Draining, s.Self.Host)
	}
	s.addEvents(&m, to)
	if s.list == nil {
		m.From = s.Self
		return m
	}
	own, listed := s.list.index[s.Self.Host]
	if listed {
		s.states[own] = state{heard: now, proof: now, acked: s.acked}
	} else {
		m.From = s.Self
	}
	m.Documents = s.list.since(known)
	m.Acks = encodeAcks(s.states)
	return m
}

// ages returns the age of each member. The caller holds mu.
func (s *Service) ages() []byte {
	now := s.now()
	ages := make([]byte, len(s.states))
	for i, member := range s.states {
		ages[i] = encodeAge(member.proof, now)
	}
	return ages
}

// export returns the latest evidence, or nil where it has expired. The caller holds mu.
func (s *Service) export(now time.Duration) *Freshness {
	latest := s.current
	if s.ahead.at > latest.at {
		latest = s.ahead
	}
	if latest.at == 0 || now-latest.at >= s.freshness() {
		return nil
	}
	return &Freshness{AgeMs: int64((now - latest.at + time.Millisecond - 1) / time.Millisecond), Revision: latest.revision}
}

func (s *Service) exportStrays(now time.Duration) []Stray {
	var strays []Stray
	for _, other := range s.strays {
		strays = append(strays, Stray{Member: other.Member, Age: encodeAge(other.heard, now), Acked: other.acked})
	}
	return strays
}

func (s *Service) addEvents(m *Message, to api.HostID) {
	if s.Events == nil || to == "" {
		return
	}
	l := s.link(to)
	m.Events, m.EventsTo = s.Events(l.told)
	m.EventsSeen = l.seen
}

func (s *Service) link(host api.HostID) *link {
	if s.links == nil {
		s.links = map[api.HostID]*link{}
	}
	if s.links[host] == nil {
		s.links[host] = &link{}
	}
	return s.links[host]
}

// Receive takes the state of a peer that started an exchange and returns this
// host's state. A request may have been under way for any time, so it proves
// nothing about the present; only the answer does, to the peer.
func (s *Service) Receive(m Message) Message {
	s.mu.Lock()
	s.merge(m, 0)
	answer := s.message(m.From.Host, m.ListVersion)
	answer.Ages = s.ages()
	s.mu.Unlock()
	s.takeEvents(m)
	s.follow(m, "")
	return answer
}

// absorb takes the answer to an exchange that this host started at start.
func (s *Service) absorb(m Message, start time.Duration, address api.Address) {
	s.mu.Lock()
	s.merge(m, start)
	if m.Fresh != nil {
		s.witness(evidence{at: start - time.Duration(m.Fresh.AgeMs)*time.Millisecond, revision: m.Fresh.Revision})
	}
	s.ask()
	s.mu.Unlock()
	s.takeEvents(m)
	s.follow(m, address)
}

// merge takes a message. Start is the start of the request that it answers, or 0
// where it is itself a request. Acknowledgements and ages count only where both
// hosts use one list: an acknowledgement must not arrive without the news of the
// hosts to which its host gave evidence before. The caller holds mu.
func (s *Service) merge(m Message, start time.Duration) {
	if m.From.Host == s.Self.Host {
		return
	}
	now := s.now()
	s.adopt(m.Documents)
	for _, other := range m.Strays {
		if other.Host != s.Self.Host {
			s.meet(other.Member, decodeAge(other.Age, now), 0)
		}
	}
	s.meet(m.From, now, 0)
	s.mergeDraining(m.Draining)
	if s.list != nil && m.ListVersion == s.list.version {
		s.mergeTable(m, start, now)
	}
	s.finish(m.Complete)
	s.settle()
}

// meet notes a sign of life of a host and an acknowledgement that may count. The caller holds mu.
func (s *Service) meet(other Member, heard time.Duration, acked api.Revision) {
	if heard == 0 || other.Host == s.Self.Host {
		return
	}
	if s.list != nil {
		if i, listed := s.list.index[other.Host]; listed {
			s.states[i].heard = max(s.states[i].heard, heard)
			s.states[i].acked = max(s.states[i].acked, acked)
			return
		}
	}
	if s.strays == nil {
		s.strays = map[api.HostID]*stray{}
	}
	known := s.strays[other.Host]
	if known == nil {
		if len(s.strays) >= maxStrays {
			return
		}
		known = &stray{Member: other}
		s.strays[other.Host] = known
	}
	if known.Peer == "" {
		known.Member = other
	}
	known.heard, known.acked = max(known.heard, heard), max(known.acked, acked)
}

// mergeTable takes the parts of a message that are parallel to the list. The caller holds mu.
func (s *Service) mergeTable(m Message, start, now time.Duration) {
	acked, valid := m.Acks.decode(len(s.states))
	if !valid || (start > 0 && len(m.Ages) != len(s.states)) {
		s.Metrics.Counter("member.exchange_invalid").Inc(1)
		return
	}
	for i := range s.states {
		if s.list.members[i].Host == s.Self.Host {
			continue
		}
		s.states[i].acked = max(s.states[i].acked, acked[i])
		if start > 0 {
			s.states[i].proof = max(s.states[i].proof, decodeAge(m.Ages[i], start))
			s.states[i].heard = max(s.states[i].heard, s.states[i].proof)
		}
	}
	for _, other := range m.Strays {
		s.meet(other.Member, decodeAge(other.Age, now), other.Acked)
	}
	s.meet(m.From, now, m.Acked)
	if i, listed := s.list.index[m.From.Host]; listed {
		s.states[i].isolated = m.Fresh == nil
	}
}

// mergeDraining remembers hosts that are leaving; it is final for a host id. The caller holds mu.
func (s *Service) mergeDraining(hosts []api.HostID) {
	for _, host := range hosts {
		if host == s.Self.Host || !s.present(host) {
			continue
		}
		if s.drained == nil {
			s.drained = map[api.HostID]bool{}
		}
		s.drained[host] = true
	}
}

// takeEvents hands the events of a message to Merge, without the lock.
func (s *Service) takeEvents(m Message) {
	if s.Merge == nil {
		return
	}
	if len(m.Events) > 0 {
		s.Merge(m.Events)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.link(m.From.Host)
	l.seen, l.told = max(l.seen, m.EventsTo), max(l.told, m.EventsSeen)
}

// follow fetches a newer revision from the sender of a message.
func (s *Service) follow(m Message, address api.Address) {
	if m.Revision <= s.revision() {
		return
	}
	if address == "" {
		address = s.address(m.From)
	}
	s.fetch(address, m.Revision)
}

func (s *Service) address(from Member) api.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list != nil {
		if i, listed := s.list.index[from.Host]; listed {
			return s.list.members[i].Peer
		}
	}
	return from.Peer
}

// fetch calls Newer unless it runs already.
func (s *Service) fetch(from api.Address, revision api.Revision) {
	if s.Newer == nil || !s.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.fetching.Store(false)
		s.Newer(from, revision)
	}()
}
