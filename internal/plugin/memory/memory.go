// Package memory is an in-process key-value store for a standalone host and for
// tests. Its data is lost on a restart.
package memory

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/kernel"
)

func init() {
	kernel.Stores.Register("memory", func(kernel.StoreOptions) (store.Store, error) { return New(), nil })
}

// Store is an in-memory key-value store.
type Store struct {
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	mu sync.Mutex
	// version is incremented by each applied transaction with writes, and when a lease with
	// keys expires or is revoked.
	version   store.Version
	entries   map[string]entry
	leases    map[store.LeaseID]*lease
	lastLease store.LeaseID
	// history holds the events since compacted, for watches that start at an earlier version.
	history []versionedEvent
	// compacted is the highest version whose events are no longer kept.
	compacted store.Version
	changed   chan struct{}
}

type entry struct {
	store.Entry
	lease store.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type versionedEvent struct {
	version store.Version
	event   store.Event
}

// maxHistoryEvents bounds the history; a watch from an earlier version fails.
const maxHistoryEvents = 100_000

// New returns an empty store.
func New() *Store {
	return &Store{
		entries: map[string]entry{},
		leases:  map[store.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

func (s *Store) now() time.Time {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

// Get returns the entry of key, or nil if it does not exist.
func (s *Store) Get(_ context.Context, key string) (*store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.get(key), nil
}

func (s *Store) get(key string) *store.Entry {
	found, exists := s.entries[key]
	if !exists {
		return nil
	}
	copied := found.Entry
	copied.Value = append([]byte(nil), found.Value...)
	return &copied
}

// List returns at most limit entries under prefix from key from on, in key order; a
// limit of 0 means all.
func (s *Store) List(_ context.Context, prefix, from string, limit int) ([]store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key >= from {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
	}
	list := make([]store.Entry, 0, len(keys))
	for _, key := range keys {
		list = append(list, *s.get(key))
	}
	return list, nil
}

// ReadAll returns the entries under prefix and the version read just before them, so that
// a watch from the next version misses no change.
func (s *Store) ReadAll(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	entries, err := s.List(ctx, prefix, "", 0)
	return entries, version, err
}

// Txn applies txn if all its compares succeed.
func (s *Store) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for _, compare := range txn.If {
		if !s.compareMatches(compare) {
			return s.readElse(txn.ReadElse), nil
		}
	}
	for _, put := range txn.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return store.TxnResult{}, store.ErrLeaseNotFound.New("lease %d does not exist", put.Lease)
		}
	}
	if len(txn.Puts)+len(txn.Deletes) > 0 {
		s.version++
	}
	for _, put := range txn.Puts {
		s.put(put)
	}
	for _, key := range txn.Deletes {
		s.remove(key)
	}
	s.notify()
	return store.TxnResult{Applied: true, Version: s.version}, nil
}

// compareMatches reports whether a compare succeeds. The caller holds mu.
func (s *Store) compareMatches(compare store.Compare) bool {
	if !compare.Prefix {
		return s.entries[compare.Key].Version == compare.Version
	}
	for key, found := range s.entries {
		if strings.HasPrefix(key, compare.Key) && found.Version > compare.Version {
			return false
		}
	}
	return true
}

// Compact deletes the events up to and including version upTo, as the key-value service
// does from time to time.
func (s *Store) Compact(upTo store.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := 0
	for kept < len(s.history) && s.history[kept].version <= upTo {
		kept++
	}
	s.history = append([]versionedEvent(nil), s.history[kept:]...)
	s.compacted = max(s.compacted, upTo)
}

func (s *Store) readElse(keys []string) store.TxnResult {
	result := store.TxnResult{Version: s.version}
	for _, key := range keys {
		if found := s.get(key); found != nil {
			result.Entries = append(result.Entries, *found)
		}
	}
	return result
}

func (s *Store) put(put store.Put) {
	old, exists := s.entries[put.Key]
	created := s.version
	if exists {
		created = old.Created
	}
	value := append([]byte(nil), put.Value...)
	stored := store.Entry{Key: put.Key, Value: value, Version: s.version, Created: created}
	s.entries[put.Key] = entry{Entry: stored, lease: put.Lease}
	s.appendEvent(store.Event{Entry: stored})
}

func (s *Store) remove(key string) {
	if _, exists := s.entries[key]; !exists {
		return
	}
	delete(s.entries, key)
	s.appendEvent(store.Event{Entry: store.Entry{Key: key, Version: s.version}, Deleted: true})
}

func (s *Store) appendEvent(event store.Event) {
	s.history = append(s.history, versionedEvent{s.version, event})
	if len(s.history) > maxHistoryEvents {
		s.compacted = s.history[maxHistoryEvents/2-1].version
		s.history = append([]versionedEvent(nil), s.history[maxHistoryEvents/2:]...)
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases deletes expired leases and their keys. The caller holds mu.
func (s *Store) expireLeases() {
	now := s.now()
	for id, held := range s.leases {
		if now.After(held.expires) {
			s.deleteLease(id)
		}
	}
}

func (s *Store) deleteLease(id store.LeaseID) {
	delete(s.leases, id)
	var keys []string
	for key, found := range s.entries {
		if found.lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.version++
	for _, key := range keys {
		s.remove(key)
	}
	s.notify()
}

// Copy is the state of a Store at one moment, without its history.
type Copy struct {
	version   store.Version
	entries   map[string]entry
	leases    map[store.LeaseID]lease
	lastLease store.LeaseID
}

// Copy returns a copy of the keys and leases.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	c := &Copy{version: s.version, entries: maps.Clone(s.entries), leases: map[store.LeaseID]lease{}, lastLease: s.lastLease}
	for id, held := range s.leases {
		c.leases[id] = *held
	}
	return c
}

// Restore returns to a copy. Versions and leases since then are given out again.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.lastLease, s.entries = c.version, c.lastLease, maps.Clone(c.entries)
	s.history, s.compacted = nil, c.version
	s.leases = map[store.LeaseID]*lease{}
	for id, held := range c.leases {
		s.leases[id] = &held
	}
	s.notify()
}

// Grant creates a lease.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.lastLease, nil
}

// KeepAlive renews a lease for its full TTL.
func (s *Store) KeepAlive(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	held := s.leases[id]
	if held == nil {
		return store.ErrLeaseNotFound.New("lease %d does not exist", id)
	}
	held.expires = s.now().Add(held.ttl)
	return nil
}

// Revoke deletes a lease and its keys.
func (s *Store) Revoke(_ context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.deleteLease(id)
	}
	return nil
}

// Watch calls f with the changes under prefix from version from on; 0 means only later changes.
func (s *Store) Watch(ctx context.Context, prefix string, from store.Version, f func([]store.Event)) error {
	next := from
	if next == 0 {
		next = s.Version() + 1
	}
	for {
		events, changed, last, err := s.eventsSince(prefix, next)
		if err != nil {
			return err
		}
		next = last + 1
		if len(events) > 0 {
			f(events)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Version returns the version of the last write.
func (s *Store) Version() store.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// eventsSince returns the events under prefix from version from on, a channel that is
// closed at the next change, and the version up to which the events are complete.
func (s *Store) eventsSince(prefix string, from store.Version) ([]store.Event, <-chan struct{}, store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if from <= s.compacted {
		return nil, nil, 0, store.ErrCompacted.New("version %d is compacted", from)
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].version >= from })
	var events []store.Event
	for _, past := range s.history[first:] {
		if strings.HasPrefix(past.event.Key, prefix) {
			events = append(events, past.event)
		}
	}
	return events, s.changed, max(s.version, from-1), nil
}
