package directory

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// followDelay is how long a reader must have lost the store before it follows other hosts.
	followDelay = 300 * time.Millisecond
	// expirePeriod is the interval of checks for missing entries to remove.
	expirePeriod = 100 * time.Millisecond
	// debounceTime is the delay after a change before the next watch call, so that
	// several quick changes need only one call.
	debounceTime = 250 * time.Millisecond
	// joinTime is the time after the start of a host during which other hosts probably start
	// too, and joinDebounce the delay between its calls until then.
	joinTime     = 2 * time.Second
	joinDebounce = 600 * time.Millisecond
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
	// FetchUpdate requests the changes after a revision from another host, which may hold
	// the request until there are some. A nil FetchUpdate disables these requests, and the
	// host reads the store itself.
	FetchUpdate func(ctx context.Context, peer api.Address, after store.Version, hold time.Duration) (*Update, error)
	// MaxAge is the time within which each change must be known; 0 means defaultMaxAge.
	MaxAge time.Duration
	// Seeds are addresses of hosts to ask if no host is known yet.
	Seeds []api.Address
	// Self is the registration of this host.
	Self fleet.Host
	// OnChange is called after each change of the view; it may be nil.
	OnChange func(*View)
	// InProgress returns the number of requests of this host that an upstream is processing; it may
	// be nil.
	InProgress func(*fleet.Upstream) int
	// ConfirmAfterPause makes the view offer no upstream after the process was suspended, until the
	// store or another host has supplied a newer one.
	ConfirmAfterPause bool

	view         atomic.Pointer[View]
	role         atomic.Pointer[Role]
	registration registration
	pause        pauseGuard

	mu    sync.Mutex
	state State
	// confirmedAt is the latest time at which the state is known to have been complete at
	// the store, and feedConfirmedAt the latest that a source has shown.
	confirmedAt, feedConfirmedAt time.Time
	// startedAt is the start of Run.
	startedAt time.Time
	// history holds the changes since historyFrom, in order.
	history []store.Event
	// historyBytes is the size of the values in history.
	historyBytes int
	historyFrom  store.Version
	// gaps holds the latest ranges of versions for which the history is not complete.
	gaps []versionGap
	// changeSignal is closed at the next change or confirmation; nil if nobody waits.
	changeSignal chan struct{}
	// source is the host that this host follows; empty if it follows none.
	source api.Address
	// sourcesLost is true after all sources have failed, until one supplies changes again.
	sourcesLost bool
	// lacksDocument is true if the source has a newer document that no change contains.
	lacksDocument bool
	// dumpsInProgress is the number of whole states that are being sent.
	dumpsInProgress int
	// readFailed is true if the last call to the store failed.
	readFailed bool
	// disconnectedAt is the time since which the store is unreachable, for this host and for
	// the one that it follows; zero while connected.
	disconnectedAt time.Time
	// graceUntil is the end of the grace period after an outage.
	graceUntil time.Time
}

func (s *Service) now() time.Time {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

// View returns the current view; it is never nil.
func (s *Service) View() *View {
	v := s.view.Load()
	switch {
	case v == nil:
		return &View{}
	case s.ConfirmAfterPause && s.pause.isUnconfirmed(s.now()):
		return v.unconfirmed
	}
	return v
}

// Run follows the store until ctx is canceled.
func (s *Service) Run(ctx context.Context) error {
	s.mu.Lock()
	s.state.Decoder, s.state.OnMalformed = s.Decoder, s.reportMalformed
	s.startedAt = s.now()
	s.disconnectedAt = s.startedAt
	s.mu.Unlock()
	s.Metrics.GaugeFunc("directory.age_ms", s.ageMs)
	s.Metrics.GaugeFunc("directory.reads_store", func() int64 {
		if s.currentRole().Reads {
			return 1
		}
		return 0
	})
	s.Metrics.GaugeFunc("directory.evacuated", func() int64 { return int64(len(s.View().Evacuated)) })
	s.Metrics.GaugeFunc("directory.cold", s.countCold)
	defer s.Timer.Every(expirePeriod, func(time.Time) {
		s.detectPause()
		s.expire()
	})()
	var following sync.WaitGroup
	if s.FetchUpdate != nil {
		following.Go(func() { s.followSources(ctx) })
	}
	s.followStore(ctx)
	following.Wait()
	return ctx.Err()
}

func (s *Service) reportMalformed(key string, err error) {
	s.Metrics.Counter("directory.malformed").Inc(1)
	s.Log.Warn().Str("key", key).Err(err).Msg("entry_malformed")
}

// followStore reads the prefix and watches it for changes, with retries, until ctx is
// canceled. It pauses while this host gets the changes from another one.
func (s *Service) followStore(ctx context.Context) {
	backoff := minBackoff
	readAll := true
	for {
		s.awaitDirectRead(ctx)
		if ctx.Err() != nil {
			return
		}
		if readAll || s.View().Version == 0 {
			start := s.now()
			entries, version, err := s.Store.ReadAll(ctx, s.Prefix)
			if err != nil {
				s.storeFailed(err)
				backoff = waitBackoff(ctx, backoff)
				continue
			}
			s.storeRecovered()
			s.replace(entries, version, start)
			readAll = false
			s.debounce(ctx)
			continue
		}
		err := s.watch(ctx, func() { backoff = minBackoff })
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
		case store.IsErrCompacted(err):
			s.Log.Info().Int64("from", int64(s.View().Version)).Msg("store_history_dropped")
			readAll = true
		case store.IsErrIncomplete(err):
			// One read of the keys has only the newest value of each.
			s.Metrics.Counter("directory.incomplete_watches").Inc(1)
			s.Log.Info().Int64("from", int64(s.View().Version)).Err(err).Msg("store_changes_incomplete")
			readAll = true
		default:
			s.storeFailed(err)
			backoff = waitBackoff(ctx, backoff)
		}
	}
}

// watch applies the changes of the store until a call fails, or until this host gets them
// from another one or its calls should wait for another time; then it returns nil. It calls succeeded after each call.
func (s *Service) watch(ctx context.Context, succeeded func()) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stopped := false
	wait := s.watchWait()
	start := s.now()
	err := s.Store.Watch(store.WithWatchWait(ctx, wait), s.Prefix, s.View().Version+1, func(events []store.Event) {
		succeeded()
		s.storeRecovered()
		s.recordWatch(events, start, wait)
		if len(events) > 0 {
			s.debounce(ctx)
		}
		if s.untilDirectRead() > 0 || s.watchWait() != wait {
			stopped = true
			stop()
			return
		}
		start = s.now()
	})
	if stopped {
		return nil
	}
	return err
}

// watchWait returns the maximum wait of a watch call; 0 means that of the settings.
func (s *Service) watchWait() time.Duration {
	if len(s.View().Hosts) <= smallFleet {
		return 0
	}
	return s.part(readerWaitRatio)
}

// debounce delays the next call after a change.
func (s *Service) debounce(ctx context.Context) {
	s.mu.Lock()
	joining := s.now().Sub(s.startedAt) < joinTime
	s.mu.Unlock()
	if joining {
		sleep(ctx, joinDebounce)
		return
	}
	sleep(ctx, debounceTime)
}

// recordWatch applies the result of a watch call that started at start.
func (s *Service) recordWatch(events []store.Event, start time.Time, wait time.Duration) {
	defer s.pause.confirm(start)
	s.mu.Lock()
	confirmed := start
	if len(events) == 0 && wait > 0 && s.now().Sub(start) >= wait {
		// The store had no change for the whole wait, which began after start.
		confirmed = start.Add(wait)
	}
	if len(events) == 0 {
		s.confirm(confirmed)
		s.mu.Unlock()
		return
	}
	now := s.now()
	s.recordHistory(s.state.Apply(events, now, s.missingEntryExpiry(now)))
	s.confirm(confirmed)
	s.publish()
}

// awaitDirectRead returns when this host has to read the store itself.
func (s *Service) awaitDirectRead(ctx context.Context) {
	jitter := rand.N(s.part(directReadJitter))
	waited := false
	for ctx.Err() == nil {
		wait := s.untilDirectRead()
		if wait <= 0 {
			break
		}
		waited = true
		s.waitForDirectRead(ctx, wait)
	}
	if waited && !s.currentRole().Reads {
		sleep(ctx, jitter)
	}
	if waited && ctx.Err() == nil && !s.currentRole().Reads {
		s.Metrics.Counter("directory.fallback_reads").Inc(1)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.Log.Warn().Str("source", string(s.source)).Int64("version", int64(s.state.Version())).
			Int64("feed_age_ms", s.now().Sub(s.feedConfirmedAt).Milliseconds()).Msg("store_read_directly")
	}
}

// untilDirectRead returns the time after which this host has to read the store itself, not
// positive if it has to now.
func (s *Service) untilDirectRead() time.Duration {
	if s.FetchUpdate == nil || s.currentRole().Reads {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Version() == 0 || s.sourcesLost {
		return 0
	}
	return s.part(followAgeRatio) - s.now().Sub(s.feedConfirmedAt)
}

// waitForDirectRead waits for d, or until this host has to read the store earlier.
func (s *Service) waitForDirectRead(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed := s.changed()
		s.mu.Unlock()
		if s.untilDirectRead() <= 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// currentRole returns the role of this host. A host that knows no other one reads the store.
func (s *Service) currentRole() Role {
	if role := s.role.Load(); role != nil {
		return *role
	}
	return Role{Reads: true}
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
	s.readFailed = true
	s.signalChange()
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
	s.readFailed = false
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

// replace applies the result of a full read that started at start. If other hosts have supplied a later
// state meanwhile, the read only confirms it.
func (s *Service) replace(entries []store.Entry, version store.Version, start time.Time) {
	defer s.pause.confirm(start)
	s.mu.Lock()
	now := s.now()
	if known := s.state.Version(); version < known {
		s.Metrics.Counter("directory.outdated_reads").Inc(1)
		s.Log.Info().Int64("version", int64(version)).Int64("known", int64(known)).Int64("took_ms", now.Sub(start).Milliseconds()).Msg("outdated_read_ignored")
	}
	entered := s.enterEra(version, now, missingEntryGrace)
	s.replaceState(entries, version, now, s.missingEntryExpiry(now))
	entered()
	s.confirm(start)
	// A new host has this long to find a source.
	if s.feedConfirmedAt.IsZero() {
		s.feedConfirmedAt = now
	}
	s.publish()
}

// publish makes the state the current view. It must be called with mu held and releases it.
func (s *Service) publish() {
	old, view := s.view.Load(), s.state.View()
	s.updateRole(old, view)
	s.view.Store(view)
	s.signalChange()
	s.mu.Unlock()
	s.logChanges(old, view)
	firstDocument := view.Snapshot != nil && (old == nil || old.Snapshot == nil)
	// A renewal looks at the view, so that it must not start before.
	if firstDocument || old != nil && view.Version.Era() > old.Version.Era() {
		s.registration.start()
	}
	if s.OnChange != nil {
		s.OnChange(view)
	}
}

// updateRole updates the role of this host after a change of the hosts. The caller holds mu.
func (s *Service) updateRole(old, view *View) {
	before := s.role.Load()
	if before != nil && old != nil && slices.Equal(old.Hosts, view.Hosts) {
		return
	}
	role := RoleOf(view.Hosts, s.Self)
	s.role.Store(&role)
	if before == nil || before.Reads != role.Reads {
		s.Log.Info().Bool("reads", role.Reads).Int("hosts", len(view.Hosts)).Int("sources", len(role.Sources)).
			Int64("version", int64(view.Version)).Msg("store_reader_changed")
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
