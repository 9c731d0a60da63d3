// Package platform holds stand-ins of the users' platform: its key-value store and
// upstreams of each kind, with the faults that tests ask for.
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

// Store is a stand-in of the platform's store before an embedded one.
type Store struct {
	// Inner holds the keys.
	Inner *memory.Store
	// Down makes every call answer 503.
	Down atomic.Bool
	// Mute makes watches hear nothing until their wait is over.
	Mute atomic.Bool
	// LoseWrites makes writes take effect without an answer.
	LoseWrites atomic.Bool

	calls atomic.Int64
	// dropped is the revision up to which the history was dropped.
	mu      sync.Mutex
	dropped int64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{Inner: memory.New()} }

// Calls returns the number of calls so far.
func (s *Store) Calls() int64 { return s.calls.Load() }

// DropHistory makes watches from before the present revision fail.
func (s *Store) DropHistory(version store.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = int64(version)
}

type storedItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func itemOf(e store.Entry) storedItem {
	return storedItem{Key: e.Key, Value: e.Value, Rev: int64(e.Version), Created: int64(e.Created)}
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
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
		s.grant(w, r)
	case strings.HasPrefix(path, wire.PathStoreKeep):
		s.lease(w, path, wire.PathStoreKeep, func(id store.LeaseID) error { return s.Inner.KeepAlive(r.Context(), id) })
	case strings.HasPrefix(path, wire.PathStoreLeaseEnd):
		s.lease(w, path, wire.PathStoreLeaseEnd, func(id store.LeaseID) error { return s.Inner.Revoke(r.Context(), id) })
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The other side may have left.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	entry, err := s.Inner.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil || entry == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, itemOf(*entry))
}

// pageSize is small, so that tests see several pages.
const pageSize = 3

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	entries, version, err := s.Inner.ReadAll(r.Context(), r.URL.Query().Get("pathPrefix"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items := []storedItem{}
	more := false
	for _, entry := range entries {
		if entry.Key <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, itemOf(entry))
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": version})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	s.mu.Lock()
	dropped := s.dropped
	s.mu.Unlock()
	if after < dropped {
		w.WriteHeader(http.StatusGone)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	if s.Mute.Load() {
		<-ctx.Done()
		reply(w, http.StatusOK, map[string]any{"events": []storedItem{}, "at": after})
		return
	}
	items := []storedItem{}
	at := after
	_ = s.Inner.Watch(ctx, query.Get("pathPrefix"), store.Version(after+1), func(events []store.Event) {
		for _, event := range events {
			item := itemOf(event.Entry)
			item.Deleted = event.Deleted
			items = append(items, item)
			at = max(at, item.Rev)
		}
		cancel()
	})
	reply(w, http.StatusOK, map[string]any{"events": items, "at": at})
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
	for _, row := range body.If {
		txn.If = append(txn.If, store.Compare{Key: row.Key, Version: store.Version(row.Rev)})
		txn.ReadElse = append(txn.ReadElse, row.Key)
	}
	for _, row := range body.Write {
		txn.Puts = append(txn.Puts, store.Put{Key: row.Key, Value: row.Value, Lease: store.LeaseID(row.Lease)})
	}
	result, err := s.Inner.Txn(r.Context(), txn)
	if s.LoseWrites.Load() {
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
			items = append(items, itemOf(entry))
		}
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
	default:
		reply(w, http.StatusOK, map[string]any{"rev": result.Version})
	}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
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
	reply(w, http.StatusOK, map[string]any{"lease": lease, "ttlMs": body.TTL})
}

func (s *Store) lease(w http.ResponseWriter, path, prefix string, f func(store.LeaseID) error) {
	id, err := strconv.ParseInt(strings.TrimPrefix(path, prefix), 10, 64)
	if err == nil {
		err = f(store.LeaseID(id))
	}
	if err != nil {
		status := http.StatusServiceUnavailable
		if store.IsErrLeaseNotFound(err) || errors.Is(err, strconv.ErrSyntax) {
			status = http.StatusNotFound
		}
		w.WriteHeader(status)
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttlMs": 0})
}
