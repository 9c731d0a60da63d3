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
	// maxHistory is the number of revisions that are kept.
	maxHistory = 500
	// collectEvery is the number of commits between two collections of unused parts.
	// A collection reads the history and all parts, about 15 MB at the target size.
	collectEvery   = 250
	collectTimeout = time.Minute
	// pageSize is the number of entries of one read of a list.
	pageSize = 64
)

// History returns the manifests of the last revisions, newest first: at most
// limit of them, or all that are kept where limit is 0.
func (s *Service) History(ctx context.Context, limit int) ([]Manifest, error) {
	s.init()
	now, err := s.read(ctx)
	if err != nil || now.manifest == nil {
		return nil, err
	}
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	first := api.Revision(1)
	if now.manifest.Revision > api.Revision(limit) {
		first = now.manifest.Revision - api.Revision(limit) + 1
	}
	var newestFirst []Manifest
	err = s.each(ctx, s.Keys.HistoryPrefix(), s.Keys.History(first), func(entry store.Entry) error {
		manifest, err := ParseManifest(entry.Value)
		if err != nil {
			return s.refuse(err)
		}
		newestFirst = append([]Manifest{*manifest}, newestFirst...)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return newestFirst[:min(limit, len(newestFirst))], nil
}

// each calls f for all entries under prefix from key from on, and reads them in pages.
func (s *Service) each(ctx context.Context, prefix, from string, f func(store.Entry) error) error {
	for {
		entries, err := s.kv.List(ctx, prefix, from, pageSize)
		if err != nil {
			return unavailable(err)
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

// At returns the document of a revision that is in force or in the history.
func (s *Service) At(ctx context.Context, revision api.Revision) (*document.Document, error) {
	s.init()
	if state := s.state.Load(); state != nil && state.manifest.Revision == revision {
		return join(state.manifest, state.parts)
	}
	entry, err := s.kv.Get(ctx, s.Keys.History(revision))
	if err != nil {
		return nil, unavailable(err)
	}
	if entry == nil {
		return nil, fault.New(api.KindNotFound, "revision %d is not in the history", revision)
	}
	manifest, err := ParseManifest(entry.Value)
	if err != nil {
		return nil, s.refuse(err)
	}
	parts, err := s.gather(ctx, manifest, nil)
	if err != nil {
		return nil, err
	}
	return join(manifest, parts)
}

// Collect deletes the parts that neither the manifest in force nor the history
// names, and returns their number. A commit that meanwhile uploads such a part
// compares its version and uploads it again; a commit that has taken effect makes
// the deletion fail, which the next collection makes up for.
func (s *Service) Collect(ctx context.Context) (int, error) {
	s.init()
	now, err := s.read(ctx)
	if err != nil || now.manifest == nil {
		return 0, err
	}
	used := map[string]bool{}
	use := func(manifest *Manifest) {
		for _, digest := range manifest.Parts {
			used[s.Keys.Part(digest)] = true
		}
	}
	use(now.manifest)
	err = s.each(ctx, s.Keys.HistoryPrefix(), "", func(entry store.Entry) error {
		past, err := ParseManifest(entry.Value)
		if err == nil {
			use(past)
		}
		return err
	})
	if err != nil {
		return 0, err
	}
	var unused []store.Compare
	err = s.each(ctx, s.Keys.PartsPrefix(), "", func(entry store.Entry) error {
		if !used[entry.Key] {
			unused = append(unused, store.Compare{Key: entry.Key, Version: entry.Version})
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return s.deleteParts(ctx, store.Compare{Key: s.Keys.Manifest(), Version: now.version}, unused)
}

func (s *Service) deleteParts(ctx context.Context, unchanged store.Compare, unused []store.Compare) (int, error) {
	deleted := 0
	for len(unused) > 0 {
		n := min(len(unused), store.MaxOperations-1)
		txn := store.Txn{If: append([]store.Compare{unchanged}, unused[:n]...)}
		for _, part := range unused[:n] {
			txn.Deletes = append(txn.Deletes, part.Key)
		}
		result, err := s.kv.Txn(ctx, txn)
		if err != nil {
			return deleted, unavailable(err)
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
