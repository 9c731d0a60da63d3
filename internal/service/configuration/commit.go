package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

const (
	// commitTimeout bounds a commit, the tries after a lost reply included.
	commitTimeout = 10 * time.Second
	// maxTries bounds the tries of a commit whose member documents or parts change meanwhile.
	maxTries = 10
	// retryPause is the mean wait before a transaction is sent again.
	retryPause = 50 * time.Millisecond
	// maxUpload bounds the values of one transaction, in bytes; the service takes
	// requests of up to 1.5 MiB.
	maxUpload = 1 << 20
)

// change is a commit under way.
type change struct {
	base     api.Revision
	manifest Manifest
	parts    map[string][]byte
	doc      *document.Document
}

// Commit puts doc in force where base is still the revision in force. A conflict
// carries the revision in force; see CurrentOf.
func (s *Service) Commit(ctx context.Context, doc *document.Document, base api.Revision, author, comment string) (api.Revision, error) {
	s.init()
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	revision, err := s.commit(ctx, doc, base, author, comment)
	if err != nil {
		s.count("commit." + string(fault.KindOf(err)))
		return 0, err
	}
	s.count("commit.accepted")
	return revision, nil
}

func (s *Service) commit(ctx context.Context, doc *document.Document, base api.Revision, author, comment string) (api.Revision, error) {
	if _, err := document.Compile(doc, base+1); err != nil {
		return 0, invalid(err)
	}
	names, parts, err := split(doc)
	if err != nil {
		return 0, fault.Wrap(api.KindBadRequest, err, "%s", err.Error())
	}
	c := &change{base: base, parts: parts, manifest: Manifest{
		Revision: base + 1, Commit: uuid.NewString(), Author: author, Time: time.Now().UTC(), Comment: comment, Parts: names,
	}}
	for range maxTries {
		committed, err := s.try(ctx, c)
		if err != nil {
			return 0, err
		}
		if committed {
			s.committed(ctx, c)
			return c.manifest.Revision, nil
		}
	}
	return 0, fault.New(api.KindStoreUnavailable, "the members or the parts changed %d times during the commit", maxTries)
}

func invalid(err error) error {
	if typed, ok := err.(*document.InvalidError); ok {
		return fault.WithFaults(fault.Wrap(api.KindBadRequest, err, "%s", err.Error()), typed.Faults)
	}
	return fault.Wrap(api.KindBadRequest, err, "the document is not valid")
}

// try makes one commit from the present state of the store. It reports false
// where the members or the parts changed meanwhile and nothing was applied.
func (s *Service) try(ctx context.Context, c *change) (bool, error) {
	now, err := s.read(ctx)
	if err != nil {
		return false, err
	}
	current, named := s.revision(), map[PartName]string(nil)
	if now.manifest != nil {
		current, named = max(current, now.manifest.Revision), now.manifest.Parts
	}
	// A store that came back with an older manifest takes the next revision after
	// the one in force, as hosts refuse a lower one.
	if current != c.base {
		return false, conflict(c.base, current)
	}
	members, newest, err := s.readMembers(ctx)
	if err != nil {
		return false, err
	}
	c.manifest.Members = members
	uploaded, err := s.upload(ctx, c, named)
	if err != nil {
		return false, err
	}
	txn, err := s.transaction(c, now.version, newest, uploaded)
	if err != nil {
		return false, err
	}
	return s.apply(ctx, c, txn, now.version)
}

// part is one part that a change needs in the store.
type part struct {
	key  string
	data []byte
}

// upload makes sure that the parts which the manifest in the store does not name
// are in the store, and returns their versions. No manifest has to name them yet,
// so they change nothing.
func (s *Service) upload(ctx context.Context, c *change, named map[PartName]string) ([]store.Compare, error) {
	known := map[string]bool{}
	for _, digest := range named {
		known[digest] = true
	}
	var uploaded []store.Compare
	var batch []part
	size := 0
	flush := func() error {
		versions, err := s.ensure(ctx, batch)
		uploaded = append(uploaded, versions...)
		batch, size = nil, 0
		return err
	}
	for digest, data := range c.parts {
		if known[digest] {
			continue
		}
		if len(batch) == store.MaxOperations || (size > 0 && size+len(data) > maxUpload) {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		batch = append(batch, part{s.Keys.Part(digest), data})
		size += len(data)
	}
	return uploaded, flush()
}

// ensure puts the parts that the store does not have and returns the versions of
// all. A part that is there keeps its version: commits with a part in common, as
// of hosts that start with one document, would otherwise make each other fail.
func (s *Service) ensure(ctx context.Context, missing []part) ([]store.Compare, error) {
	var versions []store.Compare
	for len(missing) > 0 {
		txn := store.Txn{}
		for _, p := range missing {
			txn.If = append(txn.If, store.Compare{Key: p.key})
			txn.Puts = append(txn.Puts, store.Put{Key: p.key, Value: p.data})
			txn.ReadElse = append(txn.ReadElse, p.key)
		}
		result, err := s.kv.Txn(ctx, txn)
		switch {
		case store.IsErrUnknownOutcome(err) && pause(ctx, retryPause) == nil:
			continue
		case err != nil:
			return nil, notApplied(err)
		}
		found := map[string]store.Version{}
		for _, entry := range result.Entries {
			found[entry.Key] = entry.Version
		}
		var rest []part
		for _, p := range missing {
			version := found[p.key]
			if result.Applied {
				version = result.Version
			}
			if version == 0 {
				rest = append(rest, p)
				continue
			}
			versions = append(versions, store.Compare{Key: p.key, Version: version})
		}
		missing = rest
	}
	return versions, nil
}

func notApplied(err error) error {
	return fault.Wrap(api.KindStoreUnavailable, err, "the commit was not applied")
}

// transaction returns the one transaction by which the change takes effect. It
// holds only if the manifest is the one that was read, no host registered since
// then, and no uploaded part was collected.
func (s *Service) transaction(c *change, version, newest store.Version, uploaded []store.Compare) (store.Txn, error) {
	value, err := json.Marshal(c.manifest)
	if err != nil {
		return store.Txn{}, fault.Wrap(api.KindInternal, err, "encode the manifest")
	}
	entry := c.manifest
	entry.Members = nil
	past, err := json.Marshal(entry)
	if err != nil {
		return store.Txn{}, fault.Wrap(api.KindInternal, err, "encode the manifest")
	}
	if len(value) > store.MaxValue {
		return store.Txn{}, fault.New(api.KindBadRequest, "the manifest has %d bytes; at most %d are allowed", len(value), store.MaxValue)
	}
	txn := store.Txn{
		If: append([]store.Compare{
			{Key: s.Keys.Manifest(), Version: version},
			{Key: s.Keys.MembersPrefix(), Version: newest, Prefix: true},
		}, uploaded...),
		Puts: []store.Put{
			{Key: s.Keys.Manifest(), Value: value},
			{Key: s.Keys.History(entry.Revision), Value: past},
		},
		ReadElse: []string{s.Keys.Manifest(), s.Keys.History(entry.Revision)},
	}
	if entry.Revision > maxHistory {
		txn.Deletes = []string{s.Keys.History(entry.Revision - maxHistory)}
	}
	return txn, nil
}

// apply sends the transaction. After a lost reply it sends the same transaction
// again: it can't apply twice, and where it does not apply its else branch reads
// back the commit id.
func (s *Service) apply(ctx context.Context, c *change, txn store.Txn, version store.Version) (bool, error) {
	unclear := false
	for {
		result, err := s.kv.Txn(ctx, txn)
		switch {
		case err == nil && result.Applied:
			return true, nil
		case err == nil:
			return s.judge(c, result.Entries, version)
		case store.IsErrUnavailable(err) && !unclear:
			return false, notApplied(err)
		}
		unclear = unclear || !store.IsErrUnavailable(err)
		s.count("commit_retries")
		if pause(ctx, retryPause) != nil {
			return false, fault.Wrap(api.KindStoreOutcomeUnknown, err, "the commit may have been applied")
		}
	}
}

// judge tells why a transaction did not apply: an earlier try of it did, another
// change was committed, or only the members or parts changed.
func (s *Service) judge(c *change, entries []store.Entry, version store.Version) (bool, error) {
	changed := version != 0
	current := api.Revision(0)
	for _, entry := range entries {
		manifest, err := ParseManifest(entry.Value)
		if err != nil {
			return false, s.refuse(err)
		}
		if manifest.Commit == c.manifest.Commit {
			return true, nil
		}
		if entry.Key == s.Keys.Manifest() {
			changed, current = entry.Version != version, manifest.Revision
		}
	}
	if changed {
		return false, conflict(c.base, current)
	}
	return false, nil
}

// committed puts the change in force on this host and collects unused parts from time to time.
func (s *Service) committed(ctx context.Context, c *change) {
	manifest := c.manifest
	if err := s.Offer(ctx, &manifest, func(_ context.Context, digest string) ([]byte, error) {
		data, found := c.parts[digest]
		if !found {
			return nil, errors.New("not a part of the change")
		}
		return data, nil
	}); err != nil {
		s.Log.Error().Err(err).Uint64("revision", uint64(manifest.Revision)).Msg("committed_configuration_refused")
	}
	if manifest.Revision%collectEvery != 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), collectTimeout)
		defer cancel()
		if _, err := s.Collect(ctx); err != nil {
			s.Log.Warn().Err(err).Msg("collection_of_parts_failed")
		}
	}()
}

// pause waits for mean, half of it at random, or returns an error where ctx ends before.
func pause(ctx context.Context, mean time.Duration) error {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
