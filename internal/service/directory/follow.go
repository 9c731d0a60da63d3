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
	// minBackoff and maxBackoff are the limits of the delay between calls to a failing
	// store. maxBackoff is below the two seconds within which a document must be active.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// outageThreshold is the duration of a store outage after which entries may have
	// expired; upstreams renew theirs about once a second.
	outageThreshold = time.Second
	// relayDelay is how long the store must be unreachable before other hosts are asked.
	relayDelay = 300 * time.Millisecond
	// relayPeriod is the interval of requests to other hosts. Several requests fit into
	// the two seconds within which a draining upstream must be known.
	relayPeriod = 400 * time.Millisecond
	// expirePeriod is the interval of checks for missing entries to remove.
	expirePeriod = 100 * time.Millisecond
	// debounceTime is the delay after a change before the next watch call, so that
	// several quick changes need only one call.
	debounceTime = 250 * time.Millisecond
)

// Service keeps a local view of the store up to date. Set the exported fields before Run.
type Service struct {
	Store store.Store
	// Prefix is the common prefix of the keys of the document, the upstreams and the
	// hosts, so that one watch call covers all three.
	Prefix  string
	Decoder Decoder
	Timer   *timer.Service
	Log     *log.Logger
	Metrics *metric.Set
	// Clock returns the current time, including time in suspend; nil means time.Now.
	Clock func() time.Time
	// FetchDump requests a state newer than version from another host; it returns nil if
	// that host has none. A nil FetchDump disables these requests.
	FetchDump func(ctx context.Context, peer api.Address, version store.Version) (*Dump, error)
	// Seeds are addresses of hosts to ask if no host is known yet.
	Seeds []api.Address
	// Self is the registration of this host.
	Self fleet.Host
	// OnChange is called after each change of the view; it may be nil.
	OnChange func(*View)

	view         atomic.Pointer[View]
	registration registration

	mu    sync.Mutex
	state State
	// disconnectedAt is the time since which the store is unreachable; zero while connected.
	disconnectedAt time.Time
	// graceUntil is the end of the grace period after an outage.
	graceUntil time.Time
}

// Dump is a complete state, sent from one host to another.
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

// Run follows the store until ctx is canceled.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.state.Decoder, s.state.OnMalformed = s.Decoder, s.reportMalformed
	s.disconnectedAt = s.now()
	s.mu.Unlock()
	defer s.Timer.Every(expirePeriod, func(time.Time) { s.expire() })()
	defer s.Timer.Every(relayPeriod, func(time.Time) { s.relay(ctx) })()
	s.followStore(ctx)
	return ctx.Err()
}

func (s *Service) reportMalformed(key string, err error) {
	s.Metrics.Counter("directory.malformed").Inc(1)
	s.Log.Warn().Str("key", key).Err(err).Msg("entry_malformed")
}

// followStore reads the prefix and watches it for changes, with retries, until ctx
// is canceled.
func (s *Service) followStore(ctx context.Context) {
	backoff := minBackoff
	next := store.Version(0)
	for ctx.Err() == nil {
		if next == 0 {
			entries, version, err := s.Store.ReadAll(ctx, s.Prefix)
			if err != nil {
				s.storeFailed(err)
				backoff = waitBackoff(ctx, backoff)
				continue
			}
			s.storeRecovered()
			s.replace(entries, version)
			next = version + 1
		}
		err := s.Store.Watch(ctx, s.Prefix, next, func(events []store.Event) {
			backoff = minBackoff
			s.storeRecovered()
			if len(events) == 0 {
				return
			}
			next = max(next, events[len(events)-1].Version+1)
			s.apply(events)
			sleep(ctx, debounceTime)
		})
		if ctx.Err() != nil {
			return
		}
		if store.IsErrCompacted(err) {
			s.Log.Info().Int64("from", int64(next)).Msg("store_history_dropped")
			next = 0
			continue
		}
		s.storeFailed(err)
		backoff = waitBackoff(ctx, backoff)
	}
}

// waitBackoff waits for a random part of backoff and returns the next backoff.
func waitBackoff(ctx context.Context, backoff time.Duration) time.Duration {
	sleep(ctx, backoff/2+rand.N(backoff/2))
	return min(2*backoff, maxBackoff)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// storeFailed records a failed call to the store.
func (s *Service) storeFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Metrics.Counter("directory.store_failures").Inc(1)
	if s.disconnectedAt.IsZero() {
		s.disconnectedAt = s.now()
		s.Log.Warn().Str("dependency", "store").Int64("version", int64(s.state.Version())).Err(err).Msg("dependency_lost")
	}
}

// storeRecovered records a successful call to the store. After an outage, missing
// entries get a grace period, because running upstreams may register again.
func (s *Service) storeRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disconnectedAt.IsZero() {
		return
	}
	now := s.now()
	if now.Sub(s.disconnectedAt) >= outageThreshold && s.state.Version() > 0 {
		s.graceUntil = now.Add(missingEntryGrace)
	}
	s.Log.Info().Str("dependency", "store").Int64("version", int64(s.state.Version())).Int64("after_ms", now.Sub(s.disconnectedAt).Milliseconds()).Msg("dependency_regained")
	s.disconnectedAt = time.Time{}
}

// Connected reports whether the store is reachable and, if not, since when it is unreachable.
func (s *Service) Connected() (bool, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disconnectedAt.IsZero(), s.disconnectedAt
}

// missingEntryExpiry returns the time at which entries that are missing now are
// removed; zero means at once. The caller must hold mu.
func (s *Service) missingEntryExpiry(now time.Time) time.Time {
	if now.Before(s.graceUntil) {
		return s.graceUntil
	}
	return time.Time{}
}

func (s *Service) replace(entries []store.Entry, version store.Version) {
	s.mu.Lock()
	now := s.now()
	s.state.Replace(entries, version, now, s.missingEntryExpiry(now))
	s.publish()
}

func (s *Service) apply(events []store.Event) {
	s.mu.Lock()
	now := s.now()
	s.state.Apply(events, now, s.missingEntryExpiry(now))
	s.publish()
}

// publish makes the state the current view. It must be called with mu held and releases it.
func (s *Service) publish() {
	old, view := s.view.Load(), s.state.View()
	s.view.Store(view)
	s.mu.Unlock()
	s.logChanges(old, view)
	if s.OnChange != nil {
		s.OnChange(view)
	}
}

// logChanges logs the differences between two views.
func (s *Service) logChanges(old, view *View) {
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

// expire removes missing entries whose grace period has ended.
func (s *Service) expire() {
	s.mu.Lock()
	// While the store is unreachable again, upstreams can't register, so keep their entries.
	if s.disconnectedAt.IsZero() && s.state.Expire(s.now()) {
		s.publish()
		return
	}
	s.mu.Unlock()
}

// Dump returns the state if it is newer than version, otherwise nil.
func (s *Service) Dump(version store.Version) *Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Version() <= version {
		return nil
	}
	return &Dump{Version: s.state.Version(), Entries: s.state.Entries()}
}
