// Package configuration commits configuration documents to the store and activates them on
// each host.
package configuration

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/metric"
	"redwingloft/pkg/api"
)

// Service manages the configuration of a host. Store, Holder and Log must be set.
type Service struct {
	Store  store.Store
	Keys   store.Keys
	Holder *document.SnapshotHolder
	Log    *log.Logger
	// OnApplied is called with each snapshot that becomes active, in order and never
	// concurrently. A snapshot that has already been replaced may be skipped. OnApplied
	// may itself call Offer. It may be nil.
	OnApplied func(*document.Snapshot)
	// ShouldWatch reports whether this host watches the store; nil means that it does.
	// Other hosts receive changes from their peers.
	ShouldWatch func() bool
	// PollPeriod is the maximum time between two reads of the manifest while watching; 0 means 30 s.
	PollPeriod time.Duration
	Metrics    *metric.Set

	once sync.Once
	kv   store.Store
	// installLock is a mutex whose acquisition a context can cancel. Its holder may
	// change the active configuration.
	installLock chan struct{}
	// notifying is true while the callback runs; lastNotified is the last revision passed to it.
	notifying    atomic.Bool
	lastNotified atomic.Uint64
	// lastRejected is the id of the last commit whose document was rejected.
	lastRejected atomic.Pointer[string]
	// active is nil before the first document.
	active atomic.Pointer[activeConfiguration]
}

// activeConfiguration holds the active manifest with its parts. It is immutable.
type activeConfiguration struct {
	manifest *Manifest
	// parts holds the parts of the manifest and no others, by hex SHA-256.
	parts map[string][]byte
}

func (s *Service) init() {
	s.once.Do(func() {
		s.kv = store.WithCause(s.Store, store.CauseConfiguration, s.Metrics)
		s.installLock = make(chan struct{}, 1)
	})
}

func (s *Service) count(name string) { s.Metrics.Counter("configuration." + name).Inc(1) }

// Current returns the active manifest, or nil before the first. It must not be modified.
func (s *Service) Current() *Manifest {
	if active := s.active.Load(); active != nil {
		return active.manifest
	}
	return nil
}

// Part returns a part of the active configuration by its hex SHA-256. It must not be modified.
func (s *Service) Part(digest string) ([]byte, bool) {
	active := s.active.Load()
	if active == nil {
		return nil, false
	}
	data, found := active.parts[digest]
	return data, found
}

// revision returns the active revision, or 0.
func (s *Service) revision() api.Revision {
	if manifest := s.Current(); manifest != nil {
		return manifest.Revision
	}
	return 0
}

// currentRevisionProperty carries the active revision on a conflict error.
var currentRevisionProperty = errorx.RegisterProperty("current_revision")

func conflictError(base, current api.Revision) error {
	err := fault.New(api.KindConflict, "the change is based on revision %d, but revision %d is active", base, current)
	return err.WithProperty(currentRevisionProperty, current)
}

// ConflictRevision returns the active revision that a conflict error carries.
func ConflictRevision(err error) (api.Revision, bool) {
	typed := errorx.Cast(err)
	if typed == nil {
		return 0, false
	}
	value, found := typed.Property(currentRevisionProperty)
	if !found {
		return 0, false
	}
	revision, ok := value.(api.Revision)
	return revision, ok
}

func unavailableError(err error) error {
	return fault.Wrap(api.KindStoreUnavailable, err, "the configuration can't be read")
}

// storedManifest is the manifest as read from the store.
type storedManifest struct {
	// manifest is nil if the store has none.
	manifest *Manifest
	// version is the store version of the manifest, or 0.
	version store.Version
	// readVersion is the store revision at the time of the read.
	readVersion store.Version
}

func (s *Service) read(ctx context.Context) (storedManifest, error) {
	entries, version, err := store.Read(ctx, s.kv, s.Keys.Manifest())
	if err != nil {
		return storedManifest{}, unavailableError(err)
	}
	if len(entries) == 0 {
		return storedManifest{readVersion: version}, nil
	}
	manifest, err := ParseManifest(entries[0].Value)
	if err != nil {
		return storedManifest{}, s.rejectInvalid(err)
	}
	return storedManifest{manifest: manifest, version: entries[0].Version, readVersion: version}, nil
}

// readMembers returns the ids of all registered hosts, and the version of the newest member document.
func (s *Service) readMembers(ctx context.Context) ([]api.HostID, store.Version, error) {
	entries, err := s.kv.List(ctx, s.Keys.MembersPrefix(), "", 0)
	if err != nil {
		return nil, 0, unavailableError(err)
	}
	var hosts []api.HostID
	newest := store.Version(0)
	for _, entry := range entries {
		newest = max(newest, entry.Version)
		// Only the host ids of a member document are needed here.
		var doc struct {
			Members []struct {
				Host api.HostID `json:"host"`
			} `json:"members"`
		}
		if err := json.Unmarshal(entry.Value, &doc); err != nil {
			return nil, 0, fault.Wrap(api.KindInternal, err, "member document %s is not valid", entry.Key)
		}
		for _, member := range doc.Members {
			hosts = append(hosts, member.Host)
		}
	}
	return hosts, newest, nil
}
