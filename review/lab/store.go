// Package lab holds the stand-ins of the review's cases: the platform's store, workers, clients and
// a proxy, all on loopback, and the start of entry hosts with the commands of the deploy file.
package lab

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

const (
	// historyTime is the store's historyS.
	historyTime = 20 * time.Second
	// pageItems and pageBytes bound one page of a range call.
	pageItems = 500
	pageBytes = 1 << 20
	// leaseTick is the interval of checks for leases that have ended.
	leaseTick = 50 * time.Millisecond
)

// item is a key of the store, or a change of one in the history.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`

	at time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is a stand-in of the platform's store, as PROTOCOL.md describes it.
type Store struct {
	Address string

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	// dropped is the revision up to which the history is gone.
	dropped   int64
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
}

// NewStore starts a store on a free port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	go func() {
		for {
			time.Sleep(leaseTick)
			s.endLeases()
		}
	}()
	return s, nil
}

// Put writes a key as the operator or a worker does, and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
	return s.rev
}

// Remove removes a key as a worker does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.rev++
		s.remove(key)
	}
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.items[key]
	return found
}

// put writes a key at the present revision. The caller holds mu.
func (s *Store) put(key string, value []byte, leaseID int64) {
	created := s.rev
	if old, found := s.items[key]; found {
		created = old.Created
	}
	written := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: leaseID, at: time.Now()}
	s.items[key] = written
	s.record(written)
}

// remove removes a key at the present revision. The caller holds mu.
func (s *Store) remove(key string) {
	delete(s.items, key)
	s.record(item{Key: key, Rev: s.rev, Deleted: true, at: time.Now()})
}

func (s *Store) record(change item) {
	s.history = append(s.history, change)
	s.trim()
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim drops what is older than historyTime. The caller holds mu.
func (s *Store) trim() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Rev
		s.history = s.history[1:]
	}
}

func (s *Store) endLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, held := range s.items {
		if held.Lease == id {
			s.rev++
			s.remove(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/-/kv-key":
		s.get(w, r)
	case path == "/-/kv-range":
		s.list(w, r)
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.txn(w, r)
	case path == "/-/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/-/kv-keep/"), strings.HasPrefix(path, "/-/kv-lease-end/"):
		s.renewOrEnd(w, path)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the other side has left.
	_, _ = w.Write(data)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	at := s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{found, at})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(page) == pageItems || (len(page) > 0 && size+len(s.items[key].Value) > pageBytes) {
			more = true
			break
		}
		page = append(page, s.items[key])
		size += len(s.items[key].Value)
	}
	at := s.rev
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": page, "hasMore": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	ends := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		s.trim()
		gone, at, changed := after < s.dropped, s.rev, s.changed
		events := []item{}
		for _, change := range s.history {
			if change.Rev > after && strings.HasPrefix(change.Key, query.Get("pathPrefix")) {
				events = append(events, change)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ends:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txnBody struct {
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

// allowed reports whether the system may write all keys of a transaction.
func (b *txnBody) allowed() bool {
	keys := append([]string(nil), b.Remove...)
	for _, write := range b.Write {
		keys = append(keys, write.Key)
	}
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			return false
		}
	}
	return true
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !body.allowed() {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := []item{}
	for _, compare := range body.If {
		if s.items[compare.Key].Rev != compare.Rev {
			failed = append(failed, s.items[compare.Key])
		}
	}
	if len(failed) > 0 {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": failed})
		return
	}
	for _, write := range body.Write {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, write := range body.Write {
		s.put(write.Key, write.Value, write.Lease)
	}
	for _, key := range body.Remove {
		if _, found := s.items[key]; found {
			s.remove(key)
		}
	}
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.lastLease++
	id, ttl := s.lastLease, time.Duration(body.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": body.TTL})
}

func (s *Store) renewOrEnd(w http.ResponseWriter, path string) {
	id, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if strings.HasPrefix(path, "/-/kv-lease-end/") {
		s.endLease(id)
	} else {
		l.ends = time.Now().Add(l.ttl)
	}
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}
