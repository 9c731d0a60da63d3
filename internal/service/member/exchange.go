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
	// exchangeTimeout bounds one request and its answer.
	exchangeTimeout = time.Second
	// peersPerRound is the number of random peers per round at a large site.
	peersPerRound = 2
	// deadPeerRounds is the number of rounds after which a large site also tries one peer
	// that is considered dead, so that the two sides of a healed partition reconnect.
	deadPeerRounds = 10
	// maxUnregistered bounds the table of hosts outside the member list.
	maxUnregistered = 1024
)

// eventCursor tracks the exchange of upstream events with one peer.
type eventCursor struct {
	// received is the number of the last event received from the peer.
	received uint64
	// acknowledged is the number of the last event that the peer has received from this host.
	acknowledged uint64
}

// Join registers this host and exchanges its state with its peers once. If they have a newer configuration, it is
// fetched before that of the store, which may have come back without its latest data.
func (s *Service) Join(ctx context.Context) {
	s.joining.Store(true)
	s.ReadStore(ctx)
	s.StartRound(ctx)()
	// Wait for a fetch that an answer has started.
	s.fetching.Lock()
	s.joining.Store(false)
	s.fetching.Unlock()
	s.mu.Lock()
	stored := s.storeReads.revision
	s.mu.Unlock()
	if stored > s.revision() {
		s.startFetch("", stored)
	}
}

// StartRound starts an exchange with each peer of this round. The returned function waits until all have ended.
func (s *Service) StartRound(ctx context.Context) (wait func()) {
	var exchanges sync.WaitGroup
	if s.Standalone {
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

// Targets returns the addresses of the peers of a round: all peers at a small site, and a
// few random live ones otherwise.
func (s *Service) Targets() []api.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rounds++
	alive, dead := s.peers()
	if len(alive)+len(dead) == 0 {
		return s.Seeds
	}
	if len(alive)+len(dead) < smallSiteHosts {
		return append(alive, dead...)
	}
	targets := sample(alive, peersPerRound)
	if len(alive) == 0 || s.rounds%deadPeerRounds == 0 {
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
		case s.isAlive(s.states[i].lastHeard, now):
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

// Exchange sends the state of this host to a peer and merges the peer's state from the
// answer. If the peer turns out to have an older member list, a second request sends it
// the newer one. If an exchange with the peer is in progress, that one is repeated.
func (s *Service) Exchange(ctx context.Context, address api.Address) error {
	if !s.beginExchange(address) {
		return nil
	}
	for {
		err := s.exchange(ctx, address)
		if !s.endExchange(address) {
			return err
		}
	}
}

func (s *Service) exchange(ctx context.Context, address api.Address) error {
	known := s.currentListVersion()
	for range 2 {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		start, message := s.prepareRequest(address, known)
		answer, err := s.Send(ctx, address, message)
		cancel()
		if err != nil {
			s.Metrics.Counter("member.exchange_failed").Inc(1)
			return err
		}
		s.handleAnswer(answer, start, address)
		if answer.ListVersion >= s.currentListVersion() {
			return nil
		}
		known = answer.ListVersion
	}
	return nil
}

// beginExchange reports whether no exchange with the peer is in progress. If one is, it
// requests one more after it.
func (s *Service) beginExchange(address api.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exchanging == nil {
		s.exchanging = map[api.Address]bool{}
	}
	_, exchanging := s.exchanging[address]
	s.exchanging[address] = exchanging
	return !exchanging
}

// endExchange reports whether another exchange was requested in the meantime. Without it
// the news that caused the request would be sent only in the next round.
func (s *Service) endExchange(address api.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	again := s.exchanging[address]
	if again {
		s.exchanging[address] = false
	} else {
		delete(s.exchanging, address)
	}
	return again
}

func (s *Service) currentListVersion() store.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listVersion()
}

func (s *Service) prepareRequest(address api.Address, known store.Version) (time.Duration, Message) {
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
	return s.now(), s.newMessage(to, known)
}

// newMessage returns the state of this host for a peer whose member list has version known.
// The caller holds mu.
func (s *Service) newMessage(to api.HostID, known store.Version) Message {
	now := s.now()
	m := Message{
		From: Member{Host: s.Self.Host}, ListVersion: s.listVersion(),
		Revision: s.revision(), Acked: s.acked, Complete: api.Revision(s.complete.Load()),
		Fresh: s.encodeFreshness(now), Unregistered: s.encodeUnregistered(now),
	}
	for host := range s.drainingHosts {
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
		s.states[own] = memberState{lastHeard: now, confirmedAt: now, acked: s.acked}
	} else {
		m.From = s.Self
	}
	m.Documents = s.list.documentsSince(known)
	m.Acks = encodeAcks(s.states)
	return m
}

// ages returns the wire age of each member. The caller holds mu.
func (s *Service) ages() []byte {
	now := s.now()
	ages := make([]byte, len(s.states))
	for i, member := range s.states {
		ages[i] = encodeAge(member.confirmedAt, now)
	}
	return ages
}

// encodeFreshness returns the latest evidence, or nil if it has expired. The caller holds mu.
func (s *Service) encodeFreshness(now time.Duration) *Freshness {
	latest := s.currentEvidence
	if s.pendingEvidence.at > latest.at {
		latest = s.pendingEvidence
	}
	if latest.at == 0 || now-latest.at >= s.freshness() {
		return nil
	}
	return &Freshness{AgeMs: int64((now - latest.at + time.Millisecond - 1) / time.Millisecond), Revision: latest.revision}
}

func (s *Service) encodeUnregistered(now time.Duration) []UnregisteredHost {
	var unregistered []UnregisteredHost
	for _, other := range s.unregistered {
		unregistered = append(unregistered, UnregisteredHost{Member: other.Member, Age: encodeAge(other.lastHeard, now), Acked: other.acked})
	}
	return unregistered
}

func (s *Service) addEvents(m *Message, to api.HostID) {
	if s.EventsSince == nil || to == "" {
		return
	}
	l := s.eventCursor(to)
	m.Events, m.EventsTo = s.EventsSince(l.acknowledged)
	m.EventsSeen = l.received
}

func (s *Service) eventCursor(host api.HostID) *eventCursor {
	if s.eventCursors == nil {
		s.eventCursors = map[api.HostID]*eventCursor{}
	}
	if s.eventCursors[host] == nil {
		s.eventCursors[host] = &eventCursor{}
	}
	return s.eventCursors[host]
}

// Receive merges the state of a peer that started an exchange and returns the state of
// this host. A request may have been delayed for any time, so it is no evidence of
// the present state of its sender; only the answer is, for the peer.
func (s *Service) Receive(m Message) Message {
	s.mu.Lock()
	s.mergeMessage(m, 0)
	answer := s.newMessage(m.From.Host, m.ListVersion)
	answer.Ages = s.ages()
	s.mu.Unlock()
	s.mergeEvents(m)
	s.fetchNewer(m, "")
	return answer
}

// handleAnswer merges the answer to an exchange that this host started at time start.
func (s *Service) handleAnswer(m Message, start time.Duration, address api.Address) {
	s.mu.Lock()
	s.mergeMessage(m, start)
	if m.Fresh != nil {
		s.addEvidence(evidence{at: start - time.Duration(m.Fresh.AgeMs)*time.Millisecond, revision: m.Fresh.Revision})
	}
	s.addMajorityEvidence()
	s.mu.Unlock()
	s.mergeEvents(m)
	s.fetchNewer(m, address)
}

// mergeMessage merges a message into the state of this host. Start is the start of the
// request that it answers, or 0 if it is itself a request. Acknowledgements and ages count
// only if both hosts use the same list: an acknowledgement must not count without the
// news of the hosts to which its sender has given evidence before. The caller holds mu.
func (s *Service) mergeMessage(m Message, start time.Duration) {
	if m.From.Host == s.Self.Host {
		return
	}
	now := s.now()
	s.mergeDocuments(m.Documents)
	for _, other := range m.Unregistered {
		if other.Host != s.Self.Host {
			s.recordContact(other.Member, decodeAge(other.Age, now), 0)
		}
	}
	s.recordContact(m.From, now, 0)
	s.mergeDraining(m.Draining)
	if s.list != nil && m.ListVersion == s.list.version {
		s.mergeTable(m, start, now)
	}
	s.completeHandover(m.Complete)
	s.updateHandover()
}

// recordContact records when a host was last heard from, and the revision that it has
// acknowledged, if acked is not 0. The caller holds mu.
func (s *Service) recordContact(other Member, lastHeard time.Duration, acked api.Revision) {
	if lastHeard == 0 || other.Host == s.Self.Host {
		return
	}
	if s.list != nil {
		if i, listed := s.list.index[other.Host]; listed {
			s.states[i].lastHeard = max(s.states[i].lastHeard, lastHeard)
			s.states[i].acked = max(s.states[i].acked, acked)
			return
		}
	}
	if s.unregistered == nil {
		s.unregistered = map[api.HostID]*unregisteredHost{}
	}
	known := s.unregistered[other.Host]
	if known == nil {
		if len(s.unregistered) >= maxUnregistered {
			return
		}
		known = &unregisteredHost{Member: other}
		s.unregistered[other.Host] = known
	}
	if known.Peer == "" {
		known.Member = other
	}
	known.lastHeard, known.acked = max(known.lastHeard, lastHeard), max(known.acked, acked)
}

// mergeTable merges the fields of a message that are parallel to the member list. The caller holds mu.
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
			s.states[i].confirmedAt = max(s.states[i].confirmedAt, decodeAge(m.Ages[i], start))
			s.states[i].lastHeard = max(s.states[i].lastHeard, s.states[i].confirmedAt)
		}
	}
	for _, other := range m.Unregistered {
		s.recordContact(other.Member, decodeAge(other.Age, now), other.Acked)
	}
	s.recordContact(m.From, now, m.Acked)
	if i, listed := s.list.index[m.From.Host]; listed {
		s.states[i].isolated = m.Fresh == nil
	} else if other := s.unregistered[m.From.Host]; other != nil {
		other.isolated = m.Fresh == nil
	}
}

// mergeDraining records the hosts that are draining, which is final for a host id. The caller holds mu.
func (s *Service) mergeDraining(hosts []api.HostID) {
	for _, host := range hosts {
		if host == s.Self.Host || !s.isPresent(host) {
			continue
		}
		if s.drainingHosts == nil {
			s.drainingHosts = map[api.HostID]bool{}
		}
		s.drainingHosts[host] = true
	}
}

// mergeEvents passes the events of a message to the callback, which runs without the lock.
func (s *Service) mergeEvents(m Message) {
	if s.MergeEvents == nil {
		return
	}
	if len(m.Events) > 0 {
		s.MergeEvents(m.Events)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.eventCursor(m.From.Host)
	l.received, l.acknowledged = max(l.received, m.EventsTo), max(l.acknowledged, m.EventsSeen)
}

// fetchNewer starts the fetch of a newer revision from the sender of a message.
func (s *Service) fetchNewer(m Message, address api.Address) {
	if m.Revision <= s.revision() {
		return
	}
	if address == "" {
		address = s.peerAddress(m.From)
	}
	s.startFetch(address, m.Revision)
}

func (s *Service) peerAddress(from Member) api.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list != nil {
		if i, listed := s.list.index[from.Host]; listed {
			return s.list.members[i].Peer
		}
	}
	return from.Peer
}

// startFetch fetches a revision in the background unless a fetch is already in progress.
func (s *Service) startFetch(from api.Address, revision api.Revision) {
	fromStore := from == ""
	if s.OnNewerRevision == nil || fromStore && s.joining.Load() || !s.fetching.TryLock() {
		return
	}
	go func() {
		defer s.fetching.Unlock()
		s.OnNewerRevision(from, revision)
	}()
}
