package directory

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
)

const (
	// feedHold is the longest time for which a host holds a request for its next change.
	feedHold = time.Second
	// feedTimeout bounds one request to a source. It allows for the hold and for a lost packet.
	feedTimeout = feedHold + 400*time.Millisecond
	// feedRetryDelay is the pause after all sources have failed. Several rounds fit into the
	// two seconds within which a draining upstream must be known.
	feedRetryDelay = 400 * time.Millisecond
	// preferenceInterval is the interval at which a host that follows a source outside of
	// its data centre tries the sources inside again.
	preferenceInterval = 5 * time.Second
	// maxHistory is the number of changes that a host keeps for those who follow it. A host
	// that has missed more gets the whole state.
	maxHistory = 4096
	// maxHistoryBytes bounds the values of these changes: some versions of the largest document
	// that the store holds.
	maxHistoryBytes = 8 << 20
	// defaultMaxAge is used if the settings state no time within which changes must be known.
	defaultMaxAge = 4 * time.Second
	// followAgeRatio is the part of MaxAge after which a host whose sources supply no newer
	// state reads the store itself. The rest of MaxAge is left for that read.
	followAgeRatio = 0.55
	// sourceAgeRatio is the part of MaxAge above which a source is left for another one.
	sourceAgeRatio = 0.45
	// readerWaitRatio is the part of MaxAge that a watch call of a reader may wait, in fleets
	// where other hosts depend on how recently it heard from the store.
	readerWaitRatio = 0.2
	// directReadJitter is the part of MaxAge over which hosts that lose their sources at the
	// same time spread their reads.
	directReadJitter = 0.05
	// maxConcurrentDumps bounds the whole states that are sent at the same time. Their
	// encoding takes far more processor time and memory than changes do.
	maxConcurrentDumps = 2
)

var (
	errUnknownAge         = errors.New("the source does not know the age of its state")
	errSourceDisconnected = errors.New("the source has lost the store")
)

// Update is the part of a host's state that another host lacks.
type Update struct {
	// Version is the revision up to which the state of the sender is complete.
	Version store.Version `json:"version"`
	// Full is true if Entries is the whole state; otherwise Events are the changes since the
	// requested revision.
	Full    bool          `json:"full,omitempty"`
	Entries []store.Entry `json:"entries,omitempty"`
	Events  []store.Event `json:"events,omitempty"`
	// AgeMs is the time since the state was complete at the store, in milliseconds, rounded
	// up; -1 if that is not known.
	AgeMs int64 `json:"age_ms"`
	// HeldMs is the time in milliseconds for which the sender held the request, rounded down.
	HeldMs int64 `json:"held_ms"`
	// Revision is the revision of the sender's document; 0 if it has none. It may be newer than the
	// one that the store has after it came back from an older copy.
	Revision fleet.Revision `json:"revision,omitempty"`
	// GraceMs is the time in milliseconds for which entries that are missing are still kept.
	GraceMs int64 `json:"grace_ms,omitempty"`
	// Returned holds the evacuations that have ended in the last seconds.
	Returned []Return `json:"returned,omitempty"`
	// Disconnected is true if the sender itself knows of no path to the store.
	Disconnected bool `json:"disconnected,omitempty"`
}

func (s *Service) maxAge() time.Duration {
	if s.MaxAge > 0 {
		return s.MaxAge
	}
	return defaultMaxAge
}

// part returns a part of MaxAge.
func (s *Service) part(ratio float64) time.Duration {
	return time.Duration(ratio * float64(s.maxAge()))
}

// Updates returns what changed after a revision. It waits for a change or for newer evidence
// from the store, but at most for hold, and not at all while this host has no path to the
// store. It returns nil if ctx ends, or if too many other hosts are being sent the whole
// state. The caller calls sent after it has sent the update.
func (s *Service) Updates(ctx context.Context, after store.Version, hold time.Duration) (update *Update, sent func()) {
	received := s.now()
	timeout := time.NewTimer(min(hold, feedHold))
	defer timeout.Stop()
	for {
		s.mu.Lock()
		changed := s.changed()
		due := s.state.Version() > after || s.confirmedAt.After(received) || !s.disconnectedAt.IsZero()
		s.mu.Unlock()
		if due {
			return s.newUpdate(after, received)
		}
		select {
		case <-ctx.Done():
			return nil, func() {}
		case <-timeout.C:
			return s.newUpdate(after, received)
		case <-changed:
		}
	}
}

// newUpdate returns the changes after a revision, or the whole state if the history does not
// reach back that far.
func (s *Service) newUpdate(after store.Version, received time.Time) (update *Update, sent func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	update, sent = &Update{
		Version: s.state.Version(), Revision: s.state.documentRevision(), AgeMs: -1, HeldMs: now.Sub(received).Milliseconds(),
		GraceMs: max(s.graceUntil.Sub(now).Milliseconds(), 0), Returned: s.state.recentReturns(now), Disconnected: !s.disconnectedAt.IsZero(),
	}, func() {}
	if !s.confirmedAt.IsZero() {
		update.AgeMs = (now.Sub(s.confirmedAt) + time.Millisecond - 1).Milliseconds()
	}
	switch {
	case update.Version <= after:
	case after >= s.historyFrom && !s.isInGap(after):
		for _, event := range s.history {
			if event.Version > after {
				update.Events = append(update.Events, event)
			}
		}
	default:
		if s.dumpsInProgress >= maxConcurrentDumps {
			s.Metrics.Counter("directory.dumps_refused").Inc(1)
			return nil, func() {}
		}
		s.dumpsInProgress++
		update.Full, update.Entries, sent = true, s.state.Entries(), s.endDump
	}
	return update, sent
}

func (s *Service) endDump() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dumpsInProgress--
}

// changed returns a channel that is closed at the next change or confirmation. The caller
// holds mu.
func (s *Service) changed() <-chan struct{} {
	if s.changeSignal == nil {
		s.changeSignal = make(chan struct{})
	}
	return s.changeSignal
}

// signalChange wakes all that wait for a change. The caller holds mu.
func (s *Service) signalChange() {
	if s.changeSignal != nil {
		close(s.changeSignal)
		s.changeSignal = nil
	}
}

// confirm records that the state was complete at the store at a time. The caller holds mu.
func (s *Service) confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
		s.signalChange()
	}
}

// recordHistory keeps changes for the hosts that follow this one. The caller holds mu.
func (s *Service) recordHistory(events []store.Event) {
	s.history = append(s.history, events...)
	for _, event := range events {
		s.historyBytes += len(event.Value)
	}
	if len(s.history) <= maxHistory && s.historyBytes <= maxHistoryBytes {
		return
	}
	// Half of the history is dropped at once, so that it is not copied with each change. Events of
	// one transaction share a revision and stay together.
	dropped := 0
	for dropped < len(s.history) && (len(s.history)-dropped > maxHistory/2 || s.historyBytes > maxHistoryBytes/2 ||
		dropped > 0 && s.history[dropped].Version == s.history[dropped-1].Version) {
		s.historyBytes -= len(s.history[dropped].Value)
		s.historyFrom = max(s.historyFrom, s.history[dropped].Version)
		dropped++
	}
	s.history = slices.Clone(s.history[dropped:])
}

// Age returns the time since the state was known to be complete at the store, and false if
// it never was.
func (s *Service) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Sub(s.confirmedAt), !s.confirmedAt.IsZero()
}

// ageMs returns the age in milliseconds, or -1 if it is not known.
func (s *Service) ageMs() int64 {
	age, known := s.Age()
	if !known {
		return -1
	}
	return age.Milliseconds()
}

// followSources requests changes from other hosts until ctx is canceled, while this host
// does not read the store or can't reach it.
func (s *Service) followSources(ctx context.Context) {
	attempt, failures := 0, 0
	preferredAt := s.now()
	for ctx.Err() == nil {
		sources, local, wait := s.sourcesToFollow()
		if len(sources) == 0 {
			s.waitForChange(ctx, wait)
			continue
		}
		if now := s.now(); attempt%len(sources) >= local && now.Sub(preferredAt) >= preferenceInterval {
			attempt, preferredAt = 0, now
		}
		source := sources[attempt%len(sources)]
		switch err := s.followOnce(ctx, source); {
		case ctx.Err() != nil:
			return
		case err == nil:
			failures = 0
			s.setSourcesLost(false)
			continue
		default:
			s.sourceFailed(source, err)
		}
		attempt++
		if failures++; failures%len(sources) == 0 {
			s.setSourcesLost(true)
			sleep(ctx, feedRetryDelay/2+rand.N(feedRetryDelay))
		}
	}
}

// setSourcesLost records whether all sources have failed one after another.
func (s *Service) setSourcesLost(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sourcesLost != lost {
		s.sourcesLost = lost
		s.signalChange()
	}
}

// sourcesToFollow returns the hosts from which this host should get changes now, how many of
// them are in its data centre, and, if there are none, how long to wait.
func (s *Service) sourcesToFollow() (sources []api.Address, local int, wait time.Duration) {
	role := s.currentRole()
	s.mu.Lock()
	defer s.mu.Unlock()
	if role.Reads {
		if !s.readFailed {
			return nil, 0, feedHold
		}
		if wait := followDelay - s.now().Sub(s.disconnectedAt); wait > 0 {
			return nil, 0, wait
		}
	}
	sources = role.Sources
	if len(sources) == 0 {
		for _, seed := range s.Seeds {
			if seed != s.Self.PeerAddress {
				sources = append(sources, seed)
			}
		}
	} else if s.readFailed {
		// The readers may all be turned away by a store that serves this random host.
		sources = append(slices.Clone(sources), s.randomPeer())
	}
	return sources, role.Local, feedRetryDelay
}

// randomPeer returns the address of a random other host.
func (s *Service) randomPeer() api.Address {
	hosts := s.View().Hosts
	for range hosts {
		if host := hosts[rand.IntN(len(hosts))]; host.ID != s.Self.ID && !host.Draining {
			return host.PeerAddress
		}
	}
	return s.Self.PeerAddress
}

// waitForChange waits until the state or its confirmation changes, but at most for wait.
func (s *Service) waitForChange(ctx context.Context, wait time.Duration) {
	s.mu.Lock()
	changed := s.changed()
	s.mu.Unlock()
	timer := time.NewTimer(max(wait, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// followOnce requests the changes of a source and applies them. It returns an error if the
// source fails or has no recent state itself.
func (s *Service) followOnce(ctx context.Context, source api.Address) error {
	ctx, cancel := context.WithTimeout(ctx, feedTimeout)
	defer cancel()
	sent := s.now()
	update, err := s.FetchUpdate(ctx, source, s.followedVersion(), feedHold)
	s.Metrics.Counter("directory.feed_requests").Inc(1)
	if err != nil {
		return err
	}
	return s.applyUpdate(source, update, sent)
}

// followedVersion returns the revision after which this host requests changes; 0 requests the whole
// state, because the source has a newer document that is in none of the changes.
func (s *Service) followedVersion() store.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lacksDocument {
		return 0
	}
	return s.state.Version()
}

// applyUpdate applies an update that was requested at sent.
func (s *Service) applyUpdate(source api.Address, update *Update, sent time.Time) error {
	reads := s.currentRole().Reads
	s.mu.Lock()
	now := s.now()
	switch {
	case reads:
		// This host judges by its own calls whether the store is reachable.
	case update.Disconnected:
		if s.disconnectedAt.IsZero() {
			s.disconnectedAt = now
		}
	default:
		s.disconnectedAt, s.readFailed = time.Time{}, false
		s.graceUntil = now.Add(time.Duration(update.GraceMs) * time.Millisecond)
	}
	age := time.Duration(-1)
	if update.AgeMs >= 0 {
		// The source answered no earlier than sent plus the time for which it held the
		// request, so this never overstates how recent the state is.
		confirmed := sent.Add(time.Duration(update.HeldMs-update.AgeMs) * time.Millisecond)
		age = now.Sub(confirmed)
		s.confirm(confirmed)
		if confirmed.After(s.feedConfirmedAt) {
			s.feedConfirmedAt = confirmed
		}
	}
	judgement := s.judgeSource(update, age, reads)
	if judgement == nil {
		s.sourceRecovered(source, age)
	}
	known := s.state.Version()
	if judgement == nil && update.Version >= known {
		defer s.pause.confirm(sent)
	}
	s.lacksDocument = !update.Full && update.Version == known && update.Revision > s.state.documentRevision()
	if update.Version < known || update.Version == known && !update.Full {
		if update.Version == known && s.state.recordReturns(update.Returned, now) {
			s.publish()
			return judgement
		}
		s.mu.Unlock()
		return judgement
	}
	entered := s.enterEra(update.Version, now, time.Duration(update.GraceMs)*time.Millisecond)
	expiry := s.missingEntryExpiry(now)
	if update.Full {
		s.Log.Info().Str("source", string(source)).Int64("version", int64(update.Version)).Int64("before", int64(s.state.Version())).Int("entries", len(update.Entries)).Msg("state_received")
		s.Metrics.Counter("directory.states_received").Inc(1)
		s.replaceState(update.Entries, update.Version, now, expiry)
	} else {
		s.recordHistory(s.state.ApplyUpdate(update.Events, update.Version, now, expiry))
		if known.Era() < update.Version.Era() {
			s.recordGap(known)
		}
	}
	s.state.recordReturns(update.Returned, now)
	entered()
	s.publish()
	return judgement
}

// judgeSource returns an error if another source may know more. A host that reads the store
// itself has lost it, and follows any source that has not.
func (s *Service) judgeSource(update *Update, age time.Duration, reads bool) error {
	switch {
	case update.Disconnected:
		return errSourceDisconnected
	case age < 0:
		return errUnknownAge
	case !reads && age > s.part(sourceAgeRatio):
		return fmt.Errorf("the state of the source is %d ms old", age.Milliseconds())
	}
	return nil
}

// replaceState replaces the state with a complete one. The caller holds mu.
func (s *Service) replaceState(entries []store.Entry, version store.Version, now, expiry time.Time) {
	before := s.state.Version()
	events := s.state.Replace(entries, version, now, expiry)
	if before == 0 {
		// No host can have an earlier state of this one, so nothing is kept for it.
		s.historyFrom = s.state.Version()
		return
	}
	s.recordHistory(events)
	s.recordGap(before)
}

// sourceRecovered logs the first update of a source. The caller holds mu.
func (s *Service) sourceRecovered(source api.Address, age time.Duration) {
	if s.source == source {
		return
	}
	s.Log.Info().Str("source", string(source)).Str("before", string(s.source)).Int64("age_ms", age.Milliseconds()).Msg("feed_source_changed")
	s.source = source
}

// sourceFailed logs the failure of a source.
func (s *Service) sourceFailed(source api.Address, err error) {
	s.Metrics.Counter("directory.feed_failures").Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.source == source {
		s.Log.Warn().Str("source", string(source)).Int64("version", int64(s.state.Version())).
			Int64("age_ms", s.now().Sub(s.confirmedAt).Milliseconds()).Err(err).Msg("feed_source_lost")
		s.source = ""
	}
}

// SetSeeds replaces the addresses of hosts to ask if no host is known yet.
func (s *Service) SetSeeds(seeds []api.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Seeds = seeds
}
