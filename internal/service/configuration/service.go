// Package configuration commits configuration documents and puts them in force.
package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// Manifest describes one accepted configuration.
type Manifest struct {
	Revision api.Revision `json:"revision"`
	// Commit is the random id of the commit, by which a lost reply is settled.
	Commit string    `json:"commit"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// Comment is the operator's reason.
	Comment string `json:"comment,omitempty"`
	// Document is the whole document.
	Document json.RawMessage `json:"document"`
}

// Service keeps the configuration of a host.
type Service struct {
	Store  store.Store
	Keys   store.Keys
	Holder *document.Holder
	Log    *log.Logger
	// Applied is called with each snapshot that comes into force; nil is skipped.
	Applied func(*document.Snapshot)

	current atomic.Pointer[json.RawMessage]
}

// Commit puts doc in force where base is still the revision in the store.
func (s *Service) Commit(ctx context.Context, doc *document.Document, base api.Revision, author, comment string) (api.Revision, error) {
	if _, err := document.Compile(doc, base+1); err != nil {
		return 0, invalid(err)
	}
	entry, current, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	if current.Revision != base {
		return 0, fault.New(api.KindConflict, "the change was made from revision %d; revision %d is in force", base, current.Revision)
	}
	encoded, err := json.Marshal(doc)
	if err != nil {
		return 0, fault.Wrap(api.KindInternal, err, "encode the document")
	}
	next := Manifest{Revision: base + 1, Commit: uuid.NewString(), Author: author, Time: time.Now().UTC(), Comment: comment, Document: encoded}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fault.Wrap(api.KindInternal, err, "encode the manifest")
	}
	version := store.Version(0)
	if entry != nil {
		version = entry.Version
	}
	result, err := s.Store.Txn(ctx, store.Txn{
		If: []store.Compare{{Key: s.Keys.Manifest(), Version: version}},
		Puts: []store.Put{
			{Key: s.Keys.Manifest(), Value: value},
			{Key: s.Keys.History(next.Revision), Value: value},
		},
	})
	switch {
	case store.IsErrUnknownOutcome(err):
		return 0, fault.Wrap(api.KindStoreOutcomeUnknown, err, "the commit may have been applied")
	case err != nil:
		return 0, fault.Wrap(api.KindStoreUnavailable, err, "the commit was not applied")
	case !result.Applied:
		return 0, fault.New(api.KindConflict, "another change was committed first")
	}
	s.apply(next)
	return next.Revision, nil
}

func invalid(err error) error {
	if typed, ok := err.(*document.InvalidError); ok {
		return fault.WithFaults(fault.Wrap(api.KindBadRequest, err, "%s", err.Error()), typed.Faults)
	}
	return fault.Wrap(api.KindBadRequest, err, "the document is not valid")
}

func (s *Service) read(ctx context.Context) (*store.Entry, Manifest, error) {
	entry, err := s.Store.Get(ctx, s.Keys.Manifest())
	if err != nil {
		return nil, Manifest{}, fault.Wrap(api.KindStoreUnavailable, err, "the configuration can't be read")
	}
	if entry == nil {
		return nil, Manifest{}, nil
	}
	var manifest Manifest
	if err := json.Unmarshal(entry.Value, &manifest); err != nil {
		return nil, Manifest{}, fault.Wrap(api.KindInternal, err, "the manifest is not valid")
	}
	return entry, manifest, nil
}

// Refresh reads the manifest from the store and puts it in force where it is newer.
func (s *Service) Refresh(ctx context.Context) error {
	_, manifest, err := s.read(ctx)
	if err != nil || manifest.Revision == 0 {
		return err
	}
	return s.apply(manifest)
}

// Current returns the manifest in force, or nil before the first.
func (s *Service) Current() json.RawMessage {
	if current := s.current.Load(); current != nil {
		return *current
	}
	return nil
}

// Offer puts a manifest that a peer has given in force where it is newer. The
// manifest holds the whole document, so no part has to be fetched.
func (s *Service) Offer(_ context.Context, offered json.RawMessage, _ func(context.Context, string) ([]byte, error)) error {
	var manifest Manifest
	if err := json.Unmarshal(offered, &manifest); err != nil {
		return fault.Wrap(api.KindBadRequest, err, "the manifest is not valid")
	}
	return s.apply(manifest)
}

func (s *Service) apply(manifest Manifest) error {
	if current := s.Holder.Load(); current != nil && current.Revision >= manifest.Revision {
		return nil
	}
	doc, err := document.Parse(manifest.Document)
	if err != nil {
		return fmt.Errorf("revision %d: %w", manifest.Revision, err)
	}
	snapshot, err := document.Compile(doc, manifest.Revision)
	if err != nil {
		return fmt.Errorf("revision %d: %w", manifest.Revision, err)
	}
	encoded, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	if s.Holder.Store(snapshot) {
		raw := json.RawMessage(encoded)
		s.current.Store(&raw)
		s.Log.Info().Uint64("revision", uint64(manifest.Revision)).Msg("configuration_in_force")
		if s.Applied != nil {
			s.Applied(snapshot)
		}
	}
	return nil
}
