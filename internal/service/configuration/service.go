// Package configuration commits configuration documents and puts them in force.
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

// Service keeps the configuration of a host. Store, Holder and Log must be set.
type Service struct {
	Store  store.Store
	Keys   store.Keys
	Holder *document.Holder
	Log    *log.Logger
	// Applied is called with each snapshot that comes into force, in order and never
	// twice at once; one that was replaced meanwhile may be left out. It may itself
	// offer a configuration. Nil is skipped.
	Applied func(*document.Snapshot)
	// Follows reports whether this host watches the store; nil means that it does.
	// Other hosts learn of changes from their peers.
	Follows func() bool
	// PollPeriod is the longest time between two reads of a host that watches; 0 means 30 s.
	PollPeriod time.Duration
	Metrics    *metric.Set

	once sync.Once
	kv   store.Store
	// slot holds one token; its holder may change what is in force.
	slot chan struct{}
	// announcing is true while Applied runs, and announced is the last revision that it got.
	announcing atomic.Bool
	announced  atomic.Uint64
	// refused is the id of the last commit whose document was refused.
	refused atomic.Pointer[string]
	// state is what is in force; nil before the first document.
	state atomic.Pointer[inForce]
}

// inForce is a manifest with its parts. It is immutable.
type inForce struct {
	manifest *Manifest
	// parts holds the parts of the manifest and no others, by hex SHA-256.
	parts map[string][]byte
}

func (s *Service) init() {
	s.once.Do(func() {
		s.kv = store.WithCause(s.Store, store.CauseConfiguration, s.Metrics)
		s.slot = make(chan struct{}, 1)
	})
}

func (s *Service) count(name string) { s.Metrics.Counter("configuration." + name).Inc(1) }

// Current returns the manifest in force, or nil before the first. It must not be changed.
func (s *Service) Current() *Manifest {
	if state := s.state.Load(); state != nil {
		return state.manifest
	}
	return nil
}

// Part returns a part of the configuration in force by its hex SHA-256. It must not be changed.
func (s *Service) Part(digest string) ([]byte, bool) {
	state := s.state.Load()
	if state == nil {
		return nil, false
	}
	data, found := state.parts[digest]
	return data, found
}

// revision returns the revision in force, or 0.
func (s *Service) revision() api.Revision {
	if manifest := s.Current(); manifest != nil {
		return manifest.Revision
	}
	return 0
}

// currentProperty carries the revision in force on an error of a conflict.
var currentProperty = errorx.RegisterProperty("current_revision")

func conflict(base, current api.Revision) error {
	err := fault.New(api.KindConflict, "the change was made from revision %d; revision %d is in force", base, current)
	return err.WithProperty(currentProperty, current)
}

// CurrentOf returns the revision in force that the error of a conflict carries.
func CurrentOf(err error) (api.Revision, bool) {
	typed := errorx.Cast(err)
	if typed == nil {
		return 0, false
	}
	value, found := typed.Property(currentProperty)
	if !found {
		return 0, false
	}
	revision, ok := value.(api.Revision)
	return revision, ok
}

func unavailable(err error) error {
	return fault.Wrap(api.KindStoreUnavailable, err, "the configuration can't be read")
}

// stored is the manifest in the store.
type stored struct {
	// manifest is nil where the store has none.
	manifest *Manifest
	// version is the revision of the manifest, or 0.
	version store.Version
	// read is the revision of the store at the time of the read.
	read store.Version
}

func (s *Service) read(ctx context.Context) (stored, error) {
	entries, version, err := store.Read(ctx, s.kv, s.Keys.Manifest())
	if err != nil {
		return stored{}, unavailable(err)
	}
	if len(entries) == 0 {
		return stored{read: version}, nil
	}
	manifest, err := ParseManifest(entries[0].Value)
	if err != nil {
		return stored{}, s.refuse(err)
	}
	return stored{manifest: manifest, version: entries[0].Version, read: version}, nil
}

// readMembers returns the ids of all registered hosts, and the revision of the newest member document.
func (s *Service) readMembers(ctx context.Context) ([]api.HostID, store.Version, error) {
	entries, err := s.kv.List(ctx, s.Keys.MembersPrefix(), "", 0)
	if err != nil {
		return nil, 0, unavailable(err)
	}
	var hosts []api.HostID
	newest := store.Version(0)
	for _, entry := range entries {
		newest = max(newest, entry.Version)
		// Of a member document only the ids matter here.
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
