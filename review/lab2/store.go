package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or its deletion.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store; its keys go when it ends.
type lease struct {
	ttl time.Duration
	end time.Time
}

// kvStore is a stand-in of the platform's store that follows PROTOCOL.md and has no faults.
type kvStore struct {
	address string

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*lease
	changed chan struct{}
	// silentUntil is the time until which no call is answered.
	silentUntil time.Time
}

// newStore starts a store on a free loopback port.
func newStore() (*kvStore, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &kvStore{
		address: listener.Addr().String(), rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveEnd)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent() {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Second}).Serve(listener) }()
	go s.expireLeases()
	return s, nil
}

// put writes a key as the operator or a worker does.
func (s *kvStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, []byte(value), 0)
	s.signal()
}

// write writes a key at the present revision. The caller holds mu.
func (s *kvStore) write(key string, value []byte, leaseID int64) {
	created := s.rev
	if old, found := s.items[key]; found {
		created = old.Created
	}
	written := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: leaseID}
	s.items[key] = written
	s.history = append(s.history, written)
}

// remove deletes a key at the present revision. The caller holds mu.
func (s *kvStore) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
	}
}

// signal wakes the watches. The caller holds mu.
func (s *kvStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().Before(s.silentUntil) {
				// Leases pause while the store is down.
				l.end = time.Now().Add(l.ttl)
			}
			if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and deletes its keys. The caller holds mu.
func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, found := range s.items {
		if found.Lease == id {
			s.remove(key)
		}
	}
	s.signal()
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if value != nil {
		_ = json.NewEncoder(w).Encode(value)
	}
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, found)
}

// pageItems is about the number of items of a page.
const pageItems = 500

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, found)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": list[:min(len(list), pageItems)], "hasMore": more, "at": s.rev})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := []item{}, s.rev, s.changed
		for _, event := range s.history {
			if event.Rev > after && strings.HasPrefix(event.Key, query.Get("pathPrefix")) {
				events = append(events, event)
			}
		}
		s.mu.Unlock()
		if s.isSilent() {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-changed:
		}
	}
}

// transaction is the body of a conditional write.
type transaction struct {
	If    []item   `json:"ifRev"`
	Write []item   `json:"write"`
	Gone  []string `json:"remove"`
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []item{}
	for _, condition := range body.If {
		current = append(current, s.items[condition.Key])
		failed = failed || s.items[condition.Key].Rev != condition.Rev
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range body.Write {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			reply(w, http.StatusNotFound, nil)
			return
		}
	}
	s.rev++
	for _, put := range body.Write {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range body.Gone {
		s.remove(key)
	}
	s.signal()
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *kvStore) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.rev] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.rev, "ttlMs": body.TTL})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.leases[id]
	if kept == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kept.end = time.Now().Add(kept.ttl)
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": kept.ttl.Milliseconds()})
}

func (s *kvStore) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, nil)
}

// drop deletes a key as a worker that leaves does.
func (s *kvStore) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.signal()
}

// silence makes the store answer nothing for a time.
func (s *kvStore) silence(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
	s.signal()
}

func (s *kvStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silentUntil)
}
