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
	// offerTimeout bounds the fetch of the missing parts of one manifest.
	offerTimeout = 10 * time.Second
	// peerTimeout bounds the fetch of one part from a peer, after which the store is asked.
	peerTimeout = time.Second
	// fetchers is the number of parts that are fetched at once.
	fetchers = 8

	defaultPollPeriod = 30 * time.Second
	// followsPoll is the time between two questions whether this host is to watch.
	followsPoll = time.Second
	// firstBackoff and maxBackoff bound the wait before the store is read again after a failure.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 10 * time.Second
)

// refuse logs and counts a manifest or part that is not valid.
func (s *Service) refuse(err error) error {
	s.count("refused")
	s.Log.Error().Err(err).Uint64("in_force", uint64(s.revision())).Msg("configuration_refused")
	return fault.Wrap(api.KindInternal, err, "the configuration is not valid")
}

// Offer puts the configuration of a manifest in force where its revision is higher
// than that in force. It fetches only the missing parts, with fetch first, where
// that is not nil, and then from the store. A manifest that is not valid leaves the
// configuration in force as it is.
func (s *Service) Offer(ctx context.Context, manifest *Manifest, fetch func(ctx context.Context, digest string) ([]byte, error)) error {
	s.init()
	if s.known(manifest) {
		return nil
	}
	if err := manifest.check(); err != nil {
		return s.refuse(err)
	}
	err := s.take(ctx, manifest, fetch)
	s.announce()
	return err
}

// take gathers and installs a configuration. One call at a time does so.
func (s *Service) take(ctx context.Context, manifest *Manifest, fetch func(context.Context, string) ([]byte, error)) error {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	select {
	case s.slot <- struct{}{}:
		defer func() { <-s.slot }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.known(manifest) {
		return nil
	}
	if last := s.refused.Load(); last != nil && *last == manifest.Commit {
		return fault.New(api.KindInternal, "the document of revision %d was refused", manifest.Revision)
	}
	parts, err := s.gather(ctx, manifest, fetch)
	if err != nil {
		return err
	}
	return s.install(manifest, parts)
}

// known reports whether the revision of a manifest is not higher than that in
// force, and logs where it contradicts it.
func (s *Service) known(manifest *Manifest) bool {
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

// gather returns all parts of a manifest: those in force and, for the rest, what it fetches.
func (s *Service) gather(ctx context.Context, manifest *Manifest, fetch func(context.Context, string) ([]byte, error)) (map[string][]byte, error) {
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
		mu    sync.Mutex
		wait  sync.WaitGroup
		first error
		slots = make(chan struct{}, fetchers)
	)
	for _, digest := range missing {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			data, err := s.fetch(ctx, digest, fetch)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			parts[digest] = data
			if first == nil {
				first = err
			}
		}()
	}
	wait.Wait()
	return parts, first
}

// fetch returns one part, from a peer where that has it and from the store otherwise.
func (s *Service) fetch(ctx context.Context, digest string, fetch func(context.Context, string) ([]byte, error)) ([]byte, error) {
	if fetch != nil {
		data, err := fetchPeer(ctx, digest, fetch)
		if err == nil && digestOf(data) == digest {
			s.fetched("peer", data)
			return data, nil
		}
		s.count("parts_missed_at_peer")
	}
	entry, err := s.kv.Get(ctx, s.Keys.Part(digest))
	switch {
	case err != nil:
		return nil, unavailable(err)
	case entry == nil:
		return nil, fault.New(api.KindStoreUnavailable, "part %s is at no peer and not in the store", digest)
	case digestOf(entry.Value) != digest:
		return nil, s.refuse(fmt.Errorf("part %s has other content", digest))
	}
	s.fetched("store", entry.Value)
	return entry.Value, nil
}

func fetchPeer(ctx context.Context, digest string, fetch func(context.Context, string) ([]byte, error)) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return fetch(ctx, digest)
}

// fetched counts a part and its bytes by their source.
func (s *Service) fetched(source string, data []byte) {
	s.count("parts_from_" + source)
	s.Metrics.Counter("configuration.bytes_from_" + source).Inc(int64(len(data)))
}

func compile(manifest *Manifest, parts map[string][]byte) (*document.Snapshot, error) {
	doc, err := join(manifest, parts)
	if err != nil {
		return nil, err
	}
	snapshot, err := document.Compile(doc, manifest.Revision)
	if err != nil {
		return nil, fmt.Errorf("revision %d: %w", manifest.Revision, err)
	}
	return snapshot, nil
}

// install compiles a configuration whole and puts it in force with one swap. The caller holds the slot.
func (s *Service) install(manifest *Manifest, parts map[string][]byte) error {
	snapshot, err := compile(manifest, parts)
	if err != nil {
		s.refused.Store(&manifest.Commit)
		return s.refuse(err)
	}
	if !s.Holder.Store(snapshot) {
		s.count("lower_revision")
		return nil
	}
	s.state.Store(&inForce{manifest: manifest, parts: parts})
	s.count("in_force")
	s.Log.Info().Uint64("revision", uint64(manifest.Revision)).Msg("configuration_in_force")
	return nil
}

// announce calls Applied for what is in force. Where another call of it runs, that
// one goes on until it has announced the newest.
func (s *Service) announce() {
	for s.Applied != nil {
		snapshot := s.Holder.Load()
		if snapshot == nil || s.announced.Load() >= uint64(snapshot.Revision) || !s.announcing.CompareAndSwap(false, true) {
			return
		}
		if s.announced.Load() < uint64(snapshot.Revision) {
			s.announced.Store(uint64(snapshot.Revision))
			s.Applied(snapshot)
		}
		s.announcing.Store(false)
	}
}

// Refresh reads the manifest from the store and puts it in force where it is newer.
func (s *Service) Refresh(ctx context.Context) error {
	_, err := s.refresh(ctx)
	return err
}

// refresh returns the revision of the store at which it read the manifest.
func (s *Service) refresh(ctx context.Context) (store.Version, error) {
	s.init()
	now, err := s.read(ctx)
	if err != nil || now.manifest == nil {
		return now.read, err
	}
	return now.read, s.Offer(ctx, now.manifest, nil)
}

// Watch follows the manifest in the store until ctx ends. Each round reads it and
// then watches for at most PollPeriod, so that a watch that went silent delays a
// change by no more than that. After a failure it waits with backoff and jitter.
func (s *Service) Watch(ctx context.Context) error {
	s.init()
	backoff := firstBackoff
	for ctx.Err() == nil {
		if s.Follows != nil && !s.Follows() {
			_ = pause(ctx, followsPoll)
			continue
		}
		err := s.follow(ctx)
		if err == nil {
			backoff = firstBackoff
			continue
		}
		if ctx.Err() != nil {
			break
		}
		s.count("watch_failed")
		s.Log.Warn().Err(err).Msg("configuration_watch_failed")
		_ = pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

// follow reads the manifest and watches it for one period. It returns nil where
// the period passed or the watch has to start from a newer revision.
func (s *Service) follow(ctx context.Context) error {
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
	var failed error
	err = s.kv.Watch(ctx, s.Keys.Manifest(), version+1, func(events []store.Event) {
		for _, event := range events {
			if event.Deleted || event.Key != s.Keys.Manifest() {
				continue
			}
			if failed = s.offerEncoded(ctx, event.Value); failed != nil {
				cancel()
				return
			}
		}
	})
	switch {
	case failed != nil:
		return failed
	case ctx.Err() != nil || store.IsErrCompacted(err):
		return nil
	}
	return err
}

// offerEncoded puts the manifest of an event in force.
func (s *Service) offerEncoded(ctx context.Context, value []byte) error {
	manifest, err := ParseManifest(value)
	if err != nil {
		return s.refuse(err)
	}
	return s.Offer(ctx, manifest, nil)
}
