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
	// readersPerCentre is the number of hosts of a data centre that read the store.
	readersPerCentre = 2
	// listEvery is the number of reads after which the documents are listed again,
	// to find those of new data centres.
	listEvery = 5
	// maxBackoff bounds the wait between two tries to register.
	maxBackoff = 10 * time.Second
)

// reading is the state of the store reads.
type reading struct {
	// versions holds the version of each key read, the manifest included.
	versions map[string]store.Version
	revision api.Revision
	count    int
	// registered is true after a read that showed this host in the list.
	registered bool
	// retry is the time of the next try to register.
	retry   time.Duration
	backoff time.Duration
}

// ReadStore registers this host where it is not, reads the store where this host
// is one of the readers of its data centre, and makes a change of a member
// document that is due.
func (s *Service) ReadStore(ctx context.Context) {
	s.mu.Lock()
	registered, due := s.reading.registered, s.now() >= s.reading.retry
	s.mu.Unlock()
	switch {
	case s.draining.Load() && !registered:
	case !registered && due:
		s.tryRegister(ctx)
	case registered && s.IsReader():
		s.read(ctx)
	}
	s.maintain(ctx)
}

func (s *Service) tryRegister(ctx context.Context) {
	err := s.Register(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.reading.backoff = 0
		return
	}
	s.reading.backoff = min(max(2*s.reading.backoff, s.interval()), maxBackoff)
	s.reading.retry = s.now() + s.reading.backoff
	s.logger().Warn().Err(err).Msg("registration_failed")
}

// IsReader reports whether this host is one of those of its data centre that read the store.
func (s *Service) IsReader() bool {
	r := s.rolled()
	key := hashing.Of("store/" + string(s.Self.DataCentre))
	mine, rank := hashing.Score(key, r.hashes[r.self]), 0
	for i, member := range r.members {
		if i != r.self && member.DataCentre == s.Self.DataCentre && hashing.Score(key, r.hashes[i]) > mine {
			rank++
		}
	}
	return rank < readersPerCentre
}

// read asks in one call whether anything has changed, and reads what has.
func (s *Service) read(ctx context.Context) {
	s.mu.Lock()
	s.reading.count++
	full := s.reading.versions == nil || s.reading.count%listEvery == 0
	start, txn, revision := s.now(), s.check(), s.reading.revision
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

// check returns a transaction that applies where nothing has changed and reads everything otherwise. The caller holds mu.
func (s *Service) check() store.Txn {
	txn := store.Txn{}
	for key := range s.reading.versions {
		txn.ReadElse = append(txn.ReadElse, key)
	}
	sort.Strings(txn.ReadElse)
	for _, key := range txn.ReadElse {
		txn.If = append(txn.If, store.Compare{Key: key, Version: s.reading.versions[key]})
	}
	return txn
}

func (s *Service) readChanges(ctx context.Context, txn store.Txn, start time.Duration, revision api.Revision) error {
	result, err := s.Store.Txn(ctx, txn)
	if err != nil {
		return err
	}
	if result.Applied {
		s.observe(start, nil, revision)
		return nil
	}
	documents, manifest := map[api.DataCentre]Versioned{}, (*store.Entry)(nil)
	for i := range result.Entries {
		entry := &result.Entries[i]
		if entry.Key == s.Keys.Manifest() {
			manifest = entry
			continue
		}
		s.decode(*entry, documents)
	}
	return s.note(start, documents, manifest)
}

// readAll reads the member documents first and the manifest after that.
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
	return s.note(start, documents, manifest)
}

func (s *Service) readDocuments(ctx context.Context) (map[api.DataCentre]Versioned, error) {
	entries, err := s.Store.List(ctx, s.Keys.MembersPrefix(), "", 0)
	if err != nil {
		return nil, fault.Wrap(api.KindStoreUnavailable, err, "the member documents can't be read")
	}
	documents := map[api.DataCentre]Versioned{}
	for _, entry := range entries {
		s.decode(entry, documents)
	}
	return documents, nil
}

// decode adds a member document to documents. One that is not valid is logged and left out.
func (s *Service) decode(entry store.Entry, documents map[api.DataCentre]Versioned) {
	var doc Document
	if err := json.Unmarshal(entry.Value, &doc); err != nil {
		s.logger().Error().Str("key", entry.Key).Err(err).Msg("member_document_not_valid")
		return
	}
	centre := api.DataCentre(strings.TrimPrefix(entry.Key, s.Keys.MembersPrefix()))
	documents[centre] = Versioned{Document: doc, Version: entry.Version}
}

// note remembers what a read has shown.
func (s *Service) note(start time.Duration, documents map[api.DataCentre]Versioned, manifest *store.Entry) error {
	var head struct {
		Revision api.Revision `json:"revision"`
	}
	versions := map[string]store.Version{s.Keys.Manifest(): 0}
	if manifest != nil {
		if err := json.Unmarshal(manifest.Value, &head); err != nil {
			return fault.Wrap(api.KindInternal, err, "the manifest is not valid")
		}
		versions[s.Keys.Manifest()] = manifest.Version
	}
	for centre, doc := range documents {
		versions[s.Keys.Members(centre)] = doc.Version
	}
	s.mu.Lock()
	s.reading.versions, s.reading.revision = versions, head.Revision
	s.mu.Unlock()
	s.observe(start, documents, head.Revision)
	return nil
}

// observe takes the evidence of a read that began at start. It counts only where
// the same read shows that this host is registered and not being removed, because
// a handover does not wait for other hosts.
func (s *Service) observe(start time.Duration, documents map[api.DataCentre]Versioned, revision api.Revision) {
	s.mu.Lock()
	s.adopt(documents)
	s.reading.registered = s.isRegistered() && (documents == nil || s.isIn(documents))
	if s.reading.registered {
		s.witness(evidence{at: start, revision: revision})
		s.ask()
	}
	s.settle()
	s.mu.Unlock()
	if revision > s.revision() {
		s.fetch("", revision)
	}
}

// isIn reports whether documents that were read name this host. The list in memory
// may name it after the store has lost its data; the host then registers again, so
// that the next commit knows of it.
func (s *Service) isIn(documents map[api.DataCentre]Versioned) bool {
	for _, member := range documents[s.Self.DataCentre].Members {
		if member.Host == s.Self.Host {
			return true
		}
	}
	return false
}

// isRegistered reports whether the list holds this host without a mark. The caller holds mu.
func (s *Service) isRegistered() bool {
	if s.list == nil {
		return false
	}
	i, listed := s.list.index[s.Self.Host]
	return listed && !s.list.members[i].Removing
}
