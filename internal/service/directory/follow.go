package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/timer"
	"redwingloft/pkg/api"
)

const (
	// firstBackoff and lastBackoff space the calls to a store that fails. The last is
	// under the two seconds within which a document has to be in force.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 800 * time.Millisecond
	// outageAge is the age of a loss of the store from which entries may have lapsed;
	// upstreams renew theirs about once a second.
	outageAge = time.Second
	// relayAge is the age of a loss of the store from which other hosts are asked.
	relayAge = 300 * time.Millisecond
	// relayPeriod spaces the questions to other hosts. Several fit into the two seconds
	// within which a leaving upstream has to be known.
	relayPeriod = 400 * time.Millisecond
	// expirePeriod is the time between two looks for entries whose grace is over.
	expirePeriod = 100 * time.Millisecond
	// settleTime is the pause after a change before the next watch call, so that changes
	// in quick succession cost one call.
	settleTime = 250 * time.Millisecond
)

// Service follows the store. Set the exported fields before Run.
type Service struct {
	Store store.Store
	// Prefix covers the keys of the document, the upstreams and the hosts. One watch of
	// it costs one call for all three.
	Prefix  string
	Decoder Decoder
	Timer   *timer.Service
	Log     *log.Logger
	Metrics *metric.Set
	// Clock returns the current time, suspended time included; nil means time.Now.
	Clock func() time.Time
	// Fetch asks another host for a state newer than version; it returns nil entries
	// where that host has none. Nil asks nobody.
	Fetch func(ctx context.Context, peer api.Address, version store.Version) (*Dump, error)
	// Seeds are addresses of hosts that may be asked before any host is known.
	Seeds []api.Address
	// Self is the registration of this host.
	Self fleet.Host
	// Changed is called after each change of the view; nil calls nothing.
	Changed func(*View)

	view         atomic.Pointer[View]
	registration registration

	mu    sync.Mutex
	state State
	// lostAt is when the store was lost; zero while it is reached.
	lostAt time.Time
	// lapseUntil is the end of the grace after an outage.
	lapseUntil time.Time
}

// Dump is a whole state as one host gives it to another.
type Dump struct {
	Version store.Version `json:"version"`
	Entries []store.Entry `json:"entries"`
}

func (s *Service) now() time.Time {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

// View returns the current view; it is never nil.
func (s *Service) View() *View {
	if v := s.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Run follows the store until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.state.Decoder, s.state.Malformed = s.Decoder, s.malformed
	s.lostAt = s.now()
	s.mu.Unlock()
	defer s.Timer.Every(expirePeriod, func(time.Time) { s.expire() })()
	defer s.Timer.Every(relayPeriod, func(time.Time) { s.relay(ctx) })()
	s.follow(ctx)
	return ctx.Err()
}

func (s *Service) malformed(key string, err error) {
	s.Metrics.Counter("directory.malformed").Inc(1)
	s.Log.Warn().Str("key", key).Err(err).Msg("entry_malformed")
}

// follow reads the prefix and watches it, again and again.
func (s *Service) follow(ctx context.Context) {
	backoff := firstBackoff
	next := store.Version(0)
	for ctx.Err() == nil {
		if next == 0 {
			entries, version, err := s.Store.ReadAll(ctx, s.Prefix)
			if err != nil {
				s.lost(err)
				backoff = pause(ctx, backoff)
				continue
			}
			s.regained()
			s.replace(entries, version)
			next = version + 1
		}
		err := s.Store.Watch(ctx, s.Prefix, next, func(events []store.Event) {
			backoff = firstBackoff
			s.regained()
			if len(events) == 0 {
				return
			}
			next = max(next, events[len(events)-1].Version+1)
			s.apply(events)
			pauseFor(ctx, settleTime)
		})
		if ctx.Err() != nil {
			return
		}
		if store.IsErrCompacted(err) {
			s.Log.Info().Int64("from", int64(next)).Msg("store_history_dropped")
			next = 0
			continue
		}
		s.lost(err)
		backoff = pause(ctx, backoff)
	}
}

// pause waits for a random part of backoff and returns the next one.
func pause(ctx context.Context, backoff time.Duration) time.Duration {
	pauseFor(ctx, backoff/2+rand.N(backoff/2))
	return min(2*backoff, lastBackoff)
}

func pauseFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// lost notes that the store can't be followed.
func (s *Service) lost(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Metrics.Counter("directory.store_failures").Inc(1)
	if s.lostAt.IsZero() {
		s.lostAt = s.now()
		s.Log.Warn().Str("dependency", "store").Int64("version", int64(s.state.Version())).Err(err).Msg("dependency_lost")
	}
}

// regained notes that the store is followed again. After an outage, entries that are
// missing may belong to upstreams that live and come back.
func (s *Service) regained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lostAt.IsZero() {
		return
	}
	now := s.now()
	if now.Sub(s.lostAt) >= outageAge && s.state.Version() > 0 {
		s.lapseUntil = now.Add(lapseGrace)
	}
	s.Log.Info().Str("dependency", "store").Int64("version", int64(s.state.Version())).Int64("after_ms", now.Sub(s.lostAt).Milliseconds()).Msg("dependency_regained")
	s.lostAt = time.Time{}
}

// Connected reports whether the store is reached, and since when it is not.
func (s *Service) Connected() (bool, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostAt.IsZero(), s.lostAt
}

// lapse returns when entries that are missing now are dropped. The caller holds mu.
func (s *Service) lapse(now time.Time) time.Time {
	if now.Before(s.lapseUntil) {
		return s.lapseUntil
	}
	return time.Time{}
}

func (s *Service) replace(entries []store.Entry, version store.Version) {
	s.mu.Lock()
	now := s.now()
	s.state.Replace(entries, version, now, s.lapse(now))
	s.publish()
}

func (s *Service) apply(events []store.Event) {
	s.mu.Lock()
	now := s.now()
	s.state.Apply(events, now, s.lapse(now))
	s.publish()
}

// publish makes the state the current view and releases mu.
func (s *Service) publish() {
	old, view := s.view.Load(), s.state.View()
	s.view.Store(view)
	s.mu.Unlock()
	s.report(old, view)
	if s.Changed != nil {
		s.Changed(view)
	}
}

// report logs what has changed between two views.
func (s *Service) report(old, view *View) {
	if old == nil {
		old = &View{}
	}
	if view.Snapshot != old.Snapshot && view.Snapshot != nil {
		s.Log.Info().Int64("revision", int64(view.Snapshot.Revision)).Int64("version", int64(view.Version)).Msg("document_in_force")
		s.Metrics.Counter("directory.documents").Inc(1)
	}
	for id, upstream := range view.upstreams {
		before := old.upstreams[id]
		if before == nil || before.State != upstream.State || before.Started != upstream.Started {
			s.Log.Info().Str("upstream", string(id)).Str("service", string(upstream.Service)).Str("state", string(upstream.State)).
				Int64("started", upstream.Started).Int64("version", int64(view.Version)).Msg("upstream_changed")
		}
	}
	for id := range old.upstreams {
		if view.upstreams[id] == nil {
			s.Log.Info().Str("upstream", string(id)).Int64("version", int64(view.Version)).Msg("upstream_gone")
		}
	}
	if len(old.Hosts) != len(view.Hosts) {
		s.Log.Info().Int("hosts", len(view.Hosts)).Int("before", len(old.Hosts)).Int64("version", int64(view.Version)).Msg("hosts_changed")
	}
}

// expire drops the entries whose grace is over.
func (s *Service) expire() {
	s.mu.Lock()
	// A store that is away again can't bring the entries back.
	if s.lostAt.IsZero() && s.state.Expire(s.now()) {
		s.publish()
		return
	}
	s.mu.Unlock()
}

// Dump returns the state where it is newer than version, or nil.
func (s *Service) Dump(version store.Version) *Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Version() <= version {
		return nil
	}
	return &Dump{Version: s.state.Version(), Entries: s.state.Entries()}
}
