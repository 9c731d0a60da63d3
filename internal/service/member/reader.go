package member

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

const (
	// readersPerCentre is the number of hosts per data centre that read the store.
	readersPerCentre = 2
	// fullReadEvery is the number of reads after which all documents are listed again, to find
	// those of new data centres.
	fullReadEvery = 5
	// maxBackoff bounds the delay between two attempts to register.
	maxBackoff = 10 * time.Second
)

// storeReads is the state of the periodic store reads.
type storeReads struct {
	// versions holds the version of each key read, including the manifest.
	versions map[string]store.Version
	revision api.Revision
	reads    int
	// registered is true if the last read showed this host in the member list.
	registered bool
	// retryAt is the time of the next attempt to register.
	retryAt time.Duration
	backoff time.Duration
}

// ReadStore registers this host if it is not registered, reads the store if this host is one
// of the readers of its data centre, and makes a due change of a member document.
func (s *Service) ReadStore(ctx context.Context) {
	s.mu.Lock()
	registered, due := s.storeReads.registered, s.now() >= s.storeReads.retryAt
	s.mu.Unlock()
	switch {
	case s.draining.Load() && !registered:
	case !registered && due:
		s.tryRegister(ctx)
	case registered && s.IsReader():
		s.readIfChanged(ctx)
	}
	s.maintainDocuments(ctx)
}

func (s *Service) tryRegister(ctx context.Context) {
	err := s.Register(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.storeReads.backoff = 0
		return
	}
	s.storeReads.backoff = min(max(2*s.storeReads.backoff, s.interval()), maxBackoff)
	s.storeReads.retryAt = s.now() + s.storeReads.backoff
	s.logger().Warn().Err(err).Msg("registration_failed")
}

// IsReader reports whether this host is one of those that read the store for their data centre.
func (s *Service) IsReader() bool {
	set := s.currentLiveSet()
	key := hashing.Of("store/" + string(s.Self.DataCentre))
	ownScore, rank := hashing.Score(key, set.hashes[set.self]), 0
	for i, member := range set.members {
		if i != set.self && member.DataCentre == s.Self.DataCentre && hashing.Score(key, set.hashes[i]) > ownScore {
			rank++
		}
	}
	return rank < readersPerCentre
}

// readIfChanged checks in one transaction whether anything has changed, and reads it if so.
// Every fullReadEvery calls it reads everything.
func (s *Service) readIfChanged(ctx context.Context) {
	s.mu.Lock()
	s.storeReads.reads++
	full := s.storeReads.versions == nil || s.storeReads.reads%fullReadEvery == 0
	start, txn, revision := s.now(), s.changeCheckTxn(), s.storeReads.revision
	s.mu.Unlock()
	err := error(nil)
	if full {
		err = s.readAll(ctx)
	} else {
		err = s.readChanges(ctx, txn, start, revision)
	}
	if err != nil {
		s.Metrics.Counter("member.read_failed").Inc(1)
		s.logger().Debug().Err(err).Msg("store_read_failed")
	}
}

// changeCheckTxn returns a transaction that applies if nothing has changed and reads
// everything otherwise. The caller holds mu.
func (s *Service) changeCheckTxn() store.Txn {
	txn := store.Txn{}
	for key := range s.storeReads.versions {
		txn.ReadElse = append(txn.ReadElse, key)
	}
	sort.Strings(txn.ReadElse)
	for _, key := range txn.ReadElse {
		txn.If = append(txn.If, store.Compare{Key: key, Version: s.storeReads.versions[key]})
	}
	return txn
}

func (s *Service) readChanges(ctx context.Context, txn store.Txn, start time.Duration, revision api.Revision) error {
	result, err := s.Store.Txn(ctx, txn)
	if err != nil {
		return err
	}
	if result.Applied {
		s.applyRead(start, nil, revision)
		return nil
	}
	documents, manifest := map[api.DataCentre]VersionedDocument{}, (*store.Entry)(nil)
	for i := range result.Entries {
		entry := &result.Entries[i]
		if entry.Key == s.Keys.Manifest() {
			manifest = entry
			continue
		}
		s.decodeDocument(*entry, documents)
	}
	return s.recordRead(start, documents, manifest)
}

// readAll reads the member documents first and the manifest after them.
func (s *Service) readAll(ctx context.Context) error {
	start := s.now()
	documents, err := s.readDocuments(ctx)
	if err != nil {
		return err
	}
	manifest, err := s.Store.Get(ctx, s.Keys.Manifest())
	if err != nil {
		return fault.Wrap(api.KindStoreUnavailable, err, "the manifest can't be read")
	}
	return s.recordRead(start, documents, manifest)
}

func (s *Service) readDocuments(ctx context.Context) (map[api.DataCentre]VersionedDocument, error) {
	entries, err := s.Store.List(ctx, s.Keys.MembersPrefix(), "", 0)
	if err != nil {
		return nil, fault.Wrap(api.KindStoreUnavailable, err, "the member documents can't be read")
	}
	documents := map[api.DataCentre]VersionedDocument{}
	for _, entry := range entries {
		s.decodeDocument(entry, documents)
	}
	return documents, nil
}

// decodeDocument adds a member document to documents. An invalid one is logged and skipped.
func (s *Service) decodeDocument(entry store.Entry, documents map[api.DataCentre]VersionedDocument) {
	var doc Document
	if err := json.Unmarshal(entry.Value, &doc); err != nil {
		s.logger().Error().Str("key", entry.Key).Err(err).Msg("member_document_not_valid")
		return
	}
	centre := api.DataCentre(strings.TrimPrefix(entry.Key, s.Keys.MembersPrefix()))
	documents[centre] = VersionedDocument{Document: doc, Version: entry.Version}
}

// recordRead records the result of a read and applies it.
func (s *Service) recordRead(start time.Duration, documents map[api.DataCentre]VersionedDocument, manifest *store.Entry) error {
	var parsed struct {
		Revision api.Revision `json:"revision"`
	}
	versions := map[string]store.Version{s.Keys.Manifest(): 0}
	if manifest != nil {
		if err := json.Unmarshal(manifest.Value, &parsed); err != nil {
			return fault.Wrap(api.KindInternal, err, "the manifest is not valid")
		}
		versions[s.Keys.Manifest()] = manifest.Version
	}
	for centre, doc := range documents {
		versions[s.Keys.Members(centre)] = doc.Version
	}
	s.mu.Lock()
	s.storeReads.versions, s.storeReads.revision = versions, parsed.Revision
	s.mu.Unlock()
	s.applyRead(start, documents, parsed.Revision)
	return nil
}

// applyRead uses the evidence of a read that began at start. It counts only if the same read
// shows that this host is registered and not being removed, because a handover does not
// wait for other hosts.
func (s *Service) applyRead(start time.Duration, documents map[api.DataCentre]VersionedDocument, revision api.Revision) {
	s.mu.Lock()
	s.mergeDocuments(documents)
	s.storeReads.registered = s.isRegistered() && (documents == nil || s.isListedIn(documents))
	if s.storeReads.registered {
		s.addEvidence(evidence{at: start, revision: revision})
		s.addMajorityEvidence()
	}
	s.updateHandover()
	s.mu.Unlock()
	if revision > s.revision() {
		s.startFetch("", revision)
	}
}

// isListedIn reports whether documents just read contain this host. The list in memory may
// still contain it after the store has lost its data. The host then registers again, so that
// the next commit includes it.
func (s *Service) isListedIn(documents map[api.DataCentre]VersionedDocument) bool {
	for _, member := range documents[s.Self.DataCentre].Members {
		if member.Host == s.Self.Host {
			return true
		}
	}
	return false
}

// isRegistered reports whether the list contains this host and it is not marked for removal. The caller holds mu.
func (s *Service) isRegistered() bool {
	if s.list == nil {
		return false
	}
	i, listed := s.list.index[s.Self.Host]
	return listed && !s.list.members[i].Removing
}
