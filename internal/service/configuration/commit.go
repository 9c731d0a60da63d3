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
	// commitTimeout bounds a commit, including retries after a lost reply.
	commitTimeout = 10 * time.Second
	// maxCommitAttempts bounds the attempts of a commit while member documents or parts change concurrently.
	maxCommitAttempts = 10
	// meanRetryDelay is the mean delay before a transaction is sent again.
	meanRetryDelay = 50 * time.Millisecond
	// maxUploadBytes bounds the total size of the values in one transaction; the store
	// accepts requests of up to 1.5 MiB.
	maxUploadBytes = 1 << 20
)

// pendingCommit is a commit in progress.
type pendingCommit struct {
	base     api.Revision
	manifest Manifest
	parts    map[string][]byte
	doc      *document.Document
}

// Commit makes doc the active configuration if base is still the active revision.
// A conflict error carries the active revision.
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
		return 0, invalidDocument(err)
	}
	names, parts, err := encodeParts(doc)
	if err != nil {
		return 0, fault.Wrap(api.KindBadRequest, err, "%s", err.Error())
	}
	c := &pendingCommit{base: base, parts: parts, manifest: Manifest{
		Revision: base + 1, Commit: uuid.NewString(), Author: author, Time: time.Now().UTC(), Comment: comment, Parts: names,
	}}
	for range maxCommitAttempts {
		committed, err := s.tryCommit(ctx, c)
		if err != nil {
			return 0, err
		}
		if committed {
			s.installCommitted(ctx, c)
			return c.manifest.Revision, nil
		}
	}
	return 0, fault.New(api.KindStoreUnavailable, "the member documents or the parts changed %d times during the commit", maxCommitAttempts)
}

func invalidDocument(err error) error {
	if invalid, ok := err.(*document.InvalidError); ok {
		return fault.WithFaults(fault.Wrap(api.KindBadRequest, err, "%s", err.Error()), invalid.Faults)
	}
	return fault.Wrap(api.KindBadRequest, err, "the document is not valid")
}

// tryCommit attempts one commit against the current state of the store. It returns
// false if the members or the parts changed concurrently and nothing was applied.
func (s *Service) tryCommit(ctx context.Context, c *pendingCommit) (bool, error) {
	stored, err := s.read(ctx)
	if err != nil {
		return false, err
	}
	current, storedParts := s.revision(), map[PartName]string(nil)
	if stored.manifest != nil {
		current, storedParts = max(current, stored.manifest.Revision), stored.manifest.Parts
	}
	// If the store was restored with an older manifest, the commit still uses the
	// revision after the active one, because hosts reject lower revisions.
	if current != c.base {
		return false, conflictError(c.base, current)
	}
	members, newestMember, err := s.readMembers(ctx)
	if err != nil {
		return false, err
	}
	c.manifest.Members = members
	uploaded, err := s.upload(ctx, c, storedParts)
	if err != nil {
		return false, err
	}
	txn, err := s.commitTxn(c, stored.version, newestMember, uploaded)
	if err != nil {
		return false, err
	}
	return s.sendTxn(ctx, c, txn, stored.version)
}

// partUpload is a part that a commit needs in the store.
type partUpload struct {
	key  string
	data []byte
}

// upload stores the parts of the commit that the stored manifest does not reference,
// and returns their versions. Parts have no effect until a manifest references them.
func (s *Service) upload(ctx context.Context, c *pendingCommit, storedParts map[PartName]string) ([]store.Compare, error) {
	alreadyStored := map[string]bool{}
	for _, digest := range storedParts {
		alreadyStored[digest] = true
	}
	var uploaded []store.Compare
	var batch []partUpload
	size := 0
	flush := func() error {
		versions, err := s.putMissing(ctx, batch)
		uploaded = append(uploaded, versions...)
		batch, size = nil, 0
		return err
	}
	for digest, data := range c.parts {
		if alreadyStored[digest] {
			continue
		}
		if len(batch) == store.MaxOperations || (size > 0 && size+len(data) > maxUploadBytes) {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		batch = append(batch, partUpload{s.Keys.Part(digest), data})
		size += len(data)
	}
	return uploaded, flush()
}

// putMissing writes the parts that the store does not have and returns the versions
// of all. An existing part keeps its version: otherwise commits that share a part, such
// as those of hosts that start with the same document, would make each other fail.
func (s *Service) putMissing(ctx context.Context, missing []partUpload) ([]store.Compare, error) {
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
		case store.IsErrUnknownOutcome(err) && sleep(ctx, meanRetryDelay) == nil:
			continue
		case err != nil:
			return nil, notAppliedError(err)
		}
		found := map[string]store.Version{}
		for _, entry := range result.Entries {
			found[entry.Key] = entry.Version
		}
		var rest []partUpload
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

func notAppliedError(err error) error {
	return fault.Wrap(api.KindStoreUnavailable, err, "the commit was not applied")
}

// commitTxn returns the transaction that makes the commit take effect. It applies only
// if the manifest is unchanged since it was read, no host has registered since then,
// and no uploaded part has been deleted as unused.
func (s *Service) commitTxn(c *pendingCommit, version, newestMember store.Version, uploaded []store.Compare) (store.Txn, error) {
	value, err := json.Marshal(c.manifest)
	if err != nil {
		return store.Txn{}, fault.Wrap(api.KindInternal, err, "encode the manifest")
	}
	historyEntry := c.manifest
	historyEntry.Members = nil
	historyValue, err := json.Marshal(historyEntry)
	if err != nil {
		return store.Txn{}, fault.Wrap(api.KindInternal, err, "encode the manifest")
	}
	if len(value) > store.MaxValue {
		return store.Txn{}, fault.New(api.KindBadRequest, "the manifest has %d bytes; at most %d are allowed", len(value), store.MaxValue)
	}
	txn := store.Txn{
		If: append([]store.Compare{
			{Key: s.Keys.Manifest(), Version: version},
			{Key: s.Keys.MembersPrefix(), Version: newestMember, Prefix: true},
		}, uploaded...),
		Puts: []store.Put{
			{Key: s.Keys.Manifest(), Value: value},
			{Key: s.Keys.History(historyEntry.Revision), Value: historyValue},
		},
		ReadElse: []string{s.Keys.Manifest(), s.Keys.History(historyEntry.Revision)},
	}
	if historyEntry.Revision > maxHistory {
		txn.Deletes = []string{s.Keys.History(historyEntry.Revision - maxHistory)}
	}
	return txn, nil
}

// sendTxn sends the transaction, and sends it again after a lost reply: it can't apply
// twice, and if it does not apply, its else branch reads back the commit id.
func (s *Service) sendTxn(ctx context.Context, c *pendingCommit, txn store.Txn, version store.Version) (bool, error) {
	outcomeUnknown := false
	for {
		result, err := s.kv.Txn(ctx, txn)
		switch {
		case err == nil && result.Applied:
			return true, nil
		case err == nil:
			return s.resolveRejected(c, result.Entries, version)
		case store.IsErrUnavailable(err) && !outcomeUnknown:
			return false, notAppliedError(err)
		}
		outcomeUnknown = outcomeUnknown || !store.IsErrUnavailable(err)
		s.count("commit_retries")
		if sleep(ctx, meanRetryDelay) != nil {
			return false, fault.Wrap(api.KindStoreOutcomeUnknown, err, "the commit may have been applied")
		}
	}
}

// resolveRejected determines why a transaction did not apply: an earlier attempt applied
// (true), another change was committed (conflict), or only members or parts changed (false).
func (s *Service) resolveRejected(c *pendingCommit, entries []store.Entry, version store.Version) (bool, error) {
	manifestChanged := version != 0
	current := api.Revision(0)
	for _, entry := range entries {
		manifest, err := ParseManifest(entry.Value)
		if err != nil {
			return false, s.rejectInvalid(err)
		}
		if manifest.Commit == c.manifest.Commit {
			return true, nil
		}
		if entry.Key == s.Keys.Manifest() {
			manifestChanged, current = entry.Version != version, manifest.Revision
		}
	}
	if manifestChanged {
		return false, conflictError(c.base, current)
	}
	return false, nil
}

// installCommitted activates the commit on this host. Every collectEvery revisions it
// also deletes unused parts in the background.
func (s *Service) installCommitted(ctx context.Context, c *pendingCommit) {
	manifest := c.manifest
	if err := s.Offer(ctx, &manifest, func(_ context.Context, digest string) ([]byte, error) {
		data, found := c.parts[digest]
		if !found {
			return nil, errors.New("the commit has no such part")
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
		if _, err := s.DeleteUnusedParts(ctx); err != nil {
			s.Log.Warn().Err(err).Msg("collection_of_parts_failed")
		}
	}()
}

// sleep waits for a random time between 0.5 and 1.5 times mean. It returns an error if
// ctx is done first.
func sleep(ctx context.Context, mean time.Duration) error {
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
