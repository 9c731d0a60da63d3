// Package platform holds stand-ins of the users' platform: its key-value store and
// upstreams of each kind, with fault injection for tests.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/plugin/memory"
	wire "redwingloft/platform"
)

// Store serves the HTTP API of the platform's key-value store from an in-memory store.
type Store struct {
	// Inner is the in-memory store that holds the keys.
	Inner *memory.Store
	// Down makes every request fail with status 503.
	Down atomic.Bool
	// StallWatches makes watches return no events and only after their whole wait time.
	StallWatches atomic.Bool
	// DropTxnResponses applies transactions and closes the connection without a response.
	DropTxnResponses atomic.Bool

	calls atomic.Int64
	// serving is held for reading by all requests but watches, and for writing by Restore.
	serving sync.RWMutex
	// era is the number of restores so far.
	era atomic.Int64
	mu  sync.Mutex
	// compactedTo is the revision before which the history is gone.
	compactedTo int64
}

// NewStore returns a store without keys.
func NewStore() *Store { return &Store{Inner: memory.New()} }

// Calls returns the number of requests received so far.
func (s *Store) Calls() int64 { return s.calls.Load() }

// CompactHistory makes watches that start before a revision fail with status 410.
func (s *Store) CompactHistory(version store.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo = int64(version)
}

// Restore brings the store back from a copy. Watches that are waiting are cut.
func (s *Store) Restore(c *memory.Copy) {
	s.serving.Lock()
	defer s.serving.Unlock()
	s.era.Add(1)
	s.Inner.Restore(c)
}

type storedItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func newStoredItem(e store.Entry) storedItem {
	return storedItem{Key: e.Key, Value: e.Value, Rev: int64(e.Version), Created: int64(e.Created)}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	if r.URL.Path != wire.PathStoreWatch {
		s.serving.RLock()
		defer s.serving.RUnlock()
	}
	if era := s.era.Load(); era > 0 {
		w.Header().Set(wire.HeaderStoreEra, strconv.FormatInt(era, 10))
	}
	if s.Down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path := r.URL.Path
	switch {
	case path == wire.PathStoreKey:
		s.get(w, r)
	case path == wire.PathStoreRange:
		s.list(w, r)
	case path == wire.PathStoreWatch:
		s.watch(w, r)
	case path == wire.PathStoreTxn:
		s.txn(w, r)
	case path == wire.PathStoreLease:
		s.grantLease(w, r)
	case strings.HasPrefix(path, wire.PathStoreKeepAlive):
		s.updateLease(w, path, wire.PathStoreKeepAlive, func(id store.LeaseID) error { return s.Inner.KeepAlive(r.Context(), id) })
	case strings.HasPrefix(path, wire.PathStoreLeaseEnd):
		s.updateLease(w, path, wire.PathStoreLeaseEnd, func(id store.LeaseID) error { return s.Inner.Revoke(r.Context(), id) })
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.Inner.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil || entry == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, newStoredItem(*entry))
}

// pageSize is small so that tests read several pages.
const pageSize = 3

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	entries, version, err := s.Inner.ReadAll(r.Context(), r.URL.Query().Get("pathPrefix"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items := []storedItem{}
	hasMore := false
	for _, entry := range entries {
		if entry.Key <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == pageSize {
			hasMore = true
			break
		}
		items = append(items, newStoredItem(entry))
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": hasMore, "at": version})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	era := s.era.Load()
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	s.mu.Lock()
	compactedTo := s.compactedTo
	s.mu.Unlock()
	if after < compactedTo || after > int64(s.Inner.Version()) {
		w.WriteHeader(http.StatusGone)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	if s.StallWatches.Load() {
		<-ctx.Done()
		writeJSON(w, http.StatusOK, map[string]any{"events": []storedItem{}, "at": after})
		return
	}
	items := []storedItem{}
	revision := after
	err := s.Inner.Watch(ctx, query.Get("pathPrefix"), store.Version(after+1), func(events []store.Event) {
		for _, event := range events {
			item := newStoredItem(event.Entry)
			item.Deleted = event.Deleted
			items = append(items, item)
			revision = max(revision, item.Rev)
		}
		cancel()
	})
	switch {
	case s.era.Load() != era:
		panic(http.ErrAbortHandler)
	case store.IsErrCompacted(err):
		w.WriteHeader(http.StatusGone)
	default:
		writeJSON(w, http.StatusOK, map[string]any{"events": items, "at": revision})
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		If []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"ifRev"`
		Write []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	txn := store.Txn{Deletes: body.Remove}
	for _, compare := range body.If {
		txn.If = append(txn.If, store.Compare{Key: compare.Key, Version: store.Version(compare.Rev)})
		txn.ReadElse = append(txn.ReadElse, compare.Key)
	}
	for _, put := range body.Write {
		txn.Puts = append(txn.Puts, store.Put{Key: put.Key, Value: put.Value, Lease: store.LeaseID(put.Lease)})
	}
	result, err := s.Inner.Txn(r.Context(), txn)
	if s.DropTxnResponses.Load() {
		panic(http.ErrAbortHandler)
	}
	switch {
	case store.IsErrLeaseNotFound(err):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !result.Applied:
		items := []storedItem{}
		for _, entry := range result.Entries {
			items = append(items, newStoredItem(entry))
		}
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": items})
	default:
		writeJSON(w, http.StatusOK, map[string]any{"rev": result.Version})
	}
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	lease, err := s.Inner.Grant(r.Context(), time.Duration(body.TTL)*time.Millisecond)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"lease": lease, "ttlMs": body.TTL})
}

func (s *Store) updateLease(w http.ResponseWriter, path, prefix string, update func(store.LeaseID) error) {
	id, err := strconv.ParseInt(strings.TrimPrefix(path, prefix), 10, 64)
	if err == nil {
		err = update(store.LeaseID(id))
	}
	if err != nil {
		status := http.StatusServiceUnavailable
		if store.IsErrLeaseNotFound(err) || errors.Is(err, strconv.ErrSyntax) {
			status = http.StatusNotFound
		}
		w.WriteHeader(status)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ttlMs": 0})
}
