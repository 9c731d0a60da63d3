package directory

import (
	"context"
	"math/rand/v2"

	"redwingloft/pkg/api"
)

// relay requests a newer state from another host while the store is unreachable.
func (s *Service) relay(ctx context.Context) {
	connected, since := s.Connected()
	if s.FetchDump == nil || connected || s.now().Sub(since) < relayDelay {
		return
	}
	peer := s.pickPeer()
	if peer == "" {
		return
	}
	dump, err := s.FetchDump(ctx, peer, s.View().Version)
	if err != nil {
		s.Metrics.Counter("directory.relay_failures").Inc(1)
		s.Log.Debug().Str("peer", string(peer)).Err(err).Msg("relay_failed")
		return
	}
	if dump != nil {
		s.applyDump(peer, dump)
	}
}

// pickPeer returns the address of a random other host, or of a random seed if no host is known.
func (s *Service) pickPeer() api.Address {
	var peers []api.Address
	for _, host := range s.View().Hosts {
		if host.ID != s.Self.ID && !host.Draining {
			peers = append(peers, host.PeerAddress)
		}
	}
	if len(peers) == 0 {
		for _, seed := range s.seeds() {
			if seed != s.Self.PeerAddress {
				peers = append(peers, seed)
			}
		}
	}
	if len(peers) == 0 {
		return ""
	}
	return peers[rand.IntN(len(peers))]
}

// applyDump applies the state of another host if it is newer.
func (s *Service) applyDump(peer api.Address, dump *Dump) {
	s.mu.Lock()
	if dump.Version <= s.state.Version() {
		s.mu.Unlock()
		return
	}
	s.Log.Info().Str("peer", string(peer)).Int64("version", int64(dump.Version)).Int64("before", int64(s.state.Version())).Msg("state_relayed")
	s.Metrics.Counter("directory.relayed").Inc(1)
	now := s.now()
	s.state.Replace(dump.Entries, dump.Version, now, s.missingEntryExpiry(now))
	s.publish()
}

// SetSeeds replaces the addresses of hosts to ask if no host is known yet.
func (s *Service) SetSeeds(seeds []api.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Seeds = seeds
}

func (s *Service) seeds() []api.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Seeds
}
