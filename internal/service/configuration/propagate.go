package configuration

import (
	"context"
	"fmt"
	"sync"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// offerTimeout bounds the fetch of the missing parts of one manifest, including the wait for installLock.
	offerTimeout = 10 * time.Second
	// peerFetchTimeout bounds the fetch of one part from a peer; the part is then read from the store.
	peerFetchTimeout = time.Second
	// maxConcurrentFetches is the number of parts fetched concurrently.
	maxConcurrentFetches = 8

	defaultPollPeriod = 30 * time.Second
	// followsPollPeriod is the time between two checks whether this host has to watch the store.
	followsPollPeriod = time.Second
	// firstBackoff and maxBackoff bound the delay before the store is read again after a failure.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// rejectInvalid logs and counts an invalid manifest or part, and returns its error.
func (s *Service) rejectInvalid(err error) error {
	s.count("refused")
	s.Log.Error().Err(err).Uint64("in_force", uint64(s.revision())).Msg("configuration_refused")
	return fault.Wrap(api.KindInternal, err, "the configuration is not valid")
}

// Offer activates the configuration of a manifest if its revision is higher than the
// active one. It fetches only the missing parts: with fetch first, if that is not nil,
// and then from the store. An invalid manifest leaves the active configuration unchanged.
func (s *Service) Offer(ctx context.Context, manifest *Manifest, fetch func(ctx context.Context, digest string) ([]byte, error)) error {
	s.init()
	if s.isNotNewer(manifest) {
		return nil
	}
	if err := manifest.validate(); err != nil {
		return s.rejectInvalid(err)
	}
	err := s.fetchAndInstall(ctx, manifest, fetch)
	s.notifyApplied()
	return err
}

// fetchAndInstall fetches and installs a configuration. Only one call at a time does so.
func (s *Service) fetchAndInstall(ctx context.Context, manifest *Manifest, fetch func(context.Context, string) ([]byte, error)) error {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	select {
	case s.installLock <- struct{}{}:
		defer func() { <-s.installLock }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.isNotNewer(manifest) {
		return nil
	}
	if last := s.lastRejected.Load(); last != nil && *last == manifest.Commit {
		return fault.New(api.KindInternal, "the document of revision %d was rejected before", manifest.Revision)
	}
	parts, err := s.fetchParts(ctx, manifest, fetch)
	if err != nil {
		return err
	}
	return s.install(manifest, parts)
}

// isNotNewer reports whether the revision of a manifest is not higher than the active
// one. It logs a lower revision, and a different commit of the same revision.
func (s *Service) isNotNewer(manifest *Manifest) bool {
	current := s.Current()
	switch {
	case current == nil || manifest.Revision > current.Revision:
		return false
	case manifest.Revision < current.Revision:
		s.count("lower_revision")
		s.Log.Debug().Uint64("offered", uint64(manifest.Revision)).Uint64("in_force", uint64(current.Revision)).Msg("lower_revision_refused")
	case manifest.Commit != current.Commit:
		s.count("other_commit")
		s.Log.Error().Uint64("revision", uint64(manifest.Revision)).Str("offered", manifest.Commit).
			Str("in_force", current.Commit).Msg("other_commit_of_same_revision_refused")
	}
	return true
}

// fetchParts returns all parts of a manifest. It fetches those that are not active yet.
func (s *Service) fetchParts(ctx context.Context, manifest *Manifest, fetch func(context.Context, string) ([]byte, error)) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(manifest.Parts))
	var missing []string
	for _, digest := range manifest.Parts {
		data, found := s.Part(digest)
		if !found {
			missing = append(missing, digest)
			continue
		}
		parts[digest] = data
	}
	var (
		mu       sync.Mutex
		wg       sync.WaitGroup
		firstErr error
		slots    = make(chan struct{}, maxConcurrentFetches)
	)
	for _, digest := range missing {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			data, err := s.fetchPart(ctx, digest, fetch)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			parts[digest] = data
			if firstErr == nil {
				firstErr = err
			}
		}()
	}
	wg.Wait()
	return parts, firstErr
}

// fetchPart returns one part, from a peer if that has it and from the store otherwise.
func (s *Service) fetchPart(ctx context.Context, digest string, fetch func(context.Context, string) ([]byte, error)) ([]byte, error) {
	if fetch != nil {
		data, err := fetchPartFromPeer(ctx, digest, fetch)
		if err == nil && digestOf(data) == digest {
			s.countFetched("peer", data)
			return data, nil
		}
		s.count("parts_missed_at_peer")
	}
	entry, err := s.kv.Get(ctx, s.Keys.Part(digest))
	switch {
	case err != nil:
		return nil, unavailableError(err)
	case entry == nil:
		return nil, fault.New(api.KindStoreUnavailable, "part %s was not received from a peer and is not in the store", digest)
	case digestOf(entry.Value) != digest:
		return nil, s.rejectInvalid(fmt.Errorf("the content of part %s does not match its digest", digest))
	}
	s.countFetched("store", entry.Value)
	return entry.Value, nil
}

func fetchPartFromPeer(ctx context.Context, digest string, fetch func(context.Context, string) ([]byte, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	return fetch(ctx, digest)
}

// countFetched counts a fetched part and its bytes by source.
func (s *Service) countFetched(source string, data []byte) {
	s.count("parts_from_" + source)
	s.Metrics.Counter("configuration.bytes_from_" + source).Inc(int64(len(data)))
}

func compile(manifest *Manifest, parts map[string][]byte) (*document.Snapshot, error) {
	doc, err := decodeParts(manifest, parts)
	if err != nil {
		return nil, err
	}
	snapshot, err := document.Compile(doc, manifest.Revision)
	if err != nil {
		return nil, fmt.Errorf("revision %d: %w", manifest.Revision, err)
	}
	return snapshot, nil
}

// install compiles a configuration and activates it atomically. The caller holds installLock.
func (s *Service) install(manifest *Manifest, parts map[string][]byte) error {
	snapshot, err := compile(manifest, parts)
	if err != nil {
		s.lastRejected.Store(&manifest.Commit)
		return s.rejectInvalid(err)
	}
	if !s.Holder.Store(snapshot) {
		s.count("lower_revision")
		return nil
	}
	s.active.Store(&activeConfiguration{manifest: manifest, parts: parts})
	s.count("in_force")
	s.Log.Info().Uint64("revision", uint64(manifest.Revision)).Msg("configuration_in_force")
	return nil
}

// notifyApplied passes the active snapshot to the callback. If another goroutine is already
// doing so, that one continues until it has passed on the newest snapshot.
func (s *Service) notifyApplied() {
	for s.OnApplied != nil {
		snapshot := s.Holder.Load()
		if snapshot == nil || s.lastNotified.Load() >= uint64(snapshot.Revision) || !s.notifying.CompareAndSwap(false, true) {
			return
		}
		if s.lastNotified.Load() < uint64(snapshot.Revision) {
			s.lastNotified.Store(uint64(snapshot.Revision))
			s.OnApplied(snapshot)
		}
		s.notifying.Store(false)
	}
}

// Refresh reads the manifest from the store and activates it if it is newer.
func (s *Service) Refresh(ctx context.Context) error {
	_, err := s.refresh(ctx)
	return err
}

// refresh does the work of Refresh and returns the store revision at which it read the manifest.
func (s *Service) refresh(ctx context.Context) (store.Version, error) {
	s.init()
	stored, err := s.read(ctx)
	if err != nil || stored.manifest == nil {
		return stored.readVersion, err
	}
	return stored.readVersion, s.Offer(ctx, stored.manifest, nil)
}

// Watch follows the manifest in the store until ctx is done. Each iteration reads it and
// then watches for at most PollPeriod, so that a watch that stopped delivering events
// delays a change by no more than that. After a failure it waits with backoff and jitter.
func (s *Service) Watch(ctx context.Context) error {
	s.init()
	backoff := firstBackoff
	for ctx.Err() == nil {
		if s.ShouldWatch != nil && !s.ShouldWatch() {
			_ = sleep(ctx, followsPollPeriod)
			continue
		}
		err := s.watchOnce(ctx)
		if err == nil {
			backoff = firstBackoff
			continue
		}
		if ctx.Err() != nil {
			break
		}
		s.count("watch_failed")
		s.Log.Warn().Err(err).Msg("configuration_watch_failed")
		_ = sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

// watchOnce reads the manifest and watches it for one period. It returns nil if the
// period has passed or the watch has to restart from a newer revision.
func (s *Service) watchOnce(ctx context.Context) error {
	version, err := s.refresh(ctx)
	if err != nil {
		return err
	}
	period := s.PollPeriod
	if period == 0 {
		period = defaultPollPeriod
	}
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	var offerErr error
	err = s.kv.Watch(ctx, s.Keys.Manifest(), version+1, func(events []store.Event) {
		for _, event := range events {
			if event.Deleted || event.Key != s.Keys.Manifest() {
				continue
			}
			if offerErr = s.offerEncoded(ctx, event.Value); offerErr != nil {
				cancel()
				return
			}
		}
	})
	switch {
	case offerErr != nil:
		return offerErr
	case ctx.Err() != nil || store.IsErrCompacted(err):
		return nil
	}
	return err
}

// offerEncoded decodes the manifest of a watch event and offers it.
func (s *Service) offerEncoded(ctx context.Context, value []byte) error {
	manifest, err := ParseManifest(value)
	if err != nil {
		return s.rejectInvalid(err)
	}
	return s.Offer(ctx, manifest, nil)
}
