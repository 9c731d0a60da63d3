package configuration

import (
	"context"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// maxHistory is the number of revisions kept in the history.
	maxHistory = 500
	// collectEvery is the number of commits between two deletions of unused parts. A deletion
	// reads the history and all parts, about 15 MB at the target size.
	collectEvery   = 250
	collectTimeout = time.Minute
	// pageSize is the number of entries read at once from a list.
	pageSize = 64
)

// History returns the manifests of the latest revisions, newest first: at most limit
// of them, or all that are kept if limit is 0.
func (s *Service) History(ctx context.Context, limit int) ([]Manifest, error) {
	s.init()
	stored, err := s.read(ctx)
	if err != nil || stored.manifest == nil {
		return nil, err
	}
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	first := api.Revision(1)
	if stored.manifest.Revision > api.Revision(limit) {
		first = stored.manifest.Revision - api.Revision(limit) + 1
	}
	var newestFirst []Manifest
	err = s.forEachEntry(ctx, s.Keys.HistoryPrefix(), s.Keys.History(first), func(entry store.Entry) error {
		manifest, err := ParseManifest(entry.Value)
		if err != nil {
			return s.rejectInvalid(err)
		}
		newestFirst = append([]Manifest{*manifest}, newestFirst...)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return newestFirst[:min(limit, len(newestFirst))], nil
}

// forEachEntry calls f for all entries under prefix, starting at key from. It reads them in pages.
func (s *Service) forEachEntry(ctx context.Context, prefix, from string, f func(store.Entry) error) error {
	for {
		entries, err := s.kv.List(ctx, prefix, from, pageSize)
		if err != nil {
			return unavailableError(err)
		}
		for _, entry := range entries {
			if err := f(entry); err != nil {
				return err
			}
		}
		if len(entries) < pageSize {
			return nil
		}
		from = entries[len(entries)-1].Key + "\x00"
	}
}

// DocumentAt returns the document of the active revision or of one in the history.
func (s *Service) DocumentAt(ctx context.Context, revision api.Revision) (*document.Document, error) {
	s.init()
	if active := s.active.Load(); active != nil && active.manifest.Revision == revision {
		return decodeParts(active.manifest, active.parts)
	}
	entry, err := s.kv.Get(ctx, s.Keys.History(revision))
	if err != nil {
		return nil, unavailableError(err)
	}
	if entry == nil {
		return nil, fault.New(api.KindNotFound, "revision %d is not in the history", revision)
	}
	manifest, err := ParseManifest(entry.Value)
	if err != nil {
		return nil, s.rejectInvalid(err)
	}
	parts, err := s.fetchParts(ctx, manifest, nil)
	if err != nil {
		return nil, err
	}
	return decodeParts(manifest, parts)
}

// DeleteUnusedParts deletes the parts that neither the stored manifest nor the history references,
// and returns their number. A commit that concurrently relies on such a part compares its
// version and uploads it again. A commit that takes effect before the deletion makes
// the deletion fail; the next run deletes the parts.
func (s *Service) DeleteUnusedParts(ctx context.Context) (int, error) {
	s.init()
	stored, err := s.read(ctx)
	if err != nil || stored.manifest == nil {
		return 0, err
	}
	used := map[string]bool{}
	markUsed := func(manifest *Manifest) {
		for _, digest := range manifest.Parts {
			used[s.Keys.Part(digest)] = true
		}
	}
	markUsed(stored.manifest)
	err = s.forEachEntry(ctx, s.Keys.HistoryPrefix(), "", func(entry store.Entry) error {
		past, err := ParseManifest(entry.Value)
		if err == nil {
			markUsed(past)
		}
		return err
	})
	if err != nil {
		return 0, err
	}
	var unused []store.Compare
	err = s.forEachEntry(ctx, s.Keys.PartsPrefix(), "", func(entry store.Entry) error {
		if !used[entry.Key] {
			unused = append(unused, store.Compare{Key: entry.Key, Version: entry.Version})
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return s.deleteParts(ctx, store.Compare{Key: s.Keys.Manifest(), Version: stored.version}, unused)
}

func (s *Service) deleteParts(ctx context.Context, manifestUnchanged store.Compare, unused []store.Compare) (int, error) {
	deleted := 0
	for len(unused) > 0 {
		n := min(len(unused), store.MaxOperations-1)
		txn := store.Txn{If: append([]store.Compare{manifestUnchanged}, unused[:n]...)}
		for _, part := range unused[:n] {
			txn.Deletes = append(txn.Deletes, part.Key)
		}
		result, err := s.kv.Txn(ctx, txn)
		if err != nil {
			return deleted, unavailableError(err)
		}
		if !result.Applied {
			return deleted, nil
		}
		deleted += n
		unused = unused[n:]
	}
	s.Metrics.Counter("configuration.parts_collected").Inc(int64(deleted))
	return deleted, nil
}
